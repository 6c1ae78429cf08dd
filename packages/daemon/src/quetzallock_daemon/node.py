"""Runs one entry host: executes its effects, passes events to it and ticks its clock."""

import logging
from collections.abc import Callable
from random import SystemRandom
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, HTTPConnectionPool

from quetzallock_core.clock import Clock, MonotonicClock
from quetzallock_core.core import Identity
from quetzallock_core.effects import Answer, Append, CallWorker, Effect, Read, Send
from quetzallock_core.host import EntryHost, make_host
from quetzallock_core.placement.models import WorkersListed
from quetzallock_core.requests.models import Dispatch

from .const import (
    BUSY_TICK_INTERVAL_MS,
    HOST_LIST_INTERVAL_MS,
    IDLE_TICK_INTERVAL_MS,
    SECOND_MS,
    STATSD_INTERVAL_MS,
)
from .helpers import run_coroutine
from .peers import PeerLinks
from .platform.client import PlatformClient
from .settings import Settings
from .telemetry.metrics import StatsdReporter
from .tickets import Tickets
from .workers.client import WorkerClient

_LOGGER = logging.getLogger(__name__)
_CONTROL_CONNECTIONS_PER_ADDRESS = 2
_IDLE_CONNECTION_TIMEOUT_S = 30


class Node:
    """An entry host with its network clients; only the reactor's thread uses the host's state."""

    def __init__(self, reactor: Any, settings: Settings, clock: Clock | None = None) -> None:
        self.settings = settings
        self.clock = clock or MonotonicClock()
        self.tickets = Tickets()
        incarnation = SystemRandom().getrandbits(62)
        self.identity = Identity(
            settings.host, incarnation, settings.listen.peers, settings.data_centre
        )
        self.host: EntryHost = make_host(
            self.identity, settings.domains, self.clock, SystemRandom()
        )
        self.counters = self.host.core.counters
        self.on_dispatch: Callable[[Dispatch], None] = _reject_dispatch
        self._reactor = reactor
        self._next_tick: Any = None
        self._addresses: dict[str, str] = {}
        agent = make_agent(reactor, _CONTROL_CONNECTIONS_PER_ADDRESS)
        self._platform = PlatformClient(agent, settings.platform, self.clock, self.fire)
        self._workers = WorkerClient(agent, self.clock, self.find_worker_address, self.fire)
        self.links = PeerLinks(reactor, self.identity, self.counters)
        self._statsd_reporter = StatsdReporter(settings.telemetry, self.counters)
        self._loops = [
            (LoopingCall(lambda: run_coroutine(self._list_workers())), HOST_LIST_INTERVAL_MS),
            (LoopingCall(self._statsd_reporter.flush), STATSD_INTERVAL_MS),
        ]

    def start(self) -> None:
        """Start the timers and periodic tasks."""
        self._tick()
        for loop, interval_ms in self._loops:
            loop.clock = self._reactor
            loop.start(interval_ms / SECOND_MS).addErrback(self._on_loop_failed)

    def stop(self) -> None:
        """Stop the timers and periodic tasks, send the last counters and close the peer links."""
        if self._next_tick is not None and self._next_tick.active():
            self._next_tick.cancel()
        for loop, _ in self._loops:
            if loop.running:
                loop.stop()
        self._statsd_reporter.flush()
        self.links.close()

    def find_worker_address(self, worker: str) -> str | None:
        """Return the `ip:port` of a worker, or None if the host list lacks it."""
        return self._addresses.get(worker)

    def fire(self, event: object, source: str = "") -> None:
        """Pass an event to the host and execute the effects that follow."""
        self.host.core.fire(event, source)
        self.run_effects()

    def run_effects(self) -> None:
        """Execute the effects that the host has requested."""
        effects = self.host.core.drain()
        while effects:
            for effect in effects:
                self._run_effect(effect)
            effects = self.host.core.drain()

    def _run_effect(self, effect: Effect | Dispatch) -> None:
        match effect:
            case Send(to, message):
                self._send(to, message)
            case CallWorker():
                run_coroutine(self._workers.call(effect))
            case Append():
                run_coroutine(self._platform.append(effect))
            case Read():
                run_coroutine(self._platform.read(effect))
            case Answer(ticket, body):
                self.tickets.deliver(ticket, body)
            case Dispatch():
                self.on_dispatch(effect)

    def _send(self, to: str, message: object) -> None:
        if to == self.identity.host:
            self._reactor.callLater(0, self.fire, message, to)
            return
        address = to if ":" in to else self.host.members.address_of(to)
        if address is not None:
            self.links.send(address, message)

    def _tick(self) -> None:
        """Tick the host, at the short interval only while requests are open."""
        self.host.core.tick()
        self.run_effects()
        interval_ms = (
            BUSY_TICK_INTERVAL_MS if self.host.router.open_requests else IDLE_TICK_INTERVAL_MS
        )
        self._next_tick = self._reactor.callLater(interval_ms / SECOND_MS, self._tick)

    async def _list_workers(self) -> None:
        workers = await self._platform.list_workers()
        if workers is None:
            self.counters["platform.list_failed"] += 1
            return
        self._addresses = {info.worker: info.address for info in workers}
        self.fire(WorkersListed(workers))

    def _on_loop_failed(self, failure: object) -> None:
        _LOGGER.critical("periodic task failed, stopping the daemon: %s", failure)
        self._reactor.stop()


def make_agent(reactor: Any, connections: int) -> Agent:
    """Return an HTTP client that keeps up to `connections` idle connections for each address.

    It never retries a request by itself: only the router can decide whether that is safe.
    """
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = connections
    pool.cachedConnectionTimeout = _IDLE_CONNECTION_TIMEOUT_S
    pool.retryAutomatically = False
    return Agent(reactor, connectTimeout=1, pool=pool)


def _reject_dispatch(dispatch: Dispatch) -> None:
    raise RuntimeError(f"no backend client is registered for {dispatch}")
