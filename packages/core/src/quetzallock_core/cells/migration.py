"""Moves runs to other workers: stops them where another worker has room for their tasks."""

from collections import defaultdict
from collections.abc import Callable, Container, Iterable, Mapping
from typing import TypeVar

from .const import (
    MAX_LOST_WORK_MS,
    MAX_STEPS_MOVED_PER_TICK,
    MIGRATE_PAUSED_AFTER_MS,
    ROOM_SEARCH_PAUSE_MS,
)
from .jobs import Run, StepRun, Task
from .pacing import PAUSED_PACE
from .placement import Placement
from .state import CellState
from .workers import Worker

_FULL_PACE = 100

_Key = TypeVar("_Key")


class Migration:
    """Moves runs of one cell between its workers."""

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._search_after: dict[StepRun, int] = {}
        self._paused_search_after: dict[Run, int] = {}

    def migrate_paused_runs(self) -> None:
        """Stop paused best-effort runs for which there is another worker.

        A search without success is not repeated before `ROOM_SEARCH_PAUSE_MS` have passed.
        """
        state = self._state
        now = state.clock.now()
        self._paused_search_after = drop_past(self._paused_search_after, now)
        paused = self._list_paused_runs(now)
        if not paused:
            return
        placement = state.make_placement()
        for run in paused:
            if not placement.can_place_elsewhere(run.task, run.worker):
                self._paused_search_after[run] = now + ROOM_SEARCH_PAUSE_MS
                continue
            run.task.avoid.add(run.worker)
            state.stop_run(run, "interferes with serving tasks")
            placement.update_worker(state.workers[run.worker])

    def _list_paused_runs(self, now: int) -> list[Run]:
        """Return the runs that have been paused for long and would lose little work."""
        state = self._state
        return [
            run
            for worker in state.workers.values()
            if worker.best_effort_count
            for run in worker.runs.values()
            if run.pace == PAUSED_PACE
            and run not in self._paused_search_after
            and run.state == "running"
            and now - run.paced_at >= MIGRATE_PAUSED_AFTER_MS
            and (now - run.ordered_at <= MAX_LOST_WORK_MS or run.task.spec.saves)
            and not state.unverified.may_be_running(run.task)
        ]

    def migrate_from_leaving_workers(self) -> None:
        """Stop lasting runs on draining workers, for each of which another worker has room.

        A worker that leaves ends its runs, and unless it is known to be gone their tasks then wait
        for the end of its lease. A run whose task could not start again at once stays.
        """
        state = self._state
        now = state.clock.now()
        leaving = self._group_leaving_runs(now)
        runs_by_step = limit_runs(leaving, count_movable)
        for step in leaving.keys() - runs_by_step.keys():
            state.drains.handle_search(leaving[step], allowed=0, moved=0)
        self._search_after = keep_known(self._search_after, runs_by_step)
        steps = list_searchable(runs_by_step, self._search_after, now)
        if not steps:
            return
        placement = state.make_placement()
        for step in steps[:MAX_STEPS_MOVED_PER_TICK]:
            runs = runs_by_step[step]
            moved = self._migrate_step(runs, placement)
            state.drains.handle_search(leaving[step], len(runs), moved)
            if moved < len(runs):
                self._search_after[step] = now + ROOM_SEARCH_PAUSE_MS
        state.drains.limited_ticks += len(steps) > MAX_STEPS_MOVED_PER_TICK

    def _group_leaving_runs(self, now: int) -> dict[StepRun, list[Run]]:
        """Return the lasting runs on draining workers whose tasks could start again, by step."""
        runs_by_step: defaultdict[StepRun, list[Run]] = defaultdict(list)
        for worker in self._state.workers.values():
            if not worker.entry.is_draining or not worker.is_reachable(now):
                continue
            for run in worker.runs.values():
                if is_movable(run, self._state):
                    runs_by_step[run.task.step].append(run)
                elif run.task.spec.lasting and run.state != "stopping":
                    self._state.drains.handle_unmovable(run)
        return runs_by_step

    def _migrate_step(self, runs: list[Run], placement: Placement) -> int:
        """Stop runs of one step while another worker has room, and return their number."""
        for number, run in enumerate(runs):
            target = placement.choose(run.task)
            if target is None:
                return number
            move_run(self._state, run, target, "worker is leaving")
            placement.update_worker(target)
        return len(runs)


def drop_past(times: dict[_Key, int], now: int) -> dict[_Key, int]:
    """Return the entries whose time is still to come."""
    return {key: at for key, at in times.items() if at > now}


def keep_known(times: dict[_Key, int], known: Container[_Key]) -> dict[_Key, int]:
    """Return the entries whose key is in `known`, also those whose time is past."""
    return {key: at for key, at in times.items() if key in known}


def limit_runs(
    runs_by_step: Mapping[StepRun, list[Run]], count: Callable[[StepRun], int]
) -> dict[StepRun, list[Run]]:
    """Return the first `count` runs of each step, without the steps that keep none."""
    limited = {step: runs[: count(step)] for step, runs in runs_by_step.items()}
    return {step: runs for step, runs in limited.items() if runs}


def list_searchable(
    steps: Iterable[StepRun], search_after: Mapping[StepRun, int], now: int
) -> list[StepRun]:
    """Return the steps whose pause is over, the one searched for longest ago first.

    A tick searches for a limited number of steps. In a fixed order the first ones, whose pause is
    over again, would keep it from the last.
    """
    due = [step for step in steps if search_after.get(step, 0) <= now]
    return sorted(due, key=lambda step: search_after.get(step, 0))


def move_run(state: CellState, run: Run, target: Worker, reason: str) -> None:
    """Stop a run, and keep room for its task on another worker until the run has ended."""
    state.reservations.reserve_for_move(run, target)
    state.stop_run(run, reason)


def is_movable(run: Run, state: CellState) -> bool:
    """Return whether `run` is the only run of a lasting task, which could start again at once."""
    task = run.task
    if run.state != "running" or len(task.runs) > 1:
        return False
    if not task.spec.lasting or task.spec.gang:
        return False
    return not state.unverified.may_be_running(task)


def count_movable(step: StepRun) -> int:
    """Return how many tasks of `step` may be moved now: one at least, if no other is away."""
    limit = step.spec.max_unavailable
    if limit is None:
        return len(step.tasks)
    unavailable = sum(not _is_available(task) for task in step.tasks)
    return max(0, max(1, limit) - unavailable)


def has_unavailable_task(tasks: Iterable[Task]) -> bool:
    """Return whether one of `tasks` is not fully at work."""
    return not all(task.is_done or _is_available(task) for task in tasks)


def _is_available(task: Task) -> bool:
    return any(run.state == "running" and run.percent >= _FULL_PACE for run in task.runs.values())
