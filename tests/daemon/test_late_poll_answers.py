"""Polls whose answers arrive when the next boot of the worker is polled."""

from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from quetzallock_core.cells.const import UNREACHABLE_TIMEOUT_MS
from quetzallock_core.cells.models import Bounds, Inventory, PollFailure, Resources, WorkerEntry
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.const import OWNER_REQUEST_TIMEOUT_MS
from quetzallock_daemon.cells.owner import CellOwner
from quetzallock_daemon.cells.ports import OrderAnswer

FIRST = WorkerEntry("w", 1, "s", "10.0.0.1:1", "a", False, Resources(1, 1), (), "")
NEXT = replace(FIRST, boot_ms=2, address="10.0.0.2:1")


class SilentWorkers:
    """Leaves the polls of the first boot open, and answers those of the next one after 10 ms."""

    def __init__(self, reactor: Clock) -> None:
        self._reactor = reactor
        self.open_polls: list[Deferred[Any]] = []
        self.next_boot_polls = 0

    def poll_inventory(self, entry: WorkerEntry, *_: Any) -> "Deferred[Any]":
        answered: Deferred[Any] = Deferred()
        if entry == FIRST:
            self.open_polls.append(answered)
            return answered
        self.next_boot_polls += 1
        clock_ms = round(self._reactor.seconds() * 1_000)
        self._reactor.callLater(0.01, answered.callback, Inventory(clock_ms, (), (), 2))
        return answered


@pytest.mark.parametrize(
    "late_answer",
    [
        OrderAnswer("other boot", 9),
        PollFailure.TIMED_OUT,
        Inventory(9, (), (), 1),
        OrderAnswer("busy", 9),
    ],
    ids=["other boot", "none", "inventory", "busy"],
)
def test_late_answer_for_an_earlier_boot_does_not_count_for_the_next_one(
    late_answer: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A late 421 ended the next boot for good; the others made it look silent or replaced."""
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    workers: Any = SilentWorkers(reactor)
    store: Any = SimpleNamespace()
    owner = CellOwner(
        reactor, 0, 1, Bounds(), store, workers, lambda _: None, Counter(), lambda *_: None
    )
    monkeypatch.setattr(owner._journal, "schedule_append", lambda: None)
    owner.is_active = True

    def advance(ms: int, entry: WorkerEntry) -> None:
        for _ in range(ms):
            reactor.advance(0.001)
            owner.ownership_confirmed_at = owner.clock.now()
            owner.handle_entries({"w": entry})

    advance(UNREACHABLE_TIMEOUT_MS, FIRST)
    advance(OWNER_REQUEST_TIMEOUT_MS, NEXT)
    worker = owner.cell.state.workers["w"]
    assert worker.entry == NEXT
    assert worker.is_reachable(owner.clock.now())
    polls = workers.next_boot_polls
    workers.open_polls.pop().callback(late_answer)
    assert owner.cell.state.workers.get("w") is worker
    assert not owner.cell.state.ended_boots
    assert worker.is_listed
    assert not worker.is_poll_unanswered
    assert worker.next_boot_ms == -1
    assert not worker.is_replaced_by(FIRST, owner.clock.now())
    advance(1_500, NEXT)
    assert workers.next_boot_polls > polls
