"""Submissions under another version of the configuration than the owner applies."""

import pytest
from twisted.internet.defer import Deferred

from quetzallock_core.cells.models import QueuePolicy
from quetzallock_core.clock import ManualClock
from quetzallock_daemon.cells.ports import ConfigPage, Configuration
from quetzallock_daemon.cells.router import CallerAnswer, CallerRequest
from quetzallock_daemon.cells.submission_gate import SubmissionGate
from quetzallock_daemon.helpers import run_coroutine, sleep

from .emulated_hosts import EmulatedHosts, EmulatedStore
from .test_outdated_routers import HOST, NEW_ROUTES, OLD_ROUTES, make_configuration

MAX_HOLD_MS = 1_000
READ_MS = 400


class CountedGate:
    """A gate whose host applies version 5 with the queue `kept`; counts the reads it asks for.

    Attributes:
        is_read: The host reads the configuration up to its newest version all the time.
    """

    def __init__(self) -> None:
        self.clock = ManualClock(10_000)
        self.reads = 0
        self.is_read = True
        self.gate = SubmissionGate(self.clock, self._read, MAX_HOLD_MS, lambda _: self.is_read)
        self.gate.handle_applied(make_configuration(5, ("/kept/",)))

    def _read(self) -> None:
        self.reads += 1

    def submit(self, queue: str, version: int) -> str:
        return self.gate.find_refusal(QueuePolicy(queue, "desk", version=version))


@pytest.mark.parametrize(
    ("queue", "version", "refusal"),
    [("kept", 5, ""), ("kept", 4, ""), ("dropped", 4, "removed"), ("added", 6, "unproved")],
)
def test_refusal_follows_the_newer_version(queue: str, version: int, refusal: str) -> None:
    assert CountedGate().submit(queue, version) == refusal


def test_newer_version_is_read_at_once_and_not_for_each_submission() -> None:
    host = CountedGate()
    for _ in range(10):
        host.submit("added", 6)
    assert host.reads == 1


def test_submission_under_a_version_that_the_owner_cannot_use_is_accepted_in_the_end() -> None:
    """Guards against an owner that accepts nothing from hosts that can use a newer version."""
    host = CountedGate()
    refusals = []
    for _ in range(12):
        refusals.append(host.submit("added", 6))
        host.clock.advance(100)
    assert refusals == ["unproved"] * 10 + ["", ""]


def test_submission_is_held_back_for_as_long_as_the_configuration_is_not_read() -> None:
    """Guards against a host without reads that starts jobs of a version which it cannot know."""
    host = CountedGate()
    host.is_read = False
    host.submit("added", 6)
    host.clock.advance(2 * MAX_HOLD_MS)
    assert host.submit("added", 6) == "unproved"
    host.is_read = True
    assert host.submit("added", 6) == ""


def test_each_version_that_the_owner_does_not_know_is_held_back() -> None:
    """Guards against jobs of a version that is accepted since an earlier one was unusable."""
    host = CountedGate()
    host.submit("added", 6)
    host.clock.advance(2 * MAX_HOLD_MS)
    assert host.submit("more", 7) == "unproved"
    assert host.submit("added", 6) == ""


def test_submission_is_accepted_as_soon_as_its_version_is_applied() -> None:
    host = CountedGate()
    host.submit("added", 6)
    host.gate.handle_applied(make_configuration(6, ("/added/",)))
    assert host.submit("added", 6) == ""
    assert host.submit("more", 7) == "unproved"


def test_owner_accepts_a_job_only_once_it_applies_the_version_of_the_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against workers that see a version which the owner's callers are not served by yet."""
    hosts = EmulatedHosts(monkeypatch, [2_000, 1_000])
    newer = make_configuration(2, NEW_ROUTES)

    async def read_configuration(store: EmulatedStore, _silence_ms: int) -> ConfigPage:
        await sleep(store._reactor, READ_MS)
        return ConfigPage(newer if hosts.is_published else None, 0)  # type: ignore[attr-defined]

    hosts.is_published = False  # type: ignore[attr-defined]
    monkeypatch.setattr(EmulatedStore, "read_configuration", read_configuration)
    hosts.run(10_000)
    owner = hosts.services[hosts.owner]
    (router,) = (host for name, host in hosts.services.items() if name != hosts.owner)
    owner._handle_configuration(make_configuration(1, OLD_ROUTES))
    router._handle_configuration(newer)
    hosts.is_published = True  # type: ignore[attr-defined]
    applied: list[Configuration | None] = []
    request = CallerRequest("POST", HOST, f"/added/{1:016x}", b"")
    answered: Deferred[CallerAnswer] = run_coroutine(router.router.answer(request))
    answered.addCallback(lambda answer: applied.append(owner.router.configuration))
    hosts.run(request.deadline_ms)
    assert applied == [newer]
