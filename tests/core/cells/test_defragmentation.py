"""Moves of long-running tasks for wide tasks that fit on no worker: bounded, and safe."""

from typing import Final

import pytest

from quetzallock_core.cells import defragmentation, packing
from quetzallock_core.cells.defragmentation import (
    MAX_MOVES_IN_FLIGHT,
    MIN_RUN_AGE_MS,
    RESERVATION_MS,
    Defragmentation,
    choose_moves,
)
from quetzallock_core.cells.jobs import Run, Task
from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.policies import PACK, SPREAD
from quetzallock_core.cells.scheduler import Scheduler
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import CAPACITY, POLICY, make_step

WORKERS: Final = 3
LASTING: Final = Resources(2_500, 4_000, 0)
"""Four on each worker leave pieces of 6 cores."""
JOBS: Final = 4
WIDE_CPU: Final = 8_000
"""Fits on a worker after one move."""


def make_cluster(
    monkeypatch: pytest.MonkeyPatch,
    jobs: int = JOBS,
    policy: str = PACK,
    age_ms: int = MIN_RUN_AGE_MS,
    **fields: object,
) -> CellCluster:
    """Return a cluster of evenly loaded workers, by default with runs that may be moved."""
    monkeypatch.setattr(packing, "choose_policy", lambda *_: SPREAD)
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    for number in range(jobs):
        step = make_step(WORKERS * JOBS // jobs, needs=LASTING, lasting=True, **fields)
        cluster.submit(make_spec(f"lasting{number}", step), POLICY, {0: None})
        cluster.run(500)
    cluster.run(age_ms)
    assert {worker.free.cpu for worker in cluster.cell.state.workers.values()} == {6_000}
    monkeypatch.setattr(packing, "choose_policy", lambda *_: policy)
    return cluster


def submit_wide(
    cluster: CellCluster, job: str = "wide", cpu: int = WIDE_CPU, count: int = 1, ms: int = 500
) -> None:
    """Submit a job of tasks wider than the free pieces."""
    step = make_step(count, needs=Resources(cpu, 4_000, 0), estimate_ms=ms)
    cluster.submit(make_spec(job, step), POLICY, {0: ms})


def count_lasting(cluster: CellCluster, jobs: int = JOBS) -> int:
    """Return how many long-running tasks run."""
    return sum(len(cluster.ground_truth.list_running(f"lasting{number}")) for number in range(jobs))


def run_until_moved(cluster: CellCluster) -> None:
    """Run until the first task is moved."""
    for _ in range(300):
        cluster.run(10)
        if cluster.cell.state.counters["run.moved"]:
            break
    assert cluster.cell.state.counters["run.moved"] == 1


def record_moves(monkeypatch: pytest.MonkeyPatch, cluster: CellCluster) -> list[tuple[str, int]]:
    """Return a list that grows by the task and time of each move."""
    moves: list[tuple[str, int]] = []
    move = Defragmentation._move

    def record(self: Defragmentation, run: Run, waiting: Task) -> None:
        moves.append((run.task.name, cluster.clock.now()))
        move(self, run, waiting)

    monkeypatch.setattr(Defragmentation, "_move", record)
    return moves


def test_wide_task_that_fits_nowhere_starts_after_few_moves(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without moves the task would wait until a long-running job ends."""
    cluster = make_cluster(monkeypatch)
    submit_wide(cluster)
    cluster.run(4_000)
    state = cluster.cell.state
    assert state.jobs["wide"].is_over
    assert state.counters["run.moved"] == 1
    assert count_lasting(cluster) == WORKERS * JOBS
    assert not state.reservations.by_task
    assert not cluster.ground_truth.violations


def test_load_of_long_running_tasks_is_right_after_moves_for_another(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A reservation that grows as runs end would leave a wrong load, by which tasks are packed."""
    cluster = make_cluster(monkeypatch)
    step = make_step(1, needs=Resources(WIDE_CPU, 4_000, 0), lasting=True)
    cluster.submit(make_spec("wide", step), POLICY, {0: None})
    cluster.run(4_000)
    state = cluster.cell.state
    assert state.counters["run.moved"] == 1
    assert len(cluster.ground_truth.list_running("wide")) == 1
    for worker in state.workers.values():
        assert worker.lasting_cpu == sum(run.task.spec.needs.cpu for run in worker.runs.values())
        assert worker.lasting_count == len(worker.runs)


def test_several_tasks_are_moved_where_one_is_not_enough(monkeypatch: pytest.MonkeyPatch) -> None:
    """A plan of a single move leaves the widest tasks waiting."""
    cluster = make_cluster(monkeypatch)
    submit_wide(cluster, cpu=10_500)
    cluster.run(5_000)
    assert cluster.cell.state.jobs["wide"].is_over
    assert cluster.cell.state.counters["run.moved"] == 2
    assert not cluster.ground_truth.violations


def test_freed_piece_is_kept_for_the_waiting_task(monkeypatch: pytest.MonkeyPatch) -> None:
    """Tasks that come later would take the freed piece, and the moves would be for nothing."""
    cluster = make_cluster(monkeypatch)
    cluster.latency_ms = 100
    submit_wide(cluster)
    run_until_moved(cluster)
    for number in range(20):
        submit_wide(cluster, f"narrow{number}", 2_500, 4, 3_000)
        cluster.run(100)
    assert cluster.cell.state.jobs["wide"].is_over
    assert count_lasting(cluster) == WORKERS * JOBS
    assert cluster.cell.state.counters["run.moved"] == 1


def test_moves_of_a_step_keep_its_max_unavailable(monkeypatch: pytest.MonkeyPatch) -> None:
    """Moves for several waiting tasks would interrupt more of a service than it may miss."""
    cluster = make_cluster(monkeypatch, jobs=1, max_unavailable=1)
    cluster.latency_ms = 300
    submit_wide(cluster, count=2, ms=3_000)
    lowest = WORKERS * JOBS
    for _ in range(200):
        cluster.run(50)
        lowest = min(lowest, count_lasting(cluster, 1))
    assert cluster.cell.state.counters["run.moved"] >= 1
    assert lowest == WORKERS * JOBS - 1
    assert not cluster.ground_truth.violations


def test_step_without_a_limit_has_one_move_at_a_time(monkeypatch: pytest.MonkeyPatch) -> None:
    """A step that names no limit would lose several tasks at once to one waiting task."""
    cluster = make_cluster(monkeypatch, jobs=1)
    cluster.latency_ms = 300
    submit_wide(cluster, cpu=10_500)
    submit_wide(cluster, "second", count=2, ms=3_000)
    lowest = WORKERS * JOBS
    for _ in range(100):
        cluster.run(50)
        lowest = min(lowest, count_lasting(cluster, 1))
    assert cluster.cell.state.counters["run.moved"] >= 1
    assert lowest == WORKERS * JOBS - 1


@pytest.mark.parametrize("delay_ms", [0, 50, 100, 150, 250, 400])
def test_owner_killed_during_a_move_loses_and_repeats_nothing(
    delay_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A new owner knows no reservations: it must not start a task twice, or forget one."""
    cluster = make_cluster(monkeypatch)
    submit_wide(cluster)
    run_until_moved(cluster)
    cluster.run(delay_ms)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(5_000)
    assert count_lasting(cluster) == WORKERS * JOBS
    cluster.run(MIN_RUN_AGE_MS)
    assert cluster.cell.state.jobs["wide"].is_over
    assert count_lasting(cluster) == WORKERS * JOBS
    assert not cluster.ground_truth.violations


def test_nothing_moves_where_a_worker_has_room(monkeypatch: pytest.MonkeyPatch) -> None:
    """A task that waits for another cause than room must not interrupt any service."""
    cluster = make_cluster(monkeypatch)
    submit_wide(cluster, "first", cpu=1_000)
    cluster.run(1_000)
    monkeypatch.setattr(Scheduler, "start_waiting_tasks", lambda _: None)
    submit_wide(cluster, cpu=6_000)
    cluster.run(8_000)
    assert cluster.cell.state.placing.names == {"pool": PACK}
    assert cluster.cell.state.jobs["wide"].is_stored
    assert cluster.cell.state.counters["run.moved"] == 0


def test_nothing_moves_for_a_task_that_a_short_wait_serves(monkeypatch: pytest.MonkeyPatch) -> None:
    """A move takes as long as the end of the short run, and interrupts a service."""
    cluster = make_cluster(monkeypatch)
    cluster.resize("w0", Resources(18_000, 64_000, 0))
    cluster.run(500)
    submit_wide(cluster, "before", 8_000, ms=1_800)
    cluster.run(200)
    submit_wide(cluster)
    cluster.run(4_000)
    assert cluster.cell.state.jobs["wide"].is_over
    assert cluster.cell.state.counters["run.moved"] == 0


def test_nothing_moves_in_a_pool_that_is_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    """The next long-running tasks would fill the freed piece of a pool that is not packed."""
    cluster = make_cluster(monkeypatch, policy=SPREAD)
    cluster.cell.state.placing.names["other pool"] = PACK
    submit_wide(cluster)
    cluster.run(4_000)
    assert cluster.cell.state.counters["run.moved"] == 0


def test_capacity_of_a_moved_task_is_kept_until_it_starts_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A waiting task that is placed first would take it, and the service would lose a task."""
    cluster = make_cluster(monkeypatch)
    submit_wide(cluster)
    run_until_moved(cluster)
    state = cluster.cell.state
    moved, kept = next(entry for entry in state.reservations.by_task.items() if entry[1].moved_run)
    start = Scheduler.start_waiting_tasks
    monkeypatch.setattr(Scheduler, "start_waiting_tasks", lambda _: None)
    cluster.run(1_000)
    assert moved.is_waiting
    assert state.reservations.by_task[moved] is kept
    assert moved.name in kept.worker.reservations
    monkeypatch.setattr(Scheduler, "start_waiting_tasks", start)
    cluster.run(500)
    assert moved.name in kept.worker.runs
    assert not cluster.ground_truth.violations


def test_kept_capacity_expires(monkeypatch: pytest.MonkeyPatch) -> None:
    """Capacity that is kept for tasks that do not start would be lost to all others."""
    cluster = make_cluster(monkeypatch)
    submit_wide(cluster)
    run_until_moved(cluster)
    monkeypatch.setattr(Scheduler, "start_waiting_tasks", lambda _: None)
    cluster.run(RESERVATION_MS - 500)
    assert len(cluster.cell.state.reservations.by_task) == 2
    cluster.run(1_000)
    assert not cluster.cell.state.reservations.by_task


def test_young_runs_are_not_moved(monkeypatch: pytest.MonkeyPatch) -> None:
    """A task that has just started, after a move or a fault, would be interrupted again."""
    cluster = make_cluster(monkeypatch, age_ms=MIN_RUN_AGE_MS - 10_000)
    submit_wide(cluster)
    cluster.run(7_000)
    assert cluster.cell.state.counters["run.moved"] == 0
    cluster.run(5_000)
    assert cluster.cell.state.counters["run.moved"] == 1


def test_no_task_is_moved_again_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    """Wide tasks that keep coming would move the same tasks to and fro."""
    cluster = make_cluster(monkeypatch)
    moves = record_moves(monkeypatch, cluster)
    for number in range(25):
        submit_wide(cluster, f"wide{number}", count=3, ms=1_000)
        cluster.run(2_000)
    assert len(moves) > 1
    last: dict[str, int] = {}
    for task, at in moves:
        assert at - last.get(task, -MIN_RUN_AGE_MS) >= MIN_RUN_AGE_MS
        last[task] = at
    assert not cluster.ground_truth.violations


def test_moves_in_the_cell_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Many waiting tasks would interrupt many services at once."""
    assert MAX_MOVES_IN_FLIGHT < WORKERS * JOBS
    monkeypatch.setattr(defragmentation, "MAX_MOVES_IN_FLIGHT", 1)
    cluster = make_cluster(monkeypatch)
    submit_wide(cluster, cpu=10_500)
    cluster.run(4_000)
    assert cluster.cell.state.counters["run.moved"] == 0
    assert cluster.cell.state.counters["defragmentation.limited"] > 0


def test_fewest_and_smallest_runs_are_chosen(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each superfluous or larger move interrupts more work than the waiting task needs."""
    cluster = CellCluster(workers=1, capacity=CAPACITY)
    cluster.run(500)
    for cpu in (1_000, 2_000, 3_000, 4_000):
        step = make_step(1, needs=Resources(cpu, 0, 0), lasting=True)
        cluster.submit(make_spec(f"l{cpu}", step), POLICY, {0: None})
    cluster.run(1_000)
    runs = list(cluster.cell.state.workers["w0"].runs.values())

    def choose(cpu: int) -> list[int] | None:
        chosen = choose_moves(Resources(cpu, 0, 0), Resources(1_000, 0, 0), runs)
        return None if chosen is None else [run.task.spec.needs.cpu for run in chosen]

    assert choose(2_500) == [2_000]
    assert choose(6_000) == [4_000, 1_000]
    assert choose(9_500) == [4_000, 3_000, 2_000]
    assert choose(10_500) is None
