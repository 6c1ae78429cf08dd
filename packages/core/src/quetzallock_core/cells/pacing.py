"""Slows down, pauses and resumes best-effort tasks to protect the serving tasks on their worker."""

from dataclasses import dataclass
from math import exp
from typing import Final

from .const import PACE_CHANGE_INTERVAL_MS
from .interference import MAX_PRESSURE, Interference, list_serving_runs
from .jobs import Run
from .workers import Worker

OVER_TARGET_SHARE: Final = 1.0
"""Tail as a share of the target above which colocated best-effort tasks are slowed down."""

PAUSE_GOAL_SHARE: Final = 0.6
"""Predicted tail, as a share of the target, below which no further best-effort task is paused."""

RESUME_SHARE: Final = 0.85
"""Predicted tail, as a share of the target, below which a best-effort task may speed up again."""

BEST_EFFORT_BLOCK_SHARE: Final = 1.0
"""Tail as a share of the target above which no further best-effort task joins."""

BEST_EFFORT_BLOCK_MS: Final = 400
"""How long no best-effort task joins after the last tail above `BEST_EFFORT_BLOCK_SHARE`."""

PACE_CHECK_DELAY_MS: Final = 1_000
"""Time after a pace order from which on the metrics must show its effect."""

PACE_TOLERANCE: Final = 0.2
"""Share of full speed by which a slowed run may exceed its pace before the order counts as lost."""

PAUSE_ALL_AFTER_MS: Final = 1_200
"""Time above the target after which all best-effort tasks on the worker are paused."""

REDUCED_PACE_GOAL_SHARE: Final = 0.8
"""A best-effort task is slowed down rather than paused if the tail, as a share of the target, is
predicted to fall below this."""

FULL_PACE: Final = 100
PAUSED_PACE: Final = 0
REDUCED_PACE: Final = 50


@dataclass(frozen=True, slots=True)
class PaceChange:
    """A best-effort run whose pace should change to `percent`."""

    run: Run
    percent: int


def update_over_target(run: Run, now: int) -> None:
    """Record since when a serving run is over its target, by its last reported tail."""
    target = run.task.spec.target_ms
    if not target:
        return
    is_over_target = run.metric > OVER_TARGET_SHARE * target
    run.over_target_since = (run.over_target_since or now) if is_over_target else 0


def update_best_effort_block(worker: Worker, now: int) -> None:
    """Block further best-effort tasks on a worker where a serving task is over its target."""
    for run in list_serving_runs(worker):
        if run.metric > BEST_EFFORT_BLOCK_SHARE * run.task.spec.target_ms:
            worker.best_effort_blocked_until = now + BEST_EFFORT_BLOCK_MS
            return


def exceeds_ordered_pace(run: Run, now: int) -> bool:
    """Return whether a slowed run uses more processor than ordered, so that an order was lost."""
    if run.pace == FULL_PACE or run.state != "running" or now - run.paced_at < PACE_CHECK_DELAY_MS:
        return False
    needs = run.task.spec.needs.cpu
    return run.metric > needs * (run.pace / FULL_PACE + PACE_TOLERANCE)


def estimate_pace(run: Run, metric: float) -> int:
    """Return the pace that an earlier owner has most likely ordered, by the processor use."""
    spec = run.task.spec
    if not spec.fills or not spec.needs.cpu:
        return FULL_PACE
    paces = (FULL_PACE, REDUCED_PACE, PAUSED_PACE)
    return min(paces, key=lambda pace: abs(pace / FULL_PACE - metric / spec.needs.cpu))


def plan_pace_changes(worker: Worker, interference: Interference, now: int) -> list[PaceChange]:
    """Return the pace changes that are due on `worker` now."""
    if not worker.best_effort_count or now - worker.pace_changed_at < PACE_CHANGE_INTERVAL_MS:
        return []
    best_effort = [
        run for run in worker.runs.values() if run.task.spec.fills and run.state == "running"
    ]
    serving = list_serving_runs(worker)
    over_target = [run for run in serving if run.over_target_since]
    if any(now - run.over_target_since >= PAUSE_ALL_AFTER_MS for run in over_target):
        return [PaceChange(run, PAUSED_PACE) for run in best_effort if run.pace > PAUSED_PACE]
    if over_target:
        return _plan_slowdown(worker, interference, over_target, best_effort)
    return _plan_speedup(worker, interference, serving, best_effort)


def _plan_slowdown(
    worker: Worker, interference: Interference, over_target: list[Run], best_effort: list[Run]
) -> list[PaceChange]:
    """Pause the best-effort runs that interfere most until the targets are predicted to be met."""
    working = [run for run in best_effort if run.pace > PAUSED_PACE]
    contributions = sorted(
        (
            (
                interference.compute_contribution(worker, over_target, run) / len(over_target),
                run.number,
                run,
            )
            for run in working
        ),
        reverse=True,
    )
    tail_share = max(run.metric / run.task.spec.target_ms for run in over_target)
    changes: list[PaceChange] = []
    for contribution, _, run in contributions:
        if changes and tail_share < PAUSE_GOAL_SHARE:
            break
        tail_share_at_reduced_pace = tail_share * exp(-contribution * (1 - REDUCED_PACE / run.pace))
        if run.pace > REDUCED_PACE and tail_share_at_reduced_pace < REDUCED_PACE_GOAL_SHARE:
            changes.append(PaceChange(run, REDUCED_PACE))
            break
        changes.append(PaceChange(run, PAUSED_PACE))
        tail_share *= exp(-contribution)
    return changes


def _plan_speedup(
    worker: Worker, interference: Interference, serving: list[Run], best_effort: list[Run]
) -> list[PaceChange]:
    """Speed up one best-effort run, if the targets are still predicted to be met then."""
    slowed = [run for run in best_effort if run.pace < FULL_PACE]
    slowed.sort(key=lambda run: (-run.pace, -run.percent, run.number))
    for run in slowed:
        for pace in (FULL_PACE, REDUCED_PACE):
            if pace > run.pace and _keeps_targets(worker, interference, serving, run, pace):
                return [PaceChange(run, pace)]
    return []


def _keeps_targets(
    worker: Worker, interference: Interference, serving: list[Run], run: Run, pace: int
) -> bool:
    capacity = max(1, worker.entry.capacity.cpu)
    added = run.task.spec.needs.cpu * (pace - run.pace) / FULL_PACE / capacity
    image = run.task.spec.image
    return all(
        other.metric
        * exp(
            min(
                interference.get_upper_coefficient(other.task.spec.image, image) * added,
                MAX_PRESSURE,
            )
        )
        < RESUME_SHARE * other.task.spec.target_ms
        for other in serving
    )
