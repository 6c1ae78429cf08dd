"""A loopback proxy that can delay, hold back, drop or reset traffic."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from quetzallock_standins.const import LOOPBACK

MODES: Final = ("open", "slow", "cut", "drop_answers", "silent", "reset")


class Proxy:
    """A proxy for one target address; the mode applies to all its connections.

    `slow` delays both directions. `cut` holds all data back and delivers it when the mode becomes
    `open`. `drop_answers` forwards requests and drops the answers. `silent` drops both directions.
    Connections that were open under `drop_answers` or `silent` carry no data after the mode
    returns to `open`. `reset` aborts connections, including new ones.
    """

    def __init__(self, reactor: Any, target: str) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = "open"
        self.delay_ms = 0
        self._connections: set[_CallerConnection] = set()
        factory: Any = Factory.forProtocol(lambda: _CallerConnection(self))
        factory.noisy = False
        self._port = reactor.listenTCP(0, factory, interface=LOOPBACK)
        self.address = f"{LOOPBACK}:{self._port.getHost().port}"

    def set_mode(self, mode: str, delay_ms: int = 0) -> None:
        """Set the mode of new and open connections."""
        self.mode = mode
        self.delay_ms = delay_ms
        for connection in list(self._connections):
            connection.apply_mode(mode)

    def close(self) -> None:
        """Abort all connections, and let new ones be refused from now on."""
        self.set_mode("reset")
        self._port.stopListening()

    def add_connection(self, connection: "_CallerConnection") -> None:
        """Add a connection and apply the mode to it."""
        self._connections.add(connection)
        connection.apply_mode(self.mode)

    def remove_connection(self, connection: "_CallerConnection") -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)


class _CallerConnection(Protocol):
    """The caller's side of one connection.

    Attributes:
        _is_broken: It was open under `drop_answers` or `silent`.
        _deferred: Deliveries held back by the mode `cut`.
        _unsent: Data that waits for the connection to the target.
    """

    transport: Any

    def __init__(self, proxy: Proxy) -> None:
        self._proxy = proxy
        self._target: Any = None
        self._is_broken = False
        self._deferred: list[Callable[[], None]] = []
        self._unsent: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target."""
        self.transport.setTcpNoDelay(True)
        self._proxy.add_connection(self)
        ip, _, port = self._proxy.target.rpartition(":")
        endpoint = HostnameEndpoint(self._proxy.reactor, ip, int(port), timeout=2)
        factory: Any = Factory.forProtocol(lambda: _TargetConnection(self))
        factory.noisy = False
        endpoint.connect(factory).addErrback(lambda _failure: self.transport.abortConnection())

    def apply_mode(self, mode: str) -> None:
        """Apply a mode to this connection."""
        if mode == "reset":
            self.transport.abortConnection()
        elif mode in ("drop_answers", "silent"):
            self._is_broken = True
        elif mode == "open":
            deferred, self._deferred = self._deferred, []
            for deliver in deferred:
                deliver()

    def handle_target_connected(self, target: Any) -> None:
        """Store the connection to the target and send the data that waited for it."""
        self._target = target
        for data in self._unsent:
            target.transport.write(data)
        self._unsent.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data from the caller to the target."""
        if self._proxy.mode == "silent" or (self._is_broken and self._proxy.mode == "open"):
            return
        self._forward(lambda: self._send_to_target(data))

    def forward_answer(self, data: bytes) -> None:
        """Forward data from the target to the caller."""
        if not self._is_broken:
            self._forward(lambda: self.transport.write(data))

    def _send_to_target(self, data: bytes) -> None:
        if self._target is None:
            self._unsent.append(data)
        else:
            self._target.transport.write(data)

    def _forward(self, deliver: Callable[[], None]) -> None:
        if self._proxy.mode == "cut":
            self._deferred.append(deliver)
        elif self._proxy.mode == "slow":
            self._proxy.reactor.callLater(self._proxy.delay_ms / 1_000, deliver)
        else:
            deliver()

    def handle_target_closed(self) -> None:
        """Close the caller's side after the target closed the connection."""
        if not self._is_broken and self._proxy.mode != "cut":
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Abort the connection to the target after the caller's has ended."""
        self._proxy.remove_connection(self)
        if self._target is not None:
            self._target.transport.abortConnection()


class _TargetConnection(Protocol):
    """The target's side of one connection."""

    transport: Any

    def __init__(self, caller: _CallerConnection) -> None:
        self._caller = caller

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the caller's side, which sends what waited."""
        self.transport.setTcpNoDelay(True)
        self._caller.handle_target_connected(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data to the caller."""
        self._caller.forward_answer(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the end of the connection to the caller's side."""
        self._caller.handle_target_closed()
