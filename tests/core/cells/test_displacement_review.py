"""Long-running tasks that lose their worker: what must not take the capacity that they need."""

from functools import partial

from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step
from .test_displaced_tasks import (
    DRAIN_MS,
    SMALL_WORKER,
    WIDE,
    find_worker,
)

HANGING_MS = 60_000
"""Duration of tasks that take far longer than estimated."""
NARROW = Resources(1_000, 1_000, 0)
HALF = Resources(2_000, 1_000, 0)
SHORT_JOBS = 60
SHORT_INTERVAL_MS = 350
SHORT_MS = 1_000


def submit_lasting(cluster: CellCluster, job: str) -> None:
    """Submit a long-running job of one wide task."""
    step = make_step(1, lasting=True, needs=WIDE)
    cluster.submit(make_spec(job, step), POLICY, {0: None})


def submit_short(cluster: CellCluster, number: int) -> None:
    """Submit a short job, which takes as long as estimated."""
    step = make_step(3, needs=HALF, estimate_ms=SHORT_MS)
    cluster.submit(make_spec(f"short{number}", step), POLICY, {0: float(SHORT_MS)})


def test_overdue_runs_are_not_taken_for_the_next_ones_to_end() -> None:
    cluster = CellCluster(workers=4, capacity=SMALL_WORKER)
    cluster.run(500)
    submit_lasting(cluster, "a")
    cluster.run(300)
    overdue = make_step(2, needs=NARROW, estimate_ms=300)
    cluster.submit(make_spec("overdue", overdue), POLICY, {0: float(HANGING_MS)})
    cluster.run(4_000)
    for number in range(SHORT_JOBS):
        cluster.schedule(number * SHORT_INTERVAL_MS, partial(submit_short, cluster, number))
    cluster.run(3_000)
    leaving = cluster.workers[find_worker(cluster, "a.0.0.0")]
    leaving.drain()
    cluster.run(DRAIN_MS)
    assert "a.0.0.0" not in leaving.runs
    assert not cluster.ground_truth.violations
