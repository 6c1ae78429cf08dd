"""What the journal of a cell still writes when one record cannot be encoded."""

import logging
from collections import Counter
from dataclasses import replace
from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_core.cells import Cell
from quetzallock_core.cells.models import Bounds, QueuePolicy, Resources, WorkerEntry
from quetzallock_core.cells.orders import TicketOutcome
from quetzallock_core.cells.records import JobRecord
from quetzallock_core.clock import ManualClock
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.const import STORE_UNAVAILABLE_AFTER_MS
from quetzallock_daemon.cells.journal import JournalId, JournalWriter
from quetzallock_daemon.cells.load_meter import LoadMeter
from quetzallock_daemon.cells.ports import StoreRefusedError
from quetzallock_standins.emulator.cluster import make_entry, make_spec

from ..core.cells.common import POLICY, make_step

EPOCH = 3
TOO_LARGE = 10**300
ENTRY = make_entry("good", Resources(16_000, 64_000, 0), "rack", boot_ms=1)


class RecordingStore:
    """Accepts all appends, and records their keys by sequence number."""

    def __init__(self) -> None:
        self.appends: list[tuple[int, list[str]]] = []

    async def append(
        self, _cell: int, epoch: int, sequence: int, records: list[tuple[str, bytes]]
    ) -> None:
        assert epoch == EPOCH
        self.appends.append((sequence, [key for key, _ in records]))


class WrittenCell:
    """A cell without any worker that answers, and its journal."""

    def __init__(self, store: Any = None) -> None:
        self.reactor = Clock()
        self.store = store or RecordingStore()
        self.cell = Cell(0, EPOCH, Bounds(), ManualClock(), lambda: 0)
        self.outcomes: dict[int, str] = {}
        self.journal = JournalWriter(
            self.reactor,
            JournalId(0, EPOCH),
            self.store,
            self.cell.batches,
            lambda: None,
            lambda reason: pytest.fail(reason),
            lambda _name, _ms: None,
            LoadMeter(0, Counter()),
        )

    def list_workers(self, *entries: WorkerEntry) -> None:
        self.cell.handle_entries({entry.worker: entry for entry in entries})

    def submit(self, job: str, ticket: int, policy: QueuePolicy = POLICY) -> None:
        self.cell.submit(JobRecord(make_spec(job, make_step()), policy, 0), ticket)

    def write(self) -> None:
        """Write all that waits to be written."""
        self.journal.schedule_append()
        self.reactor.advance(1)
        for effect in self.cell.pop_effects():
            if isinstance(effect, TicketOutcome):
                self.outcomes[effect.ticket] = effect.outcome


@pytest.mark.parametrize(
    "odd",
    [
        replace(ENTRY, worker="odd", boot_ms=TOO_LARGE),
        replace(ENTRY, worker="o" * 300),
        replace(ENTRY, worker="odd", address="\ud800"),
    ],
)
def test_worker_whose_record_cannot_be_encoded_does_not_stop_the_journal(
    odd: WorkerEntry, caplog: pytest.LogCaptureFixture
) -> None:
    """Every batch had held its record and failed, so no job was accepted or started any more."""
    written = WrittenCell()
    written.list_workers(ENTRY, odd)
    written.submit("a" * 16, ticket=1)
    written.write()
    written.submit("b" * 16, ticket=2)
    written.write()
    keys = [sorted(keys) for _, keys in written.store.appends]
    assert keys == [[f"job/{'a' * 16}", "worker/good"], [f"job/{'b' * 16}"]]
    assert written.outcomes == {1: "accepted", 2: "accepted"}
    workers = written.cell.state.workers
    assert workers["good"].is_recorded
    assert not workers[odd.worker].is_recorded
    errors = [record for record in caplog.records if record.levelno == logging.ERROR]
    assert [record.__dict__["key"] for record in errors] == [f"worker/{odd.worker}"]


def test_failed_encoding_leaves_no_gap_in_the_sequence_numbers() -> None:
    """The store rejects an append after a gap, and the owner gives the cell up."""
    written = WrittenCell()
    written.list_workers(ENTRY)
    written.write()
    written.list_workers(ENTRY, replace(ENTRY, worker="odd", boot_ms=TOO_LARGE))
    written.write()
    written.submit("a" * 16, ticket=1)
    written.write()
    assert [sequence for sequence, _ in written.store.appends] == [1, 2]
    assert written.outcomes == {1: "accepted"}


def test_job_whose_record_cannot_be_encoded_is_refused_and_others_are_accepted() -> None:
    """All jobs of its batch had stayed without an answer."""
    written = WrittenCell()
    written.submit("a" * 16, ticket=1, policy=replace(POLICY, priority=TOO_LARGE))
    written.submit("b" * 16, ticket=2)
    written.write()
    assert written.outcomes == {1: "refused", 2: "accepted"}
    assert written.cell.find_state("a" * 16) is None
    assert written.cell.find_state("b" * 16) == "queued"


def test_progress_that_cannot_be_encoded_does_not_stop_the_journal() -> None:
    """The batch was never made, and neither was any later one."""
    written = WrittenCell()
    written.submit("a" * 16, ticket=1)
    written.submit("b" * 16, ticket=2)
    written.write()
    state = written.cell.state
    for job in state.jobs.values():
        state.dirty[job] = None
    task = state.jobs["a" * 16].list_tasks()[0]
    task.record_failed_run(TOO_LARGE)
    written.cell.cancel("b" * 16, ticket=3)
    written.write()
    assert written.store.appends[-1][1] == [f"progress/{'b' * 16}"]
    assert written.outcomes == {1: "accepted", 2: "accepted", 3: "cancelled"}


class RefusingStore(RecordingStore):
    """Refuses all appends while it is away."""

    is_away = False

    async def append(self, *call: Any) -> None:
        if self.is_away:
            raise StoreRefusedError("away")
        await super().append(*call)


def test_withdrawn_batch_leaves_no_gap_in_the_sequence_numbers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now = 1_000
    monkeypatch.setattr(BootClock, "now", lambda _: now)
    written = WrittenCell(RefusingStore())
    written.store.is_away = True
    written.submit("a" * 16, ticket=1)
    written.write()
    now += STORE_UNAVAILABLE_AFTER_MS
    written.write()
    assert written.outcomes == {1: "refused"}
    written.store.is_away = False
    written.write()
    written.submit("b" * 16, ticket=2)
    written.write()
    assert [sequence for sequence, _ in written.store.appends] == [1]
    assert written.outcomes == {1: "refused", 2: "accepted"}
