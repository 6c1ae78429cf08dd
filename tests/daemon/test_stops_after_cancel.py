"""Runs of a cancelled job are stopped after unexpected errors and unconfirmed ownership."""

from collections import Counter
from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_core.cells.const import OWNERSHIP_VALID_MS
from quetzallock_core.cells.models import (
    Bounds,
    Inventory,
    JobSpec,
    QueuePolicy,
    Resources,
    RunningRow,
    StepSpec,
    WorkerEntry,
)
from quetzallock_core.cells.orders import StopRun
from quetzallock_core.cells.records import JobRecord
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.const import TICK_INTERVAL_MS
from quetzallock_daemon.cells.followers import EntriesFollower
from quetzallock_daemon.cells.messages import CancelJobRequest, OwnerAnswer
from quetzallock_daemon.cells.owner import CellOwner
from quetzallock_daemon.cells.ports import EntryChange, EntryPage, OrderAnswer
from quetzallock_daemon.helpers import sleep

ENTRY = WorkerEntry("w", 1, "s", "10.0.0.1:1", "a", False, Resources(9_000, 9_000), (), "")
JOB = JobSpec("a", "", (StepSpec(1, Resources(1_000, 1_000), lasting=True),))
STOPPED_WITHIN_MS = 3_200


class Platform:
    """A store that lists one worker, and this worker, at work on a run of the job.

    Attributes:
        failing: Name of the call that fails once.
        stopped: The runs that are ordered to stop.
    """

    def __init__(self, reactor: Clock, failing: str) -> None:
        self._reactor = reactor
        self.failing = failing
        self.stopped: list[int] = []

    def _fail_once(self, call: str) -> None:
        if call == self.failing:
            self.failing = ""
            raise TypeError("odd value")

    async def read_entries(self) -> EntryPage:
        return await self.read_entry_changes(0)

    async def read_entry_changes(self, offset: int) -> EntryPage:
        self._fail_once("read entries")
        return EntryPage((EntryChange("w", ENTRY),), offset + 1)

    async def append(self, *_: Any) -> None:
        await sleep(self._reactor, 5)

    async def poll_inventory(self, *_: Any) -> Inventory:
        self._fail_once("poll")
        await sleep(self._reactor, 100)
        clock_ms = round(self._reactor.seconds() * 1_000)
        return Inventory(clock_ms, (RunningRow("a.0.0.0", 7, "", 100, 1_000),), (), 1)

    async def stop(self, order: StopRun) -> OrderAnswer:
        self.stopped.append(order.run)
        return OrderAnswer("ok", round(self._reactor.seconds() * 1_000))


def make_owner(reactor: Clock, platform: Any) -> CellOwner:
    """Return an active owner of a stored job, of which it knows no run yet."""
    owner = CellOwner(
        reactor, 0, 1, Bounds(), platform, platform, lambda _: None, Counter(), lambda *_: None
    )
    owner.is_active = True
    owner.cell.state.add_job(JobRecord(JOB, QueuePolicy("q", "s"), 0)).is_stored = True
    EntriesFollower(reactor, platform, owner.handle_entries).start()
    owner._tick()
    return owner


def advance(owner: CellOwner, ms: int, is_confirmed: bool = True) -> None:
    """Let time pass, while the store confirms the ownership or does not."""
    for _ in range(ms):
        if is_confirmed:
            owner.ownership_confirmed_at = owner.clock.now()
        owner._reactor.advance(0.001)


def cancel_job(owner: CellOwner, is_confirmed: bool = True) -> None:
    """Cancel the job, which is answered at once as the store writes."""
    answers: list[OwnerAnswer] = []
    owner.handle_request(CancelJobRequest(1, 0, "a"), answers.append)
    advance(owner, 50, is_confirmed)
    assert [answer.outcome for answer in answers] == ["cancelled"]


@pytest.mark.parametrize("failing", ["read entries", "poll", ""])
def test_run_that_a_new_owner_has_to_find_is_stopped_after_an_error(
    failing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop that failed had ended: nobody asked the worker, and its lease had to lapse."""
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    platform: Any = Platform(reactor, failing)
    owner = make_owner(reactor, platform)
    advance(owner, 1_000)
    cancel_job(owner)
    advance(owner, STOPPED_WITHIN_MS)
    assert platform.stopped


@pytest.mark.parametrize("unconfirmed_ms", [OWNERSHIP_VALID_MS, 10_000])
def test_stop_that_was_held_back_is_sent_soon_after_the_ownership_is_confirmed(
    unconfirmed_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A cancel is answered by then, as appends may succeed while joins do not."""
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    platform: Any = Platform(reactor, "")
    owner = make_owner(reactor, platform)
    advance(owner, 1_000)
    assert owner.cell.state.workers["w"].runs
    advance(owner, unconfirmed_ms, is_confirmed=False)
    cancel_job(owner, is_confirmed=False)
    assert not platform.stopped
    advance(owner, Bounds().stop_ms + 2 * TICK_INTERVAL_MS)
    assert platform.stopped
