"""What an owner at the edge of its processor serves first: urgent steps, or what could wait.

The load is a third of a large deployment's day: 270 workers with long-running serving tasks, and
23 jobs a second in waves. Of these, 63% are short jobs that are worth something only if they
complete soon, and the others wide best-effort jobs, with a burst.
"""

from dataclasses import dataclass
from math import pi, sin
from random import Random

from quetzallock_core.cells.load import LoadControl
from quetzallock_core.cells.models import JobSpec, QueuePolicy, Resources, StepSpec
from quetzallock_standins.emulator.busy import BusyCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import BEST_EFFORT_POLICY, CAPACITY, SERVING_POLICY

SCALE = 1 / 3
WORKERS = round(270 * SCALE)
OWNER_SHARE = 1.2 * SCALE
"""Cores that the owner of the large deployment uses on its loaded day, scaled as the workers."""

URGENT_POLICY = QueuePolicy("urgent", "pool", 0, 3, 1.5, 300, 1)
URGENT_TASK_MS = 540
WIDE_TASK_MS = 2_300
URGENT_PER_S = 23 * 0.63 * SCALE
WIDE_PER_S = 23 * 0.37 * SCALE

SWING = 0.55
PERIOD_MS = 13_000
BURST = 1.4
BURST_FROM_MS = 4_000
BURST_MS = 6_000
LOAD_MS = 13_000
STEP_MS = 10
DRAIN_MS = 3_000

MIN_IN_AIM_LOADED = 0.60
MIN_IN_AIM_WITH_TIME_TO_SPARE = 0.85


@dataclass(frozen=True)
class Urgent:
    """An urgent job that callers have asked for, and the ms within which it is worth something."""

    asked_at: int
    aim_ms: float


def make_urgent_spec(name: str, steps: int) -> JobSpec:
    """Return a job of tasks that are neither best effort nor long-running."""
    needs = Resources(1_200, 2_400, 0)
    return make_spec(
        name,
        *(
            StepSpec(9, needs, URGENT_TASK_MS, after=(number - 1,) if number else ())
            for number in range(steps)
        ),
    )


def make_wide_spec(name: str) -> JobSpec:
    """Return a job of two steps of many best-effort tasks."""
    needs = Resources(900, 800, 0)
    first = StepSpec(39, needs, WIDE_TASK_MS, fills=True, image="f")
    second = StepSpec(39, needs, WIDE_TASK_MS, fills=True, image="f", after=(0,))
    return make_spec(name, first, second)


def start_serving(cluster: BusyCluster) -> None:
    """Start long-running tasks on all workers."""
    for number in range(WORKERS // 8):
        step = StepSpec(24, Resources(3_200, 6_400, 0), lasting=True, image="s", target_ms=270)
        cluster.submit(make_spec(f"serving{number}", step), SERVING_POLICY, {0: None})
    cluster.run(2_000)


def offer_load(cluster: BusyCluster, rng: Random) -> dict[str, Urgent]:
    """Offer the jobs of the day in waves, and return the urgent ones by name."""
    urgent: dict[str, Urgent] = {}
    for elapsed_ms in range(0, LOAD_MS, STEP_MS):
        wave = 1 + SWING * sin(2 * pi * elapsed_ms / PERIOD_MS)
        is_burst = BURST_FROM_MS <= elapsed_ms < BURST_FROM_MS + BURST_MS
        if rng.random() < URGENT_PER_S * wave * STEP_MS / 1_000:
            steps = 2 if rng.random() < 0.6 else 1
            name = f"urgent{elapsed_ms}"
            aim_ms = 1.5 * steps * URGENT_TASK_MS + 300
            urgent[name] = Urgent(cluster.clock.now(), aim_ms)
            durations = dict.fromkeys(range(steps), float(URGENT_TASK_MS))
            cluster.offer(make_urgent_spec(name, steps), URGENT_POLICY, durations)
        if rng.random() < WIDE_PER_S * wave * (BURST if is_burst else 1) * STEP_MS / 1_000:
            durations = {0: float(WIDE_TASK_MS), 1: float(WIDE_TASK_MS)}
            cluster.offer(make_wide_spec(f"wide{elapsed_ms}"), BEST_EFFORT_POLICY, durations)
        cluster.run(STEP_MS)
    cluster.run(DRAIN_MS)
    return urgent


def play(share: float) -> tuple[BusyCluster, float]:
    """Play the day with an owner of `share` cores.

    Returns:
        The cell at its end, and the share of urgent jobs in aim, of all that were asked for.
    """
    cluster = BusyCluster(
        share,
        LoadControl(),
        are_appends_charged=True,
        workers=WORKERS,
        capacity=CAPACITY,
        seed=2,
    )
    cluster.run(500)
    start_serving(cluster)
    urgent = offer_load(cluster, Random(4))
    jobs = cluster.cell.state.jobs
    in_aim = [
        name in jobs and jobs[name].is_over and jobs[name].ended_at - job.asked_at <= job.aim_ms
        for name, job in urgent.items()
    ]
    return cluster, sum(in_aim) / len(in_aim)


def test_urgent_steps_are_not_late_behind_what_can_wait() -> None:
    """An owner that serves events as they come is late with urgent and other steps alike."""
    _, in_aim = play(OWNER_SHARE)
    assert in_aim >= MIN_IN_AIM_LOADED


def test_urgent_steps_are_in_aim_with_time_to_spare() -> None:
    """Shows that the workers have room for the urgent steps of the same load."""
    _, in_aim = play(2 * OWNER_SHARE)
    assert in_aim >= MIN_IN_AIM_WITH_TIME_TO_SPARE
