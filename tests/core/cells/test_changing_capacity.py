"""Workers whose capacity changes while they run, and that start whatever they are told."""

from random import Random

import pytest

from quetzallock_core.cells.models import QueuePolicy, Resources, StepSpec
from quetzallock_core.cells.orders import Decision
from quetzallock_standins.emulator import CellCluster, EmulatedWorker
from quetzallock_standins.emulator.cluster import make_spec

from .common import BEST_EFFORT_POLICY, POLICY, SERVING_POLICY, SMALL, make_step

ONE_TASK = SMALL
TWO_TASKS = SMALL + SMALL
FOUR_TASKS = TWO_TASKS + TWO_TASKS
NOTHING = Resources()
LONG_MS = 60_000
NEXT_TICK_MS = 150
MAX_ENTRY_DELAY_MS = 400
SETTLE_MS = 8_000
"""Longer than any order may be on its way and still be carried out."""
SOAK_SEEDS = range(6)
SOAK_ROUNDS = 25
SOAK_JOBS_AT_ONCE = 6
SOAK_CAPACITIES = (NOTHING, ONE_TASK, TWO_TASKS, FOUR_TASKS)
SOAK_POLICY = QueuePolicy("queue", "pool", 0, 50, 2.0, 1_000, 1)


def make_cluster(workers: int = 2, capacity: Resources = TWO_TASKS, seed: int = 1) -> CellCluster:
    """Return a cluster whose workers start whatever they are told."""
    cluster = CellCluster(workers=workers, capacity=capacity, seed=seed)
    for worker in cluster.workers.values():
        worker.guards_capacity = False
    cluster.run(500)
    return cluster


def find_ordered_on(cluster: CellCluster) -> EmulatedWorker:
    """Return the worker on which the owner has ordered the only run."""
    (worker,) = (w.id for w in cluster.cell.state.workers.values() if w.runs)
    return cluster.workers[worker]


def submit_with_late_order(cluster: CellCluster, *steps: StepSpec, duration_ms: float) -> None:
    """Submit job `a`, of whose start orders only the first copies are late."""
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec("a", *steps), POLICY, {0: duration_ms})
    cluster.run(50)
    cluster.order_delay_rate = 0.0


def test_emulated_worker_that_guards_nothing_records_the_overload() -> None:
    cluster = make_cluster(workers=1)
    cluster.cell.state.workers["w0"].committed = Resources(-9_000, -9_000, 0)
    cluster.submit(make_spec("a", make_step(3)), POLICY, {0: LONG_MS})
    cluster.run(500)
    assert len(cluster.workers["w0"].runs) == 3
    assert [line for line in cluster.ground_truth.violations if "over its capacity" in line]


def test_start_order_is_not_repeated_to_a_worker_that_has_shrunk_below_it() -> None:
    cluster = make_cluster()
    submit_with_late_order(cluster, make_step(1), duration_ms=500)
    cluster.resize(find_ordered_on(cluster).id, NOTHING)
    cluster.run(2_500)
    assert cluster.cell.find_state("a") == "completed"
    cluster.run(SETTLE_MS)
    assert not cluster.ground_truth.violations


def test_task_does_not_wait_forever_for_a_stop_that_gets_no_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = make_cluster()
    monkeypatch.setattr(cluster, "_send", lambda *_: None)
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: LONG_MS})
    cluster.run(50)
    shrunk = find_ordered_on(cluster)
    cluster.resize(shrunk.id, NOTHING)
    cluster.run(SETTLE_MS)
    assert find_ordered_on(cluster) is not shrunk


@pytest.mark.parametrize("seed", range(4))
def test_task_does_not_run_twice_when_a_repeated_start_is_refused_and_the_first_is_late(
    seed: int,
) -> None:
    cluster = CellCluster(workers=2, capacity=ONE_TASK, seed=seed)
    cluster.run(500)
    submit_with_late_order(cluster, make_step(1), duration_ms=LONG_MS)
    worker = find_ordered_on(cluster).id
    cluster.resize(worker, NOTHING, entry_delay_ms=LONG_MS)
    cluster.run(1_500)
    cluster.resize(worker, ONE_TASK)
    cluster.run(SETTLE_MS)
    assert cluster.ground_truth.list_running("a")
    assert not cluster.ground_truth.violations


def test_late_order_of_a_finished_run_is_not_carried_out_by_the_next_boot() -> None:
    cluster = make_cluster(workers=1)
    submit_with_late_order(cluster, make_step(1), duration_ms=200)
    cluster.run(1_200)
    assert cluster.cell.find_state("a") == "completed"
    cluster.workers["w0"].crash()
    cluster.run(200)
    cluster.revive("w0")
    cluster.run(SETTLE_MS)
    assert not cluster.ground_truth.violations


def test_best_effort_task_does_not_join_a_worker_over_its_shrunk_capacity() -> None:
    cluster = make_cluster(workers=1, capacity=Resources(9_000, 64_000, 0))
    serving = make_step(3, needs=Resources(3_000, 2_000, 0), lasting=True, target_ms=20)
    cluster.submit(make_spec("serving", serving), SERVING_POLICY, {0: None})
    cluster.run(1_000)
    cluster.resize("w0", Resources(8_000, 64_000, 0))
    cluster.run(1_000)
    fills = make_step(1, needs=Resources(1_000, 1_000, 0), fills=True, image="f")
    cluster.submit(make_spec("fills", fills), BEST_EFFORT_POLICY, {0: LONG_MS})
    cluster.run(3_000)
    assert not cluster.ground_truth.violations
    assert len(cluster.workers["w0"].runs) == 3


def test_gang_is_given_up_as_a_whole_where_one_worker_has_shrunk_below_it() -> None:
    cluster = make_cluster(workers=2, capacity=ONE_TASK)
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec("a", make_step(2, gang=True)), POLICY, {0: LONG_MS})
    cluster.run(50)
    cluster.order_delay_rate = 0.0
    cluster.resize("w0", NOTHING)
    cluster.run(2_500)
    assert not cluster.ground_truth.list_running("a")
    cluster.resize("w0", ONE_TASK)
    cluster.run(1_000)
    assert len(cluster.ground_truth.list_running("a")) == 2
    assert not cluster.ground_truth.violations


def test_running_tasks_go_on_and_none_joins_them_under_the_next_owner_of_a_shrunk_worker() -> None:
    cluster = make_cluster(workers=1, capacity=FOUR_TASKS)
    cluster.submit(make_spec("a", make_step(3)), POLICY, {0: 6_000})
    cluster.run(500)
    cluster.resize("w0", ONE_TASK)
    cluster.run(1_000)
    cluster.kill_owner()
    cluster.take_over()
    cluster.submit(make_spec("b", make_step(1)), POLICY, {0: 500})
    cluster.run(3_000)
    assert len(cluster.workers["w0"].runs) == 3
    assert cluster.cell.find_state("b") == "queued"
    cluster.run(6_000)
    assert cluster.cell.find_state("a") == "completed"
    assert cluster.cell.find_state("b") == "completed"
    assert not cluster.ground_truth.violations


def test_run_that_is_being_stopped_still_counts_on_a_shrunk_worker() -> None:
    cluster = make_cluster(workers=1)
    cluster.workers["w0"].stop_ms = 1_000
    cluster.submit(make_spec("a", make_step(2)), POLICY, {0: LONG_MS})
    cluster.run(500)
    cluster.resize("w0", ONE_TASK)
    cluster.run(1_000)
    cluster.cancel("a")
    cluster.submit(make_spec("b", make_step(1)), POLICY, {0: 500})
    cluster.run(900)
    assert not cluster.ground_truth.list_running("b")
    cluster.run(1_500)
    assert cluster.cell.find_state("b") == "completed"
    assert not cluster.ground_truth.violations


def test_moving_task_does_not_start_on_a_target_that_has_shrunk_meanwhile() -> None:
    cluster = make_cluster(workers=2, capacity=ONE_TASK)
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    source = find_ordered_on(cluster)
    source.stop_ms = 1_500
    source.drain()
    cluster.run(NEXT_TICK_MS)
    (target,) = (worker for worker in cluster.workers.values() if worker is not source)
    assert cluster.cell.state.workers[target.id].reservations
    cluster.resize(target.id, NOTHING)
    cluster.run(3_000)
    assert not cluster.ground_truth.list_running("a")
    cluster.resize(target.id, ONE_TASK)
    cluster.run(500)
    assert cluster.ground_truth.list_running("a")
    assert not cluster.ground_truth.violations


def test_copy_of_a_straggler_does_not_start_on_a_shrunk_worker() -> None:
    cluster = make_cluster(workers=2, capacity=ONE_TASK)
    step = make_step(1, speculative=True)
    cluster.submit(make_spec("a", step), POLICY, {0: LONG_MS})
    cluster.run(100)
    running_on = find_ordered_on(cluster)
    (other,) = (worker for worker in cluster.workers.values() if worker is not running_on)
    cluster.resize(other.id, NOTHING)
    cluster.run(5_000)
    assert not other.runs
    cluster.resize(other.id, ONE_TASK)
    cluster.run(500)
    assert len(other.runs) == 1
    assert not cluster.ground_truth.violations


def test_waiting_task_starts_as_soon_as_a_worker_has_grown() -> None:
    cluster = make_cluster(workers=1, capacity=ONE_TASK)
    cluster.submit(make_spec("a", make_step(2)), POLICY, {0: LONG_MS})
    cluster.run(500)
    assert len(cluster.workers["w0"].runs) == 1
    cluster.resize("w0", TWO_TASKS)
    cluster.run(NEXT_TICK_MS)
    assert len(cluster.workers["w0"].runs) == 2


def test_change_of_capacity_is_logged_once_with_what_is_committed() -> None:
    cluster = make_cluster(workers=1)
    cluster.submit(make_spec("a", make_step(2)), POLICY, {0: LONG_MS})
    cluster.run(500)
    cluster.resize("w0", ONE_TASK)
    cluster.workers["w0"].publish_capacity()
    cluster.cell.handle_entries(cluster._list_entries())
    assert cluster.cell.pop_effects() == [
        Decision(
            "worker.resized",
            {
                "worker": "w0",
                "before": "2000/4000/0",
                "after": "1000/2000/0",
                "committed": "2000/4000/0",
                "runs": 2,
            },
        )
    ]
    cluster.run(2_000)
    assert cluster.cell.state.counters["worker.resized"] == 1


def submit_random_job(cluster: CellCluster, job: str, rng: Random) -> None:
    """Submit a job of one of several kinds."""
    kind = rng.choice(("plain", "gang", "fills", "speculative", "lasting"))
    is_lasting = kind == "lasting"
    flags = {} if kind == "plain" else {kind: True}
    step = make_step(
        rng.randrange(1, 5),
        image=kind,
        saves=rng.random() < 0.5,
        target_ms=20 if is_lasting else 0,
        **flags,
    )
    duration_ms = rng.randrange(100, 2_500)
    cluster.submit(make_spec(job, step), SOAK_POLICY, {0: None if is_lasting else duration_ms})


def disturb(cluster: CellCluster, rng: Random) -> None:
    """Change a worker's capacity, and at times replace the owner or restart the worker."""
    cluster.order_delay_rate = rng.choice((0.0, 0.2, 0.5))
    cluster.order_loss_rate = rng.choice((0.0, 0.2))
    cluster.busy_rate = rng.choice((0.0, 0.2))
    cluster.answer_delay_rate = rng.choice((0.0, 0.4))
    worker = rng.choice(list(cluster.workers.values()))
    worker.guards_capacity = rng.random() < 0.3
    cluster.resize(worker.id, rng.choice(SOAK_CAPACITIES), rng.randrange(MAX_ENTRY_DELAY_MS))
    cluster.run(rng.randrange(50, 900))
    draw = rng.random()
    if draw < 0.1:
        cluster.kill_owner()
        cluster.take_over()
    elif draw < 0.2:
        cluster.hand_over()
    elif draw < 0.3:
        worker.crash()
        cluster.run(200)
        cluster.revive(worker.id)


@pytest.mark.parametrize("seed", SOAK_SEEDS)
def test_no_start_overloads_workers_of_changing_capacity_under_faults(seed: int) -> None:
    cluster = make_cluster(workers=4, capacity=FOUR_TASKS, seed=seed)
    rng = Random(seed)
    for number in range(SOAK_ROUNDS):
        submit_random_job(cluster, f"j{number}", rng)
        disturb(cluster, rng)
        if number >= SOAK_JOBS_AT_ONCE and rng.random() < 0.5:
            cluster.cancel(f"j{rng.randrange(number + 1)}")
            cluster.cancel(f"j{number - SOAK_JOBS_AT_ONCE}")
    cluster.order_delay_rate = cluster.order_loss_rate = 0.0
    cluster.busy_rate = cluster.answer_delay_rate = 0.0
    for worker in cluster.workers:
        cluster.resize(worker, FOUR_TASKS)
    for job in list(cluster.cell.state.jobs.values()):
        if job.spec.steps[0].lasting:
            cluster.cancel(job.id)
    cluster.run(30_000)
    assert not cluster.ground_truth.violations
    assert not cluster.cancellations.list_running()
    assert [job.id for job in cluster.cell.state.jobs.values() if not job.is_over] == []
