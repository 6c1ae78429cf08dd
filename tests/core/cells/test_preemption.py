"""Tasks of a high priority that find the workers full of tasks of a lower one."""

from collections import Counter
from dataclasses import replace

import pytest

from quetzallock_core.cells.const import (
    MAX_LEASE_MS,
    ORDER_TIMEOUT_MS,
    UNREACHABLE_TIMEOUT_MS,
)
from quetzallock_core.cells.models import QueuePolicy, Resources
from quetzallock_core.cells.preemption import (
    PREEMPTED_PAUSE_MS,
    PROTECTED_MS,
    RESERVATION_MS,
    SEARCH_PAUSE_MS,
    WAIT_LIMIT_MS,
    VictimSearch,
)
from quetzallock_core.cells.preemption_limits import (
    CELL_INTERVAL_MS,
    MAX_PREEMPTIONS_PER_INTERVAL,
    MAX_QUEUE_SHARE,
    QUEUE_INTERVAL_MS,
)
from quetzallock_core.cells.records import CrashRecord
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import (
    INVENTORY_POLL_INTERVAL_MS,
    TICK_INTERVAL_MS,
    make_spec,
)

from .common import make_step

HIGH = QueuePolicy("high", "pool", 0, 3, 2.0, 1_000, 1)
LOW = QueuePolicy("low", "pool", 2, 3, 2.0, 1_000, 1)
SAME = QueuePolicy("same", "pool", 0, 3, 2.0, 1_000, 1)
CAPACITY = Resources(16_000, 16_000, 0)
"""Memory for eight small tasks."""
PER_WORKER = 8
LOW_MS = 12_000
STOP_MS = 400
START_BOUND_MS = WAIT_LIMIT_MS + STOP_MS + 2 * (TICK_INTERVAL_MS + INVENTORY_POLL_INTERVAL_MS)
"""The wait, the stop of the victims, and a tick and a poll before and after it."""


def make_full_cluster(
    policy: QueuePolicy = LOW, workers: int = 2, seed: int = 1, **fields: object
) -> CellCluster:
    """Return a cluster of which one job of long tasks has taken all memory for a second."""
    cluster = CellCluster(workers=workers, capacity=CAPACITY, seed=seed)
    cluster.run(500)
    kind = {"fills": True, "saves": True, "estimate_ms": LOW_MS, **fields}
    step = make_step(PER_WORKER * workers, **kind)
    duration_ms = None if step.lasting else LOW_MS
    cluster.submit(make_spec("low", step), policy, {0: duration_ms})
    cluster.run(1_000)
    assert len(cluster.ground_truth.list_running("low")) == PER_WORKER * workers
    return cluster


def submit_high(
    cluster: CellCluster, count: int = 1, duration_ms: float = 2_000, job: str = "high"
) -> None:
    """Submit a job of a high priority."""
    cluster.submit(make_spec(job, make_step(count)), HIGH, {0: duration_ms})


def list_preempted(cluster: CellCluster) -> list[tuple[int, str]]:
    """Return time and task of each run that has ended by a stop."""
    return [(at, task) for at, task, _, how in cluster.ground_truth.ends if how == "stopped"]


def count_preemptions(cluster: CellCluster) -> int:
    """Return the number of runs that all owners have preempted."""
    return sum(owner.cell.state.counters["run.preempted"] for owner in cluster.owners)


def check_all_done(cluster: CellCluster, wait_ms: int = 2 * LOW_MS) -> None:
    """Check that all jobs complete, nothing ran twice and no capacity stays reserved."""
    cluster.run(wait_ms)
    assert all(job.state == "completed" for job in cluster.cell.state.jobs.values())
    assert not cluster.ground_truth.violations
    assert not cluster.cell.state.reservations.by_task
    assert all(worker.is_idle for worker in cluster.cell.state.workers.values())


def test_high_priority_does_not_wait_for_memory_that_low_priority_fills() -> None:
    cluster = make_full_cluster()
    submit_high(cluster, count=3)
    cluster.run(WAIT_LIMIT_MS - 10)
    assert not count_preemptions(cluster)
    cluster.run(START_BOUND_MS - WAIT_LIMIT_MS + 10)
    assert len(cluster.ground_truth.list_running("high")) == 3
    assert len(list_preempted(cluster)) == 3
    assert not cluster.cell.state.reservations.by_task
    check_all_done(cluster)


def test_processor_committed_to_lower_priority_is_freed() -> None:
    needs = Resources(2_000, 100, 0)
    cluster = make_full_cluster(workers=4, fills=False, needs=needs)
    cluster.submit(make_spec("high", make_step(needs=Resources(4_000, 100))), HIGH, {0: 1_000})
    cluster.run(START_BOUND_MS)
    assert len(cluster.ground_truth.list_running("high")) == 2
    assert len(list_preempted(cluster)) == 4
    check_all_done(cluster)


def test_best_effort_runs_are_not_preempted_for_processor_that_they_do_not_hold() -> None:
    cluster = make_full_cluster()
    needs = Resources(17_000, 100, 0)
    cluster.submit(make_spec("high", make_step(needs=needs)), HIGH, {0: 1_000})
    cluster.run(2_000)
    assert not count_preemptions(cluster)


def test_equal_priorities_never_preempt() -> None:
    cluster = make_full_cluster(SAME)
    submit_high(cluster, count=8)
    cluster.run(5_000)
    assert not count_preemptions(cluster)
    assert not list_preempted(cluster)


@pytest.mark.parametrize(
    "fields",
    [
        {"lasting": True, "fills": False},
        {"lasting": True},
        {"target_ms": 100, "fills": False},
        {"gang": True, "fills": False},
    ],
    ids=["lasting", "lasting best effort", "serving", "gang"],
)
def test_runs_that_must_not_stop_are_never_preempted(fields: dict[str, object]) -> None:
    cluster = make_full_cluster(**fields)
    submit_high(cluster, count=8)
    cluster.run(5_000)
    assert not count_preemptions(cluster)
    assert len(cluster.ground_truth.list_running("low")) == 2 * PER_WORKER


def test_runs_near_their_end_are_not_preempted() -> None:
    cluster = make_full_cluster()
    cluster.run(LOW_MS - 2_000)
    submit_high(cluster)
    cluster.run(1_500)
    assert not count_preemptions(cluster)
    assert cluster.ground_truth.list_running("high")


def test_crash_suspects_are_not_preempted() -> None:
    cluster = make_full_cluster()
    for task in cluster.cell.state.jobs["low"].list_tasks():
        task.crashes = (CrashRecord("gone", 1),)
    submit_high(cluster)
    cluster.run(2_000)
    assert not count_preemptions(cluster)


def test_tasks_that_may_run_on_an_unverified_worker_are_not_preempted() -> None:
    cluster = make_full_cluster()
    cluster.workers["w1"].is_isolated = True
    cluster.kill_owner()
    cluster.take_over()
    submit_high(cluster)
    cluster.run(2_000)
    assert not count_preemptions(cluster)


def test_runs_that_write_checkpoints_go_before_younger_ones_that_lose_more_work() -> None:
    low = make_step(4, fills=True, saves=True, estimate_ms=2 * LOW_MS)
    cluster = CellCluster(workers=1, capacity=CAPACITY)
    cluster.run(500)
    cluster.submit(make_spec("saving", low), LOW, {0: LOW_MS})
    cluster.run(3_000)
    cluster.submit(make_spec("plain", replace(low, saves=False)), LOW, {0: LOW_MS})
    cluster.run(1_000)
    submit_high(cluster)
    cluster.run(START_BOUND_MS)
    ((_, task),) = list_preempted(cluster)
    assert task.startswith("saving")


def test_a_preempted_task_resumes_and_is_not_preempted_again_for_seconds() -> None:
    cluster = make_full_cluster()
    for number in range(10):
        submit_high(cluster, count=4, duration_ms=1_500, job=f"high{number}")
        cluster.run(1_500)
    starts = {(task, run): at for at, task, run, _ in cluster.ground_truth.starts}
    ends: dict[str, int] = {}
    assert list_preempted(cluster)
    for at, task, run, how in cluster.ground_truth.ends:
        if task in ends:
            assert starts[task, run] - ends[task] >= PREEMPTED_PAUSE_MS - STOP_MS - TICK_INTERVAL_MS
            assert how == "done" or at - starts[task, run] >= PROTECTED_MS
        if how == "stopped":
            ends[task] = at
    check_all_done(cluster, 3 * LOW_MS)
    worked: Counter[str] = Counter()
    for at, task, run, _ in cluster.ground_truth.ends:
        worked[task] += at - starts[task, run]
    assert max(worked[task] for task in ends) < LOW_MS + 1_000


def make_single_cluster() -> CellCluster:
    """Return a cluster that has room for one task at a time, with a low one running."""
    cluster = CellCluster(workers=1, capacity=Resources(1_000, 2_000, 0))
    cluster.run(500)
    step = make_step(1, fills=True, saves=True, estimate_ms=2 * LOW_MS)
    cluster.submit(make_spec("low", step), LOW, {0: LOW_MS})
    cluster.run(1_000)
    return cluster


def test_the_only_task_in_the_way_is_not_preempted_over_and_over() -> None:
    cluster = make_single_cluster()
    submit_high(cluster, duration_ms=300)
    cluster.run(3_000)
    submit_high(cluster, duration_ms=300, job="next")
    cluster.run(2 * PROTECTED_MS)
    runs = [run for _, task, run, _ in cluster.ground_truth.starts if task == "low.0.0.0"]
    starts = {run: at for at, _, run, _ in cluster.ground_truth.starts}
    ends = {run: at for at, _, run, _ in cluster.ground_truth.ends}
    assert len(runs) == 3
    assert ends[runs[1]] - starts[runs[1]] >= PROTECTED_MS
    check_all_done(cluster)


def test_a_preempted_task_does_not_restart_at_once_although_its_place_is_free() -> None:
    cluster = make_single_cluster()
    submit_high(cluster)
    while not count_preemptions(cluster):
        cluster.run(5)
    preempted_at = cluster.clock.now()
    cluster.cancel("high")
    cluster.run(2 * PREEMPTED_PAUSE_MS)
    assert cluster.ground_truth.starts[-1][1] == "low.0.0.0"
    assert cluster.ground_truth.starts[-1][0] >= preempted_at + PREEMPTED_PAUSE_MS
    cluster.run(2 * LOW_MS)
    assert cluster.cell.state.jobs["low"].state == "completed"


def test_capacity_that_was_freed_first_goes_to_no_other_task() -> None:
    """Of two victims, the second takes longer to stop."""
    cluster = make_full_cluster(workers=6)
    cluster.submit(make_spec("other", make_step(8, fills=True)), LOW, {0: LOW_MS})
    step = make_step(1, needs=Resources(1_000, 4_000))
    cluster.submit(make_spec("high", step), HIGH, {0: 2_000})
    cluster.run(START_BOUND_MS - STOP_MS)
    stopping = [
        run
        for worker in cluster.workers.values()
        for run in worker.runs.values()
        if run.stops_at is not None
    ]
    assert len(stopping) == 2
    stopping[1].stops_at += 2 * STOP_MS
    cluster.run(3 * STOP_MS)
    assert not cluster.ground_truth.list_running("other")
    assert len(cluster.ground_truth.list_running("high")) == 1


def test_search_for_victims_pauses_after_none_were_found(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = make_full_cluster(lasting=True)
    searches = []
    list_choices = VictimSearch.list_choices
    monkeypatch.setattr(
        VictimSearch,
        "list_choices",
        lambda *given: searches.append(given) or list_choices(*given),
    )
    submit_high(cluster, count=5)
    cluster.run(3_000)
    assert 0 < len(searches) <= 3_000 // SEARCH_PAUSE_MS + 1


@pytest.mark.parametrize("delay_ms", [360, 480, 700, 900])
def test_owner_lost_at_any_point_of_a_preemption_runs_nothing_twice(delay_ms: int) -> None:
    """The delays lie before the stop, before its end, before the start and after it."""
    cluster = make_full_cluster()
    submit_high(cluster, count=3)
    cluster.run(delay_ms)
    cluster.kill_owner()
    cluster.run(300)
    cluster.take_over()
    cluster.run(MAX_LEASE_MS)
    assert any(task.startswith("high") for _, task, _, _ in cluster.ground_truth.starts)
    check_all_done(cluster)


def test_late_stop_orders_neither_lose_nor_double_a_task() -> None:
    for seed in range(4):
        cluster = make_full_cluster(seed=seed)
        cluster.order_delay_rate = cluster.order_loss_rate = 0.4
        submit_high(cluster, count=3, job="high")
        cluster.run(RESERVATION_MS)
        cluster.order_delay_rate = cluster.order_loss_rate = 0.0
        cluster.run(ORDER_TIMEOUT_MS + START_BOUND_MS)
        assert (
            len(cluster.ground_truth.list_running("high"))
            + cluster.cell.state.jobs["high"].list_tasks()[0].step.done
            == 3
        )
        check_all_done(cluster, 3 * LOW_MS)


@pytest.mark.parametrize("fault", ["cancel", "crash", "drain", "isolate", "shrink"])
def test_reservation_ends_with_its_job_and_its_worker(fault: str) -> None:
    cluster = make_full_cluster()
    submit_high(cluster)
    while not cluster.cell.state.reservations.by_task:
        cluster.run(5)
    (reservation,) = cluster.cell.state.reservations.by_task.values()
    worker = cluster.workers[reservation.worker.id]
    if fault == "cancel":
        cluster.cancel("high")
    elif fault == "crash":
        worker.crash()
        cluster.schedule(1_000, lambda: cluster.revive(worker.id))
    elif fault == "drain":
        worker.drain()
    elif fault == "isolate":
        worker.is_isolated = True
    else:
        cluster.resize(worker.id, Resources(16_000, 10_000, 0))
    cluster.run(UNREACHABLE_TIMEOUT_MS + 2 * TICK_INTERVAL_MS)
    assert reservation not in cluster.cell.state.reservations.by_task.values()
    worker.is_isolated = False
    cluster.run(3 * LOW_MS)
    assert cluster.cell.state.jobs["high"].is_over
    assert cluster.cell.state.jobs["low"].state == "completed"
    assert not cluster.ground_truth.violations


def test_reservation_of_a_task_that_cannot_start_ends_in_time() -> None:
    cluster = make_full_cluster()
    cluster.order_delay_rate = 1.0
    submit_high(cluster)
    cluster.run(WAIT_LIMIT_MS + 2 * TICK_INTERVAL_MS)
    (reservation,) = cluster.cell.state.reservations.by_task.values()
    cluster.run(RESERVATION_MS + TICK_INTERVAL_MS)
    assert reservation not in cluster.cell.state.reservations.by_task.values()


def count_most_within(times: list[int], interval_ms: int) -> int:
    """Return the largest number of `times` within an interval."""
    return max(sum(0 <= other - at < interval_ms for other in times) for at in times)


def test_flood_of_high_priority_stays_within_the_limits() -> None:
    workers = 40
    cluster = make_full_cluster(workers=workers)
    times: list[int] = []
    cluster.submit(make_spec("high", make_step(200)), HIGH, {0: 3_000})
    for _ in range(3 * QUEUE_INTERVAL_MS // 10):
        before = count_preemptions(cluster)
        cluster.run(10)
        times += [cluster.clock.now()] * (count_preemptions(cluster) - before)
    assert cluster.cell.state.counters["preemption.limited"]
    assert count_most_within(times, CELL_INTERVAL_MS - 10) == MAX_PREEMPTIONS_PER_INTERVAL


def test_flood_of_high_priority_leaves_each_queue_most_of_its_tasks() -> None:
    cluster = make_full_cluster(workers=2)
    times: list[int] = []
    cluster.submit(make_spec("high", make_step(50)), HIGH, {0: 30_000})
    for _ in range(2 * QUEUE_INTERVAL_MS // 10):
        before = count_preemptions(cluster)
        cluster.run(10)
        times += [cluster.clock.now()] * (count_preemptions(cluster) - before)
    assert cluster.cell.state.counters["preemption.limited"]
    limit = int(MAX_QUEUE_SHARE * 2 * PER_WORKER)
    assert count_most_within(times, QUEUE_INTERVAL_MS - 10) == limit


def test_preemption_for_one_step_may_close_the_headroom_for_the_next() -> None:
    cluster = CellCluster(workers=2, capacity=Resources(4_000, 16_000, 0))
    cluster.run(500)
    low = make_step(2, needs=Resources(1_000, 1_000, 0), estimate_ms=60_000)
    cluster.submit(make_spec("low", low), LOW, {0: 60_000})
    backlog = make_step(40, required_label="missing")
    cluster.submit(make_spec("backlog", backlog), HIGH, {0: 500})
    cluster.run(500)
    for job in ("a", "b"):
        step = make_step(1, needs=Resources(3_500, 4_000, 0), lasting=True)
        cluster.submit(make_spec(job, step), HIGH, {0: None})
    cluster.run(3_000)
    running = [cluster.ground_truth.list_running(job) for job in ("a", "b")]
    assert running == [["a.0.0.0"], []]
