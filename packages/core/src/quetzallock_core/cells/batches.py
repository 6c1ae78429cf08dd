"""Collects records for the journal into batches, and applies them once they are durable."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Final

from ..exceptions import CodecError
from .const import OWNERSHIP_VALID_MS, UNVERIFIED_RECORD_AFTER_MS
from .contents import HAND_OVER_KEY
from .early_cancels import CancelCall
from .fences import TOKENS_PER_EPOCH
from .job_records import list_interrupted
from .jobs import Job
from .orders import Persist, TicketOutcome
from .records import (
    FencesRecord,
    HandOverRecord,
    OwnerRecord,
    RunNumbersRecord,
    WorkerRecord,
)
from .state import CellState
from .unverified import UnverifiedWorker
from .workers import Worker

LEARNED_KEY: Final = "learned"
OWNER_KEY: Final = "owner"
FENCES_KEY: Final = "fences"
RUN_NUMBERS_KEY: Final = "runs"
LEARNED_INTERVAL_MS: Final = 2_000
"""Minimum time between two records of the learned estimates."""


@dataclass(slots=True)
class Batch:
    """Records for one append, and the changes to apply once the journal holds them.

    Attributes:
        records: The records to write.
        stored_jobs: Jobs whose acceptance is among the records.
        durable_states: Jobs, their states, which callers may get, and the revisions of the crashes
            under their tasks.
        tickets: Calls that get their outcome.
        cancel_calls: Cancels of unknown jobs that get their outcome.
        cursors: Numbers up to which the ends of workers may be acknowledged.
        ends_hand_over: The previous owner's hand-over record is deleted.
        workers: Workers whose records are written, the revisions of these records, and whether the
            leases may be renewed.
        fences: How many fencing tokens an epoch has from now on.
        run_numbers: Run numbers that are reserved.
    """

    records: list[Persist] = field(default_factory=list)
    stored_jobs: list[Job] = field(default_factory=list)
    durable_states: list[tuple[Job, str, int]] = field(default_factory=list)
    tickets: list[tuple[Job, TicketOutcome]] = field(default_factory=list)
    cancel_calls: list[CancelCall] = field(default_factory=list)
    cursors: list[tuple[Worker, int]] = field(default_factory=list)
    ends_hand_over: bool = False
    workers: list[tuple[Worker, int, bool]] = field(default_factory=list)
    fences: FencesRecord | None = None
    run_numbers: RunNumbersRecord | None = None


class BatchMaker:
    """Collects the records for the journal into batches.

    Attributes:
        has_hand_over: The journal still holds the previous owner's hand-over record. No task is
            started while it does, as the record must name all runs.
        unrecorded_owner: Record of the own process that is still to be written; None if there is
            none.
        must_raise_fences: Fencing tokens are to rise with the boots of workers, which the journal
            must name first.
    """

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._new_jobs: list[Job] = []
        self._tickets: list[tuple[Job, TicketOutcome]] = []
        self._deleted: list[str] = []
        self._learned_at = state.clock.now()
        self._restored_at = state.clock.now()
        self._postponed: set[str] = set()
        self.has_hand_over = False
        self.unrecorded_owner: OwnerRecord | None = None
        self.must_raise_fences = False

    def handle_restored(self, has_hand_over: bool) -> None:
        """Record that the journal was loaded."""
        self.has_hand_over = has_hand_over
        self._restored_at = self._state.clock.now()

    def add_job(self, job: Job) -> None:
        """Add the record of a new job to the next batch."""
        self._new_jobs.append(job)

    def add_ticket(self, job: Job, ticket_outcome: TicketOutcome) -> None:
        """Emit the outcome of a call on `job` once all decisions on the job are durable."""
        self._tickets.append((job, ticket_outcome))

    def delete_job(self, job_id: str) -> None:
        """Delete the records of a job with the next batch."""
        self._deleted.append(job_id)

    def has_records(self) -> bool:
        """Return whether there are records to write."""
        state = self._state
        return bool(
            self.has_hand_over
            or self._are_fences_due
            or state.run_numbers.is_reservation_due
            or self._new_jobs
            or state.dirty
            or self._tickets
            or state.early_cancels.has_calls()
            or self._deleted
            or state.dropped_workers
            or state.has_worker_changes
            or self._is_postponed_record_due()
            or self._is_owner_due()
            or self._list_due_lapses()
            or self._state.unverified.list_unlisted_lapses()
        )

    @property
    def _are_fences_due(self) -> bool:
        """Whether the journal does not say yet that fencing tokens rise with boots."""
        return self.must_raise_fences and not self._state.fences.rise_with_boots

    def _record_numbers(self, batch: Batch) -> None:
        """Add the records on fencing tokens and run numbers that are due."""
        if self._are_fences_due:
            batch.fences = FencesRecord(TOKENS_PER_EPOCH)
            batch.records.append(Persist(FENCES_KEY, batch.fences))
        if self._state.run_numbers.is_reservation_due:
            batch.run_numbers = self._state.run_numbers.make_reservation()
            batch.records.append(Persist(RUN_NUMBERS_KEY, batch.run_numbers))

    def _handle_durable_numbers(self, batch: Batch) -> None:
        if batch.fences is not None:
            self._state.fences.apply(batch.fences)
        if batch.run_numbers is not None:
            self._state.run_numbers.apply(batch.run_numbers)

    def _is_owner_due(self) -> bool:
        """Return whether the own process is to be recorded.

        The next owner takes the end of this process for the end of all renewals, so the record
        waits until earlier owners have lost the right to order.
        """
        held_ms = self._state.clock.now() - self._restored_at
        return self.unrecorded_owner is not None and held_ms >= OWNERSHIP_VALID_MS

    def _record_owner(self, batch: Batch) -> None:
        """Add the record of the own process, if it is due."""
        if self._is_owner_due():
            batch.records.append(Persist(OWNER_KEY, self.unrecorded_owner))
            self.unrecorded_owner = None

    def pop_batch(self) -> Batch:
        """Return all records that wait to be written, for one atomic append."""
        state = self._state
        batch = Batch(ends_hand_over=self.has_hand_over)
        if self.has_hand_over:
            batch.records.append(Persist(HAND_OVER_KEY, None))
        self._record_numbers(batch)
        for job_id in self._deleted:
            batch.records.append(Persist(f"job/{job_id}", None))
            batch.records.append(Persist(f"progress/{job_id}", None))
        for job in self._new_jobs:
            batch.records.append(Persist(f"job/{job.id}", job.record))
            batch.stored_jobs.append(job)
        for job in state.dirty:
            self._add_progress(job, batch)
        batch.records += state.early_cancels.pop_records()
        batch.cancel_calls = state.early_cancels.pop_calls()
        for worker_id in state.dropped_workers:
            if not state.unverified.has_boot_of(worker_id):
                batch.records.append(Persist(f"worker/{worker_id}", None))
        state.dropped_workers = []
        self._record_unverified(batch)
        self._record_owner(batch)
        self._record_workers(batch)
        for worker in state.workers.values():
            if worker.cursor > worker.durable_cursor:
                batch.cursors.append((worker, worker.cursor))
        state.has_worker_changes = False
        now = state.clock.now()
        if batch.records and now >= self._learned_at + LEARNED_INTERVAL_MS:
            self._learned_at = now
            batch.records.append(Persist(LEARNED_KEY, state.to_learned()))
        batch.tickets = list(self._tickets)
        self._new_jobs, self._tickets, self._deleted = [], [], []
        state.dirty = {}
        return batch

    def _add_progress(self, job: Job, batch: Batch) -> None:
        """Add the progress of a job; progress that cannot be encoded is left out.

        The ends of its runs are acknowledged all the same, as otherwise no end of any job would be.
        """
        key = f"progress/{job.id}"
        try:
            record = job.to_progress()
        except CodecError as error:
            self._state.log_decision("journal.unencodable", key=key, error=str(error))
            return
        batch.records.append(Persist(key, record))
        batch.durable_states.append((job, job.state, job.crash_revision))

    def _record_workers(self, batch: Batch) -> None:
        """Add the records of the workers that have changed.

        The journal has one record of a worker. While an earlier owner's boot is unverified, the
        record stays that of this boot, whatever boot the platform's list names: the next owner must
        know of its lease. The other boot gets no tasks and no lease without a record.
        """
        workers = self._state.workers.values()
        unrecorded = [w for w in workers if not w.is_recorded or w.is_record_outdated]
        self._postponed = self._state.unverified.find_replaced(unrecorded)
        for worker in unrecorded:
            if worker.id not in self._postponed:
                self._record_worker(worker, batch)

    def _is_postponed_record_due(self) -> bool:
        """Return whether the record of a worker need not wait for another boot any more."""
        if not self._postponed:
            return False
        workers = self._state.workers
        waiting = [workers[worker_id] for worker_id in self._postponed if worker_id in workers]
        return len(self._state.unverified.find_replaced(waiting)) < len(waiting)

    def _record_worker(self, worker: Worker, batch: Batch) -> None:
        """Add a worker's record, from which a new owner learns when its lease has lapsed."""
        state = self._state
        entry = worker.entry
        now = state.clock.now()
        is_unverified = worker.inventory_at < 0
        may_renew = not worker.is_lease_suspended if is_unverified else worker.is_reachable(now)
        lapse_at = (
            state.unverified.compute_lapse_at(worker, now)
            if is_unverified
            else worker.compute_last_lapse_at(state.bounds)
        )
        worker.is_lease_suspended |= not may_renew
        lapsed_by = () if may_renew else state.unverified.make_clock_references(lapse_at)
        lapses_in_ms = -1 if may_renew else max(0, lapse_at - now)
        worker.is_record_outdated = False
        record = WorkerRecord(
            entry.worker,
            entry.address,
            entry.boot_ms,
            lapsed_by,
            lapses_in_ms,
            state.epoch,
            worker.may_hold_longest_lease or worker.has_seen_next_boot,
        )
        batch.records.append(Persist(f"worker/{worker.id}", record))
        batch.workers.append((worker, worker.record_revision, may_renew))

    def _list_due_lapses(self) -> list[UnverifiedWorker]:
        """Return the unverified workers whose lease ends are to be written to the journal."""
        state = self._state
        if not state.unverified.by_boot:
            return []
        now = state.clock.now()
        if now - self._restored_at < UNVERIFIED_RECORD_AFTER_MS:
            return []
        if not any(worker.is_reachable(now) for worker in state.workers.values()):
            return []
        return state.unverified.list_unrecorded_lapses()

    def _record_unverified(self, batch: Batch) -> None:
        """Add records of when the leases of unverified workers have lapsed."""
        state = self._state
        last_lapses = state.unverified.find_last_lapses()
        for unverified_worker in self._list_due_lapses():
            unverified_worker.is_lapse_recorded = True
            lapses_in_ms = unverified_worker.lapse_at - state.clock.now()
            state.log_decision(
                "worker.unverified",
                worker=unverified_worker.record.worker,
                born=unverified_worker.record.boot_ms,
                lapses_in_ms=lapses_in_ms,
            )
            worker = state.workers.get(unverified_worker.record.worker)
            if worker is not None and worker.entry.boot_ms == unverified_worker.record.boot_ms:
                state.suspend_lease(worker)
                continue
            self._record_lapse(unverified_worker, last_lapses, batch)
        for unverified_worker in state.unverified.list_unlisted_lapses():
            self._record_lapse(unverified_worker, last_lapses, batch)

    def _record_lapse(
        self, unverified_worker: UnverifiedWorker, last_lapses: Mapping[str, int], batch: Batch
    ) -> None:
        """Add the record of when the lease of a boot without an entry has lapsed.

        The journal has one record of a worker, so it names the time at which the leases of all its
        unverified boots have lapsed, whichever of them it names.
        """
        state = self._state
        unverified_worker.is_lapse_handed_over = False
        unverified_worker.is_hidden = False
        lapse_at = last_lapses[unverified_worker.record.worker]
        record = replace(
            unverified_worker.record,
            lapsed_by=state.unverified.make_clock_references(lapse_at),
            lapses_in_ms=max(0, lapse_at - state.clock.now()),
        )
        batch.records.append(Persist(f"worker/{record.worker}", record))

    def withdraw_new_jobs(self, batch: Batch) -> None:
        """Refuse the new jobs of a batch of which the store has certainly written nothing."""
        withdrawn = {job.id for job in batch.stored_jobs if not job.is_over}
        self._withdraw(batch, withdrawn, "store is unavailable")

    def exclude_records(self, batch: Batch, keys: set[str]) -> None:
        """Leave out records that cannot be encoded, and the changes that depend on them.

        A worker without a record gets no tasks, and a new job without one is refused.
        """
        batch.records = [record for record in batch.records if record.key not in keys]
        batch.workers = [item for item in batch.workers if f"worker/{item[0].id}" not in keys]
        withdrawn = {job.id for job in batch.stored_jobs if f"job/{job.id}" in keys}
        self._withdraw(batch, withdrawn, "its record cannot be encoded")

    def _withdraw(self, batch: Batch, withdrawn: set[str], reason: str) -> None:
        """Refuse new jobs of a batch, of which the journal holds nothing."""
        state = self._state
        keys = {f"job/{job_id}" for job_id in withdrawn}
        batch.stored_jobs = [job for job in batch.stored_jobs if job.id not in withdrawn]
        batch.records = [record for record in batch.records if record.key not in keys]
        batch.tickets = self._refuse(batch.tickets, withdrawn)
        self._tickets = self._refuse(self._tickets, withdrawn)
        for job_id in withdrawn:
            job = state.jobs.pop(job_id)
            state.dirty.pop(job, None)
            state.log_decision("job.refused", job=job_id, reason=reason)

    def _refuse(
        self, tickets: list[tuple[Job, TicketOutcome]], withdrawn: set[str]
    ) -> list[tuple[Job, TicketOutcome]]:
        """Refuse the calls for withdrawn jobs and return the others."""
        for job, ticket_outcome in tickets:
            if job.id in withdrawn:
                self._state.emit(TicketOutcome(ticket_outcome.ticket, "refused"))
        return [(job, ticket_outcome) for job, ticket_outcome in tickets if job.id not in withdrawn]

    def pop_hand_over_batch(self) -> Batch:
        """Return all records that wait to be written, and last the hand-over record."""
        batch = self.pop_batch()
        record = self._state.unverified.to_hand_over_record()
        if isinstance(record, HandOverRecord):
            record = replace(record, interrupted=list_interrupted(self._state.open_steps))
        batch.records.append(Persist(HAND_OVER_KEY, record))
        return batch

    def _handle_durable_workers(self, batch: Batch) -> None:
        """Let the leases be renewed of workers whose current records the journal holds now."""
        for worker, record_revision, may_renew in batch.workers:
            if record_revision != worker.record_revision:
                self._state.has_worker_changes = True
                continue
            worker.is_recorded = True
            if may_renew:
                worker.is_lease_suspended = False

    def handle_durable(self, batch: Batch) -> None:
        """Apply the changes of a batch that the journal holds now."""
        state = self._state
        if batch.ends_hand_over:
            self.has_hand_over = False
        self._handle_durable_numbers(batch)
        for job in batch.stored_jobs:
            job.is_stored = True
            if job.spec.repetitions:
                state.due_jobs[job] = None
            state.open_job(job)
        for job, stored_state, crash_revision in batch.durable_states:
            job.durable_state = stored_state
            job.durable_crash_revision = crash_revision
        for worker, cursor in batch.cursors:
            worker.durable_cursor = max(worker.durable_cursor, cursor)
        self._handle_durable_workers(batch)
        for job, ticket_outcome in batch.tickets:
            state.emit(ticket_outcome)
            state.cancellations.handle_answer(job, ticket_outcome.outcome)
        state.early_cancels.handle_durable(batch.cancel_calls)
        state.is_start_due = True
