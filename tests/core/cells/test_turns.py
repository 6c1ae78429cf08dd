"""A pool that workers leave is too small for its long-running tasks: none is away for long."""

import pytest

from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

WORKERS = 9
CAPACITY = Resources(8_000, 64_000, 0)
NEEDS = Resources(2_800, 1_000, 0)
"""Two such tasks fit on a worker; what it has left does not hold a third one."""
DRAIN_MS = 6_000
"""Time from the announcement of a leave to the leave."""


def make_full_cluster(**step_fields: object) -> CellCluster:
    """Return a cluster whose workers are full of long-running tasks, to within one of them."""
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    for number in range(WORKERS):
        step = make_step(2, lasting=True, needs=NEEDS, **step_fields)
        cluster.submit(make_spec(f"j{number}", step), POLICY, {0: None})
    cluster.run(10_000)
    return cluster


def let_workers_leave(cluster: CellCluster, count: int) -> None:
    """Let some workers announce their leave, one shortly after the other, and leave."""
    for worker in list(cluster.workers.values())[:count]:
        worker.drain()
        cluster.schedule(DRAIN_MS, worker.leave)
        cluster.run(700)


@pytest.mark.parametrize("hand_overs", [0, 4])
def test_no_displaced_task_waits_until_a_job_is_cancelled(hand_overs: int) -> None:
    cluster = make_full_cluster()
    let_workers_leave(cluster, 3)
    cluster.run(DRAIN_MS)
    for _ in range(hand_overs):
        cluster.hand_over()
        cluster.run(2_000)
    cluster.run(20_000)
    assert not cluster.ground_truth.violations


def test_tasks_of_a_lost_worker_do_not_wait_again_after_its_lease() -> None:
    cluster = make_full_cluster()
    next(iter(cluster.workers.values())).crash()
    cluster.run(20_000)
    assert not cluster.ground_truth.violations


def test_tasks_go_on_where_each_has_room() -> None:
    cluster = make_full_cluster()
    cluster.cancel("j0")
    cluster.run(20_000)
    assert not cluster.cell.state.counters["run.yielded"]
    assert not cluster.ground_truth.violations


def test_no_task_is_stopped_for_another_beyond_what_its_step_may_miss() -> None:
    cluster = make_full_cluster(max_unavailable=1)
    let_workers_leave(cluster, 2)
    for _ in range(400):
        cluster.run(50)
        for job in cluster.cell.state.jobs.values():
            (step,) = job.open_occurrence(0).steps
            stopping = sum(run.state == "stopping" for t in step.tasks for run in t.runs.values())
            assert stopping <= 1


def test_no_task_is_stopped_for_another_if_its_step_may_miss_none() -> None:
    cluster = make_full_cluster(max_unavailable=0)
    let_workers_leave(cluster, 2)
    cluster.run(20_000)
    assert not cluster.cell.state.counters["run.yielded"]


def test_two_small_tasks_are_stopped_for_a_large_one() -> None:
    cluster = CellCluster(workers=2, capacity=CAPACITY)
    cluster.run(500)
    large = make_step(1, lasting=True, needs=Resources(6_000, 1_000, 0))
    cluster.submit(make_spec("large", large), POLICY, {0: None})
    cluster.run(500)
    for number in range(2):
        step = make_step(1, lasting=True, needs=Resources(3_500, 1_000, 0))
        cluster.submit(make_spec(f"small{number}", step), POLICY, {0: None})
    cluster.run(10_000)
    (worker,) = (one for one in cluster.workers.values() if "large.0.0.0" in one.runs)
    worker.drain()
    cluster.schedule(DRAIN_MS, worker.leave)
    cluster.run(DRAIN_MS + 10_000)
    starts = [task for _, task, _, _ in cluster.ground_truth.starts]
    assert starts.count("large.0.0.0") > 1


def test_tasks_that_no_worker_can_hold_do_not_keep_others_from_their_turns() -> None:
    cluster = make_full_cluster(required_label="rack1")
    label = make_step(10, lasting=True, needs=Resources(700, 1_000, 0), required_label="rack0")
    cluster.submit(make_spec("lost", label), POLICY, {0: None})
    cluster.run(10_000)
    for number, worker in enumerate(list(cluster.workers.values())):
        if number % 2 == 0:
            worker.drain()
            cluster.schedule(DRAIN_MS, worker.leave)
    cluster.run(DRAIN_MS + 10_000)
    yielded = cluster.cell.state.counters["run.yielded"]
    let_workers_leave(cluster, 2)
    cluster.run(DRAIN_MS + 10_000)
    assert cluster.cell.state.counters["run.yielded"] > yielded
