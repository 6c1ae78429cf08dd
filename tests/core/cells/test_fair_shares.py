"""Queues of one priority share the capacity, on the emulator."""

from collections import Counter
from random import Random

import pytest

from quetzallock_core.cells.contests import (
    MAX_QUEUE_WAIT_MS,
    REPORT_INTERVAL_MS,
    Contest,
    FairShares,
    WaitingStep,
)
from quetzallock_core.cells.jobs import StepRun
from quetzallock_core.cells.models import QueuePolicy, Resources
from quetzallock_core.cells.shares import ShareKey
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import make_step

FLOOD = QueuePolicy("flood", "pool", 0, 3, 2.0, 600_000, 1)
OTHER = QueuePolicy("other", "pool", 0, 3, 2.0, 600_000, 1)
ONE_CORE = Resources(1_000, 1_000, 0)
CORES = 32
TASK_MS = 500
REACTION_MS = 200
"""Two inventory polls, an answer and a tick of the emulator."""


def make_cluster() -> CellCluster:
    """Return a cluster of `CORES` cores whose workers are known."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    return cluster


def submit(
    cluster: CellCluster,
    job: str,
    policy: QueuePolicy,
    count: int,
    duration_ms: float | None = TASK_MS,
    **fields: object,
) -> None:
    """Submit a job of one step of tasks that need a core."""
    estimate_ms = int(duration_ms or 0)
    step = make_step(count, needs=ONE_CORE, estimate_ms=estimate_ms, **fields)
    cluster.submit(make_spec(job, step), policy, {0: duration_ms})


def flood(cluster: CellCluster, prefix: str, policy: QueuePolicy, jobs: int = 100) -> None:
    """Submit jobs of small tasks that take `CORES` cores for `jobs` / 5 seconds."""
    for number in range(jobs):
        submit(cluster, f"{prefix}{number}", policy, count=13)


def list_starts(cluster: CellCluster, prefix: str, since: int = 0) -> list[int]:
    """Return the times of the starts of the tasks of jobs with this prefix."""
    starts = cluster.ground_truth.starts
    return [at for at, task, _, _ in starts if task.startswith(prefix) and at >= since]


def count_starts(cluster: CellCluster, since: int) -> Counter[str]:
    """Return the number of starts by the first letter of the job."""
    return Counter(task[0] for at, task, _, _ in cluster.ground_truth.starts if at >= since)


def test_flooding_queue_delays_another_by_no_more_than_its_running_tasks() -> None:
    """The other's jobs have the lower value density, and would wait for the whole flood."""
    cluster = make_cluster()
    flood(cluster, "f", FLOOD)
    cluster.run(2_000)
    for number in range(8):
        submitted_at = cluster.clock.now()
        submit(cluster, f"o{number}", OTHER, count=8, duration_ms=1_000)
        cluster.run(1_000)
        starts = list_starts(cluster, f"o{number}.")
        assert len(starts) == 8
        assert max(starts) - submitted_at <= TASK_MS + REACTION_MS
    assert cluster.cell.state.counters["queue.over_share"] >= 1
    assert not cluster.ground_truth.violations


def test_queue_of_late_jobs_is_not_starved_by_one_that_floods_with_new_jobs() -> None:
    """Late jobs come after all others, so that shares within one lateness do not help them."""
    cluster = make_cluster()
    late = QueuePolicy("late", "pool", 0, 3, 0.01, 0, 1)
    flood(cluster, "f", FLOOD)
    cluster.run(1_000)
    submitted_at = cluster.clock.now()
    submit(cluster, "late", late, count=4, duration_ms=1_000)
    cluster.run(8_000)
    starts = list_starts(cluster, "late")
    assert len(starts) == 4
    assert max(starts) - submitted_at <= MAX_QUEUE_WAIT_MS + TASK_MS + REACTION_MS


def test_share_of_a_queue_does_not_put_its_late_jobs_before_jobs_that_can_be_in_time() -> None:
    """Late jobs have little value left, and would make the jobs of the other queue late as well."""
    cluster = make_cluster()
    flood(cluster, "f", FLOOD)
    cluster.run(1_000)
    submitted_at = cluster.clock.now()
    submit(cluster, "late", QueuePolicy("late", "pool", 0, 3, 0.01, 0, 1), count=4)
    cluster.run(MAX_QUEUE_WAIT_MS - REACTION_MS)
    assert not list_starts(cluster, "late", submitted_at)
    assert list_starts(cluster, "f", submitted_at)


@pytest.mark.parametrize("weight", [1.0, 3.0, 0.25])
def test_queues_that_flood_share_by_weight(weight: float) -> None:
    """The weight would have no effect, or one queue would take all by its value density."""
    cluster = make_cluster()
    weighted = QueuePolicy("other", "pool", 0, 3, 2.0, 600_000, 1, weight)
    flood(cluster, "f", FLOOD)
    flood(cluster, "o", weighted)
    cluster.run(2_000)
    since = cluster.clock.now()
    cluster.run(10_000)
    starts = count_starts(cluster, since)
    assert starts["o"] / starts["f"] == pytest.approx(weight, rel=0.15)


def test_share_counts_the_work_of_tasks_not_their_number() -> None:
    """A queue of long tasks would get a multiple of the capacity of one of short tasks."""
    cluster = make_cluster()
    flood(cluster, "f", FLOOD)
    for number in range(40):
        submit(cluster, f"o{number}", OTHER, count=13, duration_ms=4 * TASK_MS)
    cluster.run(6_000)
    since = cluster.clock.now()
    cluster.run(12_000)
    starts = count_starts(cluster, since)
    assert starts["f"] / starts["o"] == pytest.approx(4.0, rel=0.25)


def test_best_effort_queues_share_by_the_processor_they_ask_for() -> None:
    """They commit no processor, and would count as having received nothing."""
    cluster = make_cluster()
    fields = {"fills": True, "image": "i"}
    for number in range(60):
        submit(cluster, f"f{number}", FLOOD, count=20, **fields)
        submit(cluster, f"o{number}", OTHER, count=20, duration_ms=2 * TASK_MS, **fields)
    cluster.run(3_000)
    since = cluster.clock.now()
    cluster.run(8_000)
    starts = count_starts(cluster, since)
    assert starts["f"] / starts["o"] == pytest.approx(2.0, rel=0.3)


def test_queue_gets_all_capacity_once_a_heavier_one_has_nothing_to_run() -> None:
    """A share that is reserved for a queue without tasks would be idle."""
    cluster = make_cluster()
    heavy = QueuePolicy("other", "pool", 0, 3, 2.0, 600_000, 1, weight=20.0)
    flood(cluster, "f", FLOOD)
    flood(cluster, "o", heavy, jobs=10)
    cluster.run(2_000)
    starts = count_starts(cluster, 500)
    assert starts["f"] <= starts["o"] / 2
    cluster.run(1_500)
    since = cluster.clock.now()
    cluster.run(4_000)
    starts = count_starts(cluster, since)
    assert starts["o"] == 0
    assert starts["f"] >= 0.9 * CORES * 4_000 / (TASK_MS + REACTION_MS)


def test_idle_queue_that_returns_with_a_flood_does_not_starve_the_other() -> None:
    """It has received nothing for long, and would take all capacity until it has caught up."""
    cluster = make_cluster()
    for number in range(150):
        submit(cluster, f"f{number}", FLOOD, count=13)
    cluster.run(10_000)
    since = cluster.clock.now()
    for number in range(150):
        submit(cluster, f"o{number}", OTHER, count=12)
    cluster.run(6_000)
    for begin in range(since + TASK_MS, since + 5_000, 500):
        window = [at for at in list_starts(cluster, "f", begin) if at < begin + 1_500]
        others = [at for at in list_starts(cluster, "o", begin) if at < begin + 1_500]
        assert len(window) >= 0.2 * (len(window) + len(others))


def test_shares_survive_an_owner_change() -> None:
    """A queue that floods would be served as if it had received nothing, at each change."""
    cluster = make_cluster()
    cluster.order_loss_rate = 0.05
    flood(cluster, "f", FLOOD)
    cluster.run(8_000)
    key = ShareKey("flood", lasting=False)
    before = cluster.cell.state.shares.compute_level(key, 1.0, cluster.clock.now())
    cluster.kill_owner()
    cluster.take_over()
    after = cluster.cell.state.shares.compute_level(key, 1.0, cluster.clock.now())
    assert after == pytest.approx(before, rel=0.4)
    flood(cluster, "o", OTHER, jobs=20)
    cluster.run(20_000)
    assert not cluster.ground_truth.violations


def test_long_running_steps_of_one_queue_do_not_starve_those_of_another() -> None:
    """They are placed first come, first served: a queue with many would take all that is freed."""
    cluster = make_cluster()
    for number in range(10):
        submit(cluster, f"f{number}", FLOOD, 16, duration_ms=None, lasting=True)
    cluster.run(500)
    submit(cluster, "o", OTHER, 8, duration_ms=None, lasting=True)
    cluster.run(300)
    assert not list_starts(cluster, "o")
    cluster.cancel("f0")
    cluster.run(1_500)
    assert len(list_starts(cluster, "o")) == 8


def test_report_of_a_queue_over_its_share_comes_once_a_second_at_most() -> None:
    """A queue is held back in each round of placement; a report of each would flood the log."""
    cluster = make_cluster()
    flood(cluster, "f", FLOOD)
    for number in range(30):
        submit(cluster, f"o{number}", OTHER, 20, duration_ms=1_500)
    cluster.run(6_000)
    count = cluster.cell.state.counters["queue.over_share"]
    assert 1 <= count <= 2 * (6_000 // REPORT_INTERVAL_MS + 1)


def test_starts_that_workers_refuse_count_for_no_queue() -> None:
    """The queue would be held back for service that it has not received."""
    cluster = make_cluster()
    for worker in cluster.workers:
        cluster.resize(worker, Resources(0, 0, 0), entry_delay_ms=60_000)
    submit(cluster, "f", FLOOD, count=20)
    cluster.run(2_000)
    assert cluster.cell.state.counters["start.refused"] >= 20
    level = cluster.cell.state.shares.compute_level(ShareKey("flood", False), 1.0, 2_500)
    assert level <= CORES * TASK_MS


def test_order_is_that_of_the_policy_where_each_priority_has_one_queue(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Deployments without two queues of one priority must see no change."""
    arrange = FairShares.arrange
    queues_waiting: list[int] = []

    def check(
        self: FairShares, candidates: list[WaitingStep], now: int
    ) -> list[tuple[StepRun, Contest[StepRun] | None]]:
        expected = [(item.step, None) for item in sorted(candidates, key=lambda item: item.key)]
        queues_waiting.append(len({item.step.job.policy.queue for item in candidates}))
        result = arrange(self, candidates, now)
        assert result == expected
        return result

    monkeypatch.setattr(FairShares, "arrange", check)
    rng = Random(4)
    cluster = make_cluster()
    policies = [
        QueuePolicy("a", "pool", 0, 3, 2.2, 2_500, 1),
        QueuePolicy("b", "pool", 1, 3, 0.5, 0, 1),
        QueuePolicy("c", "pool", 2, 3, 2.0, 1_000, 1, weight=9.0),
        QueuePolicy("d", "another pool", 0, 3, 2.0, 1_000, 1),
    ]
    for number in range(60):
        lasting = number % 10 == 0
        duration_ms = None if lasting else rng.randrange(200, 1_500)
        submit(
            cluster, f"j{number}", policies[number % 4], 9, duration_ms=duration_ms, lasting=lasting
        )
        cluster.run(100)
    cluster.run(5_000)
    assert max(queues_waiting) == len(policies)
    assert not cluster.cell.state.counters["queue.over_share"]
