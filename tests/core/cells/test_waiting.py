"""Reports of why tasks wait."""

from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.waiting import REPORT_AFTER_MS, REPORT_INTERVAL_MS, explain_waits
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

CAPACITY = Resources(8_000, 64_000, 0)


def make_fragmented_cluster() -> CellCluster:
    """Return a cluster with 3 free cores on each of two workers, and a task that needs 5."""
    cluster = CellCluster(workers=2, capacity=CAPACITY)
    cluster.run(500)
    wide = Resources(5_000, 2_000, 0)
    lasting = make_step(2, lasting=True, needs=wide, max_per_worker=1)
    cluster.submit(make_spec("lasting", lasting), POLICY, {0: None})
    cluster.run(500)
    cluster.submit(make_spec("wide", make_step(1, needs=wide)), POLICY, {0: 500})
    cluster.run(REPORT_AFTER_MS + 200)
    return cluster


def test_fragmentation_is_told_from_lack_of_capacity() -> None:
    cluster = make_fragmented_cluster()
    (report,) = explain_waits(cluster.cell.state, cluster.clock.now())
    assert report.task.name == "wide.0.0.0"
    assert report.reason == "cpu"
    assert report.obstacles == {"cpu": 2}
    assert report.largest_free == Resources(3_000, 62_000, 0)
    assert report.fits_in_total


def test_step_that_waits_for_capacity_and_a_limit_reports_the_last_obstacle() -> None:
    """The first obstacle of any worker would name a shortage that most workers do not have."""
    cluster = CellCluster(workers=2, capacity=CAPACITY)
    cluster.run(500)
    filling = make_step(1, lasting=True, needs=CAPACITY)
    cluster.submit(make_spec("filling", filling), POLICY, {0: None})
    cluster.submit(make_spec("apart", make_step(2, max_per_worker=1)), POLICY, {0: 9_000})
    cluster.run(1_000)
    (report,) = explain_waits(cluster.cell.state, cluster.clock.now())
    assert report.reason == "anti_affinity"
    assert report.obstacles == {"cpu": 1, "anti_affinity": 1}


def test_reports_are_bounded_in_time() -> None:
    """A report in each tick would cost an owner of many workers its processor time."""
    cluster = make_fragmented_cluster()
    state = cluster.cell.state
    before = state.counters["tasks.waiting.cpu"]
    cluster.run(10 * REPORT_INTERVAL_MS)
    assert 8 <= state.counters["tasks.waiting.cpu"] - before <= 10


def test_task_that_no_worker_could_ever_hold_is_told_from_one_that_waits_for_room() -> None:
    cluster = make_fragmented_cluster()
    large = make_step(1, lasting=True, needs=Resources(9_000, 2_000, 0))
    cluster.submit(make_spec("large", large), POLICY, {0: None})
    cluster.run(REPORT_AFTER_MS + 200)
    reports = explain_waits(cluster.cell.state, cluster.clock.now())
    assert {report.task.job.id: report.reason for report in reports} == {
        "wide": "cpu",
        "large": "too_large",
    }
