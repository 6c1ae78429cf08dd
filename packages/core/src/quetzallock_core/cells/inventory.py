"""Takes in workers' inventories and the answers to orders."""

from .const import DEFAULT_LENGTH_MS, STALL_TIMEOUT_MS
from .jobs import Job, Run, Task, parse_task_name
from .models import EndRow, Inventory, RunningRow, StopRun
from .pacing import guess_pace, is_faster_than_ordered, note_figure, note_strain, plan_relief
from .state import CellState
from .workers import Worker

_IDLE_SHARE = 0.05
_AT_WORK = 100


class InventoryReader:
    """Compares what workers list with what the owner believes."""

    def __init__(self, state: CellState) -> None:
        self._state = state

    def process(self, worker_id: str, inventory: Inventory) -> bool:
        """Take in one inventory; return whether anything there has changed.

        An inventory of another life than the known one ends all that ran in the earlier life.
        """
        state = self._state
        worker = state.workers.get(worker_id)
        if worker is None:
            return False
        if inventory.boot_ms and inventory.boot_ms != worker.entry.boot_ms:
            state.log_decision("worker.reborn", worker=worker_id, born=inventory.boot_ms)
            worker.is_listed = False
            return False
        now = state.clock.now()
        is_first = worker.contact_at < 0
        worker.record_contact(inventory.clock_ms, now)
        worker.is_poll_unanswered = False
        if is_first:
            worker.lease_clock = inventory.clock_ms + state.bounds.lease_ms
        changed = is_first
        for row in inventory.ended:
            if row.number > worker.cursor:
                worker.cursor = row.number
                state.has_worker_changes = True
                self._take_end(worker, row, now)
                changed = True
        listed = set()
        for running in inventory.running:
            listed.add((running.task, running.run))
            self._take_running(worker, running, now)
        for run in list(worker.runs.values()):
            if (run.task.name, run.number) not in listed:
                changed |= self._check_missing(run, inventory.clock_ms)
        if is_first:
            state.unverified.remove_worker(worker.id)
        self._relieve(worker, now)
        return changed

    def _relieve(self, worker: Worker, now: int) -> None:
        """Learn from the figures, and slow or speed up one filling run if that is due."""
        if not worker.best_effort_count and not worker.serving_count:
            return
        state = self._state
        state.interference.observe(worker, now)
        note_strain(worker, now)
        for run in list(worker.runs.values()):
            if run.task.spec.fills and is_faster_than_ordered(run, now):
                state.pace_run(run, run.pace)
        for relief in plan_relief(worker, state.interference, now):
            state.pace_run(relief.run, relief.percent)

    def _find(self, name: str) -> Task | None:
        place = parse_task_name(name)
        if place is None:
            return None
        job = self._state.jobs.get(place[0])
        return None if job is None else job.find_task(*place[1:])

    def _take_running(self, worker: Worker, row: RunningRow, now: int) -> None:
        task = self._find(row.task)
        run = None if task is None else task.runs.get(row.run)
        if run is None or run.worker != worker.id:
            run = self._adopt(worker, task, row, now)
            if run is None:
                return
        if run.state == "ordered":
            run.advance("confirm")
            mark_started(self._state, run.task.job)
        run.is_listed = True
        if row.checkpoint:
            run.task.checkpoint = row.checkpoint
        self._note_progress(run, row, now)

    def _adopt(self, worker: Worker, task: Task | None, row: RunningRow, now: int) -> Run | None:
        """Return a run found on a worker as the book's own, or None where it must stop."""
        state = self._state
        if task is None:
            state.log_decision("run.foreign", task=row.task, run=row.run, worker=worker.id)
            state.emit(_make_stop(worker, row))
            return None
        run = Run(task, row.run, worker.id, "running", now, progressed_at=now, is_listed=True)
        run.pace = guess_pace(run, row.metric)
        others = bool(task.runs) and not task.spec.speculative
        if row.task in worker.runs:
            return None
        task.runs[row.run] = run
        self._state.place_run(worker, run)
        job = task.job
        state.log_decision("run.adopted", task=row.task, run=row.run, worker=worker.id)
        if job.is_over or task.is_done or others:
            state.stop_run(run, "not wanted")
            return run
        mark_started(state, job)
        return run

    def _note_progress(self, run: Run, row: RunningRow, now: int) -> None:
        run.percent = row.percent
        run.metric = row.metric
        note_figure(run, now)
        spec = run.task.spec
        if spec.target_ms or spec.fills or spec.gang or run.pace < _AT_WORK:
            run.progressed_at = now
            return
        if row.metric > _IDLE_SHARE * spec.needs.cpu:
            run.progressed_at = now

    def _check_missing(self, run: Run, clock_ms: int) -> bool:
        """Count a run out that the worker neither runs nor lists as ended."""
        is_answered = 0 <= run.answered_clock_ms < clock_ms
        is_late = run.state == "ordered" and run.until_ms and clock_ms > run.until_ms
        if not (run.is_listed or is_answered or is_late):
            return False
        state = self._state
        state.log_decision("run.vanished", task=run.task.name, run=run.number, worker=run.worker)
        state.lapse_run(run)
        return True

    def _take_end(self, worker: Worker, row: EndRow, now: int) -> None:
        state = self._state
        task = self._find(row.task)
        if task is None:
            state.log_decision("end.foreign", task=row.task, run=row.run, worker=worker.id)
            return
        run = task.runs.get(row.run)
        if run is not None and run.worker == worker.id:
            state.end_run(run, "end")
        else:
            run = None
        mark_started(state, task.job)
        if row.how == "done":
            self._take_done(worker, task, run, row, now)
        elif row.how == "failed":
            self._take_failed(worker, task, row, now)
        elif not task.is_done and not task.runs:
            state.requeue(task, row.checkpoint)
        state.dirty[task.job] = None
        if row.how != "done":
            state.log_decision(
                "run.ended", task=row.task, run=row.run, how=row.how, worker=worker.id
            )

    def _take_done(
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
            length = now - run.ordered_at
            expected = state.lengths.expect(task.step)
            worker.record_duration_ratio(length / max(expected, DEFAULT_LENGTH_MS / 10))
            state.lengths.add(task.step, length)
        if task.spec.gang:
            self._finish_gang(task, row.run)
            return
        state.finish_task(task, row.run)

    def _finish_gang(self, task: Task, run_number: int) -> None:
        """One member's end as done stands for the whole gang."""
        state = self._state
        for member in task.step.tasks:
            state.finish_task(member, run_number)

    def _take_failed(self, worker: Worker, task: Task, row: EndRow, now: int) -> None:
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
        state.fail_task(task, row.run)

    def find_stalled(self, now: int) -> list[Run]:
        """Return runs that use no processor although they should."""
        return [
            run
            for worker in self._state.workers.values()
            for run in worker.runs.values()
            if run.state == "running"
            and run.progressed_at
            and now - run.progressed_at > STALL_TIMEOUT_MS
        ]


def mark_started(state: CellState, job: Job) -> None:
    """Note that a task of `job` has begun."""
    if job.has_started:
        return
    job.has_started = True
    if not job.is_over:
        job.advance("start")
        state.dirty[job] = None


def _make_stop(worker: Worker, row: RunningRow) -> StopRun:
    entry = worker.entry
    return StopRun(entry.worker, entry.boot_ms, entry.address, row.task, row.run)
