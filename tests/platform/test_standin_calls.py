"""Tests of calls to the workers of the platform stand-in."""

import json
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from quetzallock_core.cells.models import Resources
from quetzallock_daemon.transport import build_request
from quetzallock_platform_standin import server
from quetzallock_platform_standin.orders import OrderFaults
from quetzallock_standins.emulator import EmulatedWorker, GroundTruth
from quetzallock_standins.emulator.cluster import make_entry
from quetzallock_standins.emulator.workers import TaskBehaviour

TASK = "0000000000000001.0.0.0"
START = {"task": TASK, "run": 1, "spec": "lasts", "untilMs": 9_000, "fencingToken": 3}
STOP = {"task": TASK, "run": 1, "fencingToken": 3}
CALLS = [("/run-start", START), ("/run-stop", STOP), ("/pace", STOP | {"percent": 5})]
CALLS += [("/hold", {"fencingToken": 3, "untilMs": 9_000, "ackCursor": 1})]


class CalledWorker:
    """A worker of the stand-in, in the time of a clock that the test advances."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = Clock()
        monkeypatch.setattr(server, "reactor", self.clock)
        monkeypatch.setattr(server, "time", SimpleNamespace(monotonic=self.clock.seconds))
        entry = make_entry("w0", Resources(16_000, 64_000, 0), "rack0", boot_ms=1)
        ground_truth = GroundTruth(lambda: int(self.clock.seconds() * 1_000))
        behaviours = {TASK: TaskBehaviour(Resources(500), 1_000.0)}
        self.worker = EmulatedWorker(entry, ground_truth, behaviours)
        self._standin: Any = SimpleNamespace(
            order_faults=OrderFaults(self.clock.callLater),
            behaviours=SimpleNamespace(add_task=lambda _task, _payload: None),
        )

    def send(self, path: str, body: dict[str, Any], instance: str | None) -> StringTransport:
        """Send a call; return the transport, on which the answer is written."""
        factory = server.make_factory(server.WorkerRequest, self._standin, self.worker)
        factory.reactor = self.clock
        transport = StringTransport()
        headers = {} if instance is None else {"X-Expected-Instance": instance}
        channel = factory.buildProtocol(None)
        channel.makeConnection(transport)
        channel.dataReceived(build_request("POST", path, "w", json.dumps(body).encode(), headers))
        return transport

    def advance(self, ms: int) -> None:
        """Advance the worker and the time."""
        for _ in range(ms // 10):
            self.worker.advance(10)
            self.clock.advance(0.01)


def read_answer(transport: StringTransport) -> tuple[int, dict[str, Any]]:
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]), json.loads(body)


@pytest.fixture
def called(monkeypatch: pytest.MonkeyPatch) -> CalledWorker:
    return CalledWorker(monkeypatch)


@pytest.mark.parametrize(("path", "body"), CALLS)
def test_call_that_names_another_worker_does_nothing(
    called: CalledWorker, path: str, body: dict[str, Any]
) -> None:
    """Else an owner that follows a false address acts on a worker that it did not mean."""
    worker = called.worker
    called.send("/run-start", START | {"fencingToken": 2, "untilMs": 5_000}, "w0")
    before = (worker.fence, worker.lease_until, worker.runs[TASK].pace, worker.runs[TASK].stops_at)
    other = "0000000000000002.0.0.0"
    status, answer = read_answer(called.send(path, body | {"task": other}, "w1"))
    assert (status, answer) == (421, {"clockMs": worker.clock_ms})
    assert read_answer(called.send(path, body, "w1"))[0] == 421
    after = (worker.fence, worker.lease_until, worker.runs[TASK].pace, worker.runs[TASK].stops_at)
    assert after == before
    assert set(worker.runs) == {TASK}


@pytest.mark.parametrize("instance", [None, "w0"])
@pytest.mark.parametrize(("path", "body"), CALLS)
def test_call_that_names_the_worker_or_none_is_executed(
    called: CalledWorker, path: str, body: dict[str, Any], instance: str | None
) -> None:
    assert read_answer(called.send(path, body, instance))[0] == 200
    assert called.worker.fence == 3


def test_cursor_of_a_waiting_poll_drops_no_end_that_comes_while_it_waits(
    called: CalledWorker,
) -> None:
    """Else a poll with the cursor of an earlier boot drops ends that no owner has read."""
    called.send("/run-start", START, "w0")
    poll = {"fencingToken": 3, "ackCursor": 57, "waitMs": 2_000}
    transport = called.send("/hold", poll, "w0")
    called.advance(500)
    assert transport.value() == b""
    called.advance(600)
    _status, answer = read_answer(transport)
    assert answer["finished"] == [[1, TASK, 1, "done", ""]]
    assert called.worker.ground_truth.violations == []
    assert [row.number for row in called.worker.ends] == [1]


def test_waiting_poll_extends_the_lease_when_it_arrives_only(called: CalledWorker) -> None:
    """Else a lease that was shortened to the maximum grows beyond it while the poll waits."""
    worker = called.worker
    until_ms = worker.clock_ms + worker.max_lease_ms
    called.send("/hold", {"untilMs": until_ms + 5_000, "fencingToken": 3, "waitMs": 2_000}, "w0")
    called.advance(1_000)
    assert worker.lease_until == until_ms
