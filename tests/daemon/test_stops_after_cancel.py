"""Runs of a cancelled job that a new owner has to find are stopped after an unexpected error."""

from collections import Counter
from typing import Any

import pytest
from twisted.internet.task import Clock

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
        return Inventory(clock_ms, (RunningRow("a.0.0.0", 7, "", 100),), (), 1)

    async def stop(self, order: StopRun, _epoch: int) -> OrderAnswer:
        self.stopped.append(order.run)
        return OrderAnswer("ok", round(self._reactor.seconds() * 1_000))


@pytest.mark.parametrize("failing", ["read entries", "poll", ""])
def test_run_that_a_new_owner_has_to_find_is_stopped_after_an_error(
    failing: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The loop that failed had ended: nobody asked the worker, and its lease had to lapse."""
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    platform: Any = Platform(reactor, failing)
    owner = CellOwner(
        reactor, 0, 1, Bounds(), platform, platform, lambda _: None, Counter(), lambda *_: None
    )
    owner.is_active = True
    owner.cell.state.add_job(JobRecord(JOB, QueuePolicy("q", "s"), 0)).is_stored = True
    EntriesFollower(reactor, platform, owner.handle_entries).start()

    def advance(ms: int) -> None:
        for _ in range(ms):
            owner.ownership_confirmed_at = owner.clock.now()
            reactor.advance(0.001)

    advance(1_000)
    answers: list[OwnerAnswer] = []
    owner.handle_request(CancelJobRequest(1, 0, "a"), answers.append)
    advance(50)
    assert [answer.outcome for answer in answers] == ["cancelled"]
    advance(STOPPED_WITHIN_MS)
    assert platform.stopped
