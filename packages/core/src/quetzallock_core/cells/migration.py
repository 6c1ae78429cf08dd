"""Moves runs to other workers: stops them where another worker has room for their tasks."""

from .const import MAX_LOST_WORK_MS, MIGRATE_PAUSED_AFTER_MS
from .jobs import Run, StepRun
from .pacing import PAUSED_PACE
from .placement import Placement
from .state import CellState
from .workers import Worker

_FULL_PACE = 100


class Migration:
    """Moves runs of one cell between its workers."""

    def __init__(self, state: CellState) -> None:
        self._state = state

    def migrate_paused_runs(self) -> None:
        """Stop paused best-effort runs for which there is another worker."""
        state = self._state
        now = state.clock.now()
        for worker in list(state.workers.values()):
            paused = [
                run
                for run in worker.runs.values()
                if run.pace == PAUSED_PACE
                and run.state == "running"
                and not state.unverified.may_be_running(run.task)
                and now - run.paced_at >= MIGRATE_PAUSED_AFTER_MS
            ]
            for run in paused:
                self._migrate_paused(run, now)

    def _migrate_paused(self, run: Run, now: int) -> None:
        state = self._state
        if now - run.ordered_at > MAX_LOST_WORK_MS and not run.task.spec.saves:
            return
        placement = Placement(state.workers.values(), state.interference, now)
        if placement.choose(run.task, excluded_worker=run.worker) is None:
            return
        run.task.avoid.add(run.worker)
        state.stop_run(run, "interferes with serving tasks")

    def migrate_from_leaving_workers(self) -> None:
        """Stop lasting runs on draining workers, for each of which another worker has room.

        A worker that leaves ends its runs, and unless it is known to be gone their tasks then wait
        for the end of its lease. A run whose task could not start again at once stays.
        """
        state = self._state
        now = state.clock.now()
        runs = [
            run
            for worker in state.workers.values()
            if worker.entry.is_draining and worker.is_reachable(now)
            for run in worker.runs.values()
            if run.state == "running" and run.task.spec.lasting and not run.task.spec.gang
            if not state.unverified.may_be_running(run.task)
        ]
        if not runs:
            return
        placement = Placement(state.workers.values(), state.interference, now)
        for run in runs:
            if not may_interrupt(run.task.step):
                continue
            target = placement.choose(run.task, excluded_worker=run.worker)
            if target is not None:
                self._migrate(run, target)

    def _migrate(self, run: Run, target: Worker) -> None:
        """Stop a run, and keep room for its task on another worker until the run has ended."""
        target.reserve(run)
        run.reserved_on = target.id
        self._state.stop_run(run, "worker is leaving")


def may_interrupt(step: StepRun) -> bool:
    """Return whether a task of `step` may be moved now: one at least, if no other is away."""
    limit = step.spec.max_unavailable
    if limit is None:
        return True
    available = sum(
        any(run.state == "running" and run.percent >= _FULL_PACE for run in task.runs.values())
        for task in step.tasks
    )
    return len(step.tasks) - available < max(1, limit)
