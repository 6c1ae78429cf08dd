"""Serves all workers of a deployment over HTTP from one process.

POST /workers/NAME executes a command; /workers/NAME/services/... is the worker's backend server;
GET /truth returns the ground truth of what ran; PUT /faults/NAME injects faults into a worker.
"""

import json
from dataclasses import asdict, replace
from itertools import count
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.web.http import Request

from quetzallock_core.clock import MonotonicClock
from quetzallock_core.codec import decode, encode
from quetzallock_core.exceptions import CodecError
from quetzallock_daemon.helpers import reactor, read_body

from ..const import NOT_STARTED_HEADER, REQUEST_HEADER, SECOND_MS, WORK_HEADER
from ..deployment import Deployment
from ..server import serve, write, write_json
from .models import WorkerShape
from .worker import WorkerModel

_TICK_INTERVAL_MS = 100
_INTERFERENCE_PERCENT = 3
"""Increase of the duration of a request for each running task."""


class WorkersServer:
    """HTTP interface of all workers of a deployment."""

    def __init__(self, deployment: Deployment, slots: int | None = None) -> None:
        self._clock = MonotonicClock()
        self._boots = count(1)
        self._executions: list[tuple[str, str]] = []
        self._truncating_workers: set[str] = set()
        shape = WorkerShape(deployment.worker.capacity, slots or deployment.worker.slots)
        self._workers = {
            str(row["worker"]): WorkerModel(
                str(row["worker"]),
                shape,
                f"boot-{next(self._boots)}",
                service_reserve=deployment.worker.service,
            )
            for row in deployment.list_rows(0)
        }
        LoopingCall(self._advance).start(_TICK_INTERVAL_MS / SECOND_MS)

    def respond(self, request: Request) -> None:
        """Handle a request."""
        segments = request.path.decode().strip("/").split("/")
        if segments == ["truth"]:
            self._write_ground_truth(request)
        elif segments[0] == "faults":
            self._inject_faults(request, self._workers[segments[1]])
        elif len(segments) == 2:
            self._execute_command(request, self._workers[segments[1]])
        else:
            self._serve(request, self._workers[segments[1]])

    def _advance(self) -> None:
        now = self._clock.now()
        for worker in self._workers.values():
            worker.advance(now)

    def _execute_command(self, request: Request, worker: WorkerModel) -> None:
        try:
            command = decode(read_body(request))
        except CodecError as error:
            write_json(request, 400, {"cause": error.cause})
            return
        answer = worker.handle(command, self._clock.now())
        write(request, 200, encode(answer), "application/msgpack")

    def _serve(self, request: Request, worker: WorkerModel) -> None:
        """Serve a request for the duration that it asks for, longer next to running batch tasks."""
        if worker.shape.fails_all:
            request.setHeader(NOT_STARTED_HEADER, "1")
            write_json(request, 503, {"cause": "broken"})
            return
        work_ms = int(request.getHeader(WORK_HEADER) or 20)
        duration_percent = 100 + _INTERFERENCE_PERCENT * worker.count_running()
        request_id = request.getHeader(REQUEST_HEADER) or ""
        self._executions.append((request_id, worker.name))
        worker.busy_slots += 1
        worker.counters.peak_slots = max(worker.counters.peak_slots, worker.busy_slots)
        worker.counters.over_slots += worker.busy_slots > worker.shape.slots
        ended = request.notifyFinish()
        answer_call = reactor.callLater(
            work_ms * duration_percent / 100 / SECOND_MS, self._answer, request, worker, request_id
        )
        boot = worker.boot
        ended.addBoth(lambda _reason: self._release_slot(worker, boot, answer_call))

    def _release_slot(self, worker: WorkerModel, boot: str, answer_call: Any) -> None:
        if worker.boot == boot:
            worker.busy_slots -= 1
        if answer_call.active():
            answer_call.cancel()

    def _answer(self, request: Request, worker: WorkerModel, request_id: str) -> None:
        body = json.dumps({"request": request_id, "worker": worker.name}).encode()
        if worker.name in self._truncating_workers:
            request.setHeader("Content-Length", str(len(body)))
            request.write(body[: len(body) // 2])
            request.loseConnection()
            return
        write(request, 200, body)

    def _inject_faults(self, request: Request, worker: WorkerModel) -> None:
        faults = json.loads(read_body(request))
        now = self._clock.now()
        if "fails_all" in faults:
            worker.shape = replace(worker.shape, fails_all=faults["fails_all"])
        if "leaving" in faults:
            worker.leaving = faults["leaving"]
        if faults.get("crash"):
            worker.crash(now, f"boot-{next(self._boots)}")
        if "truncate" in faults:
            (
                self._truncating_workers.add
                if faults["truncate"]
                else self._truncating_workers.discard
            )(worker.name)
        write_json(request, 200, {"worker": worker.name})

    def _write_ground_truth(self, request: Request) -> None:
        now = self._clock.now()
        runs = []
        for worker in self._workers.values():
            runs.extend(worker.history)
            runs.extend(worker.list_open_runs(now))
        counters = {name: asdict(worker.counters) for name, worker in self._workers.items()}
        body = {
            "now": now,
            "runs": [asdict(run) for run in runs],
            "counters": counters,
            "executions": self._executions,
        }
        write_json(request, 200, body)


def run_workers(deployment: Deployment, port: int, slots: int | None) -> None:
    """Run the workers stand-in; `slots` overrides the number that the deployment declares."""
    serve(port, WorkersServer(deployment, slots).respond)
