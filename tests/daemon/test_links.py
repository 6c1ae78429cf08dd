"""Links between entry hosts: what cannot be sent, and when the next connection is tried."""

from collections import Counter

import pytest
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.testing import MemoryReactorClock
from twisted.python.failure import Failure

from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.messages import ProcessProbe
from quetzallock_daemon.cells.peers import Peers, PeerUnreachableError
from quetzallock_daemon.peers.const import MAX_QUEUED_FRAMES, RECONNECT_PAUSE_MS
from quetzallock_daemon.peers.links import Link

EXTRA_FRAMES = 3


def test_frames_pushed_out_of_a_full_queue_are_counted() -> None:
    counters: Counter[str] = Counter()
    link = Link(MemoryReactorClock(), "127.0.0.1:7720", b"hello", counters)
    for _ in range(MAX_QUEUED_FRAMES + EXTRA_FRAMES):
        link.send(b"frame")
    assert counters["peers.dropped"] == EXTRA_FRAMES


@pytest.mark.parametrize("interval_ms", [1, 40, 90])
def test_requests_during_the_pause_after_a_failed_connection_do_not_prolong_it(
    monkeypatch: pytest.MonkeyPatch, interval_ms: int
) -> None:
    """Guards against a restarted owner that no router reaches while there are requests."""
    reactor = MemoryReactorClock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    peers = Peers(reactor, Counter())
    failures: list[Failure] = []
    for ticket in range(2 * RECONNECT_PAUSE_MS // interval_ms):
        peers.send("10.0.0.1:7720", ProcessProbe(ticket)).addErrback(failures.append)
        clients = reactor.tcpClients
        if len(clients) == 1 and not failures:
            clients[0][2].clientConnectionFailed(None, Failure(ConnectionRefusedError()))
        reactor.advance(interval_ms / 1_000)
        if len(clients) > 1:
            break
    assert len(reactor.tcpClients) == 2
    assert reactor.seconds() * 1_000 <= RECONNECT_PAUSE_MS // 5 + 2 * interval_ms
    assert all(failure.check(PeerUnreachableError) for failure in failures)
