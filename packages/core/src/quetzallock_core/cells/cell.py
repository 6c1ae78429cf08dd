"""One cell under one owner: submissions, cancellations, workers, time; effects come out."""

from collections.abc import Callable
from typing import Final

from ..clock import Clock
from ..helpers.hashing import hash_to_range
from .answers import OrderAnswers
from .batches import BatchMaker
from .contents import Contents
from .inventory import InventoryReader
from .jobs import JOB_CHART
from .models import (
    Bounds,
    Effect,
    Inventory,
    JobRecord,
    Settled,
    StepSpec,
    WorkerEntry,
)
from .scheduler import Starter
from .state import CellBook
from .workers import Worker

EXPIRY_MARGIN_MS: Final = 30_000
"""How much longer than promised a finished job is kept."""


class Cell:
    """The decisions of a cell's owner; it does no I/O.

    Attributes:
        book: What the owner knows.
        batches: What the journal has to hold.
        answers: Takes in workers' answers to orders.
        may_order: Ownership is proved recently enough to give orders.
    """

    def __init__(
        self,
        number: int,
        epoch: int,
        bounds: Bounds,
        clock: Clock,
        read_unix_ms: Callable[[], int],
        order: str = "density",
    ) -> None:
        self.book = CellBook(number, epoch, bounds, clock, read_unix_ms)
        self._reader = InventoryReader(self.book)
        self._starter = Starter(self.book, order)
        self.batches = BatchMaker(self.book)
        self.answers = OrderAnswers(self.book)
        self.may_order = True

    def restore(self, contents: Contents) -> None:
        """Take in what the journal holds."""
        self.batches.note_restored(contents.hand_over is not None)
        self.book.restore(contents)
        for job in self.book.jobs.values():
            if job.spec.repetitions and not job.is_over:
                self.book.due_jobs[job] = None

    def submit(self, record: JobRecord, ticket: int) -> None:
        """Accept a job; a repeated id is answered like the first submission."""
        job = self.book.jobs.get(record.spec.job)
        if job is None:
            job = self.book.add_job(record)
            self.batches.add_job(job)
            self.book.decide(
                "job.taken",
                job=job.id,
                queue=record.policy.queue,
                config=record.policy.version,
                steps=[describe_step(step) for step in record.spec.steps],
            )
        else:
            self.book.decide("job.repeated", job=job.id, state=job.state)
        if job.is_stored:
            self.book.emit(Settled(ticket, "accepted"))
        else:
            self.batches.add_ticket(job, Settled(ticket, "accepted"))

    def cancel(self, job_id: str, ticket: int) -> None:
        """Cancel a job; one that is over stays as it is."""
        job = self.book.jobs.get(job_id)
        if job is None:
            self.book.emit(Settled(ticket, "unknown"))
            return
        if not job.is_over:
            self.book.finish_job(job, "cancel")
        if job.shown == job.state and job not in self.book.dirty:
            self.book.emit(Settled(ticket, job.state))
        else:
            self.batches.add_ticket(job, Settled(ticket, job.state))

    def find_state(self, job_id: str) -> str | None:
        """Return the state that callers may be told, or None for an unknown job."""
        job = self.book.jobs.get(job_id)
        if job is None or not job.is_stored:
            return None
        if job.shown in JOB_CHART.final or not job.has_started:
            return job.shown
        return "running"

    def count_pending(self, queue: str) -> int:
        """Return the number of accepted jobs of `queue` of which no task has begun."""
        return sum(
            job.is_stored and not job.has_started and not job.is_over
            for job in self.book.jobs.values()
            if job.policy.queue == queue
        )

    def note_entries(self, entries: dict[str, WorkerEntry]) -> None:
        """Take in the platform's list: all workers of this cell, by id."""
        book = self.book
        for worker in list(book.workers.values()):
            entry = entries.get(worker.id)
            if entry is None:
                worker.is_listed = False
            elif entry.born != worker.entry.born:
                book.replace_worker(worker, entry)
        for entry in entries.values():
            if (entry.worker, entry.born) in book.buried:
                continue
            worker = book.workers.get(entry.worker) or book.add_worker(entry)
            if entry.is_draining and not worker.entry.is_draining:
                book.decide("worker.draining", worker=worker.id)
            worker.entry = entry
            worker.is_listed = True

    def note_inventory(self, worker: str, inventory: Inventory) -> None:
        """Take in what a worker runs and what has ended there."""
        if self._reader.take_in(worker, inventory):
            self.book.is_start_due = True

    def note_silence(self, worker: str) -> None:
        """An inventory call to a worker got no answer."""
        known = self.book.workers.get(worker)
        if known is not None:
            known.is_silent = True

    def start_waiting(self) -> None:
        """Start what can start."""
        self.book.is_start_due = False
        if self.may_order and not self.book.fenced and not self.batches.has_hand_over:
            self._starter.start_waiting()

    def tick(self) -> None:
        """Act on the passing of time."""
        book = self.book
        now = book.clock.now()
        self._check_doubts()
        for worker in list(book.workers.values()):
            self._check_worker(worker, now)
        if self.may_order and not book.fenced:
            self._repeat_orders(now)
            self._restart_stalled(now)
            self._starter.copy_stragglers()
            self._starter.move_halted()
        self._open_due_jobs()
        self._expire_jobs(now)
        self.book.is_start_due = True

    def _check_doubts(self) -> None:
        book = self.book
        for worker, born in book.doubts.take_lapsed():
            book.decide("worker.doubt_over", worker=worker, born=born)
            if worker not in book.workers:
                book.dropped_workers.append(worker)

    def _check_worker(self, worker: Worker, now: int) -> None:
        if worker.is_reachable(now):
            if worker.is_released and worker.is_recorded:
                self.book.change_record(worker)
            return
        if worker.contact_at >= 0 and not worker.is_released:
            self.book.release_worker(worker)
        if worker.runs and worker.lease_clock and now >= worker.lease_end():
            for run in list(worker.runs.values()):
                self.book.decide("run.lapsed", task=run.task.name, run=run.number, worker=worker.id)
                self.book.lapse_run(run)
        if not worker.runs and not worker.is_listed:
            self.book.drop_worker(worker, "no entry and no answer")

    def _repeat_orders(self, now: int) -> None:
        book = self.book
        for worker in book.workers.values():
            for run in list(worker.runs.values()):
                if now < run.resend_at or run.known_clock >= 0:
                    continue
                if run.state == "stopping":
                    book.send_stop(run)
                elif run.state == "ordered" and worker.is_usable(now):
                    self._starter.send_start(run, worker, now)

    def _restart_stalled(self, now: int) -> None:
        for run in self._reader.find_stalled(now):
            worker = self.book.workers[run.worker]
            worker.note_failure(run.task.job.id, now)
            run.task.avoid.add(worker.id)
            self.book.stop_run(run, "no progress")

    def _open_due_jobs(self) -> None:
        for job in list(self.book.due_jobs):
            if job.is_over:
                del self.book.due_jobs[job]
            elif job.is_stored:
                self.book.open_job(job)

    def _expire_jobs(self, now: int) -> None:
        keep_ms = self.book.bounds.status_ms + EXPIRY_MARGIN_MS
        for job in list(self.book.jobs.values()):
            if job.is_over and job.ended_at and now - job.ended_at > keep_ms:
                del self.book.jobs[job.id]
                self.batches.delete_job(job.id)

    def take_effects(self) -> list[Effect]:
        """Return what is to be carried out."""
        return self.book.take_effects()


def choose_cell(job: str, cells: int) -> int:
    """Return the cell that the job with this id belongs to."""
    return hash_to_range(job, cells)


def choose_worker_cell(rack: str, cells: int) -> int:
    """Return the cell that the workers of `rack` belong to."""
    return hash_to_range(rack, cells)


def describe_step(step: StepSpec) -> str:
    """Return a step in a few words for the log."""
    needs = step.needs
    marks = [
        name
        for name in ("saves", "gang", "speculative", "lasting", "fills", "one_rack")
        if getattr(step, name)
    ]
    size = f"{step.count}x{needs.cpu}/{needs.memory_mb}/{needs.gpus}"
    return " ".join([size, f"{step.estimate_ms}ms", f"after{list(step.after)}", *marks])
