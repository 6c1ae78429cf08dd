"""Faults of a soak: coroutines that inject a fault, wait and remove it.

A fault is logged under the name of its function. Seeds draw from the sorted names: a fault that is
added, removed or moved in that order changes the faults of recorded seeds.
"""

import signal
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from quetzallock_daemon.helpers import sleep

from .deployment import Host, SoakDeployment, now_ms
from .fault_log import FaultLog, Span
from .proxy import MODES

Fault = Callable[[SoakDeployment, Random], Awaitable[None]]
FAULTS: Final[dict[str, Fault]] = {}
MAX_FAULT_MS: Final = 6_000
MIN_FAULT_MS: Final = 200
MAX_GAP_MS: Final = 1_500
QUIET_CHECK_INTERVAL_MS: Final = 100


def register(fault: Fault) -> Fault:
    """Register a fault under the name of its function."""
    FAULTS[fault.__name__] = fault
    return fault


def draw_duration_ms(rng: Random) -> int:
    """Return how long a fault lasts; most last shorter than the mean."""
    return int(MIN_FAULT_MS * (MAX_FAULT_MS / MIN_FAULT_MS) ** rng.random())


def _draw_host(deployment: SoakDeployment, rng: Random) -> Host | None:
    healthy = [host for host in deployment.hosts if host.is_running and not host.has_fault]
    return rng.choice(healthy) if healthy else None


@register
async def pause_host(deployment: SoakDeployment, rng: Random) -> None:
    """Suspend a host and resume it."""
    host = _draw_host(deployment, rng)
    if host is None:
        return
    host.has_fault = True
    host.send_signal(signal.SIGSTOP)
    await sleep(deployment.reactor, draw_duration_ms(rng))
    host.send_signal(signal.SIGCONT)
    host.has_fault = False


@register
async def kill_host(deployment: SoakDeployment, rng: Random) -> None:
    """Kill a host and restart it."""
    await _end_host(deployment, rng, signal.SIGKILL)


@register
async def stop_host(deployment: SoakDeployment, rng: Random) -> None:
    """Stop a host by SIGTERM and restart it."""
    await _end_host(deployment, rng, signal.SIGTERM)


async def _end_host(deployment: SoakDeployment, rng: Random, signal_number: signal.Signals) -> None:
    host = _draw_host(deployment, rng)
    if host is None:
        return
    host.has_fault = True
    host.send_signal(signal_number)
    while host.is_running:
        await sleep(deployment.reactor, 50)
    await sleep(deployment.reactor, draw_duration_ms(rng) // 2)
    host.start()
    host.has_fault = False


@register
async def kill_all_hosts(deployment: SoakDeployment, rng: Random) -> None:
    """Kill all hosts at once and restart them."""
    hosts = [host for host in deployment.hosts if host.is_running and not host.has_fault]
    for host in hosts:
        host.has_fault = True
        host.send_signal(signal.SIGKILL)
    await sleep(deployment.reactor, draw_duration_ms(rng) // 4)
    for host in hosts:
        host.start()
        host.has_fault = False


@register
async def reload_host(deployment: SoakDeployment, rng: Random) -> None:
    """Make a host reload its settings."""
    host = _draw_host(deployment, rng)
    if host is not None:
        host.send_signal(signal.SIGHUP)


@register
async def trouble_store_link(deployment: SoakDeployment, rng: Random) -> None:
    """Set a faulty mode on the connections of one host to the store."""
    host = rng.choice(deployment.hosts)
    host.set_store_link(rng.choice(MODES[1:]), rng.randrange(50, 800))
    await sleep(deployment.reactor, draw_duration_ms(rng))
    host.set_store_link("open")


@register
async def trouble_worker_links(deployment: SoakDeployment, rng: Random) -> None:
    """Set a faulty mode on the connections to one or two workers."""
    proxies = rng.sample(list(deployment.worker_proxies.values()), rng.choice((1, 1, 2)))
    mode, delay_ms = rng.choice(MODES[1:]), rng.randrange(50, 800)
    for proxy in proxies:
        proxy.set_mode(mode, delay_ms)
    await sleep(deployment.reactor, draw_duration_ms(rng))
    for proxy in proxies:
        proxy.set_mode("open")


@register
async def trouble_store(deployment: SoakDeployment, rng: Random) -> None:
    """Make the store refuse calls, not answer, answer slowly or lose answers."""
    await deployment.set_store_mode(rng.choice(("down", "mute", "slow", "lossy")))
    await sleep(deployment.reactor, draw_duration_ms(rng))
    await deployment.set_store_mode("up")


@register
async def compact_store(deployment: SoakDeployment, rng: Random) -> None:
    """Compact the topic of the operator or of the workers: only the newest records stay."""
    await deployment.call_standin("compact", rng.choice(("keyed.op", "keyed.servers")))


@register
async def force_rebalance(deployment: SoakDeployment, rng: Random) -> None:
    """Make the store reassign all partitions."""
    await deployment.call_standin("rebalance", str(rng.randrange(1_000)))


@register
async def crash_worker(deployment: SoakDeployment, rng: Random) -> None:
    """Crash a worker and restart it under the same id."""
    worker = rng.choice(sorted(deployment.worker_proxies))
    await deployment.call_standin("crash", worker)
    await sleep(deployment.reactor, draw_duration_ms(rng))
    await deployment.call_standin("revive", worker)


@register
async def change_configuration(deployment: SoakDeployment, rng: Random) -> None:
    """Publish the next version of the configuration."""
    await deployment.publish_configuration()


async def inject_faults(
    deployment: SoakDeployment, rng: Random, until: float, log: FaultLog, quiet: Span
) -> None:
    """Inject random faults one after the other until `until`; none begins in the span `quiet`."""
    while now_ms() < until:
        await wait_for_end(deployment, quiet)
        name = rng.choice(sorted(FAULTS))
        with log.record(name):
            await FAULTS[name](deployment, rng)
        await sleep(deployment.reactor, rng.randrange(MAX_GAP_MS))


async def wait_for_end(deployment: SoakDeployment, quiet: Span) -> None:
    """Wait for the end of a span if it has begun."""
    begin, end = quiet
    while begin <= now_ms() < end:
        await sleep(deployment.reactor, QUIET_CHECK_INTERVAL_MS)


async def heal(deployment: SoakDeployment) -> None:
    """Remove all faults and wait until all hosts are ready."""
    await deployment.set_store_mode("up")
    await deployment.call_standin("orders", "0")
    for proxy in deployment.worker_proxies.values():
        proxy.set_mode("open")
    for host in deployment.hosts:
        host.set_store_link("open")
    for host in deployment.hosts:
        if not host.is_running:
            host.start()
        await deployment.wait_ready(host)
