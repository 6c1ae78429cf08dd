"""Cancels that reach the owner before the submission that a router still repeats."""

from collections import Counter
from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_core.cells.const import OWNERSHIP_VALID_MS
from quetzallock_core.cells.models import Bounds, QueuePolicy
from quetzallock_daemon.cells.const import OWNER_REQUEST_TIMEOUT_MS
from quetzallock_daemon.cells.messages import CancelJobRequest, OwnerAnswer
from quetzallock_daemon.cells.owner import CellOwner
from quetzallock_daemon.cells.ports import Configuration, Queue, RequestLimits
from quetzallock_daemon.cells.router import CallerAnswer, CallerRequest
from quetzallock_daemon.helpers import run_coroutine

from .emulated_hosts import EmulatedHosts

SETTLING_MS = 10_000
ANSWER_MS = 500
JOB = "5c0e7a21d94b36f8"
QUEUE = Queue("host", "/queue/", 0, QueuePolicy("queue", "pool"))


def make_hosts(monkeypatch: pytest.MonkeyPatch) -> EmulatedHosts:
    """Return hosts that share a cell and know a queue."""
    hosts = EmulatedHosts(monkeypatch, [2_000] * 4)
    hosts.run(SETTLING_MS)
    for service in hosts.services.values():
        service.router.configuration = Configuration(1, (QUEUE,), RequestLimits())
    return hosts


def make_owner(age_ms: int) -> CellOwner:
    """Return an owner whose ownership was confirmed `age_ms` ago, without store and workers."""
    unused: Any = None
    owner = CellOwner(
        Clock(), 0, 1, Bounds(), unused, unused, lambda _: None, Counter(), lambda *_: None
    )
    owner.is_active = True
    owner.ownership_confirmed_at = owner.clock.now() - age_ms
    return owner


def send(hosts: EmulatedHosts, name: str, method: str) -> list[CallerAnswer]:
    """Send a request as a caller of a host; the list gets the answer."""
    request = CallerRequest(method, "host", f"/queue/{JOB}", b"{}")
    answers: list[CallerAnswer] = []
    run_coroutine(hosts.services[name].router.answer(request)).addCallback(answers.append)
    return answers


def test_submission_that_is_repeated_after_its_cancel_was_answered_never_runs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against accepting a job whose caller was told that it does not exist."""
    hosts = make_hosts(monkeypatch)
    submitter, canceller = [name for name in hosts.services if name != hosts.owner][:2]
    hosts.cut_off.add(submitter)
    submissions = send(hosts, submitter, "POST")
    hosts.run(OWNER_REQUEST_TIMEOUT_MS)
    cancels = send(hosts, canceller, "DELETE")
    hosts.run(ANSWER_MS)
    assert [answer.status for answer in cancels] == [410]
    assert not submissions
    hosts.cut_off.remove(submitter)
    hosts.run(OWNER_REQUEST_TIMEOUT_MS + ANSWER_MS)
    assert [(answer.status, answer.state) for answer in submissions] == [(200, "cancelled")]
    states = send(hosts, canceller, "GET")
    hosts.run(ANSWER_MS)
    assert [answer.state for answer in states] == ["cancelled"]


def test_all_copies_of_a_submission_after_its_cancel_get_the_same_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against telling a caller that a cancelled job waits for its turn."""
    hosts = make_hosts(monkeypatch)
    for method, expected in (
        ("DELETE", (410, "")),
        ("DELETE", (410, "")),
        ("GET", (410, "")),
        ("POST", (200, "cancelled")),
        ("POST", (200, "cancelled")),
        ("GET", (200, "cancelled")),
        ("DELETE", (200, "cancelled")),
    ):
        answers = send(hosts, "h0", method)
        hosts.run(ANSWER_MS)
        assert [(answer.status, answer.state) for answer in answers] == [expected], method


@pytest.mark.parametrize("age_ms", [0, OWNERSHIP_VALID_MS])
def test_owner_that_is_not_confirmed_keeps_no_cancel_of_an_unknown_job(age_ms: int) -> None:
    """Such a cancel is not acknowledged, and the router repeats it at the owner by then."""
    owner = make_owner(age_ms)
    answers: list[OwnerAnswer] = []
    owner.handle_request(CancelJobRequest(1, 0, JOB), answers.append)
    assert answers == ([OwnerAnswer(1, "unproved")] if age_ms else [])
    assert owner.cell.batches.has_records() == (not age_ms)


def test_caller_whose_cancel_waits_for_the_journal_when_the_owner_stops_is_not_told_410() -> None:
    """Guards against a 410 for a cancel that the next owner does not know."""
    owner = make_owner(age_ms=0)
    answers: list[OwnerAnswer] = []
    owner.handle_request(CancelJobRequest(1, 0, JOB), answers.append)
    owner.stop()
    assert answers == [OwnerAnswer(1, "unsettled")]
