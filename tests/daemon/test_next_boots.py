"""Polls of the next boot of a worker, which the platform's list has at another address."""

from collections import Counter
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from quetzallock_core.cells import boots
from quetzallock_core.cells.const import UNREACHABLE_TIMEOUT_MS
from quetzallock_core.cells.jobs import Run
from quetzallock_core.cells.models import Bounds, Inventory, PollFailure, Resources, WorkerEntry
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.owner import CellOwner

FIRST = WorkerEntry("w", 5, "s", "10.0.0.1:1", "a", False, Resources(1, 1), (), "")
NEXT = replace(FIRST, boot_ms=6, address="10.0.0.2:1")
EARLIER = replace(NEXT, boot_ms=4)


class RestartingWorkers:
    """Answers polls at the address of one boot, and none at that of another one."""

    def __init__(self, reactor: Clock) -> None:
        self._reactor = reactor
        self.answering = FIRST
        self.polls: list[tuple[str, int, int | None, int]] = []

    def poll_inventory(
        self, entry: WorkerEntry, _epoch: int, cursor: int, lease_end: int | None, wait_ms: int
    ) -> "Deferred[Any]":
        self.polls.append((entry.address, cursor, lease_end, wait_ms))
        if entry.address != self.answering.address:
            return succeed(PollFailure.TIMED_OUT)
        clock_ms = round(self._reactor.seconds() * 1_000)
        return succeed(Inventory(clock_ms, (), (), self.answering.boot_ms))


@pytest.mark.parametrize(("listed", "is_replaced"), [(NEXT, True), (EARLIER, False)])
def test_silent_boot_with_a_run_is_replaced_only_after_the_answer_of_a_later_one(
    monkeypatch: pytest.MonkeyPatch, listed: WorkerEntry, is_replaced: bool
) -> None:
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    workers: Any = RestartingWorkers(reactor)
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

    advance(100, FIRST)
    worker = owner.cell.state.workers["w"]
    task: Any = SimpleNamespace(name="t", runs={})
    worker.runs["t"] = Run(task, 1, "w", "running", 0, is_listed=True)
    monkeypatch.setattr(owner.cell.state.crashes, "expose_runs", lambda _: None)
    replaced: list[Any] = []
    monkeypatch.setattr(boots, "replace_boot", lambda *args: replaced.append(args))
    workers.answering = replace(listed, address="nowhere")
    advance(UNREACHABLE_TIMEOUT_MS // 2, listed)
    assert not replaced
    del workers.polls[:]
    workers.answering = listed
    advance(UNREACHABLE_TIMEOUT_MS // 2, listed)
    assert bool(replaced) is is_replaced
    assert {poll[1:] for poll in workers.polls if poll[0] == listed.address} == {(0, None, 0)}
