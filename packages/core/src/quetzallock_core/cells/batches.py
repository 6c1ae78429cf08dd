"""What the journal has to hold, in batches, and what is true once it does."""

from dataclasses import dataclass, field, replace
from typing import Final

from .const import DOUBT_RECORD_MS
from .jobs import Job
from .models import Persist, Settled, WorkerRecord
from .state import CellBook
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
    shown: list[tuple[Job, str]] = field(default_factory=list)
    tickets: list[tuple[Job, Settled]] = field(default_factory=list)
    cursors: list[tuple[Worker, int]] = field(default_factory=list)
    ends_hand_over: bool = False
    workers: list[tuple[Worker, int, bool]] = field(default_factory=list)


class BatchMaker:
    """Collects what has to last into batches.

    Attributes:
        has_hand_over: The journal still holds the last owner's word on what may go on.
    """

    def __init__(self, book: CellBook) -> None:
        self._book = book
        self._new_jobs: list[Job] = []
        self._tickets: list[tuple[Job, Settled]] = []
        self._deleted: list[str] = []
        self._learned_at = book.clock.now()
        self._restored_at = book.clock.now()
        self.has_hand_over = False

    def note_restored(self, has_hand_over: bool) -> None:
        """The journal has been taken in."""
        self.has_hand_over = has_hand_over
        self._restored_at = self._book.clock.now()

    def add_job(self, job: Job) -> None:
        """Write a new job."""
        self._new_jobs.append(job)

    def add_ticket(self, job: Job, settled: Settled) -> None:
        """Settle a call on `job` once all that was decided on it is written."""
        self._tickets.append((job, settled))

    def delete_job(self, job_id: str) -> None:
        """Delete what is written of a job."""
        self._deleted.append(job_id)

    def has_records(self) -> bool:
        """Tell whether anything waits to be written."""
        book = self._book
        return bool(
            self.has_hand_over
            or self._new_jobs
            or book.dirty
            or self._tickets
            or self._deleted
            or book.dropped_workers
            or book.has_worker_news
        )

    def take_batch(self) -> Batch:
        """Return all that waits to be written; it is written as a whole or not at all."""
        book = self._book
        batch = Batch(ends_hand_over=self.has_hand_over)
        if self.has_hand_over:
            batch.records.append(Persist(HAND_OVER_KEY, None))
        for job in self._new_jobs:
            batch.records.append(Persist(f"job/{job.id}", job.record))
            batch.stored.append(job)
        for job in book.dirty:
            batch.records.append(Persist(f"progress/{job.id}", job.to_progress()))
            batch.shown.append((job, job.state))
        for job_id in self._deleted:
            batch.records.append(Persist(f"job/{job_id}", None))
            batch.records.append(Persist(f"progress/{job_id}", None))
        for worker_id in book.dropped_workers:
            batch.records.append(Persist(f"worker/{worker_id}", None))
        book.dropped_workers = []
        self._record_doubts(batch)
        for worker in book.workers.values():
            if not worker.is_recorded:
                self._record_worker(worker, batch)
            if worker.cursor > worker.acked:
                batch.cursors.append((worker, worker.cursor))
        book.has_worker_news = False
        now = book.clock.now()
        if batch.records and now >= self._learned_at + LEARNED_MS:
            self._learned_at = now
            batch.records.append(Persist(LEARNED_KEY, book.to_learned()))
        batch.tickets = list(self._tickets)
        self._new_jobs, self._tickets, self._deleted = [], [], []
        book.dirty = {}
        return batch

    def _record_worker(self, worker: Worker, batch: Batch) -> None:
        """Write what a new owner has to know of a worker."""
        book = self._book
        entry = worker.entry
        now = book.clock.now()
        is_unheard = worker.contact_at < 0
        is_held = not worker.is_released if is_unheard else worker.is_reachable(now)
        lapse_at = book.doubts.find_lapse(worker, now) if is_unheard else worker.lease_end()
        lapsed_by = () if is_held else book.doubts.find_witnesses(lapse_at)
        record = WorkerRecord(entry.worker, entry.address, entry.born, lapsed_by)
        batch.records.append(Persist(f"worker/{worker.id}", record))
        batch.workers.append((worker, worker.revision, is_held))

    def _record_doubts(self, batch: Batch) -> None:
        """Write when the leases of workers that were not heard of have lapsed."""
        book = self._book
        now = book.clock.now()
        for doubt in book.doubts.lives.values():
            if doubt.is_written or now - self._restored_at < DOUBT_RECORD_MS:
                continue
            witnesses = book.doubts.find_witnesses(doubt.lapse_at)
            if not witnesses or doubt.record.lapsed_by:
                continue
            doubt.is_written = True
            worker = book.workers.get(doubt.record.worker)
            if worker is not None and worker.entry.born == doubt.record.born:
                book.release_worker(worker)
                continue
            record = replace(doubt.record, lapsed_by=witnesses)
            batch.records.append(Persist(f"worker/{record.worker}", record))

    def withdraw_new(self, batch: Batch) -> None:
        """Refuse the new jobs of a batch of which the store has surely written nothing."""
        book = self._book
        withdrawn = {job.id for job in batch.stored if not job.is_over}
        keys = {f"job/{job_id}" for job_id in withdrawn}
        batch.stored = [job for job in batch.stored if job.id not in withdrawn]
        batch.records = [record for record in batch.records if record.key not in keys]
        batch.tickets = self._refuse(batch.tickets, withdrawn)
        self._tickets = self._refuse(self._tickets, withdrawn)
        for job_id in withdrawn:
            job = book.jobs.pop(job_id)
            book.dirty.pop(job, None)
            book.decide("job.refused", job=job_id, reason="the store is away")

    def _refuse(
        self, tickets: list[tuple[Job, Settled]], withdrawn: set[str]
    ) -> list[tuple[Job, Settled]]:
        """Refuse the calls for withdrawn jobs and return the others."""
        for job, settled in tickets:
            if job.id in withdrawn:
                self._book.emit(Settled(settled.ticket, "refused"))
        return [(job, settled) for job, settled in tickets if job.id not in withdrawn]

    def take_hand_over(self) -> Batch:
        """Return all that waits to be written and, last, what may go on without this owner."""
        batch = self.take_batch()
        record = self._book.doubts.to_hand_over()
        if record is not None:
            batch.records.append(Persist(HAND_OVER_KEY, record))
        return batch

    def note_durable(self, batch: Batch) -> None:
        """The journal holds `batch`."""
        book = self._book
        if batch.ends_hand_over:
            self.has_hand_over = False
        for job in batch.stored:
            job.is_stored = True
            if job.spec.repetitions:
                book.due_jobs[job] = None
            book.open_job(job)
        for job, state in batch.shown:
            job.shown = state
        for worker, cursor in batch.cursors:
            worker.acked = max(worker.acked, cursor)
        for worker, revision, is_held in batch.workers:
            if revision != worker.revision:
                book.has_worker_news = True
                continue
            worker.is_recorded = True
            if is_held:
                worker.is_released = False
        for _, settled in batch.tickets:
            book.emit(settled)
        book.is_start_due = True
