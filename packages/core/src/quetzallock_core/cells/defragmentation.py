"""Moves long-running tasks so that a waiting task fits on one worker.

For loads at which enough is free in total, but in pieces that are too small for the widest tasks.
Takes effect only in pools whose placement policy is `pack`.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .jobs import Run, StepRun, Task
from .migration import count_movable, has_unavailable_task, is_movable
from .models import Resources
from .placement import find_constraint
from .policies import PACK
from .scheduler import may_start
from .state import CellState
from .workers import Worker, compute_commitment

WAIT_LIMIT_MS: Final = 1_000
"""How long a task waits before others are moved for it, as each move interrupts a task."""

SHORT_WAIT_MS: Final = 1_000
"""Runs that are expected to end within this time count as ended: a move takes about as long."""

MAX_SHORT_WAIT_MS: Final = 5_000
"""How long a task may wait for such ends, which other tasks may use before it does."""

MIN_RUN_AGE_MS: Final = 30_000
"""Minimum age of a run that is moved. Each move begins a new run, and a new owner counts the age
from when it found the run, so no task is moved twice within this time."""

RESERVATION_MS: Final = 5_000
"""How long capacity is kept for the waiting task and for those that are moved: enough for stop
orders that are repeated several times."""

MAX_MOVES: Final = 3
"""Maximum number of tasks that are moved for one waiting task."""

MAX_MOVES_IN_FLIGHT: Final = 4
"""Maximum number of moved tasks in the cell that are not at work again yet."""

MAX_WORKERS_TRIED: Final = 8
"""Maximum number of workers for whose tasks one search looks for capacity elsewhere, as the owner
does nothing else meanwhile."""

SEARCH_INTERVAL_MS: Final = 500
"""Minimum time between two searches, each of which looks at all workers."""


@dataclass(frozen=True, slots=True)
class MovePlan:
    """Runs to move off one worker so that a waiting task fits there."""

    worker: Worker
    runs: tuple[Run, ...]

    @property
    def cost(self) -> tuple[int, int]:
        """Number of moves, and the CPU that is moved."""
        return len(self.runs), sum(run.task.spec.needs.cpu for run in self.runs)


def choose_moves(needs: Resources, free: Resources, runs: Iterable[Run]) -> tuple[Run, ...] | None:
    """Choose the fewest and smallest of `runs` to move off a worker.

    Args:
        needs: What the waiting task would commit.
        free: What is free on the worker.
        runs: The runs that may be moved, of which those of one step are not moved together.

    Returns:
        The runs, `MAX_MOVES` at most; None where they do not free enough.
    """
    by_size = sorted(runs, key=lambda run: (run.task.spec.needs.cpu, run.number))
    single = next((run for run in by_size if needs.fits_in(free + _compute_freed(run))), None)
    if single is not None:
        return (single,)
    largest_by_step = {run.task.step: run for run in by_size}
    chosen: list[Run] = []
    for run in sorted(largest_by_step.values(), key=lambda run: -run.task.spec.needs.cpu):
        if len(chosen) == MAX_MOVES:
            return None
        if needs.fits_in(free + _compute_freed(run)):
            steps = {other.task.step for other in chosen}
            last = next(
                other
                for other in by_size
                if other.task.step not in steps and needs.fits_in(free + _compute_freed(other))
            )
            return (*chosen, last)
        chosen.append(run)
        free = free + _compute_freed(run)
    return None


def _compute_freed(run: Run) -> Resources:
    spec = run.task.spec
    return compute_commitment(spec.needs, spec.fills)


class Defragmentation:
    """Moves long-running tasks of one cell for its waiting tasks."""

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._moved: set[Task] = set()
        self._searched_at = -SEARCH_INTERVAL_MS
        self._searched_for: dict[Task, int] = {}

    def move_for_waiting_task(self) -> None:
        """Move tasks for one task that waits too long, if that makes it fit on a worker."""
        state = self._state
        now = state.clock.now()
        if now - self._searched_at < SEARCH_INTERVAL_MS or PACK not in state.placing.names.values():
            return
        task = self._find_late_task(now)
        if task is None:
            return
        self._searched_at = self._searched_for[task] = now
        plans = self._list_plans(task, now)
        if not plans:
            return
        left = MAX_MOVES_IN_FLIGHT - self._count_in_flight()
        plans = [plan for plan in plans if len(plan.runs) <= left]
        if not plans:
            state.log_decision("defragmentation.limited", task=task.name, left=left)
            return
        plans.sort(key=lambda plan: plan.cost)
        for plan in plans[:MAX_WORKERS_TRIED]:
            if self._move_all(task, plan, now):
                return

    def _find_late_task(self, now: int) -> Task | None:
        """Return the task that waits too long and for which the last search is the longest ago."""
        state = self._state
        self._searched_for = {
            task: at for task, at in self._searched_for.items() if task.is_waiting
        }
        late: list[tuple[int, int, Task]] = []
        for step in state.open_steps:
            task = self._find_late_task_of(step, now)
            if task is not None:
                late.append((self._searched_for.get(task, 0), step.ready_at, task))
        return min(late, key=lambda entry: (*entry[:2], entry[2].name), default=(0, 0, None))[2]

    def _find_late_task_of(self, step: StepRun, now: int) -> Task | None:
        state = self._state
        if step.spec.fills or step.spec.gang or step.has_no_waiting_task:
            return None
        if not step.job.is_stored or now - step.ready_at < WAIT_LIMIT_MS:
            return None
        if state.placing.names.get(step.job.policy.service) != PACK:
            return None
        for task in step.tasks:
            if not task.is_waiting or task.is_crash_suspect or task in state.reservations.by_task:
                continue
            if now - task.not_before < WAIT_LIMIT_MS or not state.headroom.may_start(task):
                continue
            if state.spare_room.may_start(task) and may_start(state, task, now):
                return task
        return None

    def _count_in_flight(self) -> int:
        """Return how many moved tasks are not at work again yet."""
        self._moved = {
            task for task in self._moved if not task.job.is_over and has_unavailable_task((task,))
        }
        return len(self._moved)

    def _list_plans(self, task: Task, now: int) -> list[MovePlan]:
        """Return a plan for each worker on which moves help; none if they are not called for."""
        needs = task.spec.needs
        workers = [
            worker
            for worker in self._state.workers.values()
            if worker.can_accept_task(now) and find_constraint(task, worker, now) is None
        ]
        if not needs.fits_in(sum((worker.free for worker in workers), Resources())):
            return []
        usable = [worker for worker in workers if not worker.is_overcommitted]
        if any(worker.has_capacity_for(needs) for worker in usable):
            return []
        may_wait = now - max(task.step.ready_at, task.not_before) < MAX_SHORT_WAIT_MS
        if may_wait and any(needs.fits_in(self._compute_soon_free(one, now)) for one in usable):
            return []
        movable_steps: dict[StepRun, bool] = {}
        plans = []
        for worker in usable:
            runs = self._list_movable(worker, movable_steps, now)
            chosen = choose_moves(needs, worker.free, runs)
            if chosen is not None:
                plans.append(MovePlan(worker, chosen))
        return plans

    def _compute_soon_free(self, worker: Worker, now: int) -> Resources:
        """Return what is expected to be free on `worker` after a short wait."""
        free = worker.free
        for run in worker.runs.values():
            spec = run.task.spec
            if run.state != "stopping":
                if spec.lasting:
                    continue
                expected_ms = self._state.durations.expect(run.task.step)
                if run.ordered_at + expected_ms > now + SHORT_WAIT_MS:
                    continue
            free = free + compute_commitment(spec.needs, spec.fills)
        return free

    def _list_movable(
        self, worker: Worker, movable_steps: dict[StepRun, bool], now: int
    ) -> list[Run]:
        runs = []
        for run in worker.runs.values():
            if not run.task.spec.lasting or run.task.is_crash_suspect:
                continue
            if now - run.ordered_at < MIN_RUN_AGE_MS:
                continue
            step = run.task.step
            if step not in movable_steps:
                movable_steps[step] = self._is_step_movable(step)
            if movable_steps[step] and is_movable(run, self._state):
                runs.append(run)
        return runs

    def _is_step_movable(self, step: StepRun) -> bool:
        """Return whether a task of `step` may be moved now: all are at work, and none is moved."""
        if self._state.reservations.has_step(step) or has_unavailable_task(step.tasks):
            return False
        return count_movable(step) > 0

    def _move_all(self, task: Task, plan: MovePlan, now: int) -> bool:
        """Move the runs of a plan, if each has capacity on another worker; return whether."""
        state = self._state
        placement = state.make_placement()
        reserved: list[Run] = []
        expires_at = now + RESERVATION_MS
        for run in plan.runs:
            target = placement.choose(run.task, excluded_worker=run.worker)
            if target is None:
                for other in reserved:
                    state.reservations.release(other.task)
                return False
            state.reservations.reserve_for_move(run, target, expires_at)
            reserved.append(run)
            placement.update_worker(target)
        state.reservations.reserve_for_waiting(task, plan.worker, plan.runs, expires_at)
        state.headroom.add(task)
        for run in plan.runs:
            self._move(run, task)
        return True

    def _move(self, run: Run, waiting: Task) -> None:
        state = self._state
        self._moved.add(run.task)
        state.log_decision(
            "run.moved",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            to=state.reservations.by_task[run.task].worker.id,
            moved_for=waiting.name,
        )
        state.stop_run(run, "moved to make room")
