"""Limits on the moves of one tick: they delay moves off leaving workers, and prevent none."""

from quetzallock_core.cells.const import MAX_STEPS_MOVED_PER_TICK, ROOM_SEARCH_PAUSE_MS
from quetzallock_core.cells.jobs import Task
from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import TICK_INTERVAL_MS, make_spec

from .common import POLICY, make_step
from .evacuations import BOUNDS

CAPACITY = Resources(8_000, 64_000, 0)
TINY = Resources(100, 100, 0)
WIDE = Resources(5_000, 2_000, 0)
LEAVING = MAX_STEPS_MOVED_PER_TICK * ROOM_SEARCH_PAUSE_MS // TICK_INTERVAL_MS + 2
MOVE_MS = 2_000
"""Less than the shortest time between the announcement of a worker and its leave."""


def start_on(cluster: CellCluster, job: str, worker: str, **fields: object) -> list[Task]:
    """Start the tasks of a new long-running job on one worker."""
    cell = cluster.cell
    place = cell.start_waiting_tasks
    cell.start_waiting_tasks = lambda: None  # type: ignore[method-assign]
    cluster.submit(make_spec(job, make_step(lasting=True, **fields)), POLICY, {0: None})
    cluster.run(50)
    cell.start_waiting_tasks = place  # type: ignore[method-assign]
    tasks = cell.state.jobs[job].list_tasks()
    for task in tasks:
        number = cell.state.next_run_number()
        cell._scheduler.start(task, cell.state.workers[worker], number, cluster.clock.now())
    cluster.run_effects(cluster.owner)
    return tasks


def make_cluster(data_centres: tuple[str, ...] = ("dc",)) -> CellCluster:
    """Return a cluster without jobs, in which one worker may stay while the others leave."""
    cluster = CellCluster(
        workers=LEAVING + 1, capacity=CAPACITY, bounds=BOUNDS, data_centres=data_centres
    )
    cluster.run(500)
    return cluster


def start_wide_tasks(cluster: CellCluster) -> None:
    """Fill most of each worker with a task for which no other worker has room."""
    for worker in cluster.workers:
        start_on(cluster, f"wide-{worker}", worker, count=1, needs=WIDE)


def test_many_steps_without_room_do_not_keep_another_from_leaving_in_time() -> None:
    cluster = make_cluster()
    start_wide_tasks(cluster)
    last = f"w{LEAVING - 1}"
    start_on(cluster, "small", last, count=1)
    cluster.run(500)
    for number in range(LEAVING):
        cluster.workers[f"w{number}"].drain()
    cluster.run(MOVE_MS)
    assert "small.0.0.0" in cluster.workers[f"w{LEAVING}"].runs
    assert not cluster.ground_truth.violations


def test_many_steps_without_room_do_not_keep_another_in_an_evacuated_data_centre() -> None:
    cluster = make_cluster(("a",) * LEAVING + ("b",))
    start_wide_tasks(cluster)
    start_on(cluster, "small", f"w{LEAVING - 1}", count=1, needs=TINY)
    cluster.run(500)
    cluster.operator.evacuate("a")
    cluster.run(MOVE_MS)
    assert "small.0.0.0" in cluster.workers[f"w{LEAVING}"].runs
    assert not cluster.ground_truth.violations


def test_steps_of_which_none_may_be_missed_do_not_keep_others_from_leaving_in_time() -> None:
    cluster = make_cluster()
    for number in range(MAX_STEPS_MOVED_PER_TICK):
        kept = start_on(cluster, f"kept{number}", "w0", count=2, max_unavailable=1, needs=TINY)
        kept[1].not_before = cluster.clock.now() + 60_000
        cluster.cell.state.stop_run(next(iter(kept[1].runs.values())), "test")
        cluster.run(300)
    start_on(cluster, "small", "w1", count=1)
    cluster.run(500)
    cluster.workers["w0"].drain()
    cluster.workers["w1"].drain()
    cluster.run(MOVE_MS)
    assert cluster.workers["w0"].runs
    assert not cluster.workers["w1"].runs
    assert not cluster.ground_truth.violations
