"""A course under steady load, in which one kind of fault comes again and again."""

from random import Random
from typing import Final

from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import run_coroutine, sleep

from .callers import Caller, JobMaker
from .deployment import SoakDeployment, now_ms
from .fault_log import FaultLog

CALLER_COUNT: Final = 16
SUBMIT_INTERVAL_MS: Final = 1_000
"""Time between two jobs of a caller."""
LASTING_SHARE: Final = 0.03

_JOB_KINDS: Final[dict[str, JobMaker]] = {
    "lasting": lambda _rng: ("lasts", (2,), {"longRunning": True}),
    "timed": lambda rng: (str(rng.randrange(300, 6_000)), (rng.randrange(1, 6),), {}),
}
"""Kinds as in `callers.JOB_KINDS`."""


class SteadyCaller(Caller):
    """A caller that submits a job every `SUBMIT_INTERVAL_MS`."""

    async def run(self, until: float) -> None:
        """Submit jobs until `until`."""
        due_at = now_ms() + self._rng.randrange(SUBMIT_INTERVAL_MS)
        while due_at < until:
            await sleep(self._deployment.reactor, max(0, int(due_at - now_ms())))
            kind = "lasting" if self._rng.random() < LASTING_SHARE else "timed"
            job, body = self._make_job_of(kind, _JOB_KINDS[kind])
            self.jobs.append(job)
            await self._submit(job, body)
            due_at += SUBMIT_INTERVAL_MS


class SteadyCourse:
    """The course of one seed.

    Attributes:
        callers: All callers.
    """

    def __init__(self, deployment: SoakDeployment, rng: Random, log: FaultLog) -> None:
        self._deployment = deployment
        self._rng = rng
        self._log = log
        self.callers: list[Caller] = [
            SteadyCaller(deployment, Random(self._rng.random()), number)
            for number in range(CALLER_COUNT)
        ]

    async def play(self, seconds: float) -> None:
        """Submit jobs for `seconds` s while the faults of the course come."""
        until = now_ms() + seconds * 1_000
        work = [caller.run(until) for caller in self.callers]
        work.append(self._inject_faults(until))
        await gatherResults([run_coroutine(part) for part in work], consumeErrors=True)

    async def _inject_faults(self, until: float) -> None:
        """Inject faults until `until`."""
        raise NotImplementedError
