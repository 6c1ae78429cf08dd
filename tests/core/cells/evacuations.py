"""Emulated cells with two data centres that the tests of evacuations share."""

from quetzallock_core.cells.const import ORDER_TIMEOUT_MS
from quetzallock_core.cells.models import Bounds, Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step, submit_plain

EVACUATION_MS = 5_000
BOUNDS = Bounds(evacuation_ms=EVACUATION_MS)
JOB_INTERVAL_MS = 200
VIEW_MS = 300
"""Time in which a readable request reaches the owner and takes effect."""
MOVE_MS = 3_000
MAX_VIEW_AGE_MS = EVACUATION_MS - ORDER_TIMEOUT_MS
LATENCY_MS = 10
ROOM_FOR_TWO = Resources(2_000, 8_000, 0)


def make_cluster(workers: int = 4, capacity: Resources | None = None) -> CellCluster:
    """Return a cluster whose workers alternate between the data centres a and b."""
    cluster = CellCluster(
        workers=workers, capacity=capacity, bounds=BOUNDS, data_centres=("a", "b")
    )
    cluster.run(500)
    return cluster


def run_with_jobs(cluster: CellCluster, ms: int, job: str) -> None:
    """Let time pass while a job arrives every `JOB_INTERVAL_MS`."""
    for number in range(ms // JOB_INTERVAL_MS):
        submit_plain(cluster, f"{job}{number}", count=4, duration_ms=300)
        cluster.run(JOB_INTERVAL_MS)


def count_starts(cluster: CellCluster, data_centre: str, since: int) -> int:
    """Return the number of starts in a data centre from the time `since` on."""
    return sum(
        at >= since and cluster.workers[worker].entry.data_centre == data_centre
        for at, _, _, worker in cluster.ground_truth.starts
    )


def list_running_in(cluster: CellCluster, data_centre: str) -> list[str]:
    """Return the tasks that run in a data centre."""
    return [
        task
        for worker in cluster.workers.values()
        if worker.entry.data_centre == data_centre
        for task in worker.runs
    ]


def submit_lasting(cluster: CellCluster, tasks: int, **fields: object) -> None:
    """Submit job `s` of lasting tasks, and wait until they run."""
    cluster.submit(make_spec("s", make_step(tasks, lasting=True, **fields)), POLICY, {0: None})
    cluster.run(1_000)
    assert len(cluster.ground_truth.list_running("s")) == tasks


def run_until_view_age(cluster: CellCluster, age_ms: int) -> None:
    """Make the topic unreadable, and let time pass until the view has this age."""
    cluster.operator.is_readable = False
    cluster.run(age_ms - (cluster.clock.now() - cluster.operator.last_view[1]))
