"""A reactor with emulated time and connections, which can stop carrying data for good."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.error import ConnectionAborted
from twisted.internet.task import Clock
from twisted.python.failure import Failure

LATENCY_MS: Final = 1
STEP_MS: Final = 1
_MS_PER_S: Final = 1_000

Answer = Callable[[int, bytes], None]
Handler = Callable[[str, Answer], None]
"""Handles a request, given its path and the function that sends status and body of the answer."""


class EmulatedConnection:
    """The transport of one connection.

    Attributes:
        is_silent: It carries no data in either direction any more, and is not closed either.
        requests: Number of requests that were written to it.
    """

    def __init__(self, network: "EmulatedNetwork", protocol: Any, handle: Handler) -> None:
        self.connected = True
        self.is_silent = False
        self.requests = 0
        self._network = network
        self._protocol = protocol
        self._handle = handle

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Write all of `data`."""
        self.write(data)
        return len(data)

    def write(self, data: bytes) -> None:
        """Pass a request on to the server."""
        self.requests += 1
        path = data.split(b" ", 2)[1].decode()
        self._network.call_later_ms(LATENCY_MS, self._deliver, path)

    def _deliver(self, path: str) -> None:
        if self.connected and not self.is_silent:
            self._handle(path, self._answer)

    def _answer(self, status: int, body: bytes) -> None:
        header = f"HTTP/1.1 {status} -\r\nContent-Length: {len(body)}\r\n\r\n"
        self._network.call_later_ms(LATENCY_MS, self._receive, header.encode() + body)

    def _receive(self, data: bytes) -> None:
        if self.connected and not self.is_silent:
            self._protocol.dataReceived(data)

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection at once."""
        if self.connected:
            self.connected = False
            self._protocol.connectionLost(Failure(ConnectionAborted()))


class EmulatedNetwork(Clock):
    """A reactor on which every address is served by one handler.

    Attributes:
        connections: All connections, in the order in which they were established.
    """

    def __init__(self, handle: Handler) -> None:
        super().__init__()
        self.connections: list[EmulatedConnection] = []
        self._handle = handle

    def call_later_ms(self, ms: int, function: Callable[..., object], *args: Any) -> None:
        """Call `function` after `ms` milliseconds."""
        self.callLater(ms / _MS_PER_S, function, *args)

    def connectTCP(self, _ip: str, _port: int, factory: Any, **_fields: Any) -> None:  # noqa: N802
        """Establish a connection."""
        self.call_later_ms(LATENCY_MS, self._establish, factory)

    def _establish(self, factory: Any) -> None:
        protocol = factory.buildProtocol(None)
        connection = EmulatedConnection(self, protocol, self._handle)
        self.connections.append(connection)
        protocol.makeConnection(connection)

    def silence_connections(self) -> None:
        """Let all present connections carry no data any more."""
        for connection in self.connections:
            connection.is_silent = True

    def run_until(self, condition: Callable[[], object], timeout_ms: int) -> None:
        """Let time pass until `condition()` is true, at most `timeout_ms`."""
        for _ in range(timeout_ms // STEP_MS):
            if condition():
                return
            self.advance(STEP_MS / _MS_PER_S)

    def read_ms(self) -> int:
        """Return the time in ms."""
        return round(self.seconds() * _MS_PER_S)
