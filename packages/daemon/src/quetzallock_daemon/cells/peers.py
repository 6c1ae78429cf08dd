"""Asks to the owners of cells, over one msgpack stream for each pair of hosts.

The answer comes back on the stream of its ask; a stream that has gone silent is replaced.
"""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from quetzallock_core.codec import decode, encode
from quetzallock_core.exceptions import CodecError, QuetzallockError

from ..peers.const import CONNECT_TIMEOUT_MS, MAX_FRAME_BYTES, RECONNECT_PAUSE_MS
from .clocks import BootClock
from .const import OWNER_REQUEST_TIMEOUT_MS
from .messages import OwnerAnswer, OwnerRequest

_LOGGER = logging.getLogger(__name__)

Reply = Callable[[OwnerAnswer], None]
OnRequest = Callable[[OwnerRequest, Reply], None]


class PeerLostError(QuetzallockError):
    """An ask got no answer; the owner may have taken it in."""

    code = "peer_lost"


class PeerUnreachableError(PeerLostError):
    """An ask was never sent."""

    code = "peer_unreachable"


class RequestReceiver(Int32StringReceiver):
    """The owner's end of a stream."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, on_ask: OnRequest) -> None:
        self._on_ask = on_ask

    def connectionMade(self) -> None:  # noqa: N802
        """Send answers at once."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Take in one ask."""
        try:
            ask = decode(string)
        except CodecError as error:
            _LOGGER.warning("ask passed over", extra={"error": str(error)})
            return
        self._on_ask(ask, self._reply)

    def _reply(self, answer: OwnerAnswer) -> None:
        if self.connected:
            self.sendString(encode(answer))


class _RequestSender(Int32StringReceiver):
    """The router's end of a stream."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, link: "_Link") -> None:
        self._link = link

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        self._link.note_connected(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        try:
            answer = decode(string)
        except CodecError as error:
            _LOGGER.warning("answer passed over", extra={"error": str(error)})
            return
        self._link.note_answer(answer)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self._link.note_lost(self)


class _SenderFactory(ClientFactory):
    noisy = False

    def __init__(self, link: "_Link") -> None:
        self._link = link

    def buildProtocol(self, addr: Any) -> _RequestSender:  # noqa: N802
        return _RequestSender(self._link)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._link.note_unreachable()


class _Link:
    """The stream to one owner, and the asks without an answer."""

    def __init__(self, reactor: Any, address: str) -> None:
        self._reactor = reactor
        self._address = address
        self._clock = BootClock()
        self._sender: _RequestSender | None = None
        self._is_connecting = False
        self._retry_at = 0
        self._heard_at = 0
        self._waiting: dict[int, Deferred[OwnerAnswer]] = {}
        self._queued: list[tuple[int, bytes]] = []

    def ask(self, ask: OwnerRequest) -> "Deferred[OwnerAnswer]":
        """Send an ask; its deferred fails with `PeerLostError` if the stream breaks."""
        result: Deferred[OwnerAnswer] = Deferred()
        self._waiting[ask.ticket] = result
        self._reactor.callLater(
            OWNER_REQUEST_TIMEOUT_MS / 1_000, self._time_out, ask.ticket, result
        )
        if self._sender is not None:
            self._sender.sendString(encode(ask))
            return result
        self._queued.append((ask.ticket, encode(ask)))
        if not self._is_connecting:
            self._connect()
        return result

    def _connect(self) -> None:
        if self._clock.now() < self._retry_at:
            self.note_unreachable()
            return
        self._is_connecting = True
        ip, _, port = self._address.rpartition(":")
        self._reactor.connectTCP(
            ip, int(port), _SenderFactory(self), timeout=CONNECT_TIMEOUT_MS / 1_000
        )

    def note_connected(self, sender: _RequestSender) -> None:
        """The stream stands: send what waited for it."""
        self._is_connecting = False
        self._sender = sender
        self._heard_at = self._clock.now()
        queued, self._queued = self._queued, []
        for ticket, frame in queued:
            if ticket in self._waiting:
                sender.sendString(frame)

    def note_unreachable(self) -> None:
        """No stream could be made: nothing of what waited was sent."""
        self._is_connecting = False
        self._retry_at = max(self._retry_at, self._clock.now() + RECONNECT_PAUSE_MS // 5)
        queued, self._queued = self._queued, []
        for ticket, _ in queued:
            self._fail(ticket, PeerUnreachableError(f"no stream to {self._address}"))

    def note_answer(self, answer: OwnerAnswer) -> None:
        """Hand out an answer."""
        self._heard_at = self._clock.now()
        result = self._waiting.pop(answer.ticket, None)
        if result is not None:
            result.callback(answer)

    def note_lost(self, sender: _RequestSender) -> None:
        """The stream broke: what was sent on it may have been taken in."""
        if self._sender is not sender:
            return
        self._sender = None
        for ticket in list(self._waiting):
            self._fail(ticket, PeerLostError(f"stream to {self._address} broke"))

    def _fail(self, ticket: int, error: PeerLostError) -> None:
        result = self._waiting.pop(ticket, None)
        if result is not None:
            result.errback(error)

    def _time_out(self, ticket: int, result: "Deferred[OwnerAnswer]") -> None:
        if self._waiting.get(ticket) is not result:
            return
        is_unsent = any(queued == ticket for queued, _ in self._queued)
        self._queued = [item for item in self._queued if item[0] != ticket]
        kind = PeerUnreachableError if is_unsent else PeerLostError
        self._fail(ticket, kind(f"no answer of {self._address} in time"))
        if (
            self._sender is not None
            and self._clock.now() - self._heard_at >= OWNER_REQUEST_TIMEOUT_MS
        ):
            silent, self._sender = self._sender, None
            transport: Any = silent.transport
            transport.abortConnection()


class Peers:
    """Streams to the owners of cells."""

    def __init__(self, reactor: Any, counters: Counter[str]) -> None:
        self._reactor = reactor
        self._counters = counters
        self._links: dict[str, _Link] = {}

    def ask(self, address: str, ask: OwnerRequest) -> "Deferred[OwnerAnswer]":
        """Send `ask` to the owner at `address`."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(self._reactor, address)
        self._counters["peers.asks"] += 1
        return link.ask(ask)


def make_request_factory(on_ask: OnRequest) -> Factory:
    """Return a factory of the owners' ends of streams."""
    factory: Any = Factory.forProtocol(lambda: RequestReceiver(on_ask))
    factory.noisy = False
    return factory
