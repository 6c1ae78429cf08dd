"""A course of its own: workers start again under their ids and are cut off soon after.

They have been up for long and grant longer leases than their owner asks for. Owners are killed
meanwhile, so that the next one knows the former boots from the journal only.
"""

from random import Random
from typing import Final

from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import run_coroutine, sleep

from .deployment import SoakDeployment, now_ms
from .fault_log import FaultLog
from .faults import FAULTS
from .steady import SteadyCourse

HOST_COUNT: Final = 4
WORKER_COUNT: Final = 16
MAX_LEASE_MS: Final = 10_000
UPTIME_MS: Final = 480_000
DOWN_MS: Final = (0, 800)
BACK_MS: Final = (100, 3_000)
"""Time from the start of the next boot to the cut."""
CUT_MS: Final = (2_000, 9_000)
GAP_MS: Final = (500, 2_500)
OWNER_FAULTS: Final = ("", "", "kill_host", "stop_host", "pause_host")
"""Faults of a host that come with a cut; none in some rounds."""


class RebornCourse(SteadyCourse):
    """The course of one seed: a quarter of the workers is back and cut off again and again."""

    def __init__(self, deployment: SoakDeployment, seed: int, log: FaultLog) -> None:
        super().__init__(deployment, Random(f"reborn {seed}"), log)

    async def _inject_faults(self, until: float) -> None:
        while now_ms() < until:
            await sleep(self._deployment.reactor, self._rng.randrange(*GAP_MS))
            workers = self._rng.sample(sorted(self._deployment.worker_proxies), WORKER_COUNT // 4)
            host_fault = self._rng.choice(OWNER_FAULTS)
            with self._log.record("reborn", f"{sorted(workers)}, {host_fault or 'no host fault'}"):
                work = [self._restart_and_cut(worker) for worker in workers]
                if host_fault:
                    work.append(FAULTS[host_fault](self._deployment, self._rng))
                await gatherResults([run_coroutine(part) for part in work], consumeErrors=True)

    async def _restart_and_cut(self, worker: str) -> None:
        deployment, rng = self._deployment, self._rng
        await deployment.call_standin("crash", worker)
        await sleep(deployment.reactor, rng.randrange(*DOWN_MS))
        await deployment.call_standin("revive", worker)
        await sleep(deployment.reactor, rng.randrange(*BACK_MS))
        await deployment.call_standin("cut", worker, "on")
        await sleep(deployment.reactor, rng.randrange(*CUT_MS))
        await deployment.call_standin("cut", worker, "off")
