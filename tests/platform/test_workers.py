"""Requests to workers and their answers."""

import json
from typing import Any

import pytest
from twisted.internet.defer import Deferred, ensureDeferred, succeed

from quetzallock_core.cells.models import (
    EndRow,
    Inventory,
    PollFailure,
    Resources,
    RunningRow,
    WorkerEntry,
)
from quetzallock_core.cells.orders import StopRun
from quetzallock_daemon.cells.ports import OrderAnswer
from quetzallock_daemon.transport import Reply, build_request
from quetzallock_platform.workers import PlatformWorkers

ADDRESS = "10.1.0.20:7000"
ENTRY = WorkerEntry("backend-1", 5, "pool", ADDRESS, "dc", False, Resources(), (), "rack")


class AnsweringClient:
    """Records requests, and answers each with the same reply."""

    def __init__(self, reply: Reply) -> None:
        self.requests: list[bytes] = []
        self._reply = reply

    def call(
        self, _address: str, request: bytes, _timeout_ms: int, **_limits: Any
    ) -> "Deferred[Reply]":
        """Record a request."""
        self.requests.append(request)
        return succeed(self._reply)


def poll(body: bytes) -> Any:
    """Return what a poll makes of the body of an answer."""
    workers = PlatformWorkers(AnsweringClient(Reply(200, body)))  # type: ignore[arg-type]
    results: list[Any] = []
    poll_once = workers.poll_inventory(ENTRY, 7, 12, 900, 1_500)
    ensureDeferred(poll_once).addCallback(results.append)
    return results[0]


def test_inventory_is_decoded() -> None:
    document = {
        "clockMs": 482113,
        "born": 5,
        "running": [["job.0.0.1", 3, None, 100, 812.5], ["job.0.0.2", 4, "c1", 50]],
        "finished": [[7, "job.0.0.3", 5, "done", None]],
        "more": {},
    }
    running = (
        RunningRow("job.0.0.1", 3, None, 100, 812.5),
        RunningRow("job.0.0.2", 4, "c1", 50, 0),
    )
    ended = (EndRow(7, "job.0.0.3", 5, "done", None),)
    assert poll(json.dumps(document).encode()) == Inventory(482113, running, ended, 5)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({"running": [["t", 3, None, 12.5, 0, "more"]]}, ((("t", 3, None, 12.5, 0),), ())),
        ({"finished": [[7, "t", 5, "done", None, 1]]}, ((), ((7, "t", 5, "done", None),))),
        ({"clockMs": 10.5}, ((), ())),
        ({"born": None}, ((), ())),
    ],
)
def test_inventory_with_unexpected_values_is_still_decoded(
    change: dict[str, Any], expected: tuple[Any, Any]
) -> None:
    """Guards against a worker of a newer version whose inventories would all be dropped."""
    document = {"clockMs": 10, "born": 5, "running": [], "finished": []} | change
    inventory = poll(json.dumps(document).encode())
    assert (inventory.running, inventory.ended) == expected
    assert inventory.clock_ms == document["clockMs"]
    assert inventory.boot_ms == document["born"]


@pytest.mark.parametrize(("count", "has_more"), [(0, False), (499, False), (500, True)])
@pytest.mark.parametrize("percent", [100, 12.5])
def test_full_list_of_ends_may_lack_some(count: int, has_more: bool, percent: float) -> None:
    """The owner started tasks again whose ends did not fit into the list."""
    document = {
        "clockMs": 10,
        "running": [["job.0.0.1", 3, "", percent, 0]],
        "finished": [[number, "job.0.0.2", number, "done", ""] for number in range(count)],
    }
    inventory = poll(json.dumps(document).encode())
    assert len(inventory.ended) == count
    assert inventory.has_more_ends is has_more


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"clockMs": 1, "running": null}',
        b'{"clockMs": 1, "running": [["t", 1]]}',
        b'{"clockMs": 1, "running": [], "finished": [[1]]',
        b'{"clockMs": 1e300}',
        b'{"clockMs": -1}',
        b'{"clockMs": 18446744073709551616}',
        b'{"clockMs": "1"}',
        b'{"clockMs": true}',
        b'{"clockMs": 1, "born": 18446744073709551616}',
        b'{"clockMs": 1, "born": 1e300}',
        b'{"clockMs": 1, "born": "5"}',
        b'{"clockMs": 1, "running": [["t", 18446744073709551616, "", 100, 0]]}',
        b'{"clockMs": 1, "running": [["t", 1e300, "", 100, 0]]}',
        b'{"clockMs": 1, "running": [[{}, 1, "", 100, 0]]}',
        b'{"clockMs": 1, "running": [["t", 1, {}, 100, 0]]}',
        b'{"clockMs": 1, "running": [["t", 1, "", "100", 0]]}',
        b'{"clockMs": 1, "running": [["t", 1, "", 100, []]]}',
        b'{"clockMs": 1, "finished": [[18446744073709551616, "t", 1, "done", ""]]}',
        b'{"clockMs": 1, "finished": [[1, "t", 18446744073709551616, "done", ""]]}',
        b'{"clockMs": 1, "finished": [[1.5, "t", 1, "done", ""]]}',
        b'{"clockMs": 1, "finished": [[1, "t", 1, [], ""]]}',
        b'{"clockMs": 1, "finished": [[1, "t", 1, "done", [[]]]]}',
        b"[" * 5_000,
    ],
)
def test_unusable_inventory_counts_as_no_answer(body: bytes) -> None:
    assert poll(body) is PollFailure.UNUSABLE


@pytest.mark.parametrize("clock", ["1e300", "18446744073709551616", "-1", '"4"', "[]", "true"])
def test_answer_with_an_unusable_clock_counts_as_none(clock: str) -> None:
    """Lease ends are computed from the clock, and go into the journal."""
    body = f'{{"clockMs":{clock}}}'.encode()
    workers = PlatformWorkers(AnsweringClient(Reply(200, body)))  # type: ignore[arg-type]
    answers: list[OrderAnswer] = []
    order = StopRun("backend-1", 5, ADDRESS, "job.0.0.1", 3)
    ensureDeferred(workers.stop(order, 7)).addCallback(answers.append)
    assert answers == [OrderAnswer("")]


def test_order_is_sent_with_the_headers_of_its_worker() -> None:
    client = AnsweringClient(Reply(200, b'{"clockMs":4}'))
    workers = PlatformWorkers(client)  # type: ignore[arg-type]
    answers: list[OrderAnswer] = []
    for worker in ("backend-1", "backend-2"):
        order = StopRun(worker, 5, ADDRESS, "job.0.0.1", 3)
        ensureDeferred(workers.stop(order, 7)).addCallback(answers.append)
    body = b'{"task":"job.0.0.1","run":3,"fencingToken":7}'
    assert client.requests == [
        build_request("POST", "/run-stop", ADDRESS, body, {"X-Expected-Instance": worker})
        for worker in ("backend-1", "backend-2")
    ]
    assert answers == 2 * [OrderAnswer("ok", 4)]
