"""Emulated time and TCP connections, which can go silent, to the store and to workers."""

import json
from collections import Counter
from collections.abc import Callable
from typing import Any, Final
from urllib.parse import parse_qsl, urlsplit

import pytest
from twisted.internet.error import ConnectionAborted
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.transport import HttpClient
from quetzallock_platform.store import CELLS_TOPIC, PlatformStore
from quetzallock_platform_standin import store as standin_module
from quetzallock_platform_standin.store import PARTITION_COUNT, StandinStore

ADDRESS: Final = "10.0.0.1:80"
CONNECT_MS: Final = 2
CALL_MS: Final = 4
_PIECE_BYTES: Final = 10_000


Server = Callable[["EmulatedTransport", str, bytes], None]
"""Answers a call, given its path and body, by `EmulatedTransport.deliver`."""


class EmulatedTransport:
    """The caller's end of a connection.

    Attributes:
        address: Address that it leads to.
        is_silent: What is written is lost, and no answer arrives.
        requests: Number of requests that were written to it.
    """

    def __init__(self, network: "EmulatedNetwork", address: str, protocol: Any) -> None:
        self.address = address
        self._network = network
        self._protocol = protocol
        self._received = b""
        self.connected = True
        self.is_silent = False
        self.requests = 0

    def setTcpNoDelay(self, _enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        self.write(data)
        return len(data)

    def write(self, data: bytes) -> None:
        self._received += data
        head, end, body = self._received.partition(b"\r\n\r\n")
        if not end or len(body) < _read_content_length(head):
            return
        self._received = b""
        self.requests += 1
        if not self.is_silent:
            self._network.answer(self, head, body)

    def deliver(self, status: int, body: bytes) -> None:
        """Let an answer arrive, unless the connection was aborted or is silent."""
        if self.connected and not self.is_silent:
            head = f"HTTP/1.1 {status} OK\r\nContent-Length: {len(body)}\r\n\r\n"
            self._transfer(head.encode() + body)

    def _transfer(self, data: bytes) -> None:
        """Deliver data in pieces, as fast as the host's link carries it."""
        if not self.connected or self.is_silent:
            return
        piece, rest = data[:_PIECE_BYTES], data[_PIECE_BYTES:]
        self._protocol.dataReceived(piece)
        if rest:
            pause_ms = len(piece) / self._network.link_bytes_per_ms
            self._network.callLater(pause_ms / 1_000, self._transfer, rest)

    def abortConnection(self) -> None:  # noqa: N802
        if self.connected:
            self.connected = False
            self._network.callLater(0, self._protocol.connectionLost, Failure(ConnectionAborted()))


def _read_content_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


class EmulatedNetwork(Clock):
    """A reactor with emulated time, whose connections lead to the stand-in of the store.

    Attributes:
        servers: What answers calls to other addresses than that of the store.
        link_bytes_per_ms: How fast the host's link carries answers.
        calls_by_path: Number of calls that the store has received.
        transports: All connections, in the order in which they were opened.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        super().__init__()
        monkeypatch.setattr(BootClock, "now", lambda _: self.now_ms)
        monkeypatch.setattr(standin_module, "_now_ms", lambda: self.now_ms)
        self.store = StandinStore()
        self.client = HttpClient(self, Counter())
        self.servers: dict[str, Server] = {}
        self.link_bytes_per_ms = 125_000
        self.calls_by_path: Counter[str] = Counter()
        self.transports: list[EmulatedTransport] = []
        self._waiting: list[tuple[EmulatedTransport, dict[str, str]]] = []

    @property
    def now_ms(self) -> int:
        return round(self.seconds() * 1_000)

    def make_platform_store(self) -> PlatformStore:
        """Return a client of the store."""
        return PlatformStore(self.client, ADDRESS, PARTITION_COUNT)

    def run(self, ms: int) -> None:
        """Let time pass; each timer is called at its time."""
        until_s = self.seconds() + ms / 1_000
        while self.calls and self.calls[0].getTime() <= until_s:
            self.advance(max(0.0, self.calls[0].getTime() - self.seconds()))
        self.advance(until_s - self.seconds())

    def connectTCP(  # noqa: N802
        self, ip: str, port: int, factory: Any, timeout: float
    ) -> None:
        protocol = factory.buildProtocol(None)
        transport = EmulatedTransport(self, f"{ip}:{port}", protocol)
        self.transports.append(transport)
        self.callLater(CONNECT_MS / 1_000, self._establish, protocol, transport)

    def _establish(self, protocol: Any, transport: EmulatedTransport) -> None:
        protocol.transport = transport
        protocol.connectionMade()

    def open_idle_connections(self, count: int, request: bytes, address: str = ADDRESS) -> None:
        """Let the client have at least `count` idle connections, by as many calls at once."""
        for _ in range(count):
            self.client.call(address, request, 1_000)
        self.run(CONNECT_MS + CALL_MS + 1)

    def silence_open_connections(self, address: str = ADDRESS) -> None:
        """Let no open connection to `address` carry anything any more; new ones work."""
        for transport in self.transports:
            if transport.address == address:
                transport.is_silent = True

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record, and answer the reads that wait for it."""
        self.store.put(topic, key, value)
        waiting, self._waiting = self._waiting, []
        for transport, query in waiting:
            if query["topic"] == topic:
                self._answer_later(transport, *self.store.read(query))
            else:
                self._waiting.append((transport, query))

    def answer(self, transport: EmulatedTransport, head: bytes, body: bytes) -> None:
        """Answer a call, after as long as it waits for a record."""
        url = urlsplit(head.split(b" ")[1].decode())
        if transport.address != ADDRESS:
            self.servers[transport.address](transport, url.path, body)
            return
        self.calls_by_path[url.path] += 1
        query = dict(parse_qsl(url.query))
        wait_ms = int(query.get("waitMs", 0))
        if wait_ms and self._is_at_end(query):
            self._waiting.append((transport, query))
            self.callLater(wait_ms / 1_000, self._end_wait, transport, query)
            return
        self._answer_later(transport, *self._process(url.path, query, body))

    def _is_at_end(self, query: dict[str, str]) -> bool:
        """Return whether a read waits; one from beyond the end is answered at once."""
        partition = self.store.get_partition(query["topic"], int(query["part"]))
        return int(query["from"]) == partition.end

    def _process(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, Any]:
        if path == "/log-newest":
            return 200, self.store.read_newest(query)
        if path == "/log-read":
            return self.store.read(query)
        if path == "/log-append":
            return self.store.append(query, body)
        if path == "/log-join":
            return 200, self.store.join(json.loads(body))
        assert path == "/log-owners"
        return 200, self.store.list_owners(query, CELLS_TOPIC)

    def _end_wait(self, transport: EmulatedTransport, query: dict[str, str]) -> None:
        if (transport, query) in self._waiting:
            self._waiting.remove((transport, query))
            self._answer_later(transport, *self.store.read(query))

    def _answer_later(self, transport: EmulatedTransport, status: int, answer: Any) -> None:
        body = answer if isinstance(answer, bytes) else json.dumps(answer).encode()
        self.callLater(CALL_MS / 1_000, transport.deliver, status, body)
