"""Relieves serving tasks that miss their target: filling neighbours slow down or move away."""

from dataclasses import dataclass
from math import exp
from typing import Final

from .const import PACE_STEP_MS
from .interference import MOST, Interference, list_serving
from .jobs import Run
from .workers import Worker

HOT_SHARE: Final = 1.0
"""Share of the target above which the neighbours slow down."""

COOL_SHARE: Final = 0.6
"""Share of the target that halting neighbours has to lead to."""

RESUME_SHARE: Final = 0.85
"""Predicted share of the target up to which a neighbour may speed up again."""

STRAIN_SHARE: Final = 1.0
"""Share of the target above which no further filling task joins."""

STRAIN_MS: Final = 400
"""How long that holds after the last such figure."""

PACE_CHECK_MS: Final = 1_000
"""Age of an order from which on the figures have to show it."""

PACE_SLACK: Final = 0.2
"""Share of its full speed by which a slowed run may be above its pace."""

HALT_ALL_MS: Final = 1_200
"""A serving run that is hot for this long has all its filling neighbours halted."""

CALM_SHARE: Final = 0.8
"""Share of the target that slowing a neighbour to half has to lead to, or it is halted."""

FULL_PACE: Final = 100
HALTED_PACE: Final = 0
RESUMED_PACE: Final = 50


@dataclass(frozen=True, slots=True)
class Relief:
    """A filling run whose pace should change to `percent`."""

    run: Run
    percent: int


def note_figure(run: Run, now: int) -> None:
    """Keep since when a serving run is above its target."""
    target = run.task.spec.target_ms
    if not target:
        return
    is_hot = run.metric > HOT_SHARE * target
    run.over_target_since = (run.over_target_since or now) if is_hot else 0


def note_strain(worker: Worker, now: int) -> None:
    """Keep further filling tasks off a worker where a serving task is at its target."""
    for run in list_serving(worker):
        if run.metric > STRAIN_SHARE * run.task.spec.target_ms:
            worker.strained_until = now + STRAIN_MS
            return


def is_faster_than_ordered(run: Run, now: int) -> bool:
    """Tell whether a slowed run still uses more processor than it may: an order was lost."""
    if run.pace == FULL_PACE or run.state != "running" or now - run.paced_at < PACE_CHECK_MS:
        return False
    needs = run.task.spec.needs.cpu
    return run.metric > needs * (run.pace / FULL_PACE + PACE_SLACK)


def guess_pace(run: Run, metric: float) -> int:
    """Return the pace that an earlier owner seems to have ordered, by the processor in use."""
    spec = run.task.spec
    if not spec.fills or not spec.needs.cpu:
        return FULL_PACE
    paces = (FULL_PACE, RESUMED_PACE, HALTED_PACE)
    return min(paces, key=lambda pace: abs(pace / FULL_PACE - metric / spec.needs.cpu))


def plan_relief(worker: Worker, interference: Interference, now: int) -> list[Relief]:
    """Return the changes of pace that are due on `worker` now."""
    if not worker.best_effort_count or now - worker.relieved_at < PACE_STEP_MS:
        return []
    filling = [
        run for run in worker.runs.values() if run.task.spec.fills and run.state == "running"
    ]
    serving = list_serving(worker)
    hot = [run for run in serving if run.over_target_since]
    if any(now - run.over_target_since >= HALT_ALL_MS for run in hot):
        return [Relief(run, HALTED_PACE) for run in filling if run.pace > HALTED_PACE]
    if hot:
        return _slow_worst(worker, interference, hot, filling)
    return _speed_up(worker, interference, serving, filling)


def _slow_worst(
    worker: Worker, interference: Interference, hot: list[Run], filling: list[Run]
) -> list[Relief]:
    """Halt the filling runs that press most until the model expects the targets to be met."""
    working = [run for run in filling if run.pace > HALTED_PACE]
    blamed = sorted(
        ((interference.blame(worker, hot, run) / len(hot), run.number, run) for run in working),
        reverse=True,
    )
    excess = max(run.metric / run.task.spec.target_ms for run in hot)
    reliefs: list[Relief] = []
    for blame, _, run in blamed:
        if reliefs and excess < COOL_SHARE:
            break
        half = excess * exp(-blame * (1 - RESUMED_PACE / run.pace))
        if run.pace > RESUMED_PACE and half < CALM_SHARE:
            reliefs.append(Relief(run, RESUMED_PACE))
            break
        reliefs.append(Relief(run, HALTED_PACE))
        excess *= exp(-blame)
    return reliefs


def _speed_up(
    worker: Worker, interference: Interference, serving: list[Run], filling: list[Run]
) -> list[Relief]:
    """Speed up one filling run, if the model expects the targets to be met all the same."""
    slowed = [run for run in filling if run.pace < FULL_PACE]
    slowed.sort(key=lambda run: (-run.pace, -run.percent, run.number))
    for run in slowed:
        for pace in (FULL_PACE, RESUMED_PACE):
            if pace > run.pace and _is_bearable(worker, interference, serving, run, pace):
                return [Relief(run, pace)]
    return []


def _is_bearable(
    worker: Worker, interference: Interference, serving: list[Run], run: Run, pace: int
) -> bool:
    capacity = max(1, worker.entry.capacity.cpu)
    added = run.task.spec.needs.cpu * (pace - run.pace) / FULL_PACE / capacity
    image = run.task.spec.image
    return all(
        other.metric * exp(min(interference.cautious(other.task.spec.image, image) * added, MOST))
        < RESUME_SHARE * other.task.spec.target_ms
        for other in serving
    )
