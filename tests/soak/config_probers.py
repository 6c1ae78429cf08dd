"""Callers that ask each host for queues that were just added, just removed or never existed.

Together with the publisher of versions they draw from sources of their own, to keep recorded seeds.
"""

from random import Random
from typing import Final

from twisted.internet.defer import Deferred, gatherResults

from quetzallock_daemon.helpers import run_coroutine, sleep
from quetzallock_standins.const import LOOPBACK

from .config_checks import Probe
from .deployment import Host, SoakDeployment, now_ms
from .fault_log import FaultLog
from .starvation import SAMPLE_PAUSE_MS, StarvationWatch

PROBE_PAUSE_MS: Final = 120
PROBE_TIMEOUT_MS: Final = 700
RECENT_COUNT: Final = 3
"""Number of the last removed routes of which some are asked for."""
PUBLISH_POLL_MS: Final = 10
"""How often the publisher looks whether a fault has begun or ended."""
PUBLISH_AT_FAULT_SHARE: Final = 0.3
MAX_PUBLISH_GAP_MS: Final = 5_000


class ConfigProbing:
    """Probes all hosts and publishes versions until it is stopped.

    Attributes:
        probes: The probes that are over.
    """

    def __init__(self, deployment: SoakDeployment, seed: int, log: FaultLog) -> None:
        self._deployment = deployment
        self._rng = Random(f"configuration {seed}")
        self._log = log
        self._is_running = True
        self._tasks: list[Deferred[None]] = []
        self.probes: list[Probe] = []

    def start(self) -> None:
        """Start a prober of each host, the publisher and the watch over waiting processes."""
        for host in self._deployment.hosts:
            rng = Random(self._rng.random())
            self._tasks.append(run_coroutine(self._probe_host(host, rng)))
        self._tasks.append(run_coroutine(self._publish(Random(self._rng.random()))))
        self._tasks.append(run_coroutine(self._watch_starvation()))

    async def stop(self) -> list[Probe]:
        """Stop, and return the probes."""
        self._is_running = False
        await gatherResults(self._tasks, consumeErrors=True)
        return self.probes

    async def _probe_host(self, host: Host, rng: Random) -> None:
        while self._is_running:
            prefixes = choose_prefixes(self._deployment.prefixes, rng)
            calls = [run_coroutine(self._probe(host, prefix)) for prefix in prefixes]
            await gatherResults(calls, consumeErrors=True)
            await sleep(self._deployment.reactor, rng.randrange(PROBE_PAUSE_MS))

    async def _probe(self, host: Host, prefix: str) -> None:
        sent_at, boot = now_ms(), host.boot
        address = f"{LOOPBACK}:{host.front}"
        reply = await self._deployment.call(address, "GET", prefix, PROBE_TIMEOUT_MS)
        status = reply.status if reply and boot == host.boot else 0
        self.probes.append(Probe(host.name, boot, prefix, sent_at, status, now_ms()))

    async def _watch_starvation(self) -> None:
        watch = StarvationWatch(self._deployment, self._log)
        while self._is_running:
            watch.sample()
            await sleep(self._deployment.reactor, SAMPLE_PAUSE_MS)
        watch.sample()

    async def _publish(self, rng: Random) -> None:
        """Publish versions at random times, and when faults begin or end."""
        due_at, seen = 0.0, 0
        while self._is_running:
            has_change = len(self._log.lines) > seen
            if now_ms() >= due_at or (has_change and rng.random() < PUBLISH_AT_FAULT_SHARE):
                version = await self._deployment.publish_configuration()
                self._log.add(f"version {version} is published")
                due_at = now_ms() + rng.randrange(MAX_PUBLISH_GAP_MS)
            seen = len(self._log.lines)
            await sleep(self._deployment.reactor, PUBLISH_POLL_MS)


def choose_prefixes(published: list[tuple[str, ...]], rng: Random) -> list[str]:
    """Return the path prefixes to ask for: the newest, one that is there, removed ones, or none.

    Args:
        published: The prefixes of each version, oldest first.
        rng: Source of the choice.
    """
    if not published:
        return ["/never/"]
    newest = published[-1]
    known = dict.fromkeys(prefix for prefixes in published for prefix in prefixes)
    removed = [prefix for prefix in known if prefix not in newest][-RECENT_COUNT:]
    return [newest[-1], rng.choice(newest), rng.choice([*removed, "/never/"])]
