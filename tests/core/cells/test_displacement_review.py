"""Long-running tasks that lose their worker: what must not take the capacity that they need."""

from functools import partial

from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step
from .test_displaced_tasks import (
    DRAIN_MS,
    MAX_AWAY_MS,
    SMALL_WORKER,
    WIDE,
    find_worker,
    measure_away_ms,
)

HANGING_MS = 60_000
"""Duration of tasks that take far longer than estimated, or that keep a worker full."""
NARROW = Resources(1_000, 1_000, 0)
HALF = Resources(2_000, 1_000, 0)
BATCH = Resources(3_500, 1_000, 0)
SHORT_JOBS = 60
SHORT_INTERVAL_MS = 350
SHORT_MS = 1_000
SILENT_MS = 2_000
"""Time after a crash at which the owner takes the worker for unreachable."""
TAKEOVER_MS = 4_000
"""Time from the crash of an owner to the takeover."""


def submit_lasting(cluster: CellCluster, job: str) -> None:
    """Submit a long-running job of one wide task."""
    step = make_step(1, lasting=True, needs=WIDE)
    cluster.submit(make_spec(job, step), POLICY, {0: None})


def submit_short(cluster: CellCluster, number: int) -> None:
    """Submit a short job, which takes as long as estimated."""
    step = make_step(3, needs=HALF, estimate_ms=SHORT_MS)
    cluster.submit(make_spec(f"short{number}", step), POLICY, {0: float(SHORT_MS)})


def make_cluster_with_one_vacancy() -> CellCluster:
    """Return a cluster with two long-running tasks, and room for one more of them."""
    cluster = CellCluster(workers=5, capacity=SMALL_WORKER)
    cluster.run(500)
    batch = make_step(2, needs=BATCH)
    cluster.submit(make_spec("batch", batch), POLICY, {0: float(HANGING_MS)})
    for job in ("a", "b"):
        submit_lasting(cluster, job)
    cluster.run(1_000)
    return cluster


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


def test_younger_task_does_not_take_the_room_of_a_task_whose_worker_is_silent() -> None:
    cluster = make_cluster_with_one_vacancy()
    cluster.workers[find_worker(cluster, "a.0.0.0")].crash()
    cluster.run(SILENT_MS)
    submit_lasting(cluster, "c")
    assert SILENT_MS + measure_away_ms(cluster, "a.0.0.0") < MAX_AWAY_MS
    assert not cluster.ground_truth.violations


def test_younger_task_does_not_take_the_room_of_a_task_on_an_unverified_worker() -> None:
    cluster = make_cluster_with_one_vacancy()
    cluster.kill_owner()
    cluster.workers[find_worker(cluster, "a.0.0.0")].crash()
    cluster.run(TAKEOVER_MS)
    cluster.take_over()
    cluster.run(SILENT_MS)
    submit_lasting(cluster, "c")
    measure_away_ms(cluster, "a.0.0.0")
    assert "a.0.0.0" in cluster.ground_truth.list_running("a")
    assert not cluster.ground_truth.violations


def test_new_job_starts_in_a_pool_with_plenty_of_room_though_a_worker_is_silent() -> None:
    cluster = CellCluster(workers=6, capacity=SMALL_WORKER)
    cluster.run(500)
    submit_lasting(cluster, "a")
    cluster.run(500)
    cluster.kill_owner()
    cluster.workers[find_worker(cluster, "a.0.0.0")].crash()
    cluster.run(TAKEOVER_MS)
    cluster.take_over()
    cluster.run(SILENT_MS)
    submit_lasting(cluster, "c")
    cluster.run(500)
    assert "c.0.0.0" in cluster.ground_truth.list_running("c")


def test_tasks_that_never_ran_do_not_count_as_displaced_after_an_owner_crash() -> None:
    cluster = CellCluster(workers=2, capacity=SMALL_WORKER)
    cluster.run(500)
    step = make_step(4, lasting=True, needs=WIDE)
    cluster.submit(make_spec("a", step), POLICY, {0: None})
    cluster.run(1_000)
    assert cluster.ground_truth.list_running("a") == ["a.0.0.0", "a.0.0.1"]
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(1_000)
    tasks = cluster.cell.state.jobs["a"].list_tasks()
    assert [task.has_run for task in tasks] == [True, True, False, False]
