"""Reports why tasks wait: what keeps them from each worker, and how much room is free meanwhile."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from .descriptions import describe_kind, describe_resources
from .jobs import StepRun, Task
from .models import Resources
from .placement import Obstacle, Placement
from .scheduler import may_start
from .state import CellState
from .workers import Worker, compute_commitment

REPORT_INTERVAL_MS: Final = 1_000
"""Minimum time between two reports, each of which looks at all workers."""

REPORT_AFTER_MS: Final = 300
"""How long a step waits before it is reported."""

MAX_STEPS_REPORTED: Final = 8
"""Maximum number of steps in one report, the longest waiting ones."""

NO_WORKER: Final = "no_worker"
"""Reason where no worker accepts tasks at all."""

UNVERIFIED: Final = "unverified"
"""Reason where a worker that this owner has not seen yet may be running the task."""

HEADROOM: Final = "headroom"
"""Reason of a new long-running task where the free CPU is kept for short tasks."""

TOO_LARGE: Final = "too_large"
"""Reason where no worker of the pool could hold the task, however little runs there."""

NO_OBSTACLE: Final = "none"
"""Reason where some worker has capacity: it has just become free, or the task may not start yet for
another cause, such as a crash."""

_REASONS: Final = (NO_OBSTACLE, *reversed(Obstacle))
"""Reasons, starting with the last check that a worker can fail."""


@dataclass(frozen=True, slots=True)
class WaitReport:
    """Why the tasks of one step wait.

    Attributes:
        task: The first of them.
        waited_ms: Time since the step's predecessors were done.
        reason: The last obstacle in the order of the checks, or `UNVERIFIED`, `HEADROOM` or
            `TOO_LARGE` where these keep the task from all workers.
        obstacles: Number of workers by what keeps the task from them.
        largest_free: Resources that the worker with the most free processor has left.
        total_free: Resources that all workers have left.
        fits_in_total: The free resources would do for the task if they were on one worker.
    """

    task: Task
    waited_ms: int
    reason: str
    obstacles: dict[str, int]
    largest_free: Resources
    total_free: Resources
    fits_in_total: bool


@dataclass(frozen=True, slots=True)
class Room:
    """Resources that all workers have left.

    Attributes:
        largest: Those of the worker with the most free processor.
        total: Their sum.
    """

    largest: Resources
    total: Resources


class WaitReporter:
    """Reports regularly why the longest waiting steps of a cell wait."""

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._reported_at = 0

    def report(self) -> None:
        """Log and count the reasons, if the last report is long enough ago."""
        state = self._state
        now = state.clock.now()
        if now - self._reported_at < REPORT_INTERVAL_MS:
            return
        self._reported_at = now
        for waiting in explain_waits(state, now):
            state.interruptions.handle_waiting(waiting.task, waiting.reason, waiting.obstacles)
            state.log_decision(
                f"tasks.waiting.{waiting.reason}",
                task=waiting.task.name,
                queue=waiting.task.job.policy.queue,
                waited_ms=waiting.waited_ms,
                obstacles=waiting.obstacles,
                needs=describe_resources(waiting.task.spec.needs),
                largest_free=describe_resources(waiting.largest_free),
                total_free=describe_resources(waiting.total_free),
                fits_in_total=waiting.fits_in_total,
            )


def explain_waits(state: CellState, now: int) -> list[WaitReport]:
    """Return why the longest waiting steps wait, the longest first."""
    waiting: list[tuple[int, Task]] = []
    for step in state.open_steps:
        task = find_waiting_task(step, now)
        if task is not None and now - step.ready_at >= REPORT_AFTER_MS:
            waiting.append((step.ready_at, task))
    waiting.sort(key=lambda entry: (entry[0], entry[1].name))
    if not waiting:
        return []
    placement = Placement(state.workers.values(), state.interference, now)
    room = measure_room(placement.workers)
    reports = []
    for _, task in waiting[:MAX_STEPS_REPORTED]:
        report = explain_wait(task, placement, room, now)
        if state.unverified.may_be_running(task):
            report = replace(report, reason=UNVERIFIED)
        elif not state.headroom.may_start(task):
            report = replace(report, reason=HEADROOM)
        if _is_too_large(task, placement):
            report = replace(report, reason=TOO_LARGE)
        reports.append(report)
    return reports


def _is_too_large(task: Task, placement: Placement) -> bool:
    """Return whether workers of the pool accept tasks, and none offers what `task` needs."""
    service, label = task.job.policy.service, task.spec.required_label
    pool = [
        worker.entry
        for worker in placement.workers
        if worker.entry.service == service and (not label or label in worker.entry.labels)
    ]
    commitment = compute_commitment(task.spec.needs, task.spec.fills)
    return bool(pool) and not any(commitment.fits_in(entry.capacity) for entry in pool)


def count_startable_steps(state: CellState, now: int) -> Counter[str]:
    """Return the number of steps with a waiting task that may start now, by kind of step."""
    return Counter(
        describe_kind(step.spec, step.job.policy)
        for step in state.open_steps
        if _has_startable_task(state, step, now)
    )


def _has_startable_task(state: CellState, step: StepRun, now: int) -> bool:
    if not step.job.is_stored or step.has_no_waiting_task:
        return False
    return any(task.is_waiting and may_start(state, task, now) for task in step.tasks)


def find_waiting_task(step: StepRun, now: int) -> Task | None:
    """Return the first task of `step` that waits for a worker, or None."""
    if not step.job.is_stored or step.has_no_waiting_task:
        return None
    return next((task for task in step.tasks if task.is_waiting and now >= task.not_before), None)


def measure_room(workers: Iterable[Worker]) -> Room:
    """Return the room that `workers` have left."""
    largest = Resources()
    total = Resources()
    for worker in workers:
        free = worker.free
        total += free
        if free.cpu > largest.cpu:
            largest = free
    return Room(largest, total)


def explain_wait(task: Task, placement: Placement, room: Room, now: int) -> WaitReport:
    """Return what keeps `task` from each worker of `placement`, which have `room` left."""
    obstacles: Counter[str] = Counter()
    for worker in placement.workers:
        obstacles[placement.find_obstacle(task, worker) or NO_OBSTACLE] += 1
    reason = next((reason for reason in _REASONS if obstacles[reason]), NO_WORKER)
    return WaitReport(
        task,
        now - task.step.ready_at,
        str(reason),
        {str(name): count for name, count in obstacles.items() if count},
        room.largest,
        room.total,
        compute_commitment(task.spec.needs, task.spec.fills).fits_in(room.total),
    )
