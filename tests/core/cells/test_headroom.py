"""CPU that is kept free of new long-running tasks for short tasks."""

import pytest

from quetzallock_core.cells.headroom import MAX_HEADROOM_SHARE
from quetzallock_core.cells.models import QueuePolicy, Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, SERVING_POLICY, make_step

CAPACITY = Resources(8_000, 64_000, 0)
WORKERS = 8
TASK = Resources(2_000, 2_000, 0)
SECONDS = 20
LOW_PRIORITY = QueuePolicy("low", "pool", 2, 2, 2.0, 1_000, 1)


def submit_lasting(cluster: CellCluster, job: str, count: int) -> None:
    """Submit a long-running job of `count` tasks."""
    spec = make_spec(job, make_step(count, lasting=True, needs=TASK))
    cluster.submit(spec, SERVING_POLICY, {0: None})


def play_growing_load(cluster: CellCluster, policy: QueuePolicy) -> list[str]:
    """Let long-running work grow beyond all CPU beside short jobs, and return the short ones."""
    cluster.run(500)
    short = []
    for second in range(SECONDS):
        submit_lasting(cluster, f"lasting{second}", count=3)
        for number in range(2):
            job = f"short{second}-{number}"
            short.append(job)
            cluster.submit(make_spec(job, make_step(4, needs=TASK)), policy, {0: 400})
        cluster.run(1_000)
    return short


def count_running_lasting(cluster: CellCluster) -> int:
    """Return the number of long-running tasks at work."""
    return len(cluster.ground_truth.list_running("lasting"))


def test_growing_long_running_work_does_not_starve_short_jobs() -> None:
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    short = play_growing_load(cluster, POLICY)
    cluster.run(2_000)
    states = [cluster.cell.find_state(job) for job in short]
    assert states.count("completed") == len(short)
    assert not cluster.ground_truth.violations


def test_short_jobs_keep_at_most_a_share_of_the_pool_from_long_running_work() -> None:
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    play_growing_load(cluster, POLICY)
    all_tasks = WORKERS * CAPACITY.cpu // TASK.cpu
    assert count_running_lasting(cluster) >= (1 - MAX_HEADROOM_SHARE) * all_tasks


def test_short_jobs_of_a_lower_priority_keep_nothing_from_long_running_work() -> None:
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    play_growing_load(cluster, LOW_PRIORITY)
    assert count_running_lasting(cluster) == WORKERS * CAPACITY.cpu // TASK.cpu


def test_without_short_jobs_long_running_work_gets_all_cpu() -> None:
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    submit_lasting(cluster, "lasting0", count=WORKERS * CAPACITY.cpu // TASK.cpu)
    cluster.run(1_000)
    assert count_running_lasting(cluster) == WORKERS * CAPACITY.cpu // TASK.cpu


def test_long_running_task_of_a_lost_worker_restarts_although_headroom_is_kept() -> None:
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    play_growing_load(cluster, POLICY)
    before = count_running_lasting(cluster)
    cluster.kill_owner()
    cluster.take_over()
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.run(6_000)
    assert count_running_lasting(cluster) >= before


def test_long_running_task_starts_in_capacity_that_is_reserved_for_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its reservation is a commitment of its own, which must not count as other tasks' CPU."""
    cluster = CellCluster(workers=1, capacity=CAPACITY)
    cluster.run(500)
    state = cluster.cell.state
    monkeypatch.setattr(state.headroom, "may_start_all", lambda _tasks: False)
    submit_lasting(cluster, "lasting0", count=1)
    cluster.run(300)
    assert count_running_lasting(cluster) == 0
    task = state.jobs["lasting0"].list_tasks()[0]
    expires_at = cluster.clock.now() + 5_000
    state.reservations.reserve_for_waiting(task, state.workers["w0"], (), expires_at)
    cluster.run(300)
    assert count_running_lasting(cluster) == 1


def test_best_effort_task_that_lasts_is_not_held_back() -> None:
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    play_growing_load(cluster, POLICY)
    step = make_step(1, lasting=True, fills=True, image="f", needs=Resources(500, 500, 0))
    cluster.submit(make_spec("best-effort", step), SERVING_POLICY, {0: None})
    cluster.run(300)
    assert cluster.ground_truth.list_running("best-effort")


def test_long_running_gang_leaves_headroom_as_a_whole() -> None:
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    play_growing_load(cluster, POLICY)
    small = Resources(100, 100, 0)
    step = make_step(20, lasting=True, gang=True, needs=small)
    cluster.submit(make_spec("gang", step), SERVING_POLICY, {0: None})
    cluster.run(300)
    assert not cluster.ground_truth.list_running("gang")
