"""Moves tasks out of evacuated data centres while no waiting task could use the capacity."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Final

from .const import MAX_STEPS_MOVED_PER_TICK, ROOM_SEARCH_PAUSE_MS
from .jobs import Run, StepRun, Task
from .migration import count_movable, keep_known, limit_runs, list_searchable, move_run
from .placement import Placement
from .scheduler import may_start
from .state import CellState
from .waiting import find_waiting_task
from .workers import Worker

MAX_DEMANDS: Final = 32
"""Maximum number of different demands of waiting tasks that a move is checked against. Bounds the
work of a tick while many steps wait."""

MIN_FREE_SHARE: Final = 0.25
"""Share of the remaining workers' CPU that moves leave free: the jobs of the next seconds have
nowhere else to run, while the tasks that would be moved go on where they are."""

_REASON: Final = "data centre is evacuated"


class EvacuationMoves:
    """Moves runs of one cell out of evacuated data centres."""

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._search_after: dict[StepRun, int] = {}

    def move_from_evacuated_workers(self) -> None:
        """Stop runs on evacuated workers, for each of which another worker has room.

        Long-running tasks go first. A limited number of steps is moved in one tick.
        """
        state = self._state
        now = state.clock.now()
        runs_by_step = self._group_runs(now)
        self._search_after = keep_known(self._search_after, runs_by_step)
        steps = list_searchable(runs_by_step, self._search_after, now)
        if not steps:
            return
        steps.sort(key=lambda step: not step.spec.lasting)
        placement = state.make_placement()
        demands = list_demands(state, now)
        for step in steps[:MAX_STEPS_MOVED_PER_TICK]:
            runs = runs_by_step[step]
            if self._move_step(runs, placement, demands) < len(runs):
                self._search_after[step] = now + ROOM_SEARCH_PAUSE_MS

    def _group_runs(self, now: int) -> dict[StepRun, list[Run]]:
        """Return the runs on evacuated workers that may be moved now, by step."""
        runs_by_step: defaultdict[StepRun, list[Run]] = defaultdict(list)
        for worker in self._state.workers.values():
            if not worker.is_evacuated or not worker.is_reachable(now):
                continue
            for run in worker.runs.values():
                if self._may_move(run):
                    runs_by_step[run.task.step].append(run)
        return limit_runs(runs_by_step, count_evacuable)

    def _may_move(self, run: Run) -> bool:
        task = run.task
        if run.state != "running" or len(task.runs) > 1 or task.spec.gang:
            return False
        if task.is_crash_suspect or not (task.spec.lasting or task.spec.saves):
            return False
        return not self._state.unverified.may_be_running(task)

    def _move_step(self, runs: list[Run], placement: Placement, demands: list[Task]) -> int:
        """Move runs of one step while there is capacity, and return their number."""
        for number, run in enumerate(runs):
            target = placement.choose(run.task)
            if target is None or _is_demanded(target, placement, demands):
                return number
            if not _leaves_free_share(run, placement.workers):
                return number
            move_run(self._state, run, target, _REASON)
            placement.update_worker(target)
        return len(runs)


def _is_demanded(worker: Worker, placement: Placement, demands: list[Task]) -> bool:
    return any(placement.find_obstacle(task, worker) is None for task in demands)


def _leaves_free_share(run: Run, workers: Iterable[Worker]) -> bool:
    """Return whether enough CPU of `workers` remains free after a move of `run` to one of them.

    For best-effort work, what the other tasks are expected to leave idle counts.
    """
    spec = run.task.spec
    service = run.task.job.policy.service
    pool = [worker for worker in workers if worker.entry.service == service]
    capacity = sum(worker.entry.capacity.cpu for worker in pool)
    free = sum(worker.idle_cpu if spec.fills else worker.free.cpu for worker in pool)
    return free - spec.needs.cpu >= MIN_FREE_SHARE * capacity


def count_evacuable(step: StepRun) -> int:
    """Return how many tasks of `step` may be moved now.

    Where none may be unavailable, none is: unlike a draining worker, an evacuated one goes on.
    """
    return 0 if step.spec.max_unavailable == 0 else count_movable(step)


def list_demands(state: CellState, now: int) -> list[Task]:
    """Return a waiting task of each different demand, at most `MAX_DEMANDS`."""
    demands: dict[object, Task] = {}
    for step in state.open_steps:
        task = find_waiting_task(step, now)
        if task is None or not may_start(state, task, now) or not state.headroom.may_start(task):
            continue
        spec = task.spec
        service = task.job.policy.service
        demands.setdefault((service, spec.needs, spec.required_label, spec.image, spec.fills), task)
        if len(demands) == MAX_DEMANDS:
            break
    return list(demands.values())
