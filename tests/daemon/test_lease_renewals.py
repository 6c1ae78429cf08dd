"""Renewals of the leases of workers that do not answer."""

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from quetzallock_core.cells.const import UNREACHABLE_TIMEOUT_MS
from quetzallock_core.cells.models import Bounds, Inventory, Resources, WorkerEntry
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.owner import CellOwner

ENTRY = WorkerEntry("w", 1, "s", "10.0.0.1:1", "a", False, Resources(1, 1), (), "")


class LeavingWorkers:
    """Answers polls until the worker leaves, and refuses the connections of later ones."""

    def __init__(self, reactor: Clock) -> None:
        self._reactor = reactor
        self.has_left = False
        self.lease_ends: list[int | None] = []

    def poll_inventory(
        self, _entry: WorkerEntry, _epoch: int, _cursor: int, lease_end: int | None, _wait_ms: int
    ) -> "Deferred[Any]":
        self.lease_ends.append(lease_end)
        if self.has_left:
            return succeed(None)
        clock_ms = round(self._reactor.seconds() * 1_000)
        return succeed(Inventory(clock_ms, (), (), 1))


def test_lease_is_not_renewed_by_polls_after_one_that_was_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    workers: Any = LeavingWorkers(reactor)
    store: Any = SimpleNamespace()
    owner = CellOwner(
        reactor, 0, 1, Bounds(), store, workers, lambda _: None, Counter(), lambda *_: None
    )
    monkeypatch.setattr(owner._journal, "schedule_append", lambda: None)
    owner.is_active = True

    def advance(ms: int) -> None:
        for _ in range(ms):
            reactor.advance(0.001)
            owner.ownership_confirmed_at = owner.clock.now()
            owner.handle_entries({"w": ENTRY})

    advance(100)
    owner.cell.state.workers["w"].is_recorded = True
    advance(UNREACHABLE_TIMEOUT_MS)
    assert workers.lease_ends[-1]
    workers.has_left = True
    del workers.lease_ends[:]
    advance(UNREACHABLE_TIMEOUT_MS)
    assert len(workers.lease_ends) > 2
    assert workers.lease_ends[0]
    assert not any(workers.lease_ends[1:])
