"""Makes room on one worker for a displaced long-running task, where none will be free soon.

For pools that are full to within one task: enough is free in total, or held by short runs, but no
worker has, or will soon have, a piece of the task's size.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from heapq import nlargest
from itertools import product
from typing import Final

from .jobs import Run, Task
from .migration import count_movable, is_movable
from .models import Resources
from .placement import find_constraint
from .preemption import (
    MAX_VICTIMS,
    Candidate,
    Victims,
    choose_victims,
    is_preemptible,
    make_candidate,
    stop_victims,
)
from .preemption_limits import PreemptionLimits
from .state import CellState
from .workers import Worker

MAX_SEARCHES: Final = 4
"""Maximum number of tasks for which one tick makes room, as each search looks at all workers."""

MIN_RUN_AGE_MS: Final = 5_000
"""Minimum age of a long-running run that is moved for another one, where this owner has started it,
so that it moves no task twice within this time."""

KEPT_MS: Final = 4_000
"""How long what is freed is kept: enough for stop orders that are repeated several times."""

FORGOTTEN_MS: Final = 10_000
"""How long it is known when room was last searched for a task, for the order of the searches."""

MAX_WORKERS_TRIED: Final = 8
"""Maximum number of workers, those with the most room, whose long-running runs one search tries to
move or exchange."""

MAX_MOVES_IN_FLIGHT: Final = 8
"""Maximum number of moved tasks of the cell that have not begun to run elsewhere."""


@dataclass(frozen=True, slots=True)
class _Move:
    """A long-running run that goes to another worker.

    Attributes:
        run: The run.
        target: The other worker.
        victims: Runs to stop there.
        exchanged: A long-running run that leaves the other worker at the same time, if any.
    """

    run: Run
    target: Worker
    victims: Victims
    exchanged: Run | None = None

    @property
    def awaited(self) -> tuple[Run, ...]:
        """The runs on the other worker whose ends free what is missing there."""
        victims = tuple(victim.run for victim in self.victims)
        return victims if self.exchanged is None else (*victims, self.exchanged)


@dataclass(frozen=True, slots=True)
class _Plan:
    """How a worker gets room for a task.

    Attributes:
        worker: The worker.
        victims: Runs to stop there.
        moves: Long-running runs to move off it or, in exchange, to it.
    """

    worker: Worker
    victims: Victims
    moves: tuple[_Move, ...] = ()

    @property
    def all_victims(self) -> Victims:
        """The runs to stop on all workers."""
        return sum((move.victims for move in self.moves), self.victims)

    @property
    def awaited(self) -> tuple[Run, ...]:
        """The runs whose ends free what the task needs on the worker."""
        moved = (move.run for move in self.moves if move.run.worker == self.worker.id)
        return (*(victim.run for victim in self.victims), *moved)

    @property
    def cost(self) -> float:
        """The core-ms of work that are lost."""
        return sum(victim.lost_core_ms for victim in self.all_victims)


class RoomMaking:
    """Stops and moves runs of one cell for its displaced tasks."""

    def __init__(self, state: CellState, outcomes: Counter[str]) -> None:
        """Count the searches by outcome in `outcomes`."""
        self._state = state
        self._outcomes = outcomes
        self._limits = PreemptionLimits()
        self._searched_at: dict[Task, int] = {}

    def make(self, tasks: Iterable[Task], now: int) -> None:
        """Make room for some of `tasks`, for which no worker will soon have any."""
        wanted = [t for t in tasks if not t.spec.fills and not t.is_crash_suspect]
        if not wanted:
            return
        wanted.sort(key=lambda task: (bool(task.runs), self._searched_at.get(task, 0)))
        search = _RoomSearch(self._state, self._limits, now)
        for task in wanted[:MAX_SEARCHES]:
            self._searched_at[task] = now
            plan = search.find(task)
            self._outcomes[_describe(plan)] += 1
            if plan is not None:
                self._carry_out(task, plan, now)
                search.handle_plan(plan)
        self._searched_at = {
            task: at for task, at in self._searched_at.items() if now - at < FORGOTTEN_MS
        }

    def _carry_out(self, task: Task, plan: _Plan, now: int) -> None:
        """Stop and move the runs of a plan, and keep what they free for `task`."""
        state = self._state
        expires_at = now + KEPT_MS
        state.reservations.reserve_for_waiting(task, plan.worker, plan.awaited, expires_at)
        for move in plan.moves:
            state.reservations.reserve_for_move(move.run, move.target, expires_at, move.awaited)
        stop_victims(state, self._limits, plan.all_victims, task, now)
        for move in plan.moves:
            state.log_decision(
                "run.moved",
                task=move.run.task.name,
                run=move.run.number,
                worker=move.run.worker,
                to=move.target.id,
                moved_for=task.name,
            )
            state.stop_run(move.run, "moved to make room")


def _describe(plan: _Plan | None) -> str:
    if plan is None:
        return "no_room"
    return ("preempted", "moved", "exchanged")[len(plan.moves)]


class _RoomSearch:
    """The search of one tick for workers on which room can be made."""

    def __init__(self, state: CellState, limits: PreemptionLimits, now: int) -> None:
        self._state = state
        self._now = now
        self._limits = limits
        self._left_by_queue = limits.count_left_by_queue(state.workers.values(), now)
        self._workers = [
            worker
            for worker in state.workers.values()
            if worker.can_accept_task(now) and not worker.is_overcommitted
        ]
        self._candidates: dict[Worker, list[Candidate]] = {}
        self._obtainable: dict[Worker, Resources] = {}
        self._movable: dict[Worker, list[Run]] = {}
        self._too_large: defaultdict[tuple[str, str], list[Resources]] = defaultdict(list)
        self._may_stop_runs = True
        self._moves_left = MAX_MOVES_IN_FLIGHT - sum(
            kept.moved_run is not None for kept in state.reservations.by_task.values()
        )

    def find(self, task: Task) -> _Plan | None:
        """Return the plan for `task` that costs least, or None.

        No short run is stopped for a task that is still at work, on a worker that drains.
        """
        self._may_stop_runs = task.is_waiting
        spec = task.spec
        too_large = self._too_large[task.job.policy.service, spec.required_label]
        if any(needs.fits_in(spec.needs) for needs in too_large):
            return None
        plan = self._search(task)
        if plan is None and not spec.max_per_worker:
            too_large.append(spec.needs)
        return plan

    def _search(self, task: Task) -> _Plan | None:
        usable = [w for w in self._workers if find_constraint(task, w, self._now) is None]
        plans = [plan for worker in usable if (plan := self._plan_stops(task, worker))]
        if not plans and self._moves_left > 0:
            tried = self._list_roomiest(usable)
            plans = [plan for worker in tried if (plan := self._plan_move(task, worker))]
            if not plans and self._moves_left > 1:
                plans = list(self._list_exchanges(task, tried))
        return min(plans, key=lambda plan: plan.cost, default=None)

    def _list_roomiest(self, workers: Iterable[Worker]) -> list[Worker]:
        return nlargest(MAX_WORKERS_TRIED, workers, key=lambda one: self._get_obtainable(one).cpu)

    def handle_plan(self, plan: _Plan) -> None:
        """Take the runs that were stopped out of what the next searches see."""
        self._left_by_queue.subtract(victim.queue for victim in plan.all_victims)
        self._moves_left -= len(plan.moves)
        self._movable.clear()
        self._forget(plan.worker)
        for move in plan.moves:
            self._forget(move.target)

    def _forget(self, worker: Worker) -> None:
        self._candidates.pop(worker, None)
        self._obtainable.pop(worker, None)

    def _plan_stops(self, task: Task, worker: Worker) -> _Plan | None:
        victims = self._choose_victims(task.spec.needs, worker, Resources())
        return None if victims is None else _Plan(worker, victims)

    def _choose_victims(self, needs: Resources, worker: Worker, freed: Resources) -> Victims | None:
        """Return the runs to stop on `worker` beside what is `freed` there, or None."""
        if not needs.fits_in(self._get_obtainable(worker) + freed):
            return None
        candidates = self._list_candidates(worker)
        left_by_queue = self._left_by_queue if self._may_stop_runs else {}
        victims = choose_victims(needs, worker.free + freed, candidates, left_by_queue)
        if victims is None or len(victims) > MAX_VICTIMS:
            return None
        return victims if len(victims) <= self._limits.count_left_in_cell(self._now) else None

    def _plan_move(self, task: Task, worker: Worker) -> _Plan | None:
        """Return a plan that moves the smallest run that will do off `worker`, or None."""
        for run in sorted(self._list_movable(worker), key=lambda run: run.task.spec.needs.cpu):
            victims = self._choose_victims(task.spec.needs, worker, run.task.spec.needs)
            if victims is None:
                continue
            move = self._find_target(run, victims)
            if move is not None:
                return _Plan(worker, victims, (move,))
        return None

    def _find_target(self, run: Run, victims: Victims) -> _Move | None:
        """Return how `run` can move to the worker where that costs least, or None."""
        needs = run.task.spec.needs
        moves = []
        for worker in self._workers:
            if worker.id == run.worker or not needs.fits_in(self._get_obtainable(worker)):
                continue
            if find_constraint(run.task, worker, self._now) is not None:
                continue
            others = self._choose_victims(needs, worker, Resources())
            if others is not None and len(victims) + len(others) <= MAX_VICTIMS:
                moves.append(_Move(run, worker, others))
        return min(moves, key=_compute_lost_work, default=None)

    def _list_exchanges(self, task: Task, usable: list[Worker]) -> Iterator[_Plan]:
        """Yield plans that exchange two long-running runs of different sizes."""
        for worker, other in product(usable, self._list_roomiest(self._workers)):
            if worker is other:
                continue
            pairs = product(self._list_movable(worker), self._list_movable(other))
            for run, smaller in pairs:
                plan = self._plan_exchange(task, worker, other, run, smaller)
                if plan is not None:
                    yield plan

    def _plan_exchange(
        self, task: Task, worker: Worker, other: Worker, run: Run, smaller: Run
    ) -> _Plan | None:
        """Return the plan that puts `run` in the place of a `smaller` one, or None."""
        freed, taken = run.task.spec.needs, smaller.task.spec.needs
        if taken.cpu >= freed.cpu or not (taken - freed).fits_in(worker.free):
            return None
        victims = self._choose_victims(task.spec.needs + taken, worker, freed)
        if victims is None:
            return None
        others = self._choose_victims(freed, other, taken)
        if others is None or len(victims) + len(others) > MAX_VICTIMS:
            return None
        for moved, target in ((run, other), (smaller, worker)):
            if find_constraint(moved.task, target, self._now) is not None:
                return None
        moves = (_Move(run, other, others, smaller), _Move(smaller, worker, (), run))
        return _Plan(worker, victims, moves)

    def _list_movable(self, worker: Worker) -> list[Run]:
        """Return the long-running runs on `worker` that may be interrupted now."""
        if worker not in self._movable:
            self._movable[worker] = self._find_movable(worker)
        return self._movable[worker]

    def _find_movable(self, worker: Worker) -> list[Run]:
        """Return these runs, but those of steps of which none may be unavailable."""
        return [
            run
            for run in worker.runs.values()
            if run.task.spec.lasting
            and not run.task.spec.fills
            and not run.task.is_crash_suspect
            and (run.first_sent_at < 0 or self._now - run.ordered_at >= MIN_RUN_AGE_MS)
            and is_movable(run, self._state)
            and run.task not in self._state.reservations.by_task
            and not self._state.reservations.is_awaited(run)
            and run.task.spec.max_unavailable != 0
            and count_movable(run.task.step) > 0
        ]

    def _get_obtainable(self, worker: Worker) -> Resources:
        """Return what is free on `worker` without all runs that may be stopped."""
        obtainable = self._obtainable.get(worker)
        if obtainable is None:
            obtainable = worker.free
            for candidate in self._list_candidates(worker):
                obtainable = obtainable + candidate.freed
            self._obtainable[worker] = obtainable
        return obtainable

    def _list_candidates(self, worker: Worker) -> list[Candidate]:
        candidates = self._candidates.get(worker)
        if candidates is None:
            candidates = self._candidates[worker] = [
                make_candidate(run, self._now)
                for run in worker.runs.values()
                if is_preemptible(run, self._now)
                and not self._state.reservations.is_awaited(run)
                and not self._state.unverified.may_be_running(run.task)
            ]
        return candidates


def _compute_lost_work(move: _Move) -> float:
    return sum(victim.lost_core_ms for victim in move.victims)
