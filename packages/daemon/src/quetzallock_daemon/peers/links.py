"""Sends and receives messages; each link owns its connection and its queue.

A message that cannot be sent soon is dropped and counted. The streams guarantee order but not
delivery, since the host that starts an exchange with another retries it.
"""

import logging
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory, connectionDone
from twisted.protocols.basic import Int32StringReceiver
from twisted.python.failure import Failure

from quetzallock_core.codec import decode, encode
from quetzallock_core.const import PROTOCOL_VERSION
from quetzallock_core.core import Identity
from quetzallock_core.exceptions import CodecError

from .const import (
    CONNECT_TIMEOUT_MS,
    MAX_BACKLOG_BYTES,
    MAX_FRAME_BYTES,
    MAX_QUEUED_FRAMES,
    RECONNECT_PAUSE_MS,
)
from .models import Hello

_LOGGER = logging.getLogger(__name__)

OnMessage = Callable[[object, str], None]


class PeerReceiver(Int32StringReceiver):
    """Receiving end of a stream from one peer."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, on_message: OnMessage, counters: Counter[str]) -> None:
        self._on_message = on_message
        self._counters = counters
        self._peer_host = ""

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode one frame and pass its message on, once the peer has sent its `Hello`."""
        self._counters["peers.bytes_in"] += len(string) + 4
        try:
            message = decode(string)
        except CodecError as error:
            self._counters["peers.undecodable"] += 1
            _LOGGER.warning(
                "cannot decode frame from %s: %s", self._peer_host or "unknown peer", error
            )
            return
        if isinstance(message, Hello):
            self._peer_host = message.host
        elif self._peer_host:
            self._on_message(message, self._peer_host)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Count a frame that exceeds the maximum and close its stream."""
        self._counters["peers.too_long"] += 1
        super().lengthLimitExceeded(length)


class _Sender(Int32StringReceiver):
    """Sending end of a stream."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, on_lost: Callable[[], None]) -> None:
        self._on_connection_lost = on_lost

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the lost connection to the link."""
        self._on_connection_lost()


class Link:
    """Stream to one address."""

    def __init__(self, reactor: Any, address: str, hello: bytes, counters: Counter[str]) -> None:
        self._reactor = reactor
        self._address = address
        self._hello = hello
        self._counters = counters
        self._queue: deque[bytes] = deque()
        self._sender: _Sender | None = None
        self._is_connecting = False
        self._retry_at = 0.0

    def send(self, frame: bytes) -> None:
        """Send a frame, or queue it until the connection is established.

        Frames are dropped during the pause after a failed or lost connection.
        """
        if self._sender is not None:
            self._write(frame)
            return
        now = self._reactor.seconds()
        if not self._is_connecting and now < self._retry_at:
            self._counters["peers.dropped"] += 1
            return
        if len(self._queue) == MAX_QUEUED_FRAMES:
            self._counters["peers.dropped"] += 1
            self._queue.popleft()
        self._queue.append(frame)
        if not self._is_connecting:
            self._connect()

    def close(self) -> None:
        """Close the connection after the frames already written."""
        transport: Any = self._sender.transport if self._sender else None
        if transport is not None:
            transport.loseConnection()

    def _write(self, frame: bytes) -> None:
        assert self._sender is not None
        transport: Any = self._sender.transport
        # Twisted has no public attribute for the size of its write buffer.
        unsent_bytes = getattr(transport, "_tempDataLen", 0) + len(
            getattr(transport, "dataBuffer", b"")
        )
        if transport is None or unsent_bytes > MAX_BACKLOG_BYTES:
            self._counters["peers.dropped"] += 1
            return
        self._counters["peers.bytes_out"] += len(frame) + 4
        self._sender.sendString(frame)

    def _connect(self) -> None:
        self._is_connecting = True
        ip, _, port = self._address.rpartition(":")
        endpoint = TCP4ClientEndpoint(
            self._reactor, ip, int(port), timeout=CONNECT_TIMEOUT_MS / 1_000
        )
        factory: Any = Factory.forProtocol(lambda: _Sender(self._on_connection_lost))
        endpoint.connect(factory).addCallbacks(self._on_connected, self._on_connect_failed)

    def _on_connected(self, sender: _Sender) -> None:
        self._is_connecting = False
        self._sender = sender
        if sender.transport is not None and hasattr(sender.transport, "setTcpNoDelay"):
            sender.transport.setTcpNoDelay(True)
        self._write(self._hello)
        while self._queue:
            self._write(self._queue.popleft())

    def _on_connect_failed(self, _failure: Failure) -> None:
        self._is_connecting = False
        self._counters["peers.dropped"] += len(self._queue)
        self._queue.clear()
        self._retry_at = self._reactor.seconds() + RECONNECT_PAUSE_MS / 1_000

    def _on_connection_lost(self) -> None:
        self._sender = None
        self._retry_at = self._reactor.seconds() + RECONNECT_PAUSE_MS / 1_000


class PeerLinks:
    """Streams to all peers to which messages were sent."""

    def __init__(self, reactor: Any, identity: Identity, counters: Counter[str]) -> None:
        self._reactor = reactor
        self._hello = encode(Hello(identity.host, identity.incarnation, PROTOCOL_VERSION))
        self._counters = counters
        self._links: dict[str, Link] = {}

    def send(self, address: str, message: object) -> None:
        """Send `message` to the host that listens at `address`."""
        link = self._links.get(address)
        if link is None:
            link = Link(self._reactor, address, self._hello, self._counters)
            self._links[address] = link
        self._counters["peers.messages_out"] += 1
        link.send(encode(message))

    def close(self) -> None:
        """Close all streams."""
        for link in self._links.values():
            link.close()


def make_peer_factory(on_message: OnMessage, counters: Counter[str]) -> Factory:
    """Return a Twisted factory of receiving ends."""
    return Factory.forProtocol(lambda: PeerReceiver(on_message, counters))
