"""Callers of a host that drains: each request that is read whole gets an answer before the exit."""

import re
from typing import Any

import pytest
from twisted.internet.testing import StringTransport

from quetzallock_core.cells.models import QueuePolicy
from quetzallock_daemon.cells.ports import Configuration, Queue, RequestLimits
from quetzallock_daemon.cells.router import CallerAnswer, CallerRequest

from .emulated_hosts import CALL_MS, STEP_MS, EmulatedHosts

HOST = "shop.example"
QUEUE = Queue(HOST, "/jobs/", 60_000, QueuePolicy("jobs", "pool"))
SETTLING_MS = 6_000
GRACE_MS = 6_000
LOSS_SLACK_MS = 200
SILENT_APPEND_MS = 60_000
BODY = b"{}"


class CallerTransport(StringTransport):
    """A caller's connection, as the host's transport for it.

    Attributes:
        is_finished: The host has closed the connection, or its writing half.
        is_closed: The host has closed the connection.
    """

    is_finished = False
    is_closed = False

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Close the writing half."""
        self.is_finished = True

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection."""
        self.is_finished = True
        self.is_closed = True


class Caller:
    """A caller with one connection to a host."""

    def __init__(self, hosts: EmulatedHosts, name: str) -> None:
        self.transport = CallerTransport(lenient=True)
        self._channel: Any = hosts.fronts[name].factory.buildProtocol(None)
        self._channel.makeConnection(self.transport)
        self.sent = 0

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self._channel.dataReceived(data)

    def submit(self, job: int) -> None:
        """Send a whole submission."""
        self.send(make_submission(job))
        self.sent += 1

    @property
    def statuses(self) -> list[int]:
        """Status of each answer."""
        return [int(status) for status in re.findall(rb"HTTP/1\.1 (\d+)", self.transport.value())]


def make_submission(job: int) -> bytes:
    head = f"POST /jobs/{job:016x} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {len(BODY)}\r\n\r\n"
    return head.encode() + BODY


def make_hosts(
    monkeypatch: pytest.MonkeyPatch, count: int, grace_ms: int = GRACE_MS
) -> EmulatedHosts:
    hosts = EmulatedHosts(monkeypatch, [2_000] * count, grace_ms=grace_ms)
    hosts.run(SETTLING_MS)
    for service in hosts.services.values():
        service.router.configuration = Configuration(1, (QUEUE,), RequestLimits())
    return hosts


def run_until_exit(hosts: EmulatedHosts, name: str) -> int:
    """Let a host drain to its end, and return how long that took from now on."""
    began_at = hosts.now
    drained = hosts.services[name]._drain_task._drained
    while not drained.called:
        assert hosts.now - began_at < GRACE_MS
        hosts.run(STEP_MS)
    return hosts.now - began_at


@pytest.mark.parametrize("is_owner", [True, False])
@pytest.mark.parametrize("read_after_ms", [0, 1_000, 2_300, 2_900, 3_100, 4_000, 4_900])
def test_request_that_a_draining_host_has_read_is_answered_before_the_exit(
    monkeypatch: pytest.MonkeyPatch, read_after_ms: int, is_owner: bool
) -> None:
    """Guards against requests that are given up as the process ends; no append has an answer."""
    hosts = make_hosts(monkeypatch, 3)
    name = next(host for host in hosts.services if (host == hosts.owner) is is_owner)
    caller = Caller(hosts, name)
    earlier = Caller(hosts, name)
    hosts.append_ms = SILENT_APPEND_MS
    earlier.submit(1)
    hosts.run(STEP_MS)
    hosts.services[name].drain()
    hosts.run(read_after_ms)
    if not caller.transport.is_finished:
        caller.submit(2)
    assert read_after_ms + run_until_exit(hosts, name) < GRACE_MS
    assert len(earlier.statuses) == 1
    assert len(caller.statuses) == caller.sent
    assert caller.transport.is_finished


def test_request_is_answered_though_the_hosts_drain_one_after_the_other(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that wait for an owner which itself hands over, to the exit."""
    hosts = make_hosts(monkeypatch, 2)
    first = hosts.owner
    (second,) = set(hosts.services) - {first}
    caller = Caller(hosts, first)
    hosts.services[first].drain()
    hosts.run(2_000)
    hosts.services[second].drain()
    hosts.run(900)
    caller.submit(1)
    run_until_exit(hosts, first)
    assert caller.statuses == [503]
    assert b"Retry-After: 1" in caller.transport.value()


@pytest.mark.parametrize("grace_ms", [500, 1_000, 2_000])
def test_request_in_flight_at_a_stop_with_a_short_grace_is_answered(
    monkeypatch: pytest.MonkeyPatch, grace_ms: int
) -> None:
    """Guards against a request that one attempt at the owner outlasts the grace of."""
    hosts = make_hosts(monkeypatch, 2, grace_ms)
    hosts.append_ms = SILENT_APPEND_MS
    (name,) = set(hosts.services) - {hosts.owner}
    caller = Caller(hosts, name)
    caller.submit(1)
    hosts.run(STEP_MS)
    hosts.services[name].drain()
    assert run_until_exit(hosts, name) < grace_ms
    assert caller.statuses == [504]


def test_answer_of_a_draining_host_closes_its_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a header that announces the end of a connection which stays open."""
    hosts = make_hosts(monkeypatch, 2)
    callers = [Caller(hosts, name) for name in hosts.services]
    hosts.services["h0"].drain()
    hosts.run(500)
    for number, caller in enumerate(callers):
        caller.submit(number)
    hosts.run(500)
    assert [caller.statuses for caller in callers] == [[200], [200]]
    assert [caller.transport.is_finished for caller in callers] == [True, False]


def test_requests_that_arrived_together_are_all_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a connection that is closed with a whole request in its buffer."""
    hosts = make_hosts(monkeypatch, 2)
    caller = Caller(hosts, "h0")
    hosts.services["h0"].drain()
    caller.send(make_submission(1) + make_submission(2) + make_submission(3))
    hosts.run(1_000)
    assert caller.statuses == [200, 200, 200]
    assert caller.transport.is_finished


def test_request_that_arrives_before_the_answer_to_the_one_before_it_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a whole request that is unread as the answer closes its connection."""
    hosts = make_hosts(monkeypatch, 2)
    service = hosts.services["h0"]
    caller = Caller(hosts, "h0")
    make_answer = service.router.answer

    async def answer(request: CallerRequest) -> CallerAnswer:
        made = await make_answer(request)
        if caller.sent == 1:
            hosts.reactors["h0"].callLater(0, caller.submit, 2)
        return made

    monkeypatch.setattr(service.router, "answer", answer)
    service.drain()
    caller.submit(1)
    hosts.run(1_000)
    assert caller.statuses == [200, 200]
    assert caller.transport.is_finished


@pytest.mark.parametrize("append_ms", [CALL_MS, SILENT_APPEND_MS])
@pytest.mark.parametrize("completed_after_ms", [2_900, 3_500, 4_500, 4_900])
def test_request_whose_last_byte_comes_late_in_the_drain_is_answered(
    monkeypatch: pytest.MonkeyPatch, completed_after_ms: int, append_ms: int
) -> None:
    hosts = make_hosts(monkeypatch, 2)
    hosts.append_ms = append_ms
    caller = Caller(hosts, "h0")
    request = make_submission(1)
    hosts.services["h0"].drain()
    hosts.run(1_000)
    caller.send(request[:-1])
    hosts.run(completed_after_ms - 1_000)
    assert not caller.transport.is_finished
    caller.send(request[-1:])
    run_until_exit(hosts, "h0")
    assert len(caller.statuses) == 1
    assert caller.transport.is_finished


def test_no_connection_is_open_and_none_is_accepted_at_the_exit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that the process has read, or could have, as it ends."""
    hosts = make_hosts(monkeypatch, 2)
    idle = Caller(hosts, "h0")
    partial = Caller(hosts, "h0")
    partial.send(make_submission(1)[:-1])
    hosts.services["h0"].drain()
    hosts.run(2_900)
    assert hosts.fronts["h0"].is_open
    run_until_exit(hosts, "h0")
    assert not hosts.fronts["h0"].is_open
    assert idle.transport.is_finished
    assert partial.transport.is_finished


def test_request_that_comes_too_late_for_an_attempt_is_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a caller that waits to the exit, instead of trying another host."""
    hosts = make_hosts(monkeypatch, 2)
    hosts.append_ms = SILENT_APPEND_MS
    caller = Caller(hosts, "h0")
    request = make_submission(1)
    hosts.services["h0"].drain()
    caller.send(request[:-1])
    hosts.run(4_400)
    caller.send(request[-1:])
    hosts.run(2 * STEP_MS)
    assert caller.statuses == [503]
    assert b"Retry-After: 1" in caller.transport.value()
    assert b"draining" in caller.transport.value()


def test_idle_connections_are_ended_after_the_port_and_let_the_host_exit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an exit at the limit, and against ending one whose request is on its way."""
    hosts = make_hosts(monkeypatch, 2)
    idle = Caller(hosts, "h0")
    hosts.services["h0"].drain()
    hosts.run(2_950)
    new = Caller(hosts, "h0")
    hosts.run(100)
    assert not hosts.fronts["h0"].is_open
    assert idle.transport.is_finished
    assert not new.transport.is_finished
    new.submit(1)
    hosts.run(100)
    assert new.statuses == [200]
    assert new.transport.is_finished


def test_connection_is_read_for_the_slack_after_its_last_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a reset by unread bytes, which destroys the answer."""
    hosts = make_hosts(monkeypatch, 2)
    caller = Caller(hosts, "h0")
    hosts.services["h0"].drain()
    caller.submit(1)
    for _ in range(1_000 // STEP_MS):
        if not caller.transport.is_finished:
            hosts.run(STEP_MS)
    assert caller.statuses == [200]
    assert not caller.transport.is_closed
    caller.submit(2)
    hosts.run(LOSS_SLACK_MS + STEP_MS)
    assert caller.transport.is_closed
    assert caller.statuses == [200]


def test_host_that_stalls_over_the_end_of_its_drain_has_a_turn_to_flush_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hosts = make_hosts(monkeypatch, 2)
    hosts.append_ms = SILENT_APPEND_MS
    (name,) = set(hosts.services) - {hosts.owner}
    caller = Caller(hosts, name)
    service = hosts.services[name]
    service.drain()
    hosts.run(2_900)
    caller.submit(1)
    hosts.run(1_900)
    hosts.keep_busy(name, 500)
    while not caller.statuses:
        hosts.run(STEP_MS)
    assert not service._drain_task._drained.called
    run_until_exit(hosts, name)
