"""Faults of a soak, each a coroutine that does harm for a while and then lets things heal."""

import signal
from collections.abc import Awaitable, Callable
from random import Random
from typing import Final

from quetzallock_daemon.helpers import sleep

from .proxy import MODES
from .world import Host, World, now_ms

Fault = Callable[[World, Random], Awaitable[None]]
FAULTS: Final[dict[str, Fault]] = {}
LONGEST_MS: Final = 6_000
SHORTEST_MS: Final = 200
MOST_GAP_MS: Final = 1_500


def register(fault: Fault) -> Fault:
    """Add a fault to the registry under the name of its function."""
    FAULTS[fault.__name__] = fault
    return fault


def _draw_ms(rng: Random) -> int:
    return int(SHORTEST_MS * (LONGEST_MS / SHORTEST_MS) ** rng.random())


def _draw_host(world: World, rng: Random) -> Host | None:
    calm = [host for host in world.hosts if host.is_running and not host.is_troubled]
    return rng.choice(calm) if calm else None


@register
async def pause_host(world: World, rng: Random) -> None:
    """A host stands still and goes on."""
    host = _draw_host(world, rng)
    if host is None:
        return
    host.is_troubled = True
    host.send(signal.SIGSTOP)
    await sleep(world.reactor, _draw_ms(rng))
    host.send(signal.SIGCONT)
    host.is_troubled = False


@register
async def kill_host(world: World, rng: Random) -> None:
    """A host is killed and started again."""
    await _end_host(world, rng, signal.SIGKILL)


@register
async def stop_host(world: World, rng: Random) -> None:
    """A host is told to stop and started again."""
    await _end_host(world, rng, signal.SIGTERM)


async def _end_host(world: World, rng: Random, number: signal.Signals) -> None:
    host = _draw_host(world, rng)
    if host is None:
        return
    host.is_troubled = True
    host.send(number)
    while host.is_running:
        await sleep(world.reactor, 50)
    await sleep(world.reactor, _draw_ms(rng) // 2)
    host.start()
    host.is_troubled = False


@register
async def kill_all_hosts(world: World, rng: Random) -> None:
    """All hosts are killed at once and started again."""
    hosts = [host for host in world.hosts if host.is_running and not host.is_troubled]
    for host in hosts:
        host.is_troubled = True
        host.send(signal.SIGKILL)
    await sleep(world.reactor, _draw_ms(rng) // 4)
    for host in hosts:
        host.start()
        host.is_troubled = False


@register
async def reload_host(world: World, rng: Random) -> None:
    """A host is told to read its settings again."""
    host = _draw_host(world, rng)
    if host is not None:
        host.send(signal.SIGHUP)


@register
async def trouble_store_link(world: World, rng: Random) -> None:
    """The connections of one host to the store are in trouble."""
    link = rng.choice(world.hosts).link
    link.set_mode(rng.choice(MODES[1:]), rng.randrange(50, 800))
    await sleep(world.reactor, _draw_ms(rng))
    link.set_mode("open")


@register
async def trouble_worker_links(world: World, rng: Random) -> None:
    """The connections to one worker, or to some, are in trouble."""
    links = rng.sample(list(world.worker_links.values()), rng.choice((1, 1, 2)))
    mode, delay_ms = rng.choice(MODES[1:]), rng.randrange(50, 800)
    for link in links:
        link.set_mode(mode, delay_ms)
    await sleep(world.reactor, _draw_ms(rng))
    for link in links:
        link.set_mode("open")


@register
async def trouble_store(world: World, rng: Random) -> None:
    """The store is down, mute, slow or loses its answers."""
    await world.change("mode", rng.choice(("down", "mute", "slow", "lossy")))
    await sleep(world.reactor, _draw_ms(rng))
    await world.change("mode", "up")


@register
async def compact_store(world: World, rng: Random) -> None:
    """The store drops the history of what the operator or the workers wrote."""
    await world.change("compact", rng.choice(("keyed.op", "keyed.servers")))


@register
async def deal_anew(world: World, rng: Random) -> None:
    """The store deals all partitions anew."""
    await world.change("rebalance", str(rng.randrange(1_000)))


@register
async def crash_worker(world: World, rng: Random) -> None:
    """A worker crashes and starts again under its id."""
    worker = rng.choice(sorted(world.worker_links))
    await world.change("crash", worker)
    await sleep(world.reactor, _draw_ms(rng))
    await world.change("revive", worker)


@register
async def change_configuration(world: World, rng: Random) -> None:
    """The operator publishes a version of the configuration."""
    await world.change("configuration", "next")


async def make_trouble(world: World, rng: Random, until_ms: float, log: list[str]) -> None:
    """Draw fault after fault until the time is over."""
    while now_ms() < until_ms:
        name = rng.choice(sorted(FAULTS))
        log.append(f"{now_ms():.0f} {name}")
        await FAULTS[name](world, rng)
        log.append(f"{now_ms():.0f} {name} is over")
        await sleep(world.reactor, rng.randrange(MOST_GAP_MS))


async def heal(world: World) -> None:
    """Undo what may still be wrong."""
    await world.change("mode", "up")
    for link in [*world.worker_links.values(), *(host.link for host in world.hosts)]:
        link.set_mode("open")
    for host in world.hosts:
        if not host.is_running:
            host.start()
        await world.wait_ready(host)
