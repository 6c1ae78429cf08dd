"""Callers that cancel each of their jobs, many of them promptly after the acceptance."""

from typing import Any, Final

from quetzallock_daemon.helpers import sleep

from .callers import MAX_PAUSE_MS, Caller, CallerJob, JobMaker
from .deployment import now_ms

CANCELLED_JOB_KINDS: Final[dict[str, JobMaker]] = {
    "lasting": lambda rng: ("lasts", (rng.randrange(1, 5),), {"longRunning": True}),
    "timed": lambda rng: (str(rng.randrange(2_000, 9_000)), (rng.randrange(1, 5),), {}),
    "steps": lambda rng: (str(rng.randrange(100, 900)), (2, 3), {}),
}
"""Kinds as in `callers.JOB_KINDS`; more of the lasting ones are drawn."""
_KINDS: Final = ("lasting", "lasting", "steps", "timed")
CANCEL_PAUSES_MS: Final = ((0, 30), (200, 900), (200, 900), (1_000, 5_000))
"""Time from the acceptance to the cancellation: starts on their way, prompt, after a while."""


class Canceller(Caller):
    """A caller of jobs that it cancels."""

    async def run(self, until: float) -> None:
        """Submit and cancel jobs until `until`."""
        await self.run_with_pauses(until, CANCEL_PAUSES_MS)

    async def run_with_pauses(self, until: float, pauses_ms: tuple[tuple[int, int], ...]) -> None:
        """Submit jobs until `until`, and cancel each after a time drawn from one of `pauses_ms`."""
        while now_ms() < until:
            await self._submit_and_cancel(pauses_ms)
            await sleep(self._deployment.reactor, self._rng.randrange(MAX_PAUSE_MS))

    async def _submit_and_cancel(self, pauses_ms: tuple[tuple[int, int], ...]) -> None:
        job, body = self._make_job()
        self.jobs.append(job)
        await self._submit(job, body)
        if job.accepted_at is None:
            return
        await sleep(self._deployment.reactor, self._rng.randrange(*self._rng.choice(pauses_ms)))
        await self.cancel(job)

    def _make_job(self) -> tuple[CallerJob, dict[str, Any]]:
        kind = self._rng.choice(_KINDS)
        return self._make_job_of(kind, CANCELLED_JOB_KINDS[kind])
