"""Processes workers' inventories."""

from .boots import handle_other_boot
from .const import DEFAULT_DURATION_MS, MAX_ORDER_DELAY_MS, STALL_TIMEOUT_MS
from .jobs import Job, Run, Task, parse_task_name
from .models import Boot, EndRow, Inventory, RunningRow
from .orders import StopRun
from .pacing import (
    FULL_PACE,
    estimate_pace,
    exceeds_ordered_pace,
    plan_pace_changes,
    update_best_effort_block,
    update_over_target,
)
from .run_ends import EndProof
from .state import CellState
from .workers import Worker

_STALL_CPU_SHARE = 0.05
"""Processor use, as a share of what the task needs, up to which a batch task counts as
making no progress."""


class InventoryReader:
    """Compares workers' inventories with the owner's state, and updates the state."""

    def __init__(self, state: CellState) -> None:
        self._state = state

    def process(self, boot: Boot, inventory: Inventory, asked_at: int) -> bool:
        """Process one inventory and return whether it may allow a waiting task to start.

        This is so for the first inventory of a boot, for the first with all its ends, and when a
        run is over. An inventory of another boot than `boot`, which was asked, is ignored: the
        worker gets no new tasks until the platform's list is read again, in which the new boot
        replaces the known one.
        """
        state = self._state
        worker = state.find_boot(boot)
        if worker is None:
            return False
        if inventory.boot_ms != worker.entry.boot_ms:
            handle_other_boot(state, worker, inventory.boot_ms, worker.polled_address)
            return False
        now = state.clock.now()
        is_first = worker.inventory_at < 0
        state.interruptions.handle_inventory(worker)
        worker.record_contact(inventory.clock_ms, asked_at, now)
        worker.inventory_at = now
        worker.answered_address = worker.polled_address
        worker.inventory_asked_at = max(worker.inventory_asked_at, asked_at)
        worker.is_poll_unanswered = False
        if worker.next_boot_seen_at <= asked_at:
            worker.next_boot_seen_at = -1
        if is_first:
            self._assume_longest_lease(worker, inventory, asked_at)
        changed = is_first
        for row in inventory.ended:
            if row.number > worker.cursor:
                worker.cursor = row.number
                state.has_worker_changes = True
                self._handle_end(worker, row, now)
                changed = True
        clock_ms = inventory.clock_ms
        listed = {self._handle_running(worker, row, clock_ms, now) for row in inventory.running}
        listed.discard(None)
        state.cancellations.handle_inventory(worker, listed, clock_ms)
        if len(listed) < len(worker.runs):
            unlisted = [run for run in worker.runs.values() if run not in listed]
            changed |= self._handle_unlisted(unlisted, inventory, asked_at)
            self._adopt_replaced(worker, unlisted, inventory, now)
        if not inventory.has_more_ends:
            changed |= state.unverified.remove_worker(worker.id)
        state.crashes.handle_inventory(worker, is_first)
        self._update_paces(worker, now)
        return changed

    def _assume_longest_lease(self, worker: Worker, inventory: Inventory, asked_at: int) -> None:
        """Assume that the lease was extended as far as it can have been.

        An order names the end of the lease by the clock of the boot that it was meant for. The next
        boot, whose clock has begun anew, extends its lease as far as it grants one. Where fencing
        tokens rise with boots, it carries no such order out after this first call.
        """
        state = self._state
        if worker.may_hold_longest_lease:
            left_ms = state.bounds.max_granted_lease_ms
            late_ms = 0 if state.fences.rise_with_boots else MAX_ORDER_DELAY_MS
            lapsed_at = state.clock.now() + late_ms + state.bounds.longest_granted_ms
            worker.longest_lease_until = lapsed_at
        else:
            left_ms = state.unverified.compute_longest_lease(
                worker.boot, asked_at, state.bounds.lease_ms
            )
        known_end = worker.lease_end_clock_ms
        worker.lease_end_clock_ms = max(known_end, inventory.clock_ms + left_ms)

    def _update_paces(self, worker: Worker, now: int) -> None:
        """Learn from the metrics, and order the pace changes that are due."""
        state = self._state
        if worker.serving_count:
            state.interference.observe(worker, now)
            update_best_effort_block(worker, now)
        if not worker.best_effort_count:
            return
        slowed = [run for run in worker.runs.values() if run.pace != FULL_PACE]
        for run in slowed:
            if run.task.spec.fills and exceeds_ordered_pace(run, now):
                state.pace_run(run, run.pace)
        for change in plan_pace_changes(worker, state.interference, now):
            state.pace_run(change.run, change.percent)

    def _find_task(self, name: str) -> Task | None:
        name_parts = parse_task_name(name)
        if name_parts is None:
            return None
        job = self._state.jobs.get(name_parts[0])
        return None if job is None else job.find_task(*name_parts[1:])

    def _handle_running(
        self, worker: Worker, row: RunningRow, clock_ms: int, now: int
    ) -> Run | None:
        """Process the row of a running task, and return the run unless it is unknown."""
        run = worker.runs.get(row.task)
        if run is None or run.number != row.run:
            run = self._adopt(worker, self._find_task(row.task), row, now)
            if run is None:
                return None
        if run.state == "ordered":
            run.advance("confirm")
            self._state.interruptions.handle_confirmed(run)
            mark_started(self._state, run.task.job)
        elif run.state == "stopping":
            _handle_listed_after_stop(run, clock_ms)
        run.is_listed = True
        if row.checkpoint and row.checkpoint != run.task.checkpoint:
            run.task.checkpoint = row.checkpoint
            run.checkpoint_at = now
        self._record_progress(run, row, now)
        return run

    def _adopt(self, worker: Worker, task: Task | None, row: RunningRow, now: int) -> Run | None:
        """Add a run found on a worker to the state and return it.

        Returns None for a run of an unknown task, which is stopped, and where the state has another
        run of the task on this worker. Such a run is stopped if the task must not run any more;
        otherwise it is adopted once the other one is found to be over.
        """
        state = self._state
        if task is None:
            state.log_decision("run.foreign", task=row.task, run=row.run, worker=worker.id)
            state.emit(_make_stop(worker, row))
            return None
        is_unwanted = task.job.is_over or task.is_done
        if row.task in worker.runs:
            if is_unwanted:
                state.emit(_make_stop(worker, row))
            return None
        run = Run(task, row.run, worker.id, "running", now, progressed_at=now, is_listed=True)
        run.pace = estimate_pace(run, row.metric)
        has_other_runs = bool(task.runs) and not task.spec.speculative
        task.runs[row.run] = run
        self._state.add_run(worker, run)
        state.run_log.add_adoption(run, worker.entry.boot_ms)
        state.log_decision("run.adopted", task=row.task, run=row.run, worker=worker.id)
        if is_unwanted or has_other_runs:
            state.cancellations.adopt(run)
            state.stop_run(run, "task is done, runs elsewhere or its job is over")
            return run
        mark_started(state, task.job)
        return run

    def _record_progress(self, run: Run, row: RunningRow, now: int) -> None:
        run.percent = row.percent
        run.metric = row.metric
        spec = run.task.spec
        if spec.target_ms:
            update_over_target(run, now)
            run.progressed_at = now
        elif (
            spec.fills
            or row.metric > _STALL_CPU_SHARE * spec.needs.cpu
            or spec.gang
            or run.pace < FULL_PACE
        ):
            run.progressed_at = now

    def _handle_unlisted(self, runs: list[Run], inventory: Inventory, asked_at: int) -> bool:
        """Process the runs that are in neither list, and return whether one of them is over.

        While the worker has more ends than it lists, a run may be among these.
        """
        if inventory.has_more_ends:
            now = self._state.clock.now()
            for run in runs:
                run.progressed_at = now
            return False
        return any([self._check_missing(run, inventory.clock_ms, asked_at) for run in runs])

    def _adopt_replaced(
        self, worker: Worker, unlisted: list[Run], inventory: Inventory, now: int
    ) -> None:
        """Adopt the listed runs of tasks whose known run on this worker is over.

        Their tasks would be started again before the next inventory, which the worker rejects.
        """
        tasks = {run.task.name for run in unlisted if run.state == "over"}
        for row in inventory.running:
            if row.task in tasks:
                self._handle_running(worker, row, inventory.clock_ms, now)

    def _check_missing(self, run: Run, clock_ms: int, asked_at: int) -> bool:
        """Drop a run that the worker neither runs nor lists as ended.

        A run whose start or stop order is unanswered is kept until the lease in the start order has
        ended, as that order may still arrive. After an answer the order of the calls decides, as a
        worker may make the lists before it carries the order out, and read its clock later. So the
        lease must have ended when the lists were asked for, which is the earliest that they tell.
        """
        is_asked_after_answer = run.is_answered and asked_at > run.answered_at
        earliest_clock_ms = clock_ms - (self._state.clock.now() - asked_at)
        is_late = run.state != "running" and run.until_ms and earliest_clock_ms > run.until_ms
        if not (run.is_listed or is_asked_after_answer or is_late):
            return False
        state = self._state
        state.log_decision(
            "run.vanished",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            was_listed=run.is_listed,
            answered_at=run.answered_at if run.is_answered else -1,
            asked_at=asked_at,
            until_ms=run.until_ms,
            clock_ms=clock_ms,
        )
        state.lapse_run(run, EndProof.VANISHED)
        return True

    def _handle_end(self, worker: Worker, row: EndRow, now: int) -> None:
        state = self._state
        task = self._find_task(row.task)
        if task is None:
            state.log_decision("end.foreign", task=row.task, run=row.run, worker=worker.id)
            return
        run = task.runs.get(row.run)
        if run is not None and run.worker == worker.id:
            state.end_run(run, "end", EndProof.LISTED, row.how)
        else:
            run = None
        mark_started(state, task.job)
        if row.how == "done":
            self._handle_done(worker, task, run, row, now)
        elif row.how == "failed":
            self._handle_failed(worker, task, row, now)
        elif not task.is_done and not task.runs:
            state.requeue(task, row.checkpoint)
        state.dirty[task.job] = None
        if row.how != "done":
            state.log_decision(
                "run.ended",
                task=row.task,
                run=row.run,
                how=row.how,
                worker=worker.id,
                born=worker.entry.boot_ms,
                end=row.number,
            )

    def _handle_done(
        self, worker: Worker, task: Task, run: Run | None, row: EndRow, now: int
    ) -> None:
        state = self._state
        worker.record_success()
        if task.spec.lasting:
            if not task.runs:
                state.requeue(task, "")
            return
        if run is None and task.runs and not task.spec.speculative:
            state.log_decision("end.outdated", task=row.task, run=row.run, worker=worker.id)
            return
        if run is not None:
            duration_ms = now - run.ordered_at
            expected_ms = state.durations.expect(task.step)
            worker.record_duration_ratio(duration_ms / max(expected_ms, DEFAULT_DURATION_MS / 10))
            state.durations.add(task.step, duration_ms)
        if task.spec.gang:
            self._finish_gang(task, row.run)
            return
        state.finish_task(task, row.run)

    def _finish_gang(self, task: Task, run_number: int) -> None:
        """Finish all tasks of a gang: one of them that ends as done means that all are done."""
        state = self._state
        for member in task.step.tasks:
            state.finish_task(member, run_number)

    def _handle_failed(self, worker: Worker, task: Task, row: EndRow, now: int) -> None:
        state = self._state
        is_new = row.run not in task.failed_runs
        if is_new and worker.record_failure(task.job.id, now):
            state.log_decision(
                "worker.suspect", worker=worker.id, failed_jobs=sorted(worker.failed_jobs)
            )
        task.avoid.add(worker.id)
        if task.is_done or task.job.is_over:
            return
        if not task.runs:
            state.requeue(task, row.checkpoint)
        if task.spec.lasting:
            return
        state.fail_task(task, row.run, worker.boot)

    def list_stalled(self, now: int) -> list[Run]:
        """Return runs that have used no processor for `STALL_TIMEOUT_MS`, although they should.

        The time ends with the last inventory: a worker that reports nothing shows no hanging run.
        """
        return [
            run
            for worker in self._state.workers.values()
            if worker.is_reachable(now)
            for run in worker.runs.values()
            if run.state == "running"
            and run.progressed_at
            and worker.inventory_at - run.progressed_at > STALL_TIMEOUT_MS
        ]


def mark_started(state: CellState, job: Job) -> None:
    """Mark that a task of `job` has started."""
    if job.has_started:
        return
    job.has_started = True
    if not job.is_over:
        job.advance("start")
        state.dirty[job] = None


def _handle_listed_after_stop(run: Run, clock_ms: int) -> None:
    """Let the stop of a run be repeated if the worker runs it after the time for the stop."""
    if 0 <= run.answered_clock_ms < clock_ms:
        run.answered_clock_ms = -1


def _make_stop(worker: Worker, row: RunningRow) -> StopRun:
    entry = worker.entry
    return StopRun(entry.worker, entry.boot_ms, entry.address, row.task, row.run, worker.fence)
