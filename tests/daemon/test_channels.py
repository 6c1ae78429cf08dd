"""What answers and time-outs tell about the connection that carried the call."""

from collections import Counter
from typing import Any

from twisted.internet.task import Clock

from quetzallock_daemon.transport import CallFailedError, Channel, HttpClient, Reply
from quetzallock_daemon.transport.client import Connection

from .test_transport import ADDRESS, ANSWER, TIMEOUT_MS, SocketTransport, TurnClock

REQUEST = b"GET / HTTP/1.1\r\n\r\n"


class ConnectingReactor(TurnClock):
    """A reactor that establishes each connection at once."""

    def __init__(self) -> None:
        super().__init__()
        self.connections: list[Connection] = []

    def connectTCP(self, _ip: str, _port: int, factory: Any, **_fields: Any) -> None:  # noqa: N802
        """Establish a connection."""
        connection = factory.buildProtocol(None)
        self.connections.append(connection)
        connection.makeConnection(SocketTransport())


def call(client: HttpClient) -> list[Any]:
    """Send a call, and return the list that gets its result."""
    results: list[Any] = []
    client.call(ADDRESS, REQUEST, TIMEOUT_MS).addBoth(results.append)
    return results


def answer(clock: Clock, connection: Connection, after_ms: int) -> None:
    """Let time pass, then answer the call on a connection."""
    clock.rightNow += after_ms / 1_000
    connection.dataReceived(ANSWER)


def describe(results: list[Any]) -> Channel:
    """Return the channel that carried the answer."""
    (reply,) = results
    assert isinstance(reply, Reply)
    assert reply.channel is not None
    return reply.channel.describe()


def test_answer_tells_a_reused_connection_from_a_new_one() -> None:
    reactor = ConnectingReactor()
    client = HttpClient(reactor, Counter())
    results = call(client)
    answer(reactor, reactor.connections[0], after_ms=10)
    assert describe(results) == Channel(1, False, 0, 0, 0)
    reactor.rightNow += 0.5
    results = call(client)
    answer(reactor, reactor.connections[0], after_ms=10)
    assert describe(results) == Channel(1, True, 1, 510, 500)


def test_timeouts_name_their_connections_and_count_the_reused_ones() -> None:
    """Guards against a log that cannot tell a silent store from connections that went silent."""
    reactor = ConnectingReactor()
    counters: Counter[str] = Counter()
    client = HttpClient(reactor, counters)
    call(client)
    answer(reactor, reactor.connections[0], after_ms=10)
    reused, new = call(client), call(client)
    reactor.turn(TIMEOUT_MS / 1_000)
    reactor.turn(0)
    errors = [result.value for result in reused + new]
    assert [type(error) for error in errors] == [CallFailedError, CallFailedError]
    text = f"{ADDRESS}: timed out while waiting for the answer on channel "
    assert [str(error) for error in errors] == [
        text + "1 (reused, 1 calls before, open for 10 ms, idle for 0 ms)",
        text + "2 (new, 0 calls before, open for 0 ms, idle for 0 ms)",
    ]
    assert (counters["http.timeouts"], counters["http.timeouts.reused"]) == (2, 1)
