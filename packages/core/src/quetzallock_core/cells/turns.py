"""Lets long-running tasks take turns where a pool is too small for all of them.

For loads at which workers leave a pool that is full of long-running tasks. Nothing ends there by
itself, so that the displaced tasks would wait until a job is cancelled: the shortage is shared
instead, in absences that are short.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from .displacement import list_interrupted
from .jobs import Run, Task
from .migration import count_movable, drop_past, is_movable, keep_known
from .models import Resources
from .placement import find_constraint
from .state import CellState
from .workers import Worker, compute_commitment

AWAY_LIMIT_MS: Final = 4_000
"""How long an interrupted task is away before another one is stopped for it. Longer than short
tasks need to free capacity; two thirds of the time in which callers expect the task back."""

MIN_TURN_MS: Final = 6_000
"""Minimum time that a task runs before it is stopped for another one."""

RESERVATION_MS: Final = 3_000
"""How long the capacity is kept for the waiting task: enough for stop orders that are repeated."""

MAX_RUNS_PER_TURN: Final = 3
"""Maximum number of tasks that are stopped for a larger one."""

MAX_TURNS_PER_TICK: Final = 8
"""Maximum number of tasks for which one tick stops others, as the owner does nothing else
meanwhile."""

EXPIRED_PAUSE_MS: Final = 10_000
"""How long no run is stopped for a task that has not used the capacity that was kept for it."""

SEARCH_PAUSE_MS: Final = 300
"""Pause before a search is repeated that has found no task to stop."""


@dataclass(frozen=True, slots=True)
class Turn:
    """Runs on one worker, the end of which makes room for a waiting task."""

    worker: Worker
    runs: tuple[Run, ...]

    @property
    def cost(self) -> tuple[int, int]:
        """Number of tasks that are interrupted, and when the last of them began."""
        return len(self.runs), max(run.ordered_at for run in self.runs)


def choose_runs(needs: Resources, free: Resources, runs: Iterable[Run]) -> tuple[Run, ...] | None:
    """Choose which of `runs`, the longest running first, to stop on a worker.

    Args:
        needs: What the waiting task would commit.
        free: What is free on the worker.
        runs: The runs that have had their turn, of which one of each step is stopped at most.

    Returns:
        The first run that is enough by itself, or the first few; None where
        `MAX_RUNS_PER_TURN` are not enough.
    """
    by_age = sorted(runs, key=lambda run: run.ordered_at)
    chosen: list[Run] = []
    freed = free
    for run in by_age:
        commitment = compute_commitment(run.task.spec.needs, run.task.spec.fills)
        if needs.fits_in(free + commitment):
            return (run,)
        is_chosen_step = any(other.task.step is run.task.step for other in chosen)
        if not needs.fits_in(freed) and not is_chosen_step and len(chosen) < MAX_RUNS_PER_TURN:
            chosen.append(run)
            freed = freed + commitment
    return tuple(chosen) if chosen and needs.fits_in(freed) else None


class Turns:
    """Stops long-running runs of one cell for interrupted tasks that wait too long."""

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._search_after = 0
        self._paused: dict[Task, int] = {}
        self._searched_at: dict[Task, int] = {}

    def handle_expired(self, tasks: Iterable[Task]) -> None:
        """Stop no run for a while for tasks that have not used the capacity kept for them."""
        paused_until = self._state.clock.now() + EXPIRED_PAUSE_MS
        self._paused.update(dict.fromkeys(tasks, paused_until))

    def stop_runs_for_waiting_tasks(self) -> None:
        """Stop runs for each interrupted task that waits too long."""
        state = self._state
        now = state.clock.now()
        if now < self._search_after or not state.knows_displaced:
            return
        waiting = self._list_late_tasks(now)
        if not waiting:
            return
        runs_by_worker = self._group_runs(now)
        too_large: defaultdict[tuple[str, str], list[Resources]] = defaultdict(list)
        searches = 0
        for task in waiting:
            if searches == MAX_TURNS_PER_TICK:
                break
            self._searched_at[task] = now
            not_found = too_large[task.job.policy.service, task.spec.required_label]
            if any(needs.fits_in(task.spec.needs) for needs in not_found):
                continue
            searches += 1
            turn = self._choose(task, runs_by_worker, now)
            if turn is not None:
                del runs_by_worker[turn.worker]
                self._stop(turn, task, now)
                continue
            self._search_after = now + SEARCH_PAUSE_MS
            state.counters["turns.not_found"] += 1
            if not task.spec.max_per_worker:
                not_found.append(task.spec.needs)

    def _list_late_tasks(self, now: int) -> list[Task]:
        """Return the interrupted tasks without a reservation that wait too long.

        Those searched for longest ago come first, as some that no worker can hold would keep it
        from the others. Among them, the one that waits longest comes first.
        """
        reserved = self._state.reservations.by_task
        self._paused = drop_past(self._paused, now)
        late = [
            task
            for task in list_interrupted(self._state, now)
            if not task.spec.fills
            and self._is_away_too_long(task)
            and task not in reserved
            and task not in self._paused
        ]
        self._searched_at = keep_known(self._searched_at, set(late))
        return sorted(late, key=lambda task: (self._searched_at.get(task, 0), task.not_before))

    def _is_away_too_long(self, task: Task) -> bool:
        """Return whether another task is to be stopped for the interrupted `task`.

        A task that a new owner finds without a run may have been away for long.
        """
        away_ms = self._state.interruptions.measure_away_ms(task)
        return task.job.is_loaded if away_ms is None else away_ms >= AWAY_LIMIT_MS

    def _group_runs(self, now: int) -> dict[Worker, list[Run]]:
        """Return the runs that have had their turn, on workers that keep nothing for others."""
        runs_by_worker = {}
        for worker in self._state.workers.values():
            if not worker.lasting_count or worker.reservations or worker.is_overcommitted:
                continue
            if worker.can_accept_task(now):
                runs = [run for run in worker.runs.values() if self._has_had_turn(run, now)]
                runs_by_worker[worker] = runs
        return runs_by_worker

    def _has_had_turn(self, run: Run, now: int) -> bool:
        """Return whether `run` may be stopped; an adopted one began under an earlier owner.

        None is of a step of which none may be unavailable, as its worker goes on.
        """
        spec = run.task.spec
        if spec.fills or spec.max_unavailable == 0 or run.task.is_crash_suspect:
            return False
        if not is_movable(run, self._state):
            return False
        return run.first_sent_at < 0 or now - run.ordered_at >= MIN_TURN_MS

    def _choose(self, task: Task, runs_by_worker: dict[Worker, list[Run]], now: int) -> Turn | None:
        """Return the fewest and longest running runs whose end makes room for `task`, or None."""
        needs = task.spec.needs
        best: Turn | None = None
        for worker, candidates in runs_by_worker.items():
            if find_constraint(task, worker, now) is not None:
                continue
            runs = choose_runs(
                needs, worker.free, (run for run in candidates if count_movable(run.task.step))
            )
            if runs is None:
                continue
            turn = Turn(worker, runs)
            if best is None or turn.cost < best.cost:
                best = turn
        return best

    def _stop(self, turn: Turn, task: Task, now: int) -> None:
        """Stop the runs of `turn`, and keep what they free for `task`."""
        state = self._state
        expires_at = now + RESERVATION_MS
        state.reservations.reserve_for_waiting(task, turn.worker, turn.runs, expires_at)
        for run in turn.runs:
            state.log_decision(
                "run.yielded",
                task=run.task.name,
                run=run.number,
                worker=run.worker,
                ran_ms=now - run.ordered_at,
                to=task.name,
            )
            state.stop_run(run, "another task takes its turn")
