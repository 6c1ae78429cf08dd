"""One cell under one owner: processes calls, inventories and time, and returns effects."""

from collections.abc import Callable, Iterable
from typing import Final

from ..clock import Clock
from ..helpers.hashing import hash_to_range
from . import boots
from .answers import OrderAnswers
from .batches import BatchMaker
from .contents import Contents
from .defragmentation import Defragmentation
from .descriptions import describe_resources, describe_step
from .displacement import Displacement
from .evacuation import Evacuations
from .evacuation_moves import EvacuationMoves
from .inventory import InventoryReader
from .jobs import JOB_CHART, Job
from .migration import Migration
from .models import Boot, Bounds, Inventory, PollFailure, WorkerEntry
from .orders import Effect, StartRun, StopRun, TicketOutcome
from .preemption import Preemption
from .records import JobRecord
from .run_ends import EndProof
from .scheduler import Scheduler
from .state import CellState
from .turns import Turns
from .waiting import WaitReporter
from .workers import Worker

EXPIRY_MARGIN_MS: Final = 30_000
"""How long a finished job is kept beyond `Bounds.status_ms`, the time that callers can rely on."""


class Cell:
    """Makes the decisions of a cell's owner; it does no I/O.

    Attributes:
        state: The owner's state of the cell.
        batches: Collects the records for the journal.
        answers: Processes workers' answers to orders.
        evacuations: The evacuated data centres.
        may_order: Ownership was confirmed recently enough to give orders.
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
        self.state = CellState(number, epoch, bounds, clock, read_unix_ms)
        self._reader = InventoryReader(self.state)
        self._scheduler = Scheduler(self.state, order)
        self._migration = Migration(self.state)
        self.evacuations = Evacuations(self.state)
        self._evacuation_moves = EvacuationMoves(self.state)
        self._displacement = Displacement(self.state)
        self._turns = Turns(self.state)
        self._preemption = Preemption(self.state)
        self._defragmentation = Defragmentation(self.state)
        self._wait_reporter = WaitReporter(self.state)
        self.batches = BatchMaker(self.state)
        self.answers = OrderAnswers(self.state)
        self.may_order = True

    def restore(self, contents: Contents) -> None:
        """Load the records of the journal."""
        self.batches.handle_restored(contents.has_hand_over)
        self.state.restore(contents)
        for job in self.state.jobs.values():
            if job.spec.repetitions and not job.is_over:
                self.state.due_jobs[job] = None

    def submit(self, record: JobRecord, ticket: int) -> None:
        """Accept a job; a repeated id gets the outcome of the first submission."""
        job = self.state.jobs.get(record.spec.job)
        if job is None:
            job = self._add_job(record)
        else:
            self.state.log_decision("job.repeated", job=job.id, state=job.state)
        if job.is_stored:
            state = self.find_state(job.id) or ""
            self.state.emit(TicketOutcome(ticket, "accepted", state))
        else:
            self.batches.add_ticket(job, TicketOutcome(ticket, "accepted", job.state))

    def _add_job(self, record: JobRecord) -> Job:
        """Add a new job, which is over at once if it was cancelled before."""
        job = self.state.add_job(record)
        self.batches.add_job(job)
        self.state.log_decision(
            "job.taken",
            job=job.id,
            queue=record.policy.queue,
            config=record.policy.version,
            steps=[describe_step(step) for step in record.spec.steps],
        )
        if self.state.early_cancels.pop(job.id):
            self.state.log_decision("job.cancelled_before", job=job.id)
            self.state.finish_job(job, "cancel")
        return job

    def cancel(self, job_id: str, ticket: int) -> None:
        """Cancel a job, unless it is over; the cancel of an unknown one is kept for a while."""
        job = self.state.jobs.get(job_id)
        if job is None:
            self.state.early_cancels.add(job_id, ticket)
            return
        if not job.is_over:
            self.state.finish_job(job, "cancel")
        if job.durable_state == job.state and job not in self.state.dirty:
            self.state.emit(TicketOutcome(ticket, job.state))
        else:
            self.batches.add_ticket(job, TicketOutcome(ticket, job.state))

    def find_state(self, job_id: str) -> str | None:
        """Return the state of a job for callers, or None for an unknown job."""
        job = self.state.jobs.get(job_id)
        if job is None or not job.is_stored:
            return None
        if job.durable_state in JOB_CHART.final or not job.has_started:
            return job.durable_state
        return "running"

    def count_pending(self, queue: str) -> int:
        """Return the number of accepted jobs of `queue` of which no task has started."""
        return sum(
            job.is_stored and not job.has_started and not job.is_over
            for job in self.state.jobs.values()
            if job.policy.queue == queue
        )

    def handle_entries(self, entries: dict[str, WorkerEntry]) -> None:
        """Process the platform's list of all workers of this cell, by id."""
        state = self.state
        now = state.clock.now()
        for worker in list(state.workers.values()):
            entry = entries.get(worker.id)
            if entry is None:
                worker.is_listed = False
                worker.next_entry = None
                state.drains.handle_unlisted(worker)
            elif entry.boot_ms != worker.entry.boot_ms:
                worker.is_listed = False
                worker.next_entry = entry
                if worker.is_replaced_by(entry, now):
                    boots.replace_boot(state, worker, entry, EndProof.NEXT_BOOT)
        for entry in entries.values():
            if (entry.worker, entry.boot_ms) in state.ended_boots:
                continue
            worker = state.workers.get(entry.worker) or state.add_worker(entry)
            if entry.boot_ms != worker.entry.boot_ms:
                continue
            entry = worker.keep_address(entry, now)
            if entry.is_draining and not worker.entry.is_draining:
                state.log_decision("worker.draining", worker=worker.id)
            if entry.capacity != worker.entry.capacity:
                self._log_resize(worker, entry)
            state.drains.handle_entry(worker, entry)
            self.evacuations.update_worker(worker, entry)
            worker.entry = entry
            worker.is_listed = True
            worker.next_entry = None
        boots.add_unlisted_leaving(state)

    def _log_resize(self, worker: Worker, entry: WorkerEntry) -> None:
        self.state.log_decision(
            "worker.resized",
            worker=worker.id,
            before=describe_resources(worker.entry.capacity),
            after=describe_resources(entry.capacity),
            committed=describe_resources(worker.committed),
            runs=len(worker.runs),
        )

    def handle_evacuations(self, data_centres: Iterable[str], confirmed_at: int) -> None:
        """Process the list of all evacuated data centres.

        Args:
            data_centres: All data centres that are evacuated.
            confirmed_at: Local ms at which the read that confirms them was sent.
        """
        self.evacuations.handle_requests(frozenset(data_centres), confirmed_at)

    def may_send_start(self, order: StartRun) -> bool:
        """Return whether a start order that was decided may still be sent."""
        worker = self.state.workers.get(order.worker)
        if worker is not None and worker.is_evacuated:
            return False
        return self.evacuations.is_view_current()

    def handle_stop_sent(self, order: StopRun) -> None:
        """Record that a stop order was handed to the transport; some are held back until later."""
        self.state.cancellations.handle_stop_sent(order)

    def handle_inventory(self, boot: Boot, inventory: Inventory, asked_at: int) -> None:
        """Process the inventory for which `boot` was asked at the local ms `asked_at`."""
        if self._reader.process(boot, inventory, asked_at):
            self.state.is_start_due = True

    def handle_no_answer(self, boot: Boot, failure: PollFailure = PollFailure.TIMED_OUT) -> None:
        """Record that an inventory poll of `boot` got no answer, because of `failure`."""
        known = self.state.find_boot(boot)
        if known is not None:
            self.state.drains.handle_no_answer(known, failure)
            known.record_no_answer(self.state.clock.now())
            self.state.crashes.expose_runs(known)

    def handle_next_boot_inventory(
        self, boot: Boot, entry: WorkerEntry, inventory: Inventory
    ) -> None:
        """Process the answer at the address in the entry of another boot than the known `boot`."""
        worker = self.state.find_boot(boot)
        if worker is not None and inventory.boot_ms == entry.boot_ms:
            boots.handle_other_boot(self.state, worker, inventory.boot_ms, entry.address)

    def handle_previous_owner_gone(self, gone_at: int) -> None:
        """Process that the previous owner's process was over at the local ms `gone_at`."""
        owner = self.state.unverified.previous_owner
        if owner is None:
            return
        self.state.log_decision(
            "owner.gone",
            host=owner.host,
            epoch=owner.epoch,
            since_ms=self.state.clock.now() - gone_at,
            unverified=len(self.state.unverified.list_renewable()),
        )
        self.state.unverified.handle_previous_owner_gone(gone_at)

    def start_waiting_tasks(self) -> None:
        """Start the waiting tasks for which there is a worker."""
        self.state.is_start_due = False
        if self._may_start_tasks():
            self._scheduler.start_waiting_tasks()

    def start_urgent_tasks(self) -> None:
        """Start those of the waiting tasks that are not best effort, which takes less time."""
        self.state.is_start_due = False
        if self._may_start_tasks():
            self._scheduler.start_urgent_tasks()

    def _may_start_tasks(self) -> bool:
        if not self.may_order or self.state.fenced or self.batches.has_hand_over:
            return False
        if self.state.run_numbers.are_short:
            return False
        return self.evacuations.is_view_current()

    def tick(self) -> None:
        """Process everything that depends on time: leases, repeated orders, due jobs, expiry."""
        state = self.state
        now = state.clock.now()
        self.evacuations.report()
        self._drop_lapsed_unverified()
        state.interruptions.update(self._may_start_tasks())
        for worker in list(state.workers.values()):
            self._check_worker(worker, now)
        expired = state.reservations.release_unusable(now)
        self._displacement.handle_expired(expired)
        self._turns.handle_expired(expired)
        state.crashes.clear_or_give_up()
        state.fail_exhausted_jobs()
        state.cancellations.report_overdue()
        state.headroom.update(state.open_steps, state.workers.values(), now)
        state.spare_room.update(state.workers.values(), now)
        if self.may_order and not state.fenced:
            state.ended_runs.stop_on_new_boots()
            self._repeat_orders(now)
            self._restart_stalled(now)
            if self.evacuations.is_view_current():
                self._scheduler.copy_stragglers()
                self._migration.migrate_paused_runs()
                self._migration.migrate_from_leaving_workers()
                self._displacement.update()
                self._turns.stop_runs_for_waiting_tasks()
                self._evacuation_moves.move_from_evacuated_workers()
                self._preemption.preempt_for_waiting_tasks()
                self._defragmentation.move_for_waiting_task()
            self._wait_reporter.report()
        self._open_due_jobs()
        self._expire_jobs(now)
        state.early_cancels.expire()
        state.former_boots.expire()
        self.state.run_log.flush()
        self.state.is_start_due = True

    def _drop_lapsed_unverified(self) -> None:
        state = self.state
        for worker, boot_ms in state.unverified.pop_lapsed():
            state.log_decision("worker.lease_lapsed", worker=worker, born=boot_ms)
            if worker not in state.workers:
                state.dropped_workers.append(worker)
                state.crashes.handle_unseen_end((worker, boot_ms))

    def _check_worker(self, worker: Worker, now: int) -> None:
        if worker.is_reachable(now):
            if worker.is_lease_suspended and worker.is_recorded:
                self.state.invalidate_record(worker)
            self._end_longest_lease(worker, now)
            return
        if worker.contact_at >= 0 and not worker.is_lease_suspended:
            self.state.suspend_lease(worker)
        if worker.runs and now >= worker.compute_lapse_at():
            self.state.crashes.expose_runs(worker)
            if worker.next_entry is not None and worker.contact_at >= 0:
                boots.replace_boot(self.state, worker, worker.next_entry, EndProof.LAPSED)
                return
            self._lapse_runs(worker, now)
        if worker.runs or worker.is_listed or self.state.unverified.is_leaving(worker.boot):
            return
        self.state.drop_worker(worker, "no entry and no answer")

    def _end_longest_lease(self, worker: Worker, now: int) -> None:
        """Let the journal know once no order for an earlier boot can have extended the lease."""
        if worker.may_hold_longest_lease and 0 <= worker.longest_lease_until <= now:
            worker.may_hold_longest_lease = False
            worker.is_record_outdated = True
            self.state.has_worker_changes = True

    def _lapse_runs(self, worker: Worker, now: int) -> None:
        """End the runs on a worker that is over, but those that a late start order may begin."""
        self.state.drains.report(worker)
        for run in list(worker.runs.values()):
            if run.unconfirmed_until > now:
                continue
            self.state.log_decision(
                "run.lapsed", task=run.task.name, run=run.number, worker=run.worker
            )
            self.state.lapse_run(run, EndProof.LAPSED)

    def _repeat_orders(self, now: int) -> None:
        state = self.state
        may_start = self.evacuations.is_view_current()
        for worker in state.workers.values():
            for run in list(worker.runs.values()):
                if now < run.resend_at or run.answered_clock_ms >= 0:
                    continue
                if run.state == "stopping":
                    state.send_stop(run)
                elif run.state == "ordered" and worker.is_overcommitted:
                    state.stop_with_gang(run, "worker has shrunk")
                elif run.state != "ordered" or run.is_unsent:
                    continue
                elif worker.is_evacuated:
                    state.stop_with_gang(run, "data centre is evacuated")
                elif not may_start:
                    state.stop_with_gang(run, "evacuations are not known")
                elif worker.can_accept_task(now):
                    self._scheduler.send_start(run, worker, now)

    def _restart_stalled(self, now: int) -> None:
        for run in self._reader.list_stalled(now):
            if self.state.unverified.may_be_running(run.task):
                continue
            worker = self.state.workers[run.worker]
            worker.record_failure(run.task.job.id, now)
            run.task.avoid.add(worker.id)
            self.state.stop_run(run, "no progress")

    def _open_due_jobs(self) -> None:
        for job in list(self.state.due_jobs):
            if job.is_over:
                del self.state.due_jobs[job]
            elif job.is_stored:
                self.state.open_job(job)

    def _expire_jobs(self, now: int) -> None:
        keep_ms = self.state.bounds.status_ms + EXPIRY_MARGIN_MS
        for job in list(self.state.jobs.values()):
            if job.is_over and job.ended_at and now - job.ended_at > keep_ms:
                del self.state.jobs[job.id]
                self.state.dirty.pop(job, None)
                self.batches.delete_job(job.id)

    def pop_effects(self) -> list[Effect]:
        """Return the effects emitted since the last call."""
        return self.state.pop_effects()


def choose_cell(job: str, cells: int) -> int:
    """Return the cell that the job with this id belongs to."""
    return hash_to_range(job, cells)


def choose_worker_cell(rack: str, cells: int) -> int:
    """Return the cell that the workers of `rack` belong to."""
    return hash_to_range(rack, cells)
