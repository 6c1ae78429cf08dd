"""Short silences between hosts and the store, with a version at their end.

A short silence leaves connections that carry nothing any more in the hosts' pools. It draws from a
source of its own, to keep recorded seeds.
"""

from random import Random
from typing import Final

from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import run_coroutine, sleep

from .callers import Caller
from .config_checks import CONFIG_APPLY_MS
from .deployment import SoakDeployment, now_ms
from .fault_log import CONTACT_MS, FaultLog, Span
from .faults import wait_for_end

SILENCE_MS: Final = (100, 800)
MAX_GAP_MS: Final = 6_000
ALL_HOSTS_SHARE: Final = 0.5
CALM_MS: Final = CONTACT_MS + CONFIG_APPLY_MS + 1_000
"""Time after a silence in which a version that comes too late is seen."""
SILENCES_AFTER_FAULTS: Final = 2
SUBMITTER_COUNT: Final = 6
SHORT_TASK_MS: Final = "50"
MAX_PAUSE_MS: Final = 300
LOAD_MS: Final = 800
"""Time under load before a silence."""


async def silence_store_links(deployment: SoakDeployment, rng: Random, log: FaultLog) -> None:
    """Silence the connections of all or some hosts to the store, and publish a version."""
    hosts = [host for host in deployment.hosts if host.store_proxy.mode == "open"]
    if rng.random() >= ALL_HOSTS_SHARE:
        hosts = rng.sample(hosts, min(len(hosts), rng.randrange(1, len(deployment.hosts))))
    with log.record("silence_store_links", " ".join(host.name for host in hosts)):
        for host in hosts:
            host.set_store_link("silent")
        await sleep(deployment.reactor, rng.randrange(*SILENCE_MS))
        for host in hosts:
            host.set_store_link("open")
        await _publish(deployment, log)


async def mute_store(deployment: SoakDeployment, rng: Random, log: FaultLog) -> None:
    """Let the store take calls and answer none, and publish a version."""
    with log.record("mute_store"):
        await deployment.set_store_mode("mute")
        await sleep(deployment.reactor, rng.randrange(*SILENCE_MS))
        await deployment.set_store_mode("up")
        await _publish(deployment, log)


async def _publish(deployment: SoakDeployment, log: FaultLog) -> None:
    version = await deployment.publish_configuration()
    log.add(f"version {version} is published")


async def inject_silences(
    deployment: SoakDeployment, rng: Random, until: float, log: FaultLog, quiet: Span
) -> None:
    """Silence links again and again until `until`; no silence begins in the span `quiet`."""
    while now_ms() < until:
        await sleep(deployment.reactor, rng.randrange(MAX_GAP_MS))
        await wait_for_end(deployment, quiet)
        if now_ms() < until:
            await silence_store_links(deployment, rng, log)


class Submitter(Caller):
    """A caller that submits short jobs, so that the hosts use many connections to the store."""

    async def run(self, until: float) -> None:
        """Submit jobs until `until`."""
        while now_ms() < until:
            job, body = self._make_job_of("short", lambda _rng: (SHORT_TASK_MS, (1,), {}))
            self.jobs.append(job)
            await self._submit(job, body)
            await sleep(self._deployment.reactor, self._rng.randrange(MAX_PAUSE_MS))


async def silence_in_calm(
    deployment: SoakDeployment, rng: Random, first_caller: int, log: FaultLog
) -> list[Caller]:
    """Silence links or the store some times under load, and leave the hosts in touch after each.

    Returns:
        The callers, numbered from `first_caller`.
    """
    callers = [
        Submitter(deployment, Random(rng.random()), first_caller + number)
        for number in range(SUBMITTER_COUNT)
    ]
    for _ in range(SILENCES_AFTER_FAULTS):
        until = now_ms() + LOAD_MS + SILENCE_MS[1] + CALM_MS
        tasks = [run_coroutine(caller.run(until)) for caller in callers]
        await sleep(deployment.reactor, LOAD_MS)
        fault = rng.choice((silence_store_links, silence_store_links, mute_store))
        await fault(deployment, rng, log)
        await gatherResults(tasks, consumeErrors=True)
    return list(callers)
