"""Plays a trace in real time and writes down what callers and submitters were told."""

import json
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.web.client import Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers

from quetzallock_core.clock import MonotonicClock
from quetzallock_daemon.helpers import make_body_producer, reactor, run_coroutine

from ..const import REQUEST_HEADER, SECOND_MS, WORK_HEADER
from .balancer import Balancer
from .models import CallResult, JobResult, Trace, TracedCall, TracedJob

_CONNECTIONS = 64
_SUBMIT_TRIES = 20
_SUBMIT_PAUSE_S = 0.5


class Player:
    """Plays one trace against the entry hosts in `hosts`."""

    def __init__(self, trace: Trace, service: str, hosts: list[str]) -> None:
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = _CONNECTIONS
        pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=1, pool=pool)
        self._clock = MonotonicClock()
        self._trace = trace
        self._service = service
        self._balancer = Balancer(self._agent, hosts, Random(trace.seed))
        self._open = 0
        self._began = 0
        self._is_over = False
        self.calls: list[CallResult] = []
        self.jobs: list[JobResult] = []
        self.finished: Deferred[None] = Deferred()

    def start(self) -> None:
        """Begin to play."""
        self._began = self._clock.now()
        self._balancer.start()
        for call in self._trace.calls:
            self._at(call.at, self._make_call, call)
        for job in self._trace.jobs:
            self._at(job.at, self._submit, job)
        self._at(self._trace.duration_ms, self._end)

    def _at(self, at: int, run: Callable[..., Coroutine[Any, Any, None]], *arguments: Any) -> None:
        reactor.callLater(at / SECOND_MS, lambda: run_coroutine(run(*arguments)))

    async def _end(self) -> None:
        self._is_over = True
        self._settle(0)

    def _settle(self, change: int) -> None:
        self._open += change
        if self._is_over and not self._open and not self.finished.called:
            self._balancer.stop()
            self.finished.callback(None)

    async def _make_call(self, call: TracedCall) -> None:
        self._settle(1)
        outcome, is_own = "no_answer", True
        try:
            response, body = await self._send_call(call)
            outcome = response.headers.getRawHeaders("Quetzallock-Outcome", ["no_answer"])[0]
            is_own = outcome != "whole" or json.loads(body)["request"] == call.identity
        except Exception:  # noqa: BLE001 - the caller saw no whole answer
            outcome = "no_answer"
        took = self._clock.now() - self._began - call.at
        self.calls.append(
            CallResult(
                call.identity,
                call.kind,
                outcome,
                float(took),
                call.deadline_ms,
                call.idempotent,
                is_own,
                call.at,
            )
        )
        self._settle(-1)

    async def _send_call(self, call: TracedCall) -> tuple[Any, bytes]:
        headers = Headers(
            {
                REQUEST_HEADER: [call.identity],
                WORK_HEADER: [str(call.work_ms)],
                "Deadline-Ms": [str(call.deadline_ms)],
            }
        )
        method = b"GET" if call.idempotent else b"POST"
        if not call.idempotent:
            headers.addRawHeader("Idempotency-Key", call.identity)
        path = f"/v1/call/{self._service}/{call.kind}"
        return await self._request(method, path, headers, None, call.deadline_ms * 2)

    async def _request(
        self, method: bytes, path: str, headers: Headers, body: bytes | None, timeout_ms: int
    ) -> tuple[Any, bytes]:
        """Make a request at a ready host; one that takes no connection is passed over."""
        for _ in range(_SUBMIT_TRIES):
            host = self._balancer.pick()
            producer = make_body_producer(body) if body is not None else None
            sent = self._agent.request(method, f"{host}{path}".encode(), headers, producer)
            try:
                response = await sent.addTimeout(timeout_ms / SECOND_MS, reactor)
            except ConnectError:
                self._balancer.mark_down(host)
                continue
            raw = await readBody(response)
            return response, raw
        raise ConnectError("no entry host takes connections")

    async def _submit(self, job: TracedJob) -> None:
        """Submit until the job is surely accepted; the id makes repeats harmless."""
        self._settle(1)
        body = json.dumps(
            {
                "job": job.job,
                "team": job.team,
                "tasks": job.tasks,
                "cpu_milli": job.cpu_milli,
                "memory_mb": job.memory_mb,
                "run_ms": job.run_ms,
            }
        ).encode()
        outcome = "no_answer"
        for _ in range(_SUBMIT_TRIES):
            try:
                response, _raw = await self._request(
                    b"POST", "/v1/jobs", Headers(), body, 10 * SECOND_MS
                )
                outcome = "accepted" if response.code == 201 else str(response.code)
            except Exception:  # noqa: BLE001 - the submitter saw no answer
                outcome = "no_answer"
            if outcome == "accepted":
                break
            await self._pause(_SUBMIT_PAUSE_S)
        self.jobs.append(JobResult(job.job, job.tasks, outcome, bool(job.cancel_at)))
        if job.cancel_at:
            await self._cancel(job.job)
        self._settle(-1)

    async def _cancel(self, job: str) -> None:
        for _ in range(_SUBMIT_TRIES):
            try:
                response, _raw = await self._request(
                    b"DELETE", f"/v1/jobs/{job}", Headers(), None, 10 * SECOND_MS
                )
                if response.code == 200:
                    return
            except Exception:  # noqa: BLE001 - the submitter tries again
                pass
            await self._pause(_SUBMIT_PAUSE_S)

    def _pause(self, seconds: float) -> Deferred[None]:
        waited: Deferred[None] = Deferred()
        reactor.callLater(seconds, waited.callback, None)
        return waited
