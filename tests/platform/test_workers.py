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


def poll(body: bytes, status: int = 200) -> Any:
    """Return what a poll makes of an answer."""
    workers = PlatformWorkers(AnsweringClient(Reply(status, body)))  # type: ignore[arg-type]
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
        "born": 5,
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
        b'{"born": 5, "clockMs": 1, "running": null}',
        b'{"born": 5, "clockMs": 1, "running": [["t", 1]]}',
        b'{"born": 5, "clockMs": 1, "running": [], "finished": [[1]]',
        b'{"born": 5, "clockMs": 1e300}',
        b'{"born": 5, "clockMs": -1}',
        b'{"born": 5, "clockMs": 18446744073709551616}',
        b'{"born": 5, "clockMs": "1"}',
        b'{"born": 5, "clockMs": true}',
        b'{"clockMs": 1, "born": 18446744073709551616}',
        b'{"clockMs": 1, "born": 1e300}',
        b'{"clockMs": 1, "born": "5"}',
        b'{"born": 5, "clockMs": 1, "running": [["t", 18446744073709551616, "", 100, 0]]}',
        b'{"born": 5, "clockMs": 1, "running": [["t", 1e300, "", 100, 0]]}',
        b'{"born": 5, "clockMs": 1, "running": [[{}, 1, "", 100, 0]]}',
        b'{"born": 5, "clockMs": 1, "running": [["t", 1, {}, 100, 0]]}',
        b'{"born": 5, "clockMs": 1, "running": [["t", 1, "", "100", 0]]}',
        b'{"born": 5, "clockMs": 1, "running": [["t", 1, "", 100, []]]}',
        b'{"born": 5, "clockMs": 1, "finished": [[18446744073709551616, "t", 1, "done", ""]]}',
        b'{"born": 5, "clockMs": 1, "finished": [[1, "t", 18446744073709551616, "done", ""]]}',
        b'{"born": 5, "clockMs": 1, "finished": [[1.5, "t", 1, "done", ""]]}',
        b'{"born": 5, "clockMs": 1, "finished": [[1, "t", 1, [], ""]]}',
        b'{"born": 5, "clockMs": 1, "finished": [[1, "t", 1, "done", [[]]]]}',
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
    order = StopRun("backend-1", 5, ADDRESS, "job.0.0.1", 3, 7)
    ensureDeferred(workers.stop(order)).addCallback(answers.append)
    assert answers == [OrderAnswer("")]


@pytest.mark.parametrize(
    "born", ["null", "0", "0.0", "-1", "5.5", '"5"', "true", "[5]", "1e300", "18446744073709551616"]
)
@pytest.mark.parametrize("row", ["", '["t", 3, null, 12.5, 0]'])
def test_inventory_that_names_no_boot_counts_as_no_answer(born: str, row: str) -> None:
    """Guards against the list of another boot, which shows the runs of the asked one as over."""
    body = f'{{"clockMs": 1, "born": {born}, "running": [{row}], "finished": []}}'
    assert poll(body.encode()) is PollFailure.UNUSABLE


@pytest.mark.parametrize("row", ["", '["t", 3, null, 12.5, 0]'])
def test_inventory_without_a_boot_counts_as_no_answer(row: str) -> None:
    """Guards against the same where the field is missing."""
    body = f'{{"clockMs": 1, "running": [{row}], "finished": []}}'
    assert poll(body.encode()) is PollFailure.UNUSABLE


@pytest.mark.parametrize("row", ["", '["t", 3, null, 12.5, 0]'])
def test_whole_number_of_any_notation_names_a_boot(row: str) -> None:
    body = f'{{"clockMs": 1, "born": 5.0, "running": [{row}], "finished": []}}'
    inventory = poll(body.encode())
    assert inventory.boot_ms == 5
    assert isinstance(inventory.boot_ms, int)


def stop(reply: Reply) -> OrderAnswer:
    """Return what a stop order makes of an answer."""
    workers = PlatformWorkers(AnsweringClient(reply))  # type: ignore[arg-type]
    answers: list[OrderAnswer] = []
    order = StopRun("backend-1", 5, ADDRESS, "job.0.0.1", 3, 7)
    ensureDeferred(workers.stop(order)).addCallback(answers.append)
    return answers[0]


@pytest.mark.parametrize("status", [201, 202, 204, 301, 403, 404, 408, 500, 502, 504, 599])
@pytest.mark.parametrize("body", [b"", b"{}", b'{"clockMs":4}', b"<html></html>"])
def test_status_that_workers_do_not_use_counts_as_no_answer(status: int, body: bytes) -> None:
    """Guards against a run that goes on and is taken for refused since a gateway failed."""
    reply = Reply(status, body)
    assert stop(reply) == OrderAnswer("")
    assert poll(body, status) is PollFailure.UNUSABLE


@pytest.mark.parametrize(
    "body", [b"", b"{}", b"[]", b"[4]", b"4", b"null", b"ok", b'{"clockMs":null}', b'{"clock":4}']
)
def test_success_without_a_clock_counts_as_no_answer(body: bytes) -> None:
    """Guards against a start at clock 0, after which any earlier list showed the run as over."""
    assert stop(Reply(200, body)) == OrderAnswer("")


@pytest.mark.parametrize(
    "body",
    [b"", b"{}", b"[]", b"old", b'{"clockMs":4}', b'{"reason":"old"}', b'{"clockMs":4,"reason":1}'],
)
def test_conflict_without_a_clock_or_a_reason_counts_as_no_answer(body: bytes) -> None:
    """Guards against a 409 of a gateway that ends a run as refused."""
    assert stop(Reply(409, body)) == OrderAnswer("")


@pytest.mark.parametrize("status", [400, 421, 429, 503])
@pytest.mark.parametrize("body", [b"[]", b"4", b"null", b"<html></html>", b"upstream reset"])
def test_refusal_with_the_body_of_another_program_counts_as_no_answer(
    status: int, body: bytes
) -> None:
    """Guards against a gateway's error page that ends a run as refused."""
    assert stop(Reply(status, body)) == OrderAnswer("")
    assert poll(body, status) is PollFailure.UNUSABLE


@pytest.mark.parametrize(
    ("status", "outcome"), [(400, "bad"), (421, "other boot"), (429, "busy"), (503, "busy")]
)
@pytest.mark.parametrize(("body", "clock_ms"), [(b"", 0), (b"{}", 0), (b'{"clockMs":4}', 4)])
def test_refusal_of_a_worker_is_decoded(
    status: int, outcome: str, body: bytes, clock_ms: int
) -> None:
    """Guards against a task that waits for an answer that it has."""
    expected = OrderAnswer(outcome, clock_ms)
    assert stop(Reply(status, body)) == expected
    assert poll(body, status) == expected


@pytest.mark.parametrize(
    ("reason", "outcome"),
    [
        ("fence", "fence"),
        ("old", "old"),
        ("late", "late"),
        ("room", "room"),
        ("ticket", "bad"),
    ],
)
def test_reason_of_a_conflict_is_decoded(reason: str, outcome: str) -> None:
    body = json.dumps({"clockMs": 4, "reason": reason}).encode()
    assert stop(Reply(409, body)) == OrderAnswer(outcome, 4)


def test_order_is_sent_with_the_headers_of_its_worker() -> None:
    client = AnsweringClient(Reply(200, b'{"clockMs":4}'))
    workers = PlatformWorkers(client)  # type: ignore[arg-type]
    answers: list[OrderAnswer] = []
    for worker in ("backend-1", "backend-2"):
        order = StopRun(worker, 5, ADDRESS, "job.0.0.1", 3, 7)
        ensureDeferred(workers.stop(order)).addCallback(answers.append)
    body = b'{"task":"job.0.0.1","run":3,"fencingToken":7}'
    assert client.requests == [
        build_request("POST", "/run-stop", ADDRESS, body, {"X-Expected-Instance": worker})
        for worker in ("backend-1", "backend-2")
    ]
    assert answers == 2 * [OrderAnswer("ok", 4)]
