"""A course of its own: other writers' entries of many workers whose links are silent meanwhile.

Each half of the fault alone is harmless: an entry while the worker answers, and a silence shorter
than the lease. Together they looked like workers that had restarted, so that their tasks started
elsewhere while they ran on.
"""

from collections.abc import Sequence
from itertools import cycle
from random import Random
from typing import Final

from quetzallock_daemon.helpers import sleep
from quetzallock_platform_standin.model import FALSE_ENTRIES

from .deployment import SoakDeployment, now_ms
from .fault_log import FaultLog
from .steady import SteadyCourse

HOST_COUNT: Final = 4
WORKER_COUNT: Final = 16
LINK_MODES: Final = ("silent", "drop_answers", "cut")
SILENCE_MS: Final = (1_900, 3_200)
"""Longer than a poll waits for its answer, and shorter than the lease of a worker."""
GAP_MS: Final = (800, 2_000)
"""A poll may wait through such a gap, so the lease of a worker that is silent twice may lapse."""
REWRITE_PAUSE_MS: Final = (30, 150)
"""Time between two writes; a worker replaces a false entry by its own twice a second."""


class FalseEntriesCourse(SteadyCourse):
    """The course of one seed: half of the workers are silent again and again."""

    def __init__(self, deployment: SoakDeployment, seed: int, log: FaultLog) -> None:
        super().__init__(deployment, Random(f"false entries {seed}"), log)

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
