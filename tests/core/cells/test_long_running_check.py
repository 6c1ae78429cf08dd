"""The emulator's check of long-running tasks that wait, with capacity for them."""

from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

NOTICED_MS = 9_200
"""The time a task may be away, the time it may then wait, and some intervals of the check."""


def displace_task(workers: int = 3) -> CellCluster:
    """Return a cluster of an owner that starts nothing more, one task of which has lost its run."""
    cluster = CellCluster(workers=workers, capacity=Resources(2_000, 8_000, 0))
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(4_500)
    worker = next(worker for worker in cluster.workers.values() if worker.runs)
    cluster.cell.may_order = False
    worker.drain()
    worker.leave()
    return cluster


def test_task_that_is_not_started_again_is_reported_once() -> None:
    cluster = displace_task()
    cluster.run(NOTICED_MS - 400)
    assert not cluster.ground_truth.violations
    cluster.run(400 + NOTICED_MS)
    assert len(cluster.ground_truth.violations) == 1
    assert "a.0.0.0 is to last" in cluster.ground_truth.violations[0]


def test_task_without_capacity_twice_over_is_not_reported() -> None:
    cluster = displace_task(workers=2)
    cluster.resize("w0", Resources(1_900, 8_000, 0))
    cluster.resize("w1", Resources(1_900, 8_000, 0))
    cluster.run(2 * NOTICED_MS)
    assert not cluster.ground_truth.violations


def test_task_is_not_reported_until_a_fault_was_over_for_long() -> None:
    cluster = displace_task()
    cluster.run(5_000)
    cluster.unlisted_workers = {"w2"}
    cluster.run(NOTICED_MS)
    cluster.unlisted_workers = set()
    cluster.run(6_800)
    assert not cluster.ground_truth.violations
    cluster.run(400)
    assert len(cluster.ground_truth.violations) == 1


def test_task_of_a_cancelled_job_is_not_reported() -> None:
    cluster = displace_task()
    cluster.cancel("a")
    cluster.run(2 * NOTICED_MS)
    assert not cluster.ground_truth.violations
