"""A course of its own: other writers' entries of many workers whose links are silent meanwhile.

Each half of the fault alone is harmless: an entry while the worker answers, and a silence shorter
than the lease. Together they looked like workers that had restarted, so that their tasks started
elsewhere while they ran on.
"""

from collections.abc import Sequence
from itertools import cycle
from random import Random
from typing import Final

from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import run_coroutine, sleep
from quetzallock_platform_standin.model import FALSE_ENTRIES

from .callers import Caller, JobMaker
from .deployment import SoakDeployment, now_ms
from .fault_log import FaultLog

HOST_COUNT: Final = 4
WORKER_COUNT: Final = 16
CALLER_COUNT: Final = 16
SUBMIT_INTERVAL_MS: Final = 1_000
"""Time between two jobs of a caller."""
LASTING_SHARE: Final = 0.03
LINK_MODES: Final = ("silent", "drop_answers", "cut")
SILENCE_MS: Final = (1_900, 3_200)
"""Longer than a poll waits for its answer, and shorter than the lease of a worker."""
GAP_MS: Final = (800, 2_000)
"""A poll may wait through such a gap, so the lease of a worker that is silent twice may lapse."""
REWRITE_PAUSE_MS: Final = (30, 150)
"""Time between two writes; a worker replaces a false entry by its own twice a second."""

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


class FalseEntriesCourse:
    """The course of one seed.

    Attributes:
        callers: All callers.
    """

    def __init__(self, deployment: SoakDeployment, seed: int, log: FaultLog) -> None:
        self._deployment = deployment
        self._rng = Random(f"false entries {seed}")
        self._log = log
        self.callers: list[Caller] = [
            SteadyCaller(deployment, Random(self._rng.random()), number)
            for number in range(CALLER_COUNT)
        ]

    async def play(self, seconds: float) -> None:
        """Submit jobs for `seconds` s while half of the workers are silent again and again."""
        until = now_ms() + seconds * 1_000
        work = [caller.run(until) for caller in self.callers]
        work.append(self._inject_faults(until))
        await gatherResults([run_coroutine(part) for part in work], consumeErrors=True)

    async def _inject_faults(self, until: float) -> None:
        kinds = cycle(self._rng.sample(FALSE_ENTRIES, len(FALSE_ENTRIES)))
        while now_ms() < until:
            await sleep(self._deployment.reactor, self._rng.randrange(*GAP_MS))
            workers = sorted(self._deployment.worker_proxies)
            silent = self._rng.sample(workers, len(workers) // 2)
            mode, kind = self._rng.choice(LINK_MODES), next(kinds)
            with self._log.record("false_entries", f"{kind}, links {mode}: {sorted(silent)}"):
                await self._silence(silent, mode, kind)

    async def _silence(self, workers: Sequence[str], mode: str, kind: str) -> None:
        proxies = [self._deployment.worker_proxies[worker] for worker in workers]
        for proxy in proxies:
            proxy.set_mode(mode)
        until = now_ms() + self._rng.randrange(*SILENCE_MS)
        while now_ms() < until:
            await self._deployment.call_standin("false-entries", kind, ",".join(workers))
            await sleep(self._deployment.reactor, self._rng.randrange(*REWRITE_PAUSE_MS))
        for proxy in proxies:
            proxy.set_mode("open")
