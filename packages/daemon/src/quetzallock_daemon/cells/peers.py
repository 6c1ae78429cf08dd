"""Requests to the owners of cells, over one msgpack stream for each pair of hosts.

An answer comes back on the stream of its request. A stream on which nothing arrives within the time
limit of a request is replaced.
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

from ..helpers import call_after_input
from ..peers.const import CONNECT_TIMEOUT_MS, MAX_FRAME_BYTES, RECONNECT_PAUSE_MS
from .clocks import BootClock
from .const import OWNER_REQUEST_TIMEOUT_MS
from .messages import OwnerAnswer, PeerRequest

_LOGGER = logging.getLogger(__name__)

Reply = Callable[[OwnerAnswer], None]
OnRequest = Callable[[PeerRequest, Reply], None]


class PeerLostError(QuetzallockError):
    """A request got no answer; the owner may have processed it."""

    code = "peer_lost"


class PeerUnreachableError(PeerLostError):
    """A request was not sent."""

    code = "peer_unreachable"


class RequestReceiver(Int32StringReceiver):
    """The owner's end of a stream."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, on_request: OnRequest) -> None:
        self._on_request = on_request

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, so that answers are sent at once."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode a request and process it."""
        try:
            request = decode(string)
        except CodecError as error:
            _LOGGER.warning("request from a router cannot be decoded", extra={"error": str(error)})
            return
        self._on_request(request, self._reply)

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
        self._link.handle_connected(self)

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        try:
            answer = decode(string)
        except CodecError as error:
            _LOGGER.warning("answer of an owner cannot be decoded", extra={"error": str(error)})
            return
        self._link.handle_answer(answer)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        self._link.handle_connection_lost(self)


class _SenderFactory(ClientFactory):
    noisy = False

    def __init__(self, link: "_Link") -> None:
        self._link = link

    def buildProtocol(self, addr: Any) -> _RequestSender:  # noqa: N802
        return _RequestSender(self._link)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._link.handle_unreachable()


class _Link:
    """Stream to one owner, and the requests that wait for an answer."""

    def __init__(self, reactor: Any, address: str) -> None:
        self._reactor = reactor
        self._address = address
        self._clock = BootClock()
        self._sender: _RequestSender | None = None
        self._is_connecting = False
        self._retry_at = 0
        self._contact_at = 0
        self._pending: dict[int, Deferred[OwnerAnswer]] = {}
        self._queued: list[tuple[int, bytes]] = []

    def send(self, request: PeerRequest) -> "Deferred[OwnerAnswer]":
        """Send a request, once the stream is connected.

        The deferred fails with `PeerLostError` if the stream breaks or the time limit passes, or
        with `PeerUnreachableError` if the request was not sent.
        """
        result: Deferred[OwnerAnswer] = Deferred()
        self._pending[request.ticket] = result
        call_after_input(
            self._reactor, OWNER_REQUEST_TIMEOUT_MS, self._time_out, request.ticket, result
        )
        if self._sender is not None:
            self._sender.sendString(encode(request))
            return result
        self._queued.append((request.ticket, encode(request)))
        if not self._is_connecting:
            self._connect()
        return result

    def _connect(self) -> None:
        if self._clock.now() < self._retry_at:
            self._fail_queued()
            return
        self._is_connecting = True
        ip, _, port = self._address.rpartition(":")
        self._reactor.connectTCP(
            ip, int(port), _SenderFactory(self), timeout=CONNECT_TIMEOUT_MS / 1_000
        )

    def handle_connected(self, sender: _RequestSender) -> None:
        """Send the queued requests on the new stream."""
        self._is_connecting = False
        self._sender = sender
        self._contact_at = self._clock.now()
        queued, self._queued = self._queued, []
        for ticket, frame in queued:
            if ticket in self._pending:
                sender.sendString(frame)

    def handle_unreachable(self) -> None:
        """Process that a connection failed: the next one is tried after a pause."""
        self._is_connecting = False
        self._retry_at = self._clock.now() + RECONNECT_PAUSE_MS // 5
        self._fail_queued()

    def _fail_queued(self) -> None:
        """Fail the queued requests as not sent."""
        queued, self._queued = self._queued, []
        for ticket, _ in queued:
            self._fail(ticket, PeerUnreachableError(f"cannot connect to {self._address}"))

    def handle_answer(self, answer: OwnerAnswer) -> None:
        """Pass an answer to the request with its ticket."""
        self._contact_at = self._clock.now()
        result = self._pending.pop(answer.ticket, None)
        if result is not None:
            result.callback(answer)

    def handle_connection_lost(self, sender: _RequestSender) -> None:
        """Fail the pending requests; the owner may have processed them."""
        if self._sender is not sender:
            return
        self._sender = None
        for ticket in list(self._pending):
            self._fail(ticket, PeerLostError(f"connection to {self._address} lost"))

    def _fail(self, ticket: int, error: PeerLostError) -> None:
        result = self._pending.pop(ticket, None)
        if result is not None:
            result.errback(error)

    def _time_out(self, ticket: int, result: "Deferred[OwnerAnswer]") -> None:
        if self._pending.get(ticket) is not result:
            return
        is_unsent = any(queued == ticket for queued, _ in self._queued)
        self._queued = [item for item in self._queued if item[0] != ticket]
        error_class = PeerUnreachableError if is_unsent else PeerLostError
        self._fail(ticket, error_class(f"no answer from {self._address} within the time limit"))
        if (
            self._sender is not None
            and self._clock.now() - self._contact_at >= OWNER_REQUEST_TIMEOUT_MS
        ):
            unresponsive, self._sender = self._sender, None
            transport: Any = unresponsive.transport
            transport.abortConnection()


class Peers:
    """Streams to the owners of cells."""

    def __init__(self, reactor: Any, counters: Counter[str]) -> None:
        self._reactor = reactor
        self._counters = counters
        self._links: dict[str, _Link] = {}

    def send(self, address: str, request: PeerRequest) -> "Deferred[OwnerAnswer]":
        """Send a request to the owner at `address`."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = _Link(self._reactor, address)
        self._counters["peers.asks"] += 1
        return link.send(request)


def make_request_factory(on_request: OnRequest) -> Factory:
    """Return the factory of the owner's ends of streams."""
    factory: Any = Factory.forProtocol(lambda: RequestReceiver(on_request))
    factory.noisy = False
    return factory
