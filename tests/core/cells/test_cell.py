"""One cell under one owner, on the emulator."""

import pytest

from quetzallock_core.cells.cell import EXPIRY_MARGIN_MS
from quetzallock_core.cells.models import QueuePolicy, Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, SMALL, make_step, submit_plain


@pytest.fixture
def cluster() -> CellCluster:
    """Return a cluster of four workers whose inventories were read."""
    cluster = CellCluster()
    cluster.run(500)
    return cluster


def test_job_is_accepted_only_when_the_journal_holds_it(cluster: CellCluster) -> None:
    cluster.is_store_up = False
    ticket = cluster.submit(make_spec("a", make_step()), POLICY, {0: 300})
    cluster.run(1_000)
    assert ticket not in cluster.owner.outcomes
    assert not cluster.ground_truth.starts
    cluster.is_store_up = True
    cluster.run(300)
    assert cluster.owner.outcomes[ticket] == "accepted"


def test_new_job_can_be_withdrawn_while_nothing_is_written(cluster: CellCluster) -> None:
    """A withdrawn job must leave nothing behind: its id can be submitted again."""
    cell = cluster.cell
    cluster.owner.is_writing = True
    ticket = cluster.submit(make_spec("a", make_step()), POLICY, {0: 300})
    batch = cell.batches.pop_batch()
    cell.batches.withdraw_new_jobs(batch)
    cluster.run_effects(cluster.owner)
    assert cluster.owner.outcomes[ticket] == "refused"
    assert not [record for record in batch.records if record.key == "job/a"]
    cluster.owner.is_writing = False
    again = cluster.submit(make_spec("a", make_step()), POLICY, {0: 300})
    cluster.run(1_500)
    assert cluster.owner.outcomes[again] == "accepted"
    assert cell.find_state("a") == "completed"


def test_withdrawal_leaves_jobs_outside_the_batch_undecided(cluster: CellCluster) -> None:
    """A withdrawal refuses all calls for the jobs of its batch, and no others."""
    cell = cluster.cell
    cluster.owner.is_writing = True
    cluster.submit(make_spec("a", make_step()), POLICY, {0: 300})
    batch = cell.batches.pop_batch()
    later = cluster.submit(make_spec("b", make_step()), POLICY, {0: 300})
    repeated = cluster.submit(make_spec("a", make_step()), POLICY, {0: 300})
    cell.batches.withdraw_new_jobs(batch)
    cell.batches.handle_durable(batch)
    cluster.run_effects(cluster.owner)
    assert later not in cluster.owner.outcomes
    assert cluster.owner.outcomes[repeated] == "refused"
    assert cell.find_state("b") is None


def test_steps_run_in_order_and_the_job_completes(cluster: CellCluster) -> None:
    spec = make_spec("a", make_step(3), make_step(2, after=(0,)))
    cluster.submit(spec, POLICY, {0: 300, 1: 200})
    cluster.run(300)
    assert cluster.cell.find_state("a") == "running"
    cluster.run(1_500)
    assert cluster.cell.find_state("a") == "completed"
    assert len(cluster.ground_truth.starts) == 5
    assert not cluster.ground_truth.violations


def test_repeated_submission_is_one_job(cluster: CellCluster) -> None:
    spec = submit_plain(cluster, "a")
    cluster.run(2_000)
    ticket = cluster.submit(spec, POLICY, {0: 500})
    cluster.run(1_000)
    assert cluster.owner.outcomes[ticket] == "accepted"
    assert len(cluster.ground_truth.starts) == 2


def test_no_worker_is_overcommitted(cluster: CellCluster) -> None:
    for number in range(12):
        submit_plain(cluster, f"job{number}", count=10, duration_ms=400)
    cluster.run(8_000)
    refused = cluster.cell.state.counters["start.refused"]
    assert refused == 0
    assert all(cluster.cell.find_state(f"job{n}") == "completed" for n in range(12))


def test_failing_job_fails_after_its_attempts(cluster: CellCluster) -> None:
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: 100}, fails=True)
    cluster.run(3_000)
    assert cluster.cell.find_state("a") == "failed"
    assert len(cluster.ground_truth.starts) == POLICY.max_attempts
    assert not cluster.ground_truth.violations


def test_end_of_a_run_of_a_cancelled_job_is_processed(cluster: CellCluster) -> None:
    """It leaves the job cancelled and frees the worker for tasks of other jobs."""
    submit_plain(cluster, "a", count=4, duration_ms=300)
    cluster.run(280)
    cluster.cancel("a")
    cluster.run(1_000)
    assert cluster.cell.find_state("a") == "cancelled"
    assert not cluster.cell.state.workers["w0"].runs
    submit_plain(cluster, "b")
    cluster.run(2_000)
    assert cluster.cell.find_state("b") == "completed"


def test_cancelled_job_stops_and_never_starts_again(cluster: CellCluster) -> None:
    submit_plain(cluster, "a", count=4, duration_ms=10_000)
    cluster.run(500)
    ticket = cluster.cancel("a")
    cluster.run(1_000)
    assert cluster.owner.outcomes[ticket] == "cancelled"
    assert not cluster.ground_truth.list_running("a")
    cluster.run(5_000)
    assert len(cluster.ground_truth.starts) == 4


def test_end_after_the_cancellation_opens_no_further_step(cluster: CellCluster) -> None:
    """A task may still end as done between the cancellation and its stop, and complete its step."""
    for worker in cluster.workers.values():
        worker.stop_ms = 2_000
    spec = make_spec("a", make_step(3), make_step(4, after=(0,)))
    cluster.submit(spec, POLICY, {0: 600, 1: 500})
    cluster.run(300)
    cluster.cancel("a")
    cluster.run(4_000)
    assert len(cluster.ground_truth.starts) == 3
    assert cluster.cell.find_state("a") == "cancelled"


def test_lasting_task_restarts_after_its_worker_has_crashed(cluster: CellCluster) -> None:
    cluster.submit(make_spec("a", make_step(3, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    victim = cluster.ground_truth.starts[0][3]
    cluster.workers[victim].crash()
    cluster.run(8_000)
    assert len(cluster.ground_truth.list_running("a")) == 3
    assert not cluster.ground_truth.violations


def test_tasks_restart_after_another_worker_has_taken_the_address(
    cluster: CellCluster,
) -> None:
    """The answer of another worker at the address shows that the boot is over.

    Its tasks restart at once rather than after the lease.
    """
    cluster.submit(make_spec("a", make_step(3, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    victim = cluster.ground_truth.starts[0][3]
    cluster.workers[victim].crash()
    cluster.workers[victim].is_replaced = True
    cluster.cell.state.stop_run(
        next(iter(cluster.cell.state.workers[victim].runs.values())), "test"
    )
    cluster.run(2_500)
    assert len(cluster.ground_truth.list_running("a")) == 3
    assert victim not in cluster.cell.state.workers


def test_restarted_worker_runs_no_earlier_task(cluster: CellCluster) -> None:
    submit_plain(cluster, "a", count=8, duration_ms=3_000)
    cluster.run(500)
    cluster.workers["w0"].crash()
    cluster.run(300)
    cluster.revive("w0")
    cluster.run(9_000)
    assert cluster.cell.find_state("a") == "completed"
    assert not cluster.ground_truth.violations


def test_limit_per_worker_is_kept(cluster: CellCluster) -> None:
    cluster.submit(make_spec("a", make_step(8, max_per_worker=2)), POLICY, {0: 2_000})
    cluster.run(1_000)
    workers = [worker for _, _, _, worker in cluster.ground_truth.starts]
    assert all(workers.count(worker) <= 2 for worker in set(workers))
    assert len(workers) == 8


def test_gang_starts_whole_or_not_at_all() -> None:
    cluster = CellCluster(workers=2, capacity=Resources(4_000, 8_000, 0))
    cluster.run(500)
    submit_plain(cluster, "a", count=2, duration_ms=1_500)
    cluster.run(200)
    cluster.submit(
        make_spec("b", make_step(4, gang=True, needs=Resources(2_000, 2_000, 0))), POLICY, {0: 500}
    )
    cluster.run(800)
    assert not cluster.ground_truth.list_running("b")
    cluster.run(3_000)
    assert cluster.cell.find_state("b") == "completed"
    runs = {run for _, task, run, _ in cluster.ground_truth.starts if task.startswith("b")}
    assert len(runs) == 1


def test_repetitions_start_when_they_are_due(cluster: CellCluster) -> None:
    first = cluster.read_unix_ms() + 1_000
    spec = make_spec("a", make_step(1), repetitions=3, first_run_ms=first, interval_ms=1_000)
    cluster.submit(spec, POLICY, {0: 200})
    cluster.run(900)
    assert not cluster.ground_truth.starts
    cluster.run(4_000)
    assert cluster.cell.find_state("a") == "completed"
    times = [at for at, _, _, _ in cluster.ground_truth.starts]
    assert [round((at - times[0]) / 1_000) for at in times] == [0, 1, 2]


def test_worker_that_fails_all_tasks_does_not_fail_jobs(cluster: CellCluster) -> None:
    cluster.workers["w0"].mode = "grey"
    for number in range(10):
        submit_plain(cluster, f"job{number}", count=4, duration_ms=300)
        cluster.run(150)
    cluster.run(4_000)
    states = [cluster.cell.find_state(f"job{number}") for number in range(10)]
    assert states == ["completed"] * 10


def test_hanging_task_restarts_on_another_worker(cluster: CellCluster) -> None:
    cluster.workers["w0"].mode = "hang"
    for number in range(4):
        submit_plain(cluster, f"job{number}", count=4, duration_ms=500)
    cluster.run(8_000)
    assert all(cluster.cell.find_state(f"job{n}") == "completed" for n in range(4))
    assert not cluster.ground_truth.violations


def submit_interfering_tasks(cluster: CellCluster, count: int) -> None:
    """Submit serving tasks on all workers, and best-effort tasks that interfere with them."""
    big = Resources(3_000, 4_000, 0)
    serving = make_step(4, lasting=True, image="desk", target_ms=20, needs=big, max_per_worker=1)
    cluster.submit(make_spec("s", serving), POLICY, {0: None})
    for worker in cluster.workers.values():
        worker.interference["desk", "noisy"] = 15.0
    cluster.run(500)
    needs = Resources(2_000, 2_000, 0)
    best_effort = make_step(count, fills=True, image="noisy", saves=True, needs=needs)
    policy = QueuePolicy("n", "pool", 2, 2, 2.0, 1_000, 1)
    cluster.submit(make_spec("n", best_effort), policy, {0: 1_500})


def measure_time_over_target(cluster: CellCluster, ms: int) -> int:
    """Return the longest time in ms that a serving task is above its target within `ms` ms."""
    over_target_ms: dict[str, int] = {}
    longest = 0
    for _ in range(ms // 50):
        cluster.run(50)
        for worker in cluster.workers.values():
            for name, run in worker.runs.items():
                is_over_target = run.target_ms and run.mean_tail > run.target_ms
                over_target_ms[name] = over_target_ms.get(name, 0) + 50 if is_over_target else 0
                longest = max(longest, over_target_ms[name])
    return longest


def test_best_effort_task_is_migrated_from_a_serving_task_over_target(cluster: CellCluster) -> None:
    submit_interfering_tasks(cluster, count=12)
    assert measure_time_over_target(cluster, 40_000) < cluster.bounds.harm_ms
    assert cluster.cell.find_state("n") == "completed"
    assert cluster.cell.state.interference.get_coefficient("desk", "noisy") > 1.5


def test_lost_pace_order_is_repeated(cluster: CellCluster) -> None:
    """The answer to a pace order is not used: a lost order shows only in the processor use.

    The test checks the effect: no serving task stays above its target for `harm_ms`.
    """
    cluster.pace_loss_rate = 0.5
    submit_interfering_tasks(cluster, count=12)
    assert measure_time_over_target(cluster, 40_000) < cluster.bounds.harm_ms


def test_no_best_effort_task_joins_a_serving_task_over_target(cluster: CellCluster) -> None:
    """Checks the effect: while further jobs arrive, no serving task stays above its target."""
    submit_interfering_tasks(cluster, count=60)
    for number in range(12):
        needs = Resources(1_000, 1_000, 0)
        step = make_step(8, fills=True, image="noisy", needs=needs)
        cluster.submit(make_spec(f"n{number}", step), POLICY, {0: 400})
        assert measure_time_over_target(cluster, 1_000) < cluster.bounds.harm_ms
    assert measure_time_over_target(cluster, 20_000) < cluster.bounds.harm_ms


def test_unanswered_start_is_neither_duplicated_nor_lost(cluster: CellCluster) -> None:
    """An unanswered order may have been executed, so it is repeated at the same worker."""
    cluster.order_loss_rate = 0.3
    for number in range(6):
        submit_plain(cluster, f"job{number}", count=4, duration_ms=400)
    cluster.run(8_000)
    cluster.order_loss_rate = 0.0
    cluster.run(6_000)
    assert all(cluster.cell.find_state(f"job{n}") == "completed" for n in range(6))
    assert not cluster.ground_truth.violations


def test_pending_counts_jobs_of_which_no_task_has_started() -> None:
    cluster = CellCluster(workers=1, capacity=SMALL)
    cluster.run(500)
    for number in range(3):
        submit_plain(cluster, f"job{number}", count=1, duration_ms=5_000)
    cluster.run(500)
    assert cluster.cell.count_pending("queue") == 2
    assert cluster.cell.count_pending("other") == 0


def test_job_whose_id_an_expired_job_had_is_known_to_the_next_owner() -> None:
    """Guards against a new job that is deleted with the records of the old one."""
    cluster = CellCluster(workers=1)
    cluster.run(500)
    submit_plain(cluster, "a", duration_ms=100)
    cluster.run(2_000)
    assert cluster.cell.find_state("a") == "completed"
    cluster.clock.advance(cluster.bounds.status_ms + EXPIRY_MARGIN_MS)
    cluster.cell.tick()
    submit_plain(cluster, "a", duration_ms=30_000)
    cluster.run(500)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(500)
    assert cluster.cell.find_state("a") == "running"


def test_expired_job_leaves_no_progress_behind() -> None:
    """Guards against progress of an expired job that a later job with its id would get."""
    cluster = CellCluster(workers=1)
    cluster.run(500)
    submit_plain(cluster, "a", duration_ms=100)
    cluster.run(2_000)
    state = cluster.cell.state
    state.dirty[state.jobs["a"]] = None
    cluster.clock.advance(cluster.bounds.status_ms + EXPIRY_MARGIN_MS)
    cluster.cell.tick()
    cluster.run(500)
    assert not [key for key in cluster.journal if key.endswith("/a")]
