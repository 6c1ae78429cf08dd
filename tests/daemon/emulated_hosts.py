"""Entry hosts in one process: emulated time, store and network, and hosts that can be busy."""

from collections import Counter
from collections.abc import Callable, Iterable
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from quetzallock_core.cells.models import Bounds, JobSpec
from quetzallock_daemon.cells import service as service_module
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.const import OWNER_REQUEST_TIMEOUT_MS
from quetzallock_daemon.cells.messages import OwnerAnswer, OwnerRequest
from quetzallock_daemon.cells.peers import PeerLostError
from quetzallock_daemon.cells.ports import ConfigPage, EntryPage, Membership
from quetzallock_daemon.cells.service import Adapters, HostService, HostSettings
from quetzallock_daemon.helpers import sleep
from quetzallock_platform.requests import encode_answer, read_request
from quetzallock_platform_standin import store as store_module
from quetzallock_platform_standin.store import PARTITION_COUNT, StandinStore

STEP_MS = 20
CALL_MS = 5
LAST_PARTITION = PARTITION_COUNT - 1
TOPIC = "keyed.cells"
GROUP = "owners"
FRONT_PORT = 1


class EmulatedPort:
    """A listening port.

    Attributes:
        factory: Factory of its connections.
        is_open: Whether it accepts connections.
    """

    def __init__(self, factory: Any) -> None:
        self.factory = factory
        self.is_open = True

    def stopListening(self) -> None:  # noqa: N802
        """Accept no more connections."""
        self.is_open = False


class HostReactor(Clock):
    """Timers of one host, which fire in its turns."""

    def __init__(self, hosts: "EmulatedHosts", name: str) -> None:
        super().__init__()
        self._hosts = hosts
        self.name = name

    def listenTCP(self, port: int, factory: Any, **_: Any) -> "EmulatedPort":  # noqa: N802
        if callable(factory):
            self._hosts.request_handlers[self.name] = factory
        elif port == FRONT_PORT:
            self._hosts.fronts[self.name] = EmulatedPort(factory)
            return self._hosts.fronts[self.name]
        return EmulatedPort(factory)

    def addSystemEventTrigger(self, *_: Any) -> None:  # noqa: N802
        """Ignore the trigger: the reactor is never shut down."""


class EmulatedPeers:
    """Requests to the owners of cells; `hosts` delivers them in turns of the receiving host."""

    hosts: "EmulatedHosts"

    def __init__(self, reactor: HostReactor, _counters: Counter[str]) -> None:
        self._reactor = reactor
        self._sender = reactor.name

    def send(self, address: str, request: OwnerRequest) -> "Deferred[OwnerAnswer]":
        answered: Deferred[OwnerAnswer] = Deferred()
        name = address.partition(":")[0]

        def reply(answer: OwnerAnswer) -> None:
            self._reactor.callLater(CALL_MS / 1_000, complete, answer)

        def complete(answer: OwnerAnswer) -> None:
            if not answered.called:
                answered.callback(answer)

        def time_out() -> None:
            if not answered.called:
                answered.errback(PeerLostError("no answer"))

        if self._sender not in self.hosts.cut_off:
            handler = self.hosts.request_handlers[name]
            self.hosts.reactors[name].callLater(CALL_MS / 1_000, handler, request, reply)
        self._reactor.callLater(OWNER_REQUEST_TIMEOUT_MS / 1_000, time_out)
        return answered


class EmulatedStore:
    """The store as one host sees it: it acts at once, and the host reads the answer in its turn."""

    def __init__(self, hosts: "EmulatedHosts", name: str) -> None:
        self._hosts = hosts
        self._name = name
        self._reactor = hosts.reactors[name]

    async def _pause(self) -> None:
        await sleep(self._reactor, CALL_MS)

    async def join(self, member: str, generation: int, ttl_ms: int) -> Membership:
        body = {"group": GROUP, "member": member, "topics": [TOPIC]}
        answer = self._hosts.store.join(body | {"ttlMs": ttl_ms, "generation": generation})
        await self._pause()
        cells = frozenset(LAST_PARTITION - row[1] for row in answer["parts"])
        return Membership(answer["generation"], cells)

    async def leave(self, member: str) -> None:
        self._hosts.store.leave({"group": GROUP, "member": member})
        await self._pause()

    async def read_owners(self) -> dict[int, str]:
        rows = self._hosts.store.list_owners({"group": GROUP}, TOPIC)["parts"]
        await self._pause()
        return {LAST_PARTITION - part: owner for _, part, owner, _ in rows}

    async def fence(self, cell: int, epoch: int) -> None:
        await self._pause()
        self._hosts.takeovers.append(self._name)
        self._hosts.last_owner = self._name

    async def load(self, cell: int) -> dict[str, bytes]:
        self._hosts.keep_busy(self._name, self._hosts.loading_ms)
        await self._pause()
        return {}

    async def append(self, *_: Any) -> None:
        await sleep(self._reactor, self._hosts.append_ms)

    async def read_entries(self) -> EntryPage:
        await self._pause()
        return EntryPage((), 0)

    async def read_entry_changes(self, offset: int) -> EntryPage:
        await self._pause()
        return EntryPage((), offset)

    async def read_configuration(self, timeout_ms: int) -> ConfigPage:
        await self._pause()
        return ConfigPage(None, 0)

    async def read_configuration_changes(
        self, offset: int, wait_ms: int, timeout_ms: int
    ) -> ConfigPage:
        await sleep(self._reactor, wait_ms)
        return ConfigPage(None, offset)


class EmulatedHosts:
    """Hosts that share one cell.

    Attributes:
        now: Time in ms.
        grace_ms: Time between SIGTERM and SIGKILL.
        append_ms: How long an append to the journal takes.
        fronts: The hosts' ports for callers.
        loading_ms: How long a host that loads the cell does nothing else.
        owner_turn_ms: How long the owner is busy with each turn, in which it handles all input.
        takeovers: Names of the hosts that have taken the cell over, in order.
        last_owner: The host that was the last to take the cell over. A host to which the store has
            assigned the cell has no work for it before it has learned of that.
        services: The hosts by their names.
        cut_off: Names of the hosts whose requests to other hosts are lost.
    """

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        powers: Iterable[int],
        bounds: Bounds | None = None,
        grace_ms: int = 6_000,
    ) -> None:
        monkeypatch.setattr(BootClock, "now", lambda _: self.now)
        monkeypatch.setattr(store_module, "_now_ms", lambda: self.now)
        monkeypatch.setattr(service_module, "make_request_factory", lambda handler: handler)
        peers = type("BoundPeers", (EmulatedPeers,), {"hosts": self})
        monkeypatch.setattr(service_module, "Peers", peers)
        self.now = 1_000_000
        self.bounds = bounds or Bounds()
        self.grace_ms = grace_ms
        self.append_ms = CALL_MS
        self.fronts: dict[str, EmulatedPort] = {}
        self.loading_ms = 0
        self.owner_turn_ms = 0
        self.takeovers: list[str] = []
        self.last_owner = ""
        self.cut_off: set[str] = set()
        self.store = StandinStore()
        self.request_handlers: dict[str, Callable[..., None]] = {}
        self.reactors: dict[str, HostReactor] = {}
        self.services: dict[str, HostService] = {}
        self._busy_until: dict[str, int] = {}
        for number, power in enumerate(powers):
            self.add_host(f"h{number}", power)

    def add_host(self, name: str, power: int) -> None:
        """Start a host."""
        reactor = self.reactors[name] = self._make_reactor(name)
        reactor.advance(self.now / 1_000)
        store = self._make_store(name)
        unused: Any = SimpleNamespace()
        log_handler: Any = SimpleNamespace(write_buffered_lines=lambda: None)
        settings = HostSettings(
            host=name,
            front=f"{name}:{FRONT_PORT}",
            ready=f"{name}:2",
            peers=f"{name}:3",
            metrics=f"{name}:4",
            metrics_path="/metrics",
            grace_ms=self.grace_ms,
            cells=1,
            bounds=self.bounds,
            power=power,
        )
        adapters = Adapters(
            store=store,
            workers=unused,
            decode_job=lambda job, _: JobSpec(job, "", ()),
            read_request=read_request,
            encode_answer=encode_answer,
            ready_path="/ready",
        )
        service = self.services[name] = HostService(
            reactor, settings, adapters, Counter(), log_handler
        )
        service.start()

    def _make_reactor(self, name: str) -> HostReactor:
        return HostReactor(self, name)

    def _make_store(self, name: str) -> Any:
        return EmulatedStore(self, name)

    @property
    def owner(self) -> str:
        """Name of the host to which the store has assigned the cell."""
        rows = self.store.list_owners({"group": GROUP}, TOPIC)["parts"]
        return next((str(row[2]).partition("|")[0] for row in rows if row[1] == LAST_PARTITION), "")

    def assign_cell(self, name: str) -> None:
        """Assign the cell to a member at once, which gives its other partitions up for it."""
        group = self.store.get_group(GROUP)
        member = next(member for member in group.members if member.startswith(f"{name}|"))
        previous = group.targets[LAST_PARTITION]
        for part, owner in group.targets.items():
            if owner == member:
                group.targets[part] = previous
        group.targets[LAST_PARTITION] = member
        group.owners = dict(group.targets)
        group.generation += 1

    def keep_busy(self, name: str, ms: int) -> None:
        """Let a host take no turn for `ms` milliseconds."""
        self._busy_until[name] = max(self._busy_until.get(name, 0), self.now + ms)

    def run(self, ms: int) -> None:
        """Let time pass in steps."""
        until = self.now + ms
        while self.now < until:
            self.now += STEP_MS
            self._step()

    def _step(self) -> None:
        """Let each host take a turn unless it is busy."""
        for name, reactor in self.reactors.items():
            if self._busy_until.get(name, 0) > self.now:
                continue
            if name == self.last_owner:
                self.keep_busy(name, self.owner_turn_ms)
            reactor.advance(self.now / 1_000 - reactor.seconds())
