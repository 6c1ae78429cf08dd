"""Calls to an address some of whose connections carry no data any more."""

import pytest
from twisted.internet.defer import Deferred

from quetzallock_daemon.transport import CallFailedError, Reply, build_request

from ..emulated_network import EmulatedNetwork, EmulatedTransport

SERVER = "10.0.0.2:80"
OTHER_SERVER = "10.0.0.3:80"
TIMEOUT_MS = 2_000
ANSWER = (200, b"{}")


def answer_at_once(transport: EmulatedTransport, _path: str, _body: bytes) -> None:
    transport.deliver(*ANSWER)


class ClientOnNetwork:
    """A client with idle connections to a server."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, idle: int) -> None:
        self.network = EmulatedNetwork(monkeypatch)
        self.network.servers = {SERVER: answer_at_once, OTHER_SERVER: answer_at_once}
        self.network.open_idle_connections(idle, build_request("GET", "/", SERVER), SERVER)
        assert len(self.network.transports) == idle

    def send(self, address: str = SERVER) -> list[object]:
        """Send a call; return a list that gets its result."""
        results: list[object] = []
        request = build_request("GET", "/", address)
        call: Deferred[Reply] = self.network.client.call(address, request, TIMEOUT_MS)
        call.addCallbacks(
            lambda reply: results.append((reply.status, reply.body)),
            lambda failure: results.append(failure.value),
        )
        return results

    def call(self, address: str = SERVER) -> object:
        """Send a call, and return its result once there is one."""
        results = self.send(address)
        while not results:
            self.network.run(1)
        return results[0]

    def time_out_on_one(self) -> None:
        """Let one call time out on a connection that goes silent as it is sent."""
        transports = self.network.transports
        before = [transport.requests for transport in transports]
        used = self.network.servers.pop(SERVER)
        self.network.servers[SERVER] = lambda *_: None
        results = self.send()
        for transport, requests in zip(transports, before, strict=True):
            transport.is_silent = transport.requests > requests
        self.network.servers[SERVER] = used
        self.network.run(TIMEOUT_MS // 2)
        assert results == []
        assert self.call() == ANSWER
        self.network.run(TIMEOUT_MS)
        assert isinstance(results[0], CallFailedError)


@pytest.mark.parametrize("idle", [1, 2, 4, 8])
def test_call_after_a_timeout_meets_no_connection_that_is_silent_for_as_long(
    idle: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one more time-out for each connection that broke at the same moment."""
    host = ClientOnNetwork(monkeypatch, idle)
    host.network.silence_open_connections(SERVER)
    assert isinstance(host.call(), CallFailedError)
    assert host.call() == ANSWER


def test_connection_that_answered_after_the_timed_out_call_was_sent_is_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against closing sound connections because one of them broke."""
    host = ClientOnNetwork(monkeypatch, idle=2)
    host.time_out_on_one()
    assert host.call() == ANSWER
    assert len(host.network.transports) == 2


def test_timeout_at_one_address_closes_no_connection_to_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = ClientOnNetwork(monkeypatch, idle=2)
    assert host.call(OTHER_SERVER) == ANSWER
    host.network.silence_open_connections(SERVER)
    assert isinstance(host.call(), CallFailedError)
    assert host.call(OTHER_SERVER) == ANSWER
    assert len(host.network.transports) == 3
