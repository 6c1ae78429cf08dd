"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

from collections.abc import Callable
from typing import Any, Final

from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from quetzallock_standins.const import LOOPBACK

MODES: Final = ("open", "slow", "cut", "deaf", "silent", "reset")


class Link:
    """All connections to one address, under one mode.

    `slow` delays both ways. `cut` holds everything back and delivers it late. `deaf` passes what
    callers send and drops the answers. `silent` drops both ways. Connections that were open under
    `deaf` or `silent` never carry anything again. `reset` ends connections, new ones too.
    """

    def __init__(self, reactor: Any, target: str) -> None:
        self.reactor = reactor
        self.target = target
        self.mode = "open"
        self.delay_ms = 0
        self._pairs: set[_Incoming] = set()
        factory: Any = Factory.forProtocol(lambda: _Incoming(self))
        factory.noisy = False
        self._port = reactor.listenTCP(0, factory, interface=LOOPBACK)
        self.address = f"{LOOPBACK}:{self._port.getHost().port}"

    def set_mode(self, mode: str, delay_ms: int = 0) -> None:
        """Change the mode for all connections, those that are open too."""
        self.mode = mode
        self.delay_ms = delay_ms
        for pair in list(self._pairs):
            pair.take_mode(mode)

    def enter(self, pair: "_Incoming") -> None:
        """A connection has come."""
        self._pairs.add(pair)
        pair.take_mode(self.mode)

    def leave(self, pair: "_Incoming") -> None:
        """A connection has gone."""
        self._pairs.discard(pair)


class _Incoming(Protocol):
    """The caller's side of one connection."""

    transport: Any

    def __init__(self, link: Link) -> None:
        self._link = link
        self._out: Any = None
        self._is_dead = False
        self._held: list[Callable[[], None]] = []
        self._waiting: list[bytes] = []

    def connectionMade(self) -> None:  # noqa: N802
        """Connect to the target."""
        self.transport.setTcpNoDelay(True)
        self._link.enter(self)
        ip, _, port = self._link.target.rpartition(":")
        endpoint = HostnameEndpoint(self._link.reactor, ip, int(port), timeout=2)
        factory: Any = Factory.forProtocol(lambda: _Outgoing(self))
        factory.noisy = False
        endpoint.connect(factory).addErrback(lambda _failure: self.transport.abortConnection())

    def take_mode(self, mode: str) -> None:
        """Follow a change of the mode."""
        if mode == "reset":
            self.transport.abortConnection()
        elif mode in ("deaf", "silent"):
            self._is_dead = True
        elif mode == "open":
            held, self._held = self._held, []
            for deliver in held:
                deliver()

    def take_target(self, out: Any) -> None:
        """The target has been reached."""
        self._out = out
        for data in self._waiting:
            out.transport.write(data)
        self._waiting.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass on what the caller sends."""
        if self._link.mode == "silent" or (self._is_dead and self._link.mode == "open"):
            return
        self._pass(lambda: self._send_out(data))

    def answer(self, data: bytes) -> None:
        """Pass on what the target answers."""
        if not self._is_dead:
            self._pass(lambda: self.transport.write(data))

    def _send_out(self, data: bytes) -> None:
        if self._out is None:
            self._waiting.append(data)
        else:
            self._out.transport.write(data)

    def _pass(self, deliver: Callable[[], None]) -> None:
        if self._link.mode == "cut":
            self._held.append(deliver)
        elif self._link.mode == "slow":
            self._link.reactor.callLater(self._link.delay_ms / 1_000, deliver)
        else:
            deliver()

    def target_lost(self) -> None:
        """The target has closed its side."""
        if not self._is_dead and self._link.mode != "cut":
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """The caller has gone."""
        self._link.leave(self)
        if self._out is not None:
            self._out.transport.abortConnection()


class _Outgoing(Protocol):
    """The target's side of one connection."""

    transport: Any

    def __init__(self, incoming: _Incoming) -> None:
        self._incoming = incoming

    def connectionMade(self) -> None:  # noqa: N802
        """Hand over what waits."""
        self.transport.setTcpNoDelay(True)
        self._incoming.take_target(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass the answer back."""
        self._incoming.answer(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """The target has closed."""
        self._incoming.target_lost()
