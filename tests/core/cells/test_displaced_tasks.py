"""Long-running tasks that lose their worker: they are away no longer than callers can accept."""

from itertools import count
from random import Random

import pytest

from quetzallock_core.cells.displacement import find_kinds
from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

MAX_AWAY_MS = 9_000
"""Longest time without a run of a long-running task for which there is capacity."""
DRAIN_MS = 6_000
"""Time between the announcement of a worker and its leave."""
SHORT_MS = 700
WIDE = Resources(3_000, 4_000, 0)
SMALL_WORKER = Resources(4_000, 16_000, 0)


def submit_stream(cluster: CellCluster, until_ms: int, interval_ms: int = 150) -> None:
    """Let short jobs arrive faster than the workers can run them."""
    rng = Random(7)
    numbers = count()

    def submit() -> None:
        job = f"short{next(numbers)}"
        duration_ms = rng.randrange(SHORT_MS // 2, 2 * SHORT_MS)
        cluster.submit(make_spec(job, make_step(4)), POLICY, {0: duration_ms})
        if cluster.clock.now() < until_ms:
            cluster.schedule(interval_ms, submit)

    submit()


def make_busy_cluster(workers: int = 4, tasks: int = 2) -> CellCluster:
    """Return a cluster with long-running wide tasks among more short tasks than fit."""
    cluster = CellCluster(workers=workers, capacity=SMALL_WORKER)
    cluster.run(500)
    step = make_step(tasks, lasting=True, needs=WIDE)
    cluster.submit(make_spec("a", step), POLICY, {0: None})
    cluster.run(500)
    submit_stream(cluster, until_ms=40_000)
    cluster.run(2_000)
    assert len(cluster.ground_truth.list_running("a")) == tasks
    return cluster


def find_worker(cluster: CellCluster, task: str) -> str:
    """Return the id of the worker that runs `task`."""
    return next(name for name, worker in cluster.workers.items() if task in worker.runs)


def measure_away_ms(cluster: CellCluster, task: str, limit_ms: int = 20_000) -> int:
    """Run until `task` runs, and return for how long it did not."""
    away_ms = 0
    while task not in cluster.ground_truth.list_running("a") and away_ms < limit_ms:
        cluster.run(50)
        away_ms += 50
    return away_ms


def test_task_leaves_its_draining_worker_though_short_tasks_take_each_free_piece() -> None:
    cluster = make_busy_cluster()
    leaving = cluster.workers[find_worker(cluster, "a.0.0.0")]
    leaving.drain()
    cluster.run(DRAIN_MS)
    assert not [task for task in leaving.runs if task.startswith("a.")]
    assert not cluster.ground_truth.violations


def test_task_of_a_lost_worker_starts_with_the_end_of_its_lease_though_short_tasks_wait() -> None:
    cluster = make_busy_cluster()
    cluster.workers[find_worker(cluster, "a.0.0.0")].crash()
    assert measure_away_ms(cluster, "a.0.0.0") < MAX_AWAY_MS
    assert not cluster.ground_truth.violations


def make_full_cluster() -> CellCluster:
    """Return a cluster whose workers are full of long-running tasks."""
    cluster = CellCluster(workers=3, capacity=SMALL_WORKER)
    cluster.run(500)
    for job in ("a", "b", "c"):
        step = make_step(1, lasting=True, needs=WIDE)
        cluster.submit(make_spec(job, step), POLICY, {0: None})
    cluster.run(1_000)
    return cluster


@pytest.mark.parametrize("hand_overs", [0, 1, 3])
def test_announced_leave_without_a_place_to_go_costs_less_than_a_lease(hand_overs: int) -> None:
    cluster = make_full_cluster()
    leaving = cluster.workers[find_worker(cluster, "a.0.0.0")]
    leaving.drain()
    cluster.run(DRAIN_MS - 2_000 * hand_overs)
    for _ in range(hand_overs):
        cluster.hand_over()
        cluster.run(2_000)
    leaving.crash()
    cluster.cancel("b")
    assert measure_away_ms(cluster, "a.0.0.0") < cluster.bounds.lease_ms - 2_000
    assert not cluster.ground_truth.violations


def test_displaced_tasks_that_fit_nowhere_do_not_keep_capacity_from_the_others() -> None:
    cluster = make_busy_cluster(workers=4, tasks=1)
    large = make_step(40, lasting=True, needs=Resources(4_100, 4_000, 0))
    cluster.submit(make_spec("large", large), POLICY, {0: None})
    cluster.run(500)
    job = cluster.cell.state.jobs["large"]
    job.has_started = True
    for task in job.list_tasks():
        task.has_run = True
    cluster.workers[find_worker(cluster, "a.0.0.0")].drain()
    cluster.run(DRAIN_MS)
    assert cluster.ground_truth.list_running("a") == ["a.0.0.0"]
    assert cluster.cell.state.counters["task.reserved"]
    assert cluster.cell.state.counters["displaced.searches"]


def test_capacity_that_is_too_small_for_a_large_task_yet_is_given_to_a_smaller_one() -> None:
    cluster = CellCluster(workers=1, capacity=SMALL_WORKER)
    cluster.run(500)
    short = make_step(1, needs=Resources(2_000, 1_000, 0))
    cluster.submit(make_spec("short", short), POLICY, {0: 20_000})
    cluster.run(200)
    state = cluster.cell.state
    worker = state.workers["w0"]
    (run,) = worker.runs.values()
    for job, cpu in (("large", 3_800), ("small", 1_500)):
        step = make_step(1, lasting=True, needs=Resources(cpu, 4_000, 0))
        cluster.submit(make_spec(job, step), POLICY, {0: None})
        (task,) = state.jobs[job].open_occurrence(0).steps[0].tasks
        task.has_run = state.jobs[job].has_started = True
        if job == "large":
            expires_at = cluster.clock.now() + DRAIN_MS
            state.reservations.reserve_for_waiting(task, worker, (run,), expires_at)
    cluster.run(500)
    assert cluster.ground_truth.list_running("small")
    assert not cluster.ground_truth.violations


def submit_with_interrupted_task(cluster: CellCluster, job: str, needs: Resources) -> None:
    """Submit a long-running job of two tasks, of which the second has run before."""
    step = make_step(2, lasting=True, needs=needs)
    cluster.submit(make_spec(job, step), POLICY, {0: None})
    record = cluster.cell.state.jobs[job]
    record.has_started = record.open_occurrence(0).steps[0].tasks[1].has_run = True


def test_new_tasks_of_its_step_that_wait_for_headroom_do_not_hold_up_a_displaced_task() -> None:
    cluster = CellCluster(workers=2, capacity=SMALL_WORKER)
    cluster.run(500)
    backlog = make_step(40, required_label="missing")
    cluster.submit(make_spec("backlog", backlog), POLICY, {0: SHORT_MS})
    cluster.submit(make_spec("b", make_step(1, lasting=True, needs=WIDE)), POLICY, {0: None})
    cluster.run(500)
    submit_with_interrupted_task(cluster, "a", Resources(3_500, 4_000, 0))
    cluster.run(300)
    assert cluster.ground_truth.list_running("a") == ["a.0.0.1"]
    assert not cluster.cell.state.counters["task.reserved"]


def test_displaced_tasks_are_placed_before_new_ones_of_older_jobs() -> None:
    cluster = CellCluster(workers=1, capacity=SMALL_WORKER)
    cluster.run(500)
    new = make_step(1, lasting=True, needs=WIDE)
    cluster.cell.may_order = False
    cluster.submit(make_spec("new", new), POLICY, {0: None})
    cluster.run(50)
    submit_with_interrupted_task(cluster, "a", WIDE)
    cluster.run(50)
    cluster.cell.state.displaced = []
    cluster.cell.state.knows_displaced = True
    cluster.cell.may_order = True
    cluster.cell.start_waiting_tasks()
    tasks = cluster.cell.state.jobs["a"].list_tasks()
    assert [bool(task.runs) for task in tasks] == [False, True]


def test_flood_of_new_tasks_leaves_a_place_for_the_task_of_a_lost_worker() -> None:
    cluster = CellCluster(workers=30, capacity=SMALL_WORKER)
    cluster.run(500)
    step = make_step(40, lasting=True, needs=WIDE)
    cluster.submit(make_spec("a", step), POLICY, {0: None})
    cluster.run(1_000)
    running = cluster.ground_truth.list_running("a")
    assert len(running) == 29
    lost = cluster.workers[find_worker(cluster, running[0])]
    lost.drain()
    cluster.run(DRAIN_MS)
    lost.leave()
    cluster.run(MAX_AWAY_MS)
    assert cluster.ground_truth.list_running("a") == running
    assert not cluster.ground_truth.violations


def test_small_displaced_tasks_count_behind_many_kinds_of_larger_ones() -> None:
    cluster = CellCluster(workers=1, capacity=SMALL_WORKER)
    cluster.run(500)
    sizes = range(9_000, 1_000, -250)
    for cpu in sizes:
        step = make_step(1, lasting=True, needs=Resources(cpu, 4_000, 0))
        cluster.submit(make_spec(f"j{cpu}", step), POLICY, {0: None})
    jobs = cluster.cell.state.jobs.values()
    tasks = [job.open_occurrence(0).steps[0].tasks[0] for job in jobs]
    assert min(sizes) in [task.spec.needs.cpu for task in find_kinds(tasks)]


@pytest.mark.parametrize(("max_unavailable", "moves"), [(None, 1), (1, 1), (0, 0)])
def test_task_of_a_sound_worker_makes_room_only_if_its_step_may_miss_one(
    max_unavailable: int | None, moves: int
) -> None:
    cluster = CellCluster(workers=3, capacity=SMALL_WORKER)
    cluster.run(500)
    sizes = (("a", 3_000, None), ("b", 2_000, max_unavailable), ("c", 2_000, max_unavailable))
    for job, cpu, limit in sizes:
        needs = Resources(cpu, 4_000, 0)
        step = make_step(1, lasting=True, needs=needs, max_unavailable=limit)
        cluster.submit(make_spec(job, step), POLICY, {0: None})
        cluster.run(100)
    cluster.run(DRAIN_MS)
    leaving = cluster.workers[find_worker(cluster, "a.0.0.0")]
    leaving.drain()
    cluster.run(3_000)
    assert cluster.cell.state.counters["run.moved"] == moves
    assert not leaving.runs or not moves
