"""Callers of a soak: they submit, query, cancel and resubmit jobs and record the answers."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

from quetzallock_daemon.helpers import sleep
from quetzallock_standins.const import LOOPBACK

from .deployment import CALL_TIMEOUT_MS, Host, SoakDeployment, now_ms

MAX_ATTEMPTS: Final = 8
MAX_PAUSE_MS: Final = 400
VISIBILITY_TIMEOUT_MS: Final = 3_000
"""All hosts must find an accepted job after this time."""
REFUSAL_STATUSES: Final = (429, 503)
OK: Final = 200
GONE: Final = 410


@dataclass(slots=True)
class CallerJob:
    """A job and the answers that its caller received.

    Attributes:
        kind: Key of `JOB_KINDS`.
        tasks: Number of tasks of each step.
        submit_statuses: HTTP status of each attempt to submit it; 0 for no answer.
        accepted_at: When it was first accepted.
        cancel_acknowledged_at: When its cancellation was acknowledged.
        cancel_sent: A cancellation was sent.
        cancel_sent_at: When its first cancellation was sent.
        state: Last state that a host returned.
    """

    id: str
    kind: str
    tasks: tuple[int, ...]
    submit_statuses: list[int] = field(default_factory=list)
    accepted_at: float | None = None
    cancel_acknowledged_at: float | None = None
    cancel_sent: bool = False
    state: str = ""
    cancel_sent_at: float = float("inf")

    @property
    def was_refused(self) -> bool:
        """Whether all attempts to submit it were refused."""
        return bool(self.submit_statuses) and all(
            status in REFUSAL_STATUSES for status in self.submit_statuses
        )


def make_steps(*tasks: int, **fields: Any) -> list[dict[str, Any]]:
    """Return steps that follow each other, one for each number of tasks."""
    return [
        {
            "count": count,
            "cpu": 500,
            "memMb": 100,
            "after": [index - 1] if index else [],
            **fields,
        }
        for index, count in enumerate(tasks)
    ]


JobMaker = Callable[[Random], tuple[str, tuple[int, ...], dict[str, Any]]]
JOB_KINDS: Final[dict[str, JobMaker]] = {
    "short": lambda rng: (str(rng.randrange(50, 800)), (rng.randrange(1, 6),), {}),
    "chain": lambda rng: (str(rng.randrange(50, 500)), (2, 3), {}),
    "long": lambda rng: (str(rng.randrange(2_000, 6_000)), (2,), {"checkpointing": True}),
    "cancelled": lambda rng: (str(rng.randrange(1_000, 6_000)), (3,), {}),
    "lasting": lambda _rng: ("lasts", (2,), {"longRunning": True}),
    "hopeless": lambda _rng: ("fails", (2,), {}),
}
"""Payload, number of tasks of each step and fields of the steps, by kind of job.

A numeric payload is the duration of a task in ms. Seeds draw from the sorted keys, so another key
changes the jobs of recorded seeds.
"""


class Caller:
    """One caller; it calls the same host until a call fails, then one drawn anew."""

    def __init__(self, deployment: SoakDeployment, rng: Random, number: int) -> None:
        self._deployment = deployment
        self._rng = rng
        self._number = number
        self._count = 0
        self._host: Host = rng.choice(deployment.hosts)
        self.jobs: list[CallerJob] = []

    async def run(self, until: float) -> None:
        """Submit jobs until `until`; cancel, resubmit and query some of them."""
        while now_ms() < until:
            job, body = self._make_job()
            self.jobs.append(job)
            await self._submit(job, body)
            if job.kind == "cancelled" and job.accepted_at is not None:
                await sleep(self._deployment.reactor, self._rng.randrange(1_500))
                await self.cancel(job)
            if self._rng.random() < 0.2 and job.accepted_at is not None:
                await self._resubmit(job, body)
            await self.show(self._rng.choice(self.jobs))
            await sleep(self._deployment.reactor, self._rng.randrange(MAX_PAUSE_MS))

    def _make_job(self) -> tuple[CallerJob, dict[str, Any]]:
        kind = self._rng.choice(sorted(JOB_KINDS))
        return self._make_job_of(kind, JOB_KINDS[kind])

    def _make_job_of(self, kind: str, make: JobMaker) -> tuple[CallerJob, dict[str, Any]]:
        payload, tasks, fields = make(self._rng)
        self._count += 1
        job = CallerJob(f"{self._number:08x}{self._count:08x}", kind, tasks)
        return job, {"spec": payload, "steps": make_steps(*tasks, **fields)}

    async def _call(
        self, method: str, job: CallerJob, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        address = f"{LOOPBACK}:{self._host.front}"
        reply = await self._deployment.call(
            address, method, f"/jobs/{job.id}", CALL_TIMEOUT_MS, body
        )
        if reply is None or reply.status in (502, 504):
            self._host = self._rng.choice(self._deployment.hosts)
        if reply is None:
            return 0, {}
        return reply.status, json.loads(reply.body or b"{}")

    async def _submit(self, job: CallerJob, body: dict[str, Any]) -> None:
        for _ in range(MAX_ATTEMPTS):
            status, _answer = await self._call("POST", job, body)
            job.submit_statuses.append(status)
            if status == OK:
                job.accepted_at = now_ms()
                return
            if status in REFUSAL_STATUSES and self._rng.random() < 0.4:
                return
            await sleep(self._deployment.reactor, self._rng.randrange(100, 1_000))

    async def _resubmit(self, job: CallerJob, body: dict[str, Any]) -> None:
        self._host = self._rng.choice(self._deployment.hosts)
        status, _answer = await self._call("POST", job, body)
        if status in (404, 409, 410):
            self._deployment.findings.append(
                f"{job.id}: resubmission of an accepted job returned {status}"
            )

    async def cancel(self, job: CallerJob) -> None:
        """Cancel a job, with a bounded number of attempts."""
        job.cancel_sent = True
        job.cancel_sent_at = min(job.cancel_sent_at, now_ms())
        for _ in range(MAX_ATTEMPTS):
            status, _answer = await self._call("DELETE", job)
            if status in (OK, GONE):
                job.cancel_acknowledged_at = now_ms()
                return
            await sleep(self._deployment.reactor, 300)

    async def show(self, job: CallerJob, host: Host | None = None) -> str:
        """Query the state of a job.

        Adds a finding if a host answers 410 more than `VISIBILITY_TIMEOUT_MS` after the acceptance.
        """
        queried_at = now_ms()
        self._host = host or self._host
        name = self._host.name
        status, answer = await self._call("GET", job)
        if status == OK:
            job.state = str(answer["state"])
            return job.state
        accepted = job.accepted_at
        if (
            status == GONE
            and accepted is not None
            and queried_at > accepted + VISIBILITY_TIMEOUT_MS
        ):
            self._deployment.findings.append(f"{job.id}: accepted, but {name} does not find it")
        return ""
