"""Cancels that reach the owner before the submission that a router still repeats."""

import pytest

from quetzallock_core.cells.models import QueuePolicy
from quetzallock_daemon.cells.const import OWNER_REQUEST_TIMEOUT_MS
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
    assert [answer.status for answer in submissions] == [200]
    states = send(hosts, canceller, "GET")
    hosts.run(ANSWER_MS)
    assert [answer.state for answer in states] == ["cancelled"]
