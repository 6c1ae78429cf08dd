"""Many workers in one process, each with its commands and its backend server.

POST /workers/NAME takes a command; /workers/NAME/services/... is the backend server; GET /truth
says what really ran; PUT /faults/NAME changes a worker's behaviour.
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
from .model import WorkerModel, WorkerShape

_TICK_MS = 100
_INTERFERENCE_PERCENT = 3


class WorkersServer:
    """All workers of a deployment over HTTP."""

    def __init__(self, deployment: Deployment, slots: int | None = None) -> None:
        self._clock = MonotonicClock()
        self._boots = count(1)
        self._executions: list[tuple[str, str]] = []
        self._truncate: set[str] = set()
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
        LoopingCall(self._advance).start(_TICK_MS / SECOND_MS)

    def respond(self, request: Request) -> None:
        """Answer a request."""
        parts = request.path.decode().strip("/").split("/")
        if parts == ["truth"]:
            self._tell_truth(request)
        elif parts[0] == "faults":
            self._change(request, self._workers[parts[1]])
        elif len(parts) == 2:
            self._command(request, self._workers[parts[1]])
        else:
            self._serve(request, self._workers[parts[1]])

    def _advance(self) -> None:
        now = self._clock.now()
        for worker in self._workers.values():
            worker.advance(now)

    def _command(self, request: Request, worker: WorkerModel) -> None:
        try:
            command = decode(read_body(request))
        except CodecError as error:
            write_json(request, 400, {"cause": error.cause})
            return
        answer = worker.handle(command, self._clock.now())
        write(request, 200, encode(answer), "application/msgpack")

    def _serve(self, request: Request, worker: WorkerModel) -> None:
        """Run a request for as long as it asks, longer beside batch tasks."""
        if worker.shape.fails_all:
            request.setHeader(NOT_STARTED_HEADER, "1")
            write_json(request, 503, {"cause": "broken"})
            return
        work_ms = int(request.getHeader(WORK_HEADER) or 20)
        slower = 100 + _INTERFERENCE_PERCENT * worker.count_running()
        identity = request.getHeader(REQUEST_HEADER) or ""
        self._executions.append((identity, worker.name))
        worker.busy_slots += 1
        worker.counters.peak_slots = max(worker.counters.peak_slots, worker.busy_slots)
        worker.counters.over_slots += worker.busy_slots > worker.shape.slots
        ends = request.notifyFinish()
        done = reactor.callLater(
            work_ms * slower / 100 / SECOND_MS, self._answer, request, worker, identity
        )
        boot = worker.boot
        ends.addBoth(lambda _reason: self._free(worker, boot, done))

    def _free(self, worker: WorkerModel, boot: str, done: Any) -> None:
        if worker.boot == boot:
            worker.busy_slots -= 1
        if done.active():
            done.cancel()

    def _answer(self, request: Request, worker: WorkerModel, identity: str) -> None:
        body = json.dumps({"request": identity, "worker": worker.name}).encode()
        if worker.name in self._truncate:
            request.setHeader("Content-Length", str(len(body)))
            request.write(body[: len(body) // 2])
            request.loseConnection()
            return
        write(request, 200, body)

    def _change(self, request: Request, worker: WorkerModel) -> None:
        changes = json.loads(read_body(request))
        now = self._clock.now()
        if "fails_all" in changes:
            worker.shape = replace(worker.shape, fails_all=changes["fails_all"])
        if "leaving" in changes:
            worker.leaving = changes["leaving"]
        if changes.get("crash"):
            worker.crash(now, f"boot-{next(self._boots)}")
        if "truncate" in changes:
            (self._truncate.add if changes["truncate"] else self._truncate.discard)(worker.name)
        write_json(request, 200, {"worker": worker.name})

    def _tell_truth(self, request: Request) -> None:
        now = self._clock.now()
        runs = []
        for worker in self._workers.values():
            runs.extend(worker.history)
            runs.extend(worker.list_open_runs(now))
        guards = {name: asdict(worker.counters) for name, worker in self._workers.items()}
        body = {
            "now": now,
            "runs": [asdict(run) for run in runs],
            "guards": guards,
            "executions": self._executions,
        }
        write_json(request, 200, body)


def run_workers(deployment: Deployment, port: int, slots: int | None) -> None:
    """Run the workers stand-in, with other `slots` than the deployment's if given."""
    serve(port, WorkersServer(deployment, slots).respond)
