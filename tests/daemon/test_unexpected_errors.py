"""Loops of a host go on after an error that nobody expects."""

import logging
from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_core.cells.models import Bounds, Resources, WorkerEntry
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.followers import EntriesFollower
from quetzallock_daemon.cells.owner import CellOwner
from quetzallock_daemon.cells.ports import EntryChange, EntryPage

ENTRY = WorkerEntry("w", 1, "s", "10.0.0.1:1", "a", False, Resources(1, 1), (), "")


class EntriesStore:
    """Lists one worker; a read fails while `error` is set."""

    def __init__(self) -> None:
        self.error: Exception | None = None
        self.newest_reads = 0

    async def read_entries(self) -> EntryPage:
        self.newest_reads += 1
        return await self.read_entry_changes(0)

    async def read_entry_changes(self, offset: int) -> EntryPage:
        if self.error is not None:
            raise self.error
        return EntryPage((EntryChange("w", ENTRY),), offset + 1)


def advance(reactor: Clock, ms: int) -> None:
    for _ in range(ms):
        reactor.advance(0.001)


@pytest.mark.parametrize("is_raised_by_reader", [True, False])
def test_entries_are_followed_after_an_unexpected_error(
    is_raised_by_reader: bool, caplog: pytest.LogCaptureFixture
) -> None:
    """The follower ended with the error, and the host knew no change of any worker any more."""
    reactor = Clock()
    store = EntriesStore()
    seen: list[list[str]] = []
    errors: list[Exception] = []

    def handle(entries: dict[str, WorkerEntry]) -> None:
        if errors:
            raise errors[0]
        seen.append(list(entries))

    EntriesFollower(reactor, store, handle).start()  # type: ignore[arg-type]
    advance(reactor, 1_000)
    assert seen
    if is_raised_by_reader:
        store.error = TypeError("odd record")
    else:
        errors.append(TypeError("odd entry"))
    advance(reactor, 1_000)
    store.error = None
    del errors[:], seen[:]
    advance(reactor, 1_000)
    assert seen
    assert store.newest_reads > 1
    lines = [record for record in caplog.records if record.levelno == logging.ERROR]
    assert len(lines) == 1


def test_worker_is_polled_after_an_unexpected_error(monkeypatch: pytest.MonkeyPatch) -> None:
    """The polls ended with the error, and the leases of the worker's tasks lapsed."""
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    polls: list[int] = []

    async def poll_inventory(*_: Any) -> None:
        polls.append(1)
        raise TypeError("odd answer")

    workers: Any = SimpleNamespace(poll_inventory=poll_inventory)
    store: Any = SimpleNamespace()
    owner = CellOwner(
        reactor, 0, 1, Bounds(), store, workers, lambda _: None, Counter(), lambda *_: None
    )
    owner.ownership_confirmed_at = owner.clock.now()
    owner.is_active = True
    monkeypatch.setattr(owner._journal, "schedule_append", lambda: None)
    owner.handle_entries({"w": ENTRY})
    advance(reactor, 1_000)
    assert len(polls) > 2
    assert owner.cell.state.workers["w"].is_poll_unanswered
