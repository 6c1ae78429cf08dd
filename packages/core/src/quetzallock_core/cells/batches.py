"""What the journal has to hold, in batches, and what is true once it does."""

from dataclasses import dataclass, field, replace
from typing import Final

from .const import UNVERIFIED_RECORD_AFTER_MS
from .jobs import Job
from .models import Persist, TicketOutcome, WorkerRecord
from .state import CellState
from .workers import Worker

HAND_OVER_KEY: Final = "handover"
LEARNED_KEY: Final = "learned"
LEARNED_MS: Final = 2_000
"""Shortest time between two records of what was learned."""


@dataclass(slots=True)
class Batch:
    """Records for one append, and what is true once the journal holds them.

    Attributes:
        records: What to write.
        stored: Jobs whose acceptance is among them.
        shown: States that callers may be told.
        tickets: Calls to be settled, and how.
        cursors: Ends up to these numbers may be acknowledged, by worker.
        ends_hand_over: The last owner's word on what may go on holds no longer.
        workers: Workers that were written, at which revision, and whether their leases may
            be renewed.
    """

    records: list[Persist] = field(default_factory=list)
    stored: list[Job] = field(default_factory=list)
    durable_state: list[tuple[Job, str]] = field(default_factory=list)
    tickets: list[tuple[Job, TicketOutcome]] = field(default_factory=list)
    cursors: list[tuple[Worker, int]] = field(default_factory=list)
    ends_hand_over: bool = False
    workers: list[tuple[Worker, int, bool]] = field(default_factory=list)


class BatchMaker:
    """Collects what has to last into batches.

    Attributes:
        has_hand_over: The journal still holds the last owner's word on what may go on.
    """

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._new_jobs: list[Job] = []
        self._tickets: list[tuple[Job, TicketOutcome]] = []
        self._deleted: list[str] = []
        self._learned_at = state.clock.now()
        self._restored_at = state.clock.now()
        self.has_hand_over = False

    def handle_restored(self, has_hand_over: bool) -> None:
        """The journal has been taken in."""
        self.has_hand_over = has_hand_over
        self._restored_at = self._state.clock.now()

    def add_job(self, job: Job) -> None:
        """Write a new job."""
        self._new_jobs.append(job)

    def add_ticket(self, job: Job, ticket_outcome: TicketOutcome) -> None:
        """Settle a call on `job` once all that was decided on it is written."""
        self._tickets.append((job, ticket_outcome))

    def delete_job(self, job_id: str) -> None:
        """Delete what is written of a job."""
        self._deleted.append(job_id)

    def has_records(self) -> bool:
        """Tell whether anything waits to be written."""
        state = self._state
        return bool(
            self.has_hand_over
            or self._new_jobs
            or state.dirty
            or self._tickets
            or self._deleted
            or state.dropped_workers
            or state.has_worker_changes
        )

    def pop_batch(self) -> Batch:
        """Return all that waits to be written; it is written as a whole or not at all."""
        state = self._state
        batch = Batch(ends_hand_over=self.has_hand_over)
        if self.has_hand_over:
            batch.records.append(Persist(HAND_OVER_KEY, None))
        for job in self._new_jobs:
            batch.records.append(Persist(f"job/{job.id}", job.record))
            batch.stored.append(job)
        for job in state.dirty:
            batch.records.append(Persist(f"progress/{job.id}", job.to_progress()))
            batch.durable_state.append((job, job.state))
        for job_id in self._deleted:
            batch.records.append(Persist(f"job/{job_id}", None))
            batch.records.append(Persist(f"progress/{job_id}", None))
        for worker_id in state.dropped_workers:
            batch.records.append(Persist(f"worker/{worker_id}", None))
        state.dropped_workers = []
        self._record_unverified(batch)
        for worker in state.workers.values():
            if not worker.is_recorded:
                self._record_worker(worker, batch)
            if worker.cursor > worker.durable_cursor:
                batch.cursors.append((worker, worker.cursor))
        state.has_worker_changes = False
        now = state.clock.now()
        if batch.records and now >= self._learned_at + LEARNED_MS:
            self._learned_at = now
            batch.records.append(Persist(LEARNED_KEY, state.to_learned()))
        batch.tickets = list(self._tickets)
        self._new_jobs, self._tickets, self._deleted = [], [], []
        state.dirty = {}
        return batch

    def _record_worker(self, worker: Worker, batch: Batch) -> None:
        """Write what a new owner has to know of a worker."""
        state = self._state
        entry = worker.entry
        now = state.clock.now()
        is_unheard = worker.contact_at < 0
        is_held = not worker.is_lease_suspended if is_unheard else worker.is_reachable(now)
        lapse_at = (
            state.unverified.find_lapse_at(worker, now) if is_unheard else worker.compute_lapse_at()
        )
        lapsed_by = () if is_held else state.unverified.make_clock_references(lapse_at)
        record = WorkerRecord(entry.worker, entry.address, entry.boot_ms, lapsed_by)
        batch.records.append(Persist(f"worker/{worker.id}", record))
        batch.workers.append((worker, worker.revision, is_held))

    def _record_unverified(self, batch: Batch) -> None:
        """Write when the leases of workers that were not heard of have lapsed."""
        state = self._state
        now = state.clock.now()
        for unverified_worker in state.unverified.by_boot.values():
            if (
                unverified_worker.is_recorded
                or now - self._restored_at < UNVERIFIED_RECORD_AFTER_MS
            ):
                continue
            references = state.unverified.make_clock_references(unverified_worker.lapse_at)
            if not references or unverified_worker.record.lapsed_by:
                continue
            unverified_worker.is_recorded = True
            worker = state.workers.get(unverified_worker.record.worker)
            if worker is not None and worker.entry.boot_ms == unverified_worker.record.boot_ms:
                state.suspend_lease(worker)
                continue
            record = replace(unverified_worker.record, lapsed_by=references)
            batch.records.append(Persist(f"worker/{record.worker}", record))

    def withdraw_new_jobs(self, batch: Batch) -> None:
        """Refuse the new jobs of a batch of which the store has surely written nothing."""
        state = self._state
        withdrawn = {job.id for job in batch.stored if not job.is_over}
        keys = {f"job/{job_id}" for job_id in withdrawn}
        batch.stored = [job for job in batch.stored if job.id not in withdrawn]
        batch.records = [record for record in batch.records if record.key not in keys]
        batch.tickets = self._refuse(batch.tickets, withdrawn)
        self._tickets = self._refuse(self._tickets, withdrawn)
        for job_id in withdrawn:
            job = state.jobs.pop(job_id)
            state.dirty.pop(job, None)
            state.log_decision("job.refused", job=job_id, reason="the store is away")

    def _refuse(
        self, tickets: list[tuple[Job, TicketOutcome]], withdrawn: set[str]
    ) -> list[tuple[Job, TicketOutcome]]:
        """Refuse the calls for withdrawn jobs and return the others."""
        for job, ticket_outcome in tickets:
            if job.id in withdrawn:
                self._state.emit(TicketOutcome(ticket_outcome.ticket, "refused"))
        return [(job, ticket_outcome) for job, ticket_outcome in tickets if job.id not in withdrawn]

    def pop_hand_over_batch(self) -> Batch:
        """Return all that waits to be written and, last, what may go on without this owner."""
        batch = self.pop_batch()
        record = self._state.unverified.to_hand_over()
        if record is not None:
            batch.records.append(Persist(HAND_OVER_KEY, record))
        return batch

    def handle_durable(self, batch: Batch) -> None:
        """The journal holds `batch`."""
        state = self._state
        if batch.ends_hand_over:
            self.has_hand_over = False
        for job in batch.stored:
            job.is_stored = True
            if job.spec.repetitions:
                state.due_jobs[job] = None
            state.open_job(job)
        for job, stored_state in batch.durable_state:
            job.durable_state = stored_state
        for worker, cursor in batch.cursors:
            worker.durable_cursor = max(worker.durable_cursor, cursor)
        for worker, revision, is_held in batch.workers:
            if revision != worker.revision:
                state.has_worker_changes = True
                continue
            worker.is_recorded = True
            if is_held:
                worker.is_lease_suspended = False
        for _, ticket_outcome in batch.tickets:
            state.emit(ticket_outcome)
        state.is_start_due = True
