"""Callers of a soak: they submit, ask, cancel and repeat, and write down what they are told."""

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, Final

from quetzallock_daemon.helpers import sleep
from quetzallock_standins.const import LOOPBACK

from .world import CALL_MS, Host, World, now_ms

TRIES: Final = 8
MOST_PAUSE_MS: Final = 400
VISIBLE_MS: Final = 3_000
REFUSALS: Final = (429, 503)
OK: Final = 200
GONE: Final = 410


@dataclass(slots=True)
class Job:
    """One job and what its caller was told.

    Attributes:
        kind: Name of its shape.
        tasks: Number of tasks of each step.
        answers: Statuses of all tries to hand it in; 0 for none.
        accepted_ms: Time of the first acceptance, or None.
        cancelled_ms: Time at which its cancellation was acknowledged, or None.
        cancel_sent: A cancellation was sent.
        state: The last state that was shown.
    """

    id: str
    kind: str
    tasks: tuple[int, ...]
    answers: list[int] = field(default_factory=list)
    accepted_ms: float | None = None
    cancelled_ms: float | None = None
    cancel_sent: bool = False
    state: str = ""

    @property
    def was_refused(self) -> bool:
        """Whether all tries were refused."""
        return bool(self.answers) and all(status in REFUSALS for status in self.answers)


def _steps(*tasks: int, **fields: Any) -> list[dict[str, Any]]:
    return [
        {
            "count": count,
            "cpu": 500,
            "memMb": 100,
            "after": [number - 1] if number else [],
            **fields,
        }
        for number, count in enumerate(tasks)
    ]


SHAPES: Final[dict[str, Callable[[Random], tuple[str, tuple[int, ...], dict[str, Any]]]]] = {
    "short": lambda rng: (str(rng.randrange(50, 800)), (rng.randrange(1, 6),), {}),
    "chain": lambda rng: (str(rng.randrange(50, 500)), (2, 3), {}),
    "long": lambda rng: (str(rng.randrange(2_000, 6_000)), (2,), {"checkpointing": True}),
    "cancelled": lambda rng: (str(rng.randrange(1_000, 6_000)), (3,), {}),
    "lasting": lambda _rng: ("lasts", (2,), {"longRunning": True}),
    "hopeless": lambda _rng: ("fails", (2,), {}),
}


class Caller:
    """One caller, with its own connections to one host after the other."""

    def __init__(self, world: World, rng: Random, name: int) -> None:
        self._world = world
        self._rng = rng
        self._name = name
        self._count = 0
        self._host: Host = rng.choice(world.hosts)
        self.jobs: list[Job] = []

    async def work(self, until_ms: float) -> None:
        """Submit jobs until the time is over, and ask for some."""
        while now_ms() < until_ms:
            job, body = self._make_job()
            self.jobs.append(job)
            await self._submit(job, body)
            if job.kind == "cancelled" and job.accepted_ms is not None:
                await sleep(self._world.reactor, self._rng.randrange(1_500))
                await self.cancel(job)
            if self._rng.random() < 0.2 and job.accepted_ms is not None:
                await self._repeat(job, body)
            await self.show(self._rng.choice(self.jobs))
            await sleep(self._world.reactor, self._rng.randrange(MOST_PAUSE_MS))

    def _make_job(self) -> tuple[Job, dict[str, Any]]:
        kind = self._rng.choice(sorted(SHAPES))
        payload, tasks, fields = SHAPES[kind](self._rng)
        self._count += 1
        job = Job(f"{self._name:08x}{self._count:08x}", kind, tasks)
        return job, {"spec": payload, "steps": _steps(*tasks, **fields)}

    async def _call(self, method: str, job: Job, body: Any = None) -> tuple[int, dict[str, Any]]:
        address = f"{LOOPBACK}:{self._host.front}"
        reply = await self._world.call(address, method, f"/jobs/{job.id}", CALL_MS, body)
        if reply is None or reply.status in (502, 504):
            self._host = self._rng.choice(self._world.hosts)
        if reply is None:
            return 0, {}
        return reply.status, json.loads(reply.body or b"{}")

    async def _submit(self, job: Job, body: dict[str, Any]) -> None:
        for _ in range(TRIES):
            status, _answer = await self._call("POST", job, body)
            job.answers.append(status)
            if status == OK:
                job.accepted_ms = now_ms()
                return
            if status in REFUSALS and self._rng.random() < 0.4:
                return
            await sleep(self._world.reactor, self._rng.randrange(100, 1_000))

    async def _repeat(self, job: Job, body: dict[str, Any]) -> None:
        self._host = self._rng.choice(self._world.hosts)
        status, _answer = await self._call("POST", job, body)
        if status in (404, 409, 410):
            self._world.findings.append(f"{job.id}: repeat of an accepted job answered {status}")

    async def cancel(self, job: Job) -> None:
        """Cancel a job, with a few tries."""
        job.cancel_sent = True
        for _ in range(TRIES):
            status, _answer = await self._call("DELETE", job)
            if status in (OK, GONE):
                job.cancelled_ms = now_ms()
                return
            await sleep(self._world.reactor, 300)

    async def show(self, job: Job, host: Host | None = None) -> str:
        """Ask for the state of a job; a finding where an accepted one is not known."""
        asked = now_ms()
        self._host = host or self._host
        name = self._host.name
        status, answer = await self._call("GET", job)
        if status == OK:
            job.state = str(answer["state"])
            return job.state
        accepted = job.accepted_ms
        if status == GONE and accepted is not None and asked > accepted + VISIBLE_MS:
            self._world.findings.append(f"{job.id}: accepted, but {name} does not know it")
        return ""
