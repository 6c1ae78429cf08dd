"""Preempts runs of queues with a lower priority for tasks that wait too long.

For loads at which tasks of a low priority fill the workers that tasks of a higher one need at once.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final

from .jobs import Run, StepRun, Task
from .models import Resources
from .pacing import PAUSED_PACE
from .placement import find_constraint
from .preemption_limits import PreemptionLimits, are_within
from .scheduler import may_start
from .state import CellState
from .workers import Worker, compute_commitment

WAIT_LIMIT_MS: Final = 300
"""How long a task waits before runs are preempted for it: most places become free by themselves."""

RESERVATION_MS: Final = 3_000
"""How long the capacity is kept for the waiting task. A stop order that is repeated several times
takes effect within this time."""

PROTECTED_MS: Final = 5_000
"""How long the next run of a preempted task is not preempted again."""

PREEMPTED_PAUSE_MS: Final = 1_000
"""Time from the preemption of a task before which it is not started again."""

NEAR_END_SHARE: Final = 0.25
"""Share of its expected duration by which a run may be away from its expected end to be kept."""

MAX_NEAR_END_MS: Final = 1_000
"""Upper limit of that margin: a task of a higher priority does not wait longer for an end."""

MAX_VICTIMS: Final = 8
"""Maximum number of runs that are preempted for one task. Below the limit of the cell."""

MAX_STEPS_SEARCHED: Final = 2
"""Maximum number of steps for which one tick searches, as the owner does nothing else meanwhile."""

MAX_CHOICES: Final = 32
"""Number of workers with victims after which a search ends. The next starts behind them, so that
all workers are looked at in turn."""

SEARCH_PAUSE_MS: Final = 300
"""Pause before victims for the tasks of a step are searched again after none were found."""


@dataclass(frozen=True, slots=True, eq=False)
class Candidate:
    """A run that may be preempted.

    Attributes:
        priority: Priority of its queue; 0 is the highest.
        lost_core_ms: Work that is lost with it.
        freed: Resources that are free once it has ended.
    """

    run: Run
    queue: str
    priority: int
    lost_core_ms: float
    freed: Resources


Victims = tuple[Candidate, ...]


def choose_victims(
    needs: Resources,
    free: Resources,
    candidates: Iterable[Candidate],
    left_by_queue: Mapping[str, int],
) -> Victims | None:
    """Choose which runs on one worker to preempt for a task.

    Runs of the lowest priority come first, and among these the ones with the least lost work. None
    of the chosen runs is superfluous. One run is preferred to several that lose more work.

    Args:
        needs: What the task would commit.
        free: What is free on the worker.
        candidates: The runs that may be preempted.
        left_by_queue: Maximum number of victims by queue.

    Returns:
        The victims, none if the task fits already; None where no permitted choice frees enough.
    """
    if needs.fits_in(free):
        return ()
    ordered = sorted(candidates, key=lambda one: (-one.priority, one.lost_core_ms, one.run.number))
    several = _choose_several(needs, free, ordered, left_by_queue)
    single = next(
        (
            (one,)
            for one in ordered
            if left_by_queue.get(one.queue, 0) > 0 and needs.fits_in(free + one.freed)
        ),
        None,
    )
    if several is None or single is None:
        return single if several is None else several
    return min(several, single, key=compute_victims_key)


def _choose_several(
    needs: Resources, free: Resources, ordered: list[Candidate], left_by_queue: Mapping[str, int]
) -> Victims | None:
    chosen: list[Candidate] = []
    chosen_by_queue: Counter[str] = Counter()
    for candidate in ordered:
        if needs.fits_in(free):
            break
        if chosen_by_queue[candidate.queue] >= left_by_queue.get(candidate.queue, 0):
            continue
        if _relieves(candidate.freed, needs - free):
            chosen.append(candidate)
            chosen_by_queue[candidate.queue] += 1
            free = free + candidate.freed
    if not needs.fits_in(free):
        return None
    for candidate in list(reversed(chosen)):
        if needs.fits_in(free - candidate.freed):
            chosen.remove(candidate)
            free = free - candidate.freed
    return tuple(chosen)


def _relieves(freed: Resources, shortage: Resources) -> bool:
    """Return whether `freed` holds some of a resource that is short."""
    return (
        (shortage.cpu > 0 and freed.cpu > 0)
        or (shortage.memory_mb > 0 and freed.memory_mb > 0)
        or (shortage.gpus > 0 and freed.gpus > 0)
    )


def compute_victims_key(victims: Victims) -> tuple[float, ...]:
    """Return the key by which the best choice of victims is the smallest."""
    highest = min((victim.priority for victim in victims), default=0)
    return (-highest, sum(victim.lost_core_ms for victim in victims), len(victims))


def compute_lost_work(run: Run, now: int) -> float:
    """Return the core-ms that are lost if `run` ends now."""
    spec = run.task.spec
    since = max(run.ordered_at, run.checkpoint_at) if spec.saves else run.ordered_at
    return max(0, now - since) * spec.needs.cpu / 1_000


def is_near_end(run: Run, expected_ms: float, now: int) -> bool:
    """Return whether `run` is close to its expected end, from which real ends differ both ways."""
    if run.pace == PAUSED_PACE:
        return False
    margin_ms = min(NEAR_END_SHARE * expected_ms, MAX_NEAR_END_MS)
    return abs(run.ordered_at + expected_ms - now) <= margin_ms


def is_preemptible(run: Run, now: int) -> bool:
    """Return whether the kind and state of `run` allow to preempt it, whatever its priority."""
    task = run.task
    spec = task.spec
    if run.state != "running" or len(task.runs) != 1:
        return False
    if spec.lasting or spec.target_ms or spec.gang or task.is_crash_suspect:
        return False
    return not task.preempted_at or now - run.ordered_at >= PROTECTED_MS


def make_candidate(run: Run, now: int) -> Candidate:
    """Return `run` as one that may be preempted."""
    spec = run.task.spec
    policy = run.task.job.policy
    freed = compute_commitment(spec.needs, spec.fills)
    return Candidate(run, policy.queue, policy.priority, compute_lost_work(run, now), freed)


def stop_victims(
    state: CellState, limits: PreemptionLimits, victims: Iterable[Candidate], task: Task, now: int
) -> None:
    """Stop runs for `task`; their tasks start again after a pause, elsewhere if possible."""
    for victim in victims:
        run = victim.run
        run.task.preempted_at = now
        run.task.not_before = now + PREEMPTED_PAUSE_MS
        run.task.avoid.add(run.worker)
        limits.record(victim.queue, now)
        state.log_decision(
            "run.preempted",
            task=run.task.name,
            run=run.number,
            worker=run.worker,
            queue=victim.queue,
            preempted_for=task.name,
            lost_core_ms=int(victim.lost_core_ms),
        )
        state.stop_run(run, "preempted")


class Preemption:
    """Preempts runs of one cell for its waiting tasks."""

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._limits = PreemptionLimits()
        self._search_after: dict[StepRun, int] = {}
        self._searched_workers = 0

    def preempt_for_waiting_tasks(self) -> None:
        """Preempt runs for tasks that wait too long."""
        state = self._state
        now = state.clock.now()
        steps = self._list_waiting_steps(now)
        if not steps:
            return
        if self._limits.count_left_in_cell(now) <= 0:
            self._log_limited(steps[0], "cell")
            return
        search = VictimSearch(state, self._limits, now, self._searched_workers)
        self._searched_workers += MAX_CHOICES
        for step in steps[:MAX_STEPS_SEARCHED]:
            if not self._preempt_for_step(step, search):
                self._search_after[step] = now + SEARCH_PAUSE_MS

    def _list_waiting_steps(self, now: int) -> list[StepRun]:
        """Return the steps with tasks that wait too long, highest priority first."""
        steps = self._state.open_steps
        lowest_priority = max((step.job.policy.priority for step in steps), default=0)
        self._search_after = {step: at for step, at in self._search_after.items() if at > now}
        waiting = [
            step
            for step in steps
            if step.job.policy.priority < lowest_priority
            and step not in self._search_after
            and self._has_late_task(step, now)
        ]
        return sorted(waiting, key=lambda step: (step.job.policy.priority, step.ready_at))

    def _has_late_task(self, step: StepRun, now: int) -> bool:
        if step.spec.fills or step.spec.gang or step.has_no_waiting_task:
            return False
        if now - step.ready_at < WAIT_LIMIT_MS:
            return False
        return step.job.is_stored and any(self._is_late(task, now) for task in step.tasks)

    def _is_late(self, task: Task, now: int) -> bool:
        """Return whether `task` waits too long for a worker, and for nothing else."""
        if not task.is_waiting or task.is_crash_suspect:
            return False
        if now - max(task.step.ready_at, task.not_before) < WAIT_LIMIT_MS:
            return False
        state = self._state
        if task in state.reservations.by_task or not state.headroom.may_start(task):
            return False
        return state.spare_room.may_start(task) and may_start(state, task, now)

    def _preempt_for_step(self, step: StepRun, search: "VictimSearch") -> bool:
        """Preempt runs for the late tasks of a step; return whether there were enough."""
        tasks = [task for task in step.tasks if self._is_late(task, search.now)]
        if not tasks:
            return True
        choices = search.list_choices(tasks[0])
        for task in tasks:
            choice = search.pop_best_choice(task, choices)
            if choice is None:
                if search.is_limited:
                    self._log_limited(step, "queue")
                return False
            if len(choice.victims) > self._limits.count_left_in_cell(search.now):
                self._log_limited(step, "cell")
                return False
            self._preempt(task, choice, search)
            search.update_choice(task, choice.worker, choices)
        return True

    def _log_limited(self, step: StepRun, limit: str) -> None:
        self._state.log_decision(
            "preemption.limited",
            job=step.job.id,
            step=step.number,
            queue=step.job.policy.queue,
            limit=limit,
        )

    def _preempt(self, task: Task, choice: "_Choice", search: "VictimSearch") -> None:
        """Stop the victims, and keep what they free for `task`."""
        state = self._state
        now = search.now
        runs = tuple(victim.run for victim in choice.victims)
        state.reservations.reserve_for_waiting(task, choice.worker, runs, now + RESERVATION_MS)
        state.headroom.add(task)
        stop_victims(state, self._limits, choice.victims, task, now)
        search.handle_preempted(choice)


def _can_free(needs: Resources, worker: Worker, candidates: Iterable[Candidate]) -> bool:
    """Return whether `needs` would fit on `worker` without all of `candidates`."""
    capacity = worker.entry.capacity
    committed = worker.committed
    cpu = capacity.cpu - committed.cpu
    memory_mb = capacity.memory_mb - committed.memory_mb
    gpus = capacity.gpus - committed.gpus
    for candidate in candidates:
        freed = candidate.freed
        cpu += freed.cpu
        memory_mb += freed.memory_mb
        gpus += freed.gpus
    return needs.cpu <= cpu and needs.memory_mb <= memory_mb and needs.gpus <= gpus


@dataclass(frozen=True, slots=True)
class _Choice:
    """A worker and the runs to preempt there."""

    worker: Worker
    victims: Victims


class VictimSearch:
    """The search for victims within one tick.

    Attributes:
        is_limited: A worker had victims that only the limits of their queues protect.
    """

    def __init__(
        self, state: CellState, limits: PreemptionLimits, now: int, first_worker: int
    ) -> None:
        self._state = state
        self._first_worker = first_worker
        self._left_by_queue = limits.count_left_by_queue(state.workers.values(), now)
        self._candidates: dict[Worker, list[Candidate]] = {}
        self.now = now
        self.is_limited = False

    def list_choices(self, task: Task) -> dict[Worker, _Choice]:
        """Return the best choice on each of some workers; none if `task` fits without victims."""
        self.is_limited = False
        usable = [worker for worker in self._state.workers.values() if self._may_use(worker, task)]
        if not usable or any(worker.has_capacity_for(task.spec.needs) for worker in usable):
            return {}
        first = self._first_worker % len(usable)
        choices: dict[Worker, _Choice] = {}
        for worker in (*usable[first:], *usable[:first]):
            self._set_choice(task, worker, choices)
            if len(choices) >= MAX_CHOICES:
                break
        return choices

    def _may_use(self, worker: Worker, task: Task) -> bool:
        if worker.is_overcommitted or not worker.can_accept_task(self.now):
            return False
        return find_constraint(task, worker, self.now) is None

    def pop_best_choice(self, task: Task, choices: dict[Worker, _Choice]) -> _Choice | None:
        """Remove and return the best choice that the limits of the queues still permit."""
        while choices:
            choice = min(
                choices.values(),
                key=lambda one: (one.worker.id in task.avoid, compute_victims_key(one.victims)),
            )
            del choices[choice.worker]
            counts = Counter(victim.queue for victim in choice.victims)
            if are_within(counts, self._left_by_queue):
                return choice
            self.update_choice(task, choice.worker, choices)
        return None

    def update_choice(self, task: Task, worker: Worker, choices: dict[Worker, _Choice]) -> None:
        """Set the choice on `worker`, if there is one, after something has changed there."""
        if self._may_use(worker, task):
            self._set_choice(task, worker, choices)

    def _set_choice(self, task: Task, worker: Worker, choices: dict[Worker, _Choice]) -> None:
        """Set the choice on a worker that may be used, if there is one."""
        priority = task.job.policy.priority
        candidates = [one for one in self._list_candidates(worker) if one.priority > priority]
        needs = task.spec.needs
        if not candidates or not _can_free(needs, worker, candidates):
            return
        victims = choose_victims(needs, worker.free, candidates, self._left_by_queue)
        if victims is None:
            unlimited = dict.fromkeys((one.queue for one in candidates), MAX_VICTIMS)
            self.is_limited |= choose_victims(needs, worker.free, candidates, unlimited) is not None
        elif len(victims) <= MAX_VICTIMS:
            choices[worker] = _Choice(worker, victims)

    def _list_candidates(self, worker: Worker) -> list[Candidate]:
        candidates = self._candidates.get(worker)
        if candidates is None:
            candidates = self._candidates[worker] = [
                make_candidate(run, self.now)
                for run in worker.runs.values()
                if is_preemptible(run, self.now) and not self._is_kept(run)
            ]
        return candidates

    def _is_kept(self, run: Run) -> bool:
        state = self._state
        expected_ms = state.durations.expect(run.task.step)
        if is_near_end(run, expected_ms, self.now) or state.reservations.is_awaited(run):
            return True
        return state.unverified.may_be_running(run.task)

    def handle_preempted(self, choice: _Choice) -> None:
        """Update the limits and the candidates after runs were preempted."""
        self._left_by_queue.subtract(victim.queue for victim in choice.victims)
        self._candidates.pop(choice.worker, None)
