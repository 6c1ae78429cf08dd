"""Hosts whose calls to the store pass through the product's client over emulated connections."""

from collections import Counter
from collections.abc import Callable, Iterable
from copy import deepcopy
from heapq import heappop, heappush
from typing import Any, Final
from urllib.parse import parse_qsl

import httptools
import pytest
from twisted.internet.error import ConnectionLost, TimeoutError
from twisted.python.failure import Failure

from quetzallock_daemon.transport import HttpClient
from quetzallock_platform.store import CELLS_TOPIC, CONFIG_KEY, CONFIG_TOPIC, PlatformStore
from quetzallock_platform.values import encode_json, parse_json
from quetzallock_platform_standin.store import PARTITION_COUNT, StandinStore

from .emulated_hosts import CALL_MS, EmulatedHosts, HostReactor

STORE_ADDRESS: Final = "127.0.0.1:80"
SLOW_STORE_MS: Final = 400
NEVER_MS: Final = 2**62
"""Time until which a host that does not run takes no turn."""

MAX_TURNS: Final = 8
"""Maximum number of turns that a reactor takes at one moment, for calls that follow on input."""


class Timeline:
    """Actions in the order of their times; those of one time in the order in which they came."""

    def __init__(self) -> None:
        self._actions: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0

    def add(self, at: int, action: Callable[[], None]) -> None:
        """Let `action` run at a time in ms."""
        self._count += 1
        heappush(self._actions, (at, self._count, action))

    def run(self, now: int) -> bool:
        """Run what is due, and return whether anything was."""
        due = []
        while self._actions and self._actions[0][0] <= now:
            due.append(heappop(self._actions)[2])
        for action in due:
            action()
        return bool(due)


class LinkedReactor(HostReactor):
    """A host's reactor, which fires timers and then reads input in each turn.

    Attributes:
        link: The host's link to the store, which opens the connections.
    """

    def __init__(self, hosts: "LinkedHosts", name: str) -> None:
        super().__init__(hosts, name)
        self.link = StoreLink(hosts)

    def advance(self, amount: float) -> None:
        self.rightNow += amount
        for _ in range(MAX_TURNS):
            has_fired = self._fire_timers()
            has_read = self.link.input.run(self.link.hosts.now)
            if not has_fired and not has_read:
                return

    def _fire_timers(self) -> bool:
        due = [call for call in self.calls if call.getTime() <= self.rightNow]
        for call in due:
            if call.active():
                self.calls.remove(call)
                call.called = 1
                call.func(*call.args, **call.kw)
        return bool(due)

    def connectTCP(self, _ip: str, _port: int, factory: Any, timeout: float) -> None:  # noqa: N802
        self.link.connect(factory, timeout)


class StoreLink:
    """The connections between a host and the store, and the faults on them.

    Attributes:
        input: What arrives at the host, which reads it in its turns.
        is_silent: Data is dropped in both directions. All connections of that time stay silent.
        loses_answers: Answers are dropped, each with what follows on its connection.
        is_cut: Data is held back, and no connection is established.
        is_refused: The store answers this host's calls with 503.
    """

    def __init__(self, hosts: "LinkedHosts") -> None:
        self.hosts = hosts
        self.input = Timeline()
        self.is_silent = False
        self.loses_answers = False
        self.is_cut = False
        self.is_refused = False
        self._channels: set[Channel] = set()
        self._held_back: list[Callable[[], None]] = []

    def connect(self, factory: Any, timeout_s: float) -> None:
        """Establish a connection, or let the attempt time out while the link is cut."""
        now = self.hosts.now
        if self.is_cut:
            error = Failure(TimeoutError())
            failed_at = now + int(timeout_s * 1_000)
            self.input.add(failed_at, lambda: factory.clientConnectionFailed(None, error))
            return
        channel = Channel(self, factory.buildProtocol(None), self.is_silent)
        self._channels.add(channel)
        self.input.add(now + CALL_MS, channel.establish)

    def remove(self, channel: "Channel") -> None:
        """Forget a closed connection."""
        self._channels.discard(channel)

    def silence(self) -> None:
        """Silence all connections; those opened from now on work."""
        for channel in self._channels:
            channel.is_silent = True

    def reset(self) -> None:
        """Abort all connections."""
        for channel in list(self._channels):
            channel.abortConnection()

    def send(self, queue: Timeline, action: Callable[[], None]) -> None:
        """Let `action` run at the other side after the latency, or hold it back during a cut."""
        if self.is_cut:
            self._held_back.append(lambda: self.send(queue, action))
        else:
            queue.add(self.hosts.now + CALL_MS, action)

    def end_cut(self) -> None:
        """Carry data again, first what was held back."""
        self.is_cut = False
        held_back, self._held_back = self._held_back, []
        for send in held_back:
            send()


class Channel:
    """A connection to the store, and the transport of the host's side.

    Attributes:
        is_silent: It never carries data again.
        connected: Whether it is open.
    """

    def __init__(self, link: StoreLink, protocol: Any, is_silent: bool) -> None:
        self.link = link
        self.is_silent = is_silent
        self.connected = True
        self._protocol = protocol

    def establish(self) -> None:
        """Report the connection to the client."""
        if self.connected:
            self._protocol.makeConnection(self)

    def setTcpNoDelay(self, _enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Send a whole request."""
        self.write(data)
        return len(data)

    def write(self, data: bytes) -> None:
        """Send a whole request."""
        if self.is_silent or not self.connected:
            return
        hosts = self.link.hosts
        self.link.send(hosts.arrivals, lambda: hosts.server.handle(self, StoreRequest(data)))

    def answer(self, status: int, body: bytes) -> None:
        """Send the store's answer to the host, unless it is lost."""
        if self.link.loses_answers:
            self.is_silent = True
        head = f"HTTP/1.1 {status} Status\r\nContent-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        self.link.send(self.link.input, lambda: self._deliver(data))

    def _deliver(self, data: bytes) -> None:
        if self.connected and not self.is_silent:
            self._protocol.dataReceived(data)

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection; the client learns of it in a later turn."""
        if not self.connected:
            return
        self.connected = False
        self.link.remove(self)
        lost = Failure(ConnectionLost())
        self.link.input.add(self.link.hosts.now, lambda: self._protocol.connectionLost(lost))

    loseConnection = abortConnection  # noqa: N815


class StoreRequest:
    """A request to the store, decoded.

    Attributes:
        path: Its path.
        query: The parameters of its query.
        body: Its body.
    """

    def __init__(self, data: bytes) -> None:
        self.body = b""
        self._url = b""
        httptools.HttpRequestParser(self).feed_data(data)
        url = httptools.parse_url(self._url)
        self.path = url.path.decode()
        self.query = dict(parse_qsl((url.query or b"").decode()))

    def on_url(self, url: bytes) -> None:
        """Store the target of the request."""
        self._url += url

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self.body += body


class StoreServer:
    """Answers calls from the stand-in's store in the emulated time.

    Attributes:
        mode: `up`, `down`, `mute` or `slow`, as in the stand-in.
    """

    def __init__(self, hosts: "LinkedHosts") -> None:
        self.mode = "up"
        self._hosts = hosts
        self._store = hosts.store
        self._stale: StandinStore | None = None
        self._waiting: list[tuple[Channel, StoreRequest, int]] = []

    def freeze_reads(self) -> None:
        """Answer reads of the configuration as of now from now on."""
        self._stale = StandinStore()
        partition = self._stale.get_partition(CONFIG_TOPIC, 0)
        current = self._store.get_partition(CONFIG_TOPIC, 0)
        partition.records, partition.newest = deepcopy((current.records, current.newest))
        partition.first = current.first

    def end_freeze(self) -> None:
        """Answer reads by the newest records again."""
        self._stale = None

    def handle(self, channel: Channel, request: StoreRequest) -> None:
        """Handle a call according to the mode of the store."""
        if not channel.connected or self.mode == "mute":
            return
        if self.mode == "down" or channel.link.is_refused:
            channel.answer(503, b"")
        elif self.mode == "slow":
            at = self._hosts.now + SLOW_STORE_MS
            self._hosts.arrivals.add(at, lambda: self._execute(channel, request))
        else:
            self._execute(channel, request)

    def _execute(self, channel: Channel, request: StoreRequest) -> None:
        if request.path == "/log-read":
            until = self._hosts.now + int(request.query.get("waitMs", "0"))
            self._read(channel, request, until)
            return
        status, answer = self._call(request)
        channel.answer(status, encode_json(answer))

    def _call(self, request: StoreRequest) -> tuple[int, dict[str, Any]]:
        store, query = self._store, request.query
        match request.path:
            case "/log-append":
                return store.append(query, request.body)
            case "/log-newest":
                return 200, self._choose_replica(query).read_newest(query)
            case "/log-owners":
                return 200, store.list_owners(query, CELLS_TOPIC)
            case "/log-join":
                return 200, store.join(parse_json(request.body))
            case "/log-leave":
                return 200, store.leave(parse_json(request.body))
        return 404, {}

    def _choose_replica(self, query: dict[str, str]) -> StandinStore:
        return self._stale if self._stale and query["topic"] == CONFIG_TOPIC else self._store

    def _read(self, channel: Channel, request: StoreRequest, until: int) -> None:
        """Answer a read, or let it wait; one from beyond the end is answered at once."""
        query = request.query
        store = self._choose_replica(query)
        at_end = int(query["from"]) == store.get_partition(query["topic"], 0).end
        if at_end and self._hosts.now < until:
            self._waiting.append((channel, request, until))
            return
        status, answer = store.read(query)
        channel.answer(status, answer if isinstance(answer, bytes) else encode_json(answer))

    def silence_waiting_reads(self, link: StoreLink) -> None:
        """Silence the connections of a host on which reads wait."""
        for channel, _, _ in self._waiting:
            channel.is_silent = channel.is_silent or channel.link is link

    def wake_reads(self) -> None:
        """Look at the waiting reads again."""
        waiting, self._waiting = self._waiting, []
        for channel, request, until in waiting:
            if channel.connected:
                self._read(channel, request, until)


class LinkedHosts(EmulatedHosts):
    """Hosts whose calls to the store go through `PlatformStore` and `HttpClient`.

    Attributes:
        arrivals: What arrives at the store.
        server: The store's side of the connections.
        clients: The HTTP client of each host.
        boots: Number of boots of each host.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, powers: Iterable[int]) -> None:
        self.arrivals = Timeline()
        self.clients: dict[str, HttpClient] = {}
        self.boots: Counter[str] = Counter()
        self._killed: set[str] = set()
        super().__init__(monkeypatch, powers)
        self.server = StoreServer(self)

    def _make_reactor(self, name: str) -> LinkedReactor:
        self.boots[name] += 1
        return LinkedReactor(self, name)

    def _make_store(self, name: str) -> PlatformStore:
        self.clients[name] = HttpClient(self.reactors[name], Counter())
        return PlatformStore(self.clients[name], STORE_ADDRESS, PARTITION_COUNT)

    def get_link(self, name: str) -> StoreLink:
        """Return a host's link to the store."""
        reactor: Any = self.reactors[name]
        return reactor.link

    def write_configuration(self, data: bytes) -> None:
        """Write a record of the configuration as the operator does."""
        self.store.put(CONFIG_TOPIC, CONFIG_KEY, data)

    def kill(self, name: str) -> None:
        """Kill a host, whose connections close."""
        self.get_link(name).reset()
        self._killed.add(name)
        self._busy_until[name] = NEVER_MS

    def restart(self, name: str, power: int) -> None:
        """Start a killed host again."""
        self._killed.discard(name)
        self.resume(name)
        self.add_host(name, power)

    def suspend(self, name: str) -> None:
        """Let a host take no turn until it is resumed; what arrives waits."""
        self._busy_until.setdefault(name, NEVER_MS)

    def resume(self, name: str) -> None:
        """Let a suspended host take turns again, unless it was killed."""
        if name not in self._killed:
            self._busy_until.pop(name, None)

    def is_running(self, name: str) -> bool:
        """Return whether a host takes turns now."""
        return self._busy_until.get(name, 0) <= self.now

    def _step(self) -> None:
        self.arrivals.run(self.now)
        self.server.wake_reads()
        super()._step()
