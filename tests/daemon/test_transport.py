"""Calls over HTTP whose answers arrive while the reactor is busy."""

from collections import Counter
from typing import Any

import pytest
from twisted.internet.error import (
    ConnectBindError,
    ConnectionDone,
    ConnectionRefusedError,
    NoRouteError,
    TimeoutError,
)
from twisted.internet.task import Clock
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from quetzallock_daemon.transport import (
    CallFailedError,
    ConnectionLostError,
    ConnectionRejectedError,
    ConnectionUnansweredError,
    HttpClient,
    NotConnectedError,
    Reply,
)
from quetzallock_daemon.transport.client import CONNECT_TIMEOUT_MS, Connection

ADDRESS = "127.0.0.1:80"
TIMEOUT_MS = 700
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class TurnClock(Clock):
    """A clock that reads input between the timers of one turn and those of the next."""

    def turn(self, seconds: float) -> None:
        """Pass time, then call the timers that were due before this turn."""
        self.rightNow += seconds
        due = [call for call in self.calls if call.getTime() <= self.rightNow]
        for call in due:
            self.calls.remove(call)
            call.called = 1
            call.func(*call.args, **call.kw)


class SocketTransport(StringTransport):
    """A transport that can also be written to at once."""

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        """Write all of `data`."""
        self.write(data)
        return len(data)

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""


def make_call(clock: Clock) -> tuple[Connection, list[Any]]:
    """Return a connection on which a call was sent, and the list that gets its result."""
    client = HttpClient(clock, Counter())
    connection = Connection(client, ADDRESS)
    connection.makeConnection(SocketTransport())
    client._idle[ADDRESS].append(connection)
    results: list[Any] = []
    client.call(ADDRESS, b"GET / HTTP/1.1\r\n\r\n", TIMEOUT_MS).addBoth(results.append)
    return connection, results


def test_answer_that_arrived_in_time_is_read_although_the_timer_is_late() -> None:
    clock = TurnClock()
    connection, results = make_call(clock)
    clock.turn(2 * TIMEOUT_MS / 1_000)
    connection.dataReceived(ANSWER)
    clock.turn(0)
    assert results == [Reply(200, b"{}", connection.channel)]


def test_call_without_an_answer_times_out() -> None:
    clock = TurnClock()
    _, results = make_call(clock)
    clock.turn(TIMEOUT_MS / 1_000)
    clock.turn(0)
    assert [type(result.value) for result in results] == [CallFailedError]


def test_calls_time_out_at_their_own_limits_whatever_their_order() -> None:
    """One timer serves all calls; guards against a limit that waits for that of an earlier call."""
    clock = TurnClock()
    client = HttpClient(clock, Counter())
    timed_out: list[int] = []
    for timeout_ms in (3_000, 700, 1_500, 700):
        connection = Connection(client, ADDRESS)
        connection.makeConnection(SocketTransport())
        client._idle[ADDRESS].append(connection)
        call = client.call(ADDRESS, b"GET / HTTP/1.1\r\n\r\n", timeout_ms)
        call.addErrback(lambda _, ms=timeout_ms: timed_out.append(ms))
    seen = []
    for _ in range(31):
        clock.turn(0.1)
        clock.turn(0)
        seen.append(list(timed_out))
    assert seen[5] == []
    assert seen[7] == [700, 700]
    assert seen[13] == [700, 700]
    assert seen[15] == [700, 700, 1_500]
    assert seen[28] == [700, 700, 1_500]
    assert seen[30] == [700, 700, 1_500, 3_000]


def test_limit_that_passes_while_the_timer_waits_for_input_waits_for_input_too() -> None:
    """Guards against a call that shares the turn of an earlier one and is not read first."""
    clock = TurnClock()
    connection, results = make_call(clock)
    client = connection._client
    second = Connection(client, ADDRESS)
    second.makeConnection(SocketTransport())
    client._idle[ADDRESS].append(second)
    client.call(ADDRESS, b"GET / HTTP/1.1\r\n\r\n", TIMEOUT_MS + 100).addBoth(results.append)
    clock.turn(TIMEOUT_MS / 1_000)
    clock.turn(0.1)
    assert [type(result.value) for result in results] == [CallFailedError]
    second.dataReceived(ANSWER)
    clock.turn(0)
    assert results[1:] == [Reply(200, b"{}", second.channel)]


def test_answered_call_leaves_no_timer_of_its_own() -> None:
    clock = TurnClock()
    connection, results = make_call(clock)
    connection.dataReceived(ANSWER)
    for _ in range(50):
        connection._client.call(ADDRESS, b"GET / HTTP/1.1\r\n\r\n", TIMEOUT_MS)
        connection.dataReceived(ANSWER)
    assert len(clock.calls) == 1
    clock.turn(TIMEOUT_MS / 1_000)
    clock.turn(0)
    assert results == [Reply(200, b"{}", connection.channel)]
    assert not clock.calls


def test_connection_whose_call_timed_out_is_dropped() -> None:
    """Its answer may still come, and must not be read as that of a later call."""
    clock = TurnClock()
    connection, _ = make_call(clock)
    clock.turn(TIMEOUT_MS / 1_000)
    clock.turn(0)
    assert connection.transport.disconnected  # type: ignore[union-attr]
    assert not connection._client._idle[ADDRESS]


class PendingReactor(TurnClock):
    """A reactor whose connections are never established."""

    def connectTCP(self, *_args: Any, **_fields: Any) -> None:  # noqa: N802
        """Do nothing."""


def test_call_that_times_out_while_connecting_was_never_sent() -> None:
    clock = PendingReactor()
    results: list[Any] = []
    client = HttpClient(clock, Counter())
    client.call(ADDRESS, b"GET / HTTP/1.1\r\n\r\n", TIMEOUT_MS).addBoth(results.append)
    clock.turn(TIMEOUT_MS / 1_000)
    clock.turn(0)
    assert [type(result.value) for result in results] == [NotConnectedError]


def send_with_silence_limit(wait_ms: int) -> tuple[TurnClock, Connection, list[Any]]:
    """Return a connection on which a call with a limit of 500 ms of silence was sent."""
    clock = TurnClock()
    client = HttpClient(clock, Counter())
    connection = Connection(client, ADDRESS)
    connection.makeConnection(SocketTransport())
    client._idle[ADDRESS].append(connection)
    results: list[Any] = []
    call = client.call(ADDRESS, b"GET", 2_000 + wait_ms, wait_ms=wait_ms, silence_ms=500)
    call.addBoth(results.append)
    return clock, connection, results


def let_pass(clock: TurnClock, ms: int) -> None:
    for _ in range(ms // 100):
        clock.turn(0.1)
        clock.turn(0)


def test_long_answer_that_keeps_arriving_does_not_time_out() -> None:
    """Guards against a large configuration that a slow link never carries within the limit."""
    clock, connection, results = send_with_silence_limit(0)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n")
    for piece in (b"a", b"b", b"c"):
        let_pass(clock, 400)
        connection.dataReceived(piece)
    assert results == []
    connection.dataReceived(b"d")
    assert results == [Reply(200, b"abcd", connection.channel)]


def test_long_answer_that_stops_arriving_times_out() -> None:
    clock, connection, results = send_with_silence_limit(0)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\na")
    let_pass(clock, 400)
    connection.dataReceived(b"b")
    let_pass(clock, 400)
    assert results == []
    let_pass(clock, 200)
    assert [type(result.value) for result in results] == [CallFailedError]


def test_answer_that_arrives_too_slowly_times_out_at_the_limit_for_the_whole() -> None:
    clock, connection, results = send_with_silence_limit(0)
    connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
    for _ in range(5):
        let_pass(clock, 400)
        connection.dataReceived(b"a")
    let_pass(clock, 100)
    assert [type(result.value) for result in results] == [CallFailedError]


def test_silence_counts_from_the_end_of_the_wait() -> None:
    clock, _, results = send_with_silence_limit(1_000)
    let_pass(clock, 1_400)
    assert results == []
    let_pass(clock, 200)
    assert [type(result.value) for result in results] == [CallFailedError]


def test_connection_that_answered_before_a_lost_answer_was_due_is_closed() -> None:
    """It may have broken with the other one while that was kept waiting."""
    clock, waiting, results = send_with_silence_limit(1_000)
    client = waiting._client
    early, late = Connection(client, ADDRESS), Connection(client, ADDRESS)
    for connection, at_ms in ((early, 800), (late, 1_200)):
        connection.makeConnection(SocketTransport())
        let_pass(clock, at_ms - round(clock.seconds() * 1_000))
        client._idle[ADDRESS].append(connection)
        client.call(ADDRESS, b"GET", TIMEOUT_MS)
        connection.dataReceived(ANSWER)
    let_pass(clock, 500)
    assert len(results) == 1
    assert client._idle[ADDRESS] == [late]


@pytest.mark.parametrize(
    ("failure", "expected"),
    [
        (ConnectionRefusedError(), ConnectionRejectedError),
        (NoRouteError(), NotConnectedError),
        (ConnectBindError(), NotConnectedError),
    ],
)
def test_only_an_answer_of_the_peer_counts_as_a_rejected_connection(
    failure: Exception, expected: type[CallFailedError]
) -> None:
    reactor = MemoryReactorClock()
    results: list[Any] = []
    HttpClient(reactor, Counter()).call(ADDRESS, b"", TIMEOUT_MS).addErrback(results.append)
    reactor.tcpClients[0][2].clientConnectionFailed(None, Failure(failure))
    assert results[0].type is expected


@pytest.mark.parametrize(
    ("late_s", "expected"), [(0, ConnectionUnansweredError), (0.5, NotConnectedError)]
)
def test_connection_that_a_stalled_host_has_not_looked_at_does_not_count_as_unanswered(
    late_s: float, expected: type[CallFailedError]
) -> None:
    reactor = MemoryReactorClock()
    results: list[Any] = []
    HttpClient(reactor, Counter()).call(ADDRESS, b"", 2_000).addErrback(results.append)
    reactor.rightNow += CONNECT_TIMEOUT_MS / 1_000 + late_s
    reactor.tcpClients[0][2].clientConnectionFailed(None, Failure(TimeoutError()))
    assert results[0].type is expected


def test_connection_that_is_lost_after_the_call_was_sent_is_not_a_rejected_one() -> None:
    connection, results = make_call(Clock())
    connection.connectionLost(Failure(ConnectionDone()))
    assert results[0].type is ConnectionLostError
