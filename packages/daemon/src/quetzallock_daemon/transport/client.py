"""A keep-alive HTTP/1.1 client; each connection carries one call at a time.

A connection is closed when a call on it times out, since it may never answer again. So are the idle
ones to the same address that have been silent for as long, since they may have broken with it.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from math import ceil
from typing import Any, Final

import httptools
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, ConnectionRefusedError, TimeoutError
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.python.failure import Failure

from .calls import Call, Reply, TimeLimits
from .channel import ChannelRecord
from .errors import (
    CallFailedError,
    ConnectionLostError,
    ConnectionRejectedError,
    ConnectionUnansweredError,
    NotConnectedError,
)

CONNECT_TIMEOUT_MS: Final = 1_000
MAX_TIMER_DELAY_MS: Final = 50
"""How late the time limit of a connection may be noticed for it to count as unanswered: on a host
that has stalled, the answer may have arrived unread."""

MAX_IDLE_PER_ADDRESS: Final = 8
_MS_PER_S: Final = 1_000


class Connection(Protocol):
    """A connection; it returns itself to the pool of its client after each answer."""

    def __init__(self, client: "HttpClient", address: str) -> None:
        self._client = client
        self._address = address
        self._parser: Any = None
        self._body: list[bytes] = []
        self._call: Call | None = None
        self.channel = client.make_channel_record()

    def connectionMade(self) -> None:  # noqa: N802
        """Disable Nagle's algorithm, so that small writes are sent at once."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)

    def send(self, call: Call, is_reused: bool = False) -> None:
        """Send `call`, whose deferred fires with the answer."""
        transport: Any = self.transport
        now_s = self._client.read_seconds()
        self._call = call
        call.due_s = now_s + call.wait_s
        self.channel.start_call(now_s, is_reused)
        self._body = []
        self._parser = httptools.HttpResponseParser(self)
        call.connection = self
        request, call.request = call.request, b""
        _write_at_once(transport, request)

    def abort(self) -> None:
        """Abort the connection without sending what is buffered."""
        transport: Any = self.transport
        self._call = None
        transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass the data to the parser; close a connection that sends data without a call."""
        if self._call is None:
            self.abort()
            return
        if self._call.silence_s is not None:
            self._call.heard_s = self._client.read_seconds()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail_call(CallFailedError, f"cannot parse the answer: {error}")
            self.abort()

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Return the connection to the client and finish the call with its answer."""
        call, self._call = self._call, None
        if call is None:
            return
        self.channel.end_call(self._client.read_seconds())
        reply = Reply(self._parser.get_status_code(), b"".join(self._body), self.channel)
        self._client.release_connection(self._address, self, self._parser.should_keep_alive())
        self._client.finish_call(call, reply)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fail the call in flight."""
        self._client.remove_idle(self._address, self)
        self._fail_call(ConnectionLostError, "connection lost")

    def _fail_call(self, kind: type[CallFailedError], cause: str) -> None:
        call, self._call = self._call, None
        if call is not None:
            error = kind(f"{self._address}: {cause} on {self.channel.describe()}")
            self._client.fail_call(call, error)


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, client: "HttpClient", address: str, call: Call, timeout_s: float) -> None:
        self._client = client
        self._address = address
        self._call = call
        self._due_s = client.read_seconds() + timeout_s

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: N802
        return _NewConnection(self._client, self._address, self._call)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        kind = self._find_kind(reason)
        self._client.fail_call(self._call, kind(f"{self._address}: {reason.getErrorMessage()}"))

    def _find_kind(self, reason: Failure) -> type[NotConnectedError]:
        """Return whether the peer has refused or not answered, or this host has failed itself."""
        if reason.check(ConnectionRefusedError) is not None:
            return ConnectionRejectedError
        is_late = self._client.read_seconds() - self._due_s > MAX_TIMER_DELAY_MS / _MS_PER_S
        if reason.check(TimeoutError) is None or is_late:
            return NotConnectedError
        return ConnectionUnansweredError


class _NewConnection(Connection):
    """A connection that sends its first call as soon as it is established."""

    def __init__(self, client: "HttpClient", address: str, call: Call) -> None:
        super().__init__(client, address)
        self._first_call = call

    def connectionMade(self) -> None:  # noqa: N802
        """Send the call, unless it timed out during connecting."""
        super().connectionMade()
        if self._first_call.result.called:
            self._client.release_connection(self._address, self, True)
            return
        self.send(self._first_call)


class HttpClient:
    """Sends calls to any number of addresses and keeps a few idle connections for each."""

    def __init__(self, reactor: Any, counters: Counter[str]) -> None:
        self._reactor = reactor
        self._counters = counters
        self._last_channel = 0
        self.read_seconds: Callable[[], float] = reactor.seconds
        self._idle: defaultdict[str, list[Connection]] = defaultdict(list)
        self._time_limits = TimeLimits(reactor, self._handle_timeout)

    def make_channel_record(self) -> ChannelRecord:
        """Return the record of a connection that is established now."""
        self._last_channel += 1
        return ChannelRecord(self._last_channel, self.read_seconds())

    def call(
        self,
        address: str,
        request: bytes,
        timeout_ms: int,
        *,
        wait_ms: int = 0,
        silence_ms: int | None = None,
    ) -> "Deferred[Reply]":
        """Send `request` to `ip:port` and return a deferred of the `Reply`.

        The deferred fails with `NotConnectedError`, of which `ConnectionRejectedError` and
        `ConnectionUnansweredError` are kinds, if the request was never sent, else with
        `CallFailedError`.

        Args:
            address: `ip:port`.
            request: The bytes of the request.
            timeout_ms: Time limit for the whole answer.
            wait_ms: How long the server may keep the call open before it answers.
            silence_ms: How long nothing may arrive after that wait; a long answer may take
                longer. None for no limit but `timeout_ms`.
        """
        limit_ms = timeout_ms if silence_ms is None else min(timeout_ms, wait_ms + silence_ms)
        call = Call(
            address,
            request,
            Deferred(),
            wait_ms / _MS_PER_S,
            None if silence_ms is None else silence_ms / _MS_PER_S,
            self.read_seconds() + timeout_ms / _MS_PER_S,
        )
        self._time_limits.add(call, limit_ms)
        self._counters["http.calls"] += 1
        idle = self._idle.get(address)
        if idle:
            idle.pop().send(call, is_reused=True)
        else:
            self._connect(address, call, timeout_ms)
        return call.result

    def _connect(self, address: str, call: Call, timeout_ms: int) -> None:
        ip, _, port = address.rpartition(":")
        timeout = min(timeout_ms, CONNECT_TIMEOUT_MS) / _MS_PER_S
        factory = _ConnectionFactory(self, address, call, timeout)
        self._counters["http.connections"] += 1
        try:
            self._reactor.connectTCP(ip, int(port), factory, timeout=timeout)
        except (ConnectError, ValueError, OverflowError) as error:
            self.fail_call(call, NotConnectedError(f"{address}: {error}"))

    def _handle_timeout(self, call: Call) -> None:
        left_s = self._compute_time_left(call)
        if left_s > 0:
            self._time_limits.add(call, ceil(left_s * _MS_PER_S))
            return
        if call.connection is None:
            error: CallFailedError = NotConnectedError(
                f"{call.address}: timed out while connecting"
            )
        else:
            call.connection.abort()
            channel = call.connection.channel.describe()
            error = CallFailedError(
                f"{call.address}: timed out while waiting for the answer on {channel}"
            )
            self._counters["http.timeouts.reused"] += channel.is_reused
            self._close_silent(call.address, call.due_s)
        self._counters["http.timeouts"] += 1
        self.fail_call(call, error)

    def release_connection(self, address: str, connection: Connection, keep_alive: bool) -> None:
        """Keep a connection for reuse after its call was answered, or close it."""
        idle = self._idle[address]
        if keep_alive and len(idle) < MAX_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.abort()

    def remove_idle(self, address: str, connection: Connection) -> None:
        """Remove a lost connection from the idle ones."""
        idle = self._idle.get(address)
        if idle and connection in idle:
            idle.remove(connection)

    def _compute_time_left(self, call: Call) -> float:
        """Return for how many seconds a call may go on, as its answer is arriving."""
        if call.silence_s is None:
            return 0.0
        return min(call.heard_s + call.silence_s, call.ends_s) - self.read_seconds()

    def _close_silent(self, address: str, since_s: float) -> None:
        """Close the idle connections without an answer since that of a lost call was due."""
        idle = self._idle.get(address, [])
        silent = [
            connection for connection in idle if not connection.channel.has_answered_since(since_s)
        ]
        for connection in silent:
            idle.remove(connection)
            connection.abort()
        self._counters["http.closed_silent"] += len(silent)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that is no longer in use."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def finish_call(self, call: Call, reply: Reply) -> None:
        """Fire the deferred of a call with its answer."""
        if not call.result.called:
            call.result.callback(reply)

    def fail_call(self, call: Call, error: CallFailedError) -> None:
        """Fail the deferred of a call with an error."""
        if not call.result.called:
            call.result.errback(error)


def _write_at_once(transport: Any, data: bytes) -> None:
    """Write `data` now rather than in the reactor's next turn, which takes three system calls more.

    Nothing may be waiting to be written. What the socket does not take is buffered as usual; on a
    lost connection nothing is written, and the call fails when the loss is reported.
    """
    if not transport.connected:
        return
    written = transport.writeSomeData(data)
    unwritten = data[written:] if isinstance(written, int) else data
    if unwritten:
        transport.write(unwritten)


def build_request(
    method: str, path: str, address: str, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a request with a JSON body, or without a body."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method != "GET":
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
