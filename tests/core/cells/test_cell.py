"""One cell under one owner, on the emulator."""

import pytest

from quetzallock_core.cells.models import QueuePolicy, Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, SMALL, make_step, submit_plain


@pytest.fixture
def cells() -> CellCluster:
    """Return a cluster of four workers whose inventories were read."""
    cluster = CellCluster()
    cluster.run(500)
    return cluster


def test_job_is_accepted_only_when_the_journal_holds_it(cells: CellCluster) -> None:
    cells.is_store_up = False
    ticket = cells.submit(make_spec("a", make_step()), POLICY, {0: 300})
    cells.run(1_000)
    assert ticket not in cells.owner.outcomes
    assert not cells.ground_truth.starts
    cells.is_store_up = True
    cells.run(300)
    assert cells.owner.outcomes[ticket] == "accepted"


def test_new_job_can_be_withdrawn_while_nothing_is_written(cells: CellCluster) -> None:
    """A withdrawn job must leave nothing behind: its id can be submitted again."""
    cell = cells.cell
    cells.owner.is_writing = True
    ticket = cells.submit(make_spec("a", make_step()), POLICY, {0: 300})
    batch = cell.batches.pop_batch()
    cell.batches.withdraw_new_jobs(batch)
    cells.run_effects(cells.owner)
    assert cells.owner.outcomes[ticket] == "refused"
    assert not [record for record in batch.records if record.key == "job/a"]
    cells.owner.is_writing = False
    again = cells.submit(make_spec("a", make_step()), POLICY, {0: 300})
    cells.run(1_500)
    assert cells.owner.outcomes[again] == "accepted"
    assert cell.find_state("a") == "completed"


def test_withdrawal_leaves_jobs_outside_the_batch_undecided(cells: CellCluster) -> None:
    """A withdrawal refuses all calls for the jobs of its batch, and no others."""
    cell = cells.cell
    cells.owner.is_writing = True
    cells.submit(make_spec("a", make_step()), POLICY, {0: 300})
    batch = cell.batches.pop_batch()
    later = cells.submit(make_spec("b", make_step()), POLICY, {0: 300})
    repeated = cells.submit(make_spec("a", make_step()), POLICY, {0: 300})
    cell.batches.withdraw_new_jobs(batch)
    cell.batches.handle_durable(batch)
    cells.run_effects(cells.owner)
    assert later not in cells.owner.outcomes
    assert cells.owner.outcomes[repeated] == "refused"
    assert cell.find_state("b") is None


def test_steps_run_in_order_and_the_job_completes(cells: CellCluster) -> None:
    spec = make_spec("a", make_step(3), make_step(2, after=(0,)))
    cells.submit(spec, POLICY, {0: 300, 1: 200})
    cells.run(300)
    assert cells.cell.find_state("a") == "running"
    cells.run(1_500)
    assert cells.cell.find_state("a") == "completed"
    assert len(cells.ground_truth.starts) == 5
    assert not cells.ground_truth.violations


def test_repeated_submission_is_one_job(cells: CellCluster) -> None:
    spec = submit_plain(cells, "a")
    cells.run(2_000)
    ticket = cells.submit(spec, POLICY, {0: 500})
    cells.run(1_000)
    assert cells.owner.outcomes[ticket] == "accepted"
    assert len(cells.ground_truth.starts) == 2


def test_no_worker_is_overcommitted(cells: CellCluster) -> None:
    for number in range(12):
        submit_plain(cells, f"job{number}", count=10, duration_ms=400)
    cells.run(8_000)
    refused = cells.cell.state.counters["start.refused"]
    assert refused == 0
    assert all(cells.cell.find_state(f"job{n}") == "completed" for n in range(12))


def test_failing_job_fails_after_its_attempts(cells: CellCluster) -> None:
    cells.submit(make_spec("a", make_step(1)), POLICY, {0: 100}, fails=True)
    cells.run(3_000)
    assert cells.cell.find_state("a") == "failed"
    assert len(cells.ground_truth.starts) == POLICY.max_attempts
    assert not cells.ground_truth.violations


def test_end_of_a_run_of_a_cancelled_job_is_processed(cells: CellCluster) -> None:
    """An end that was ignored would keep the resources of its run committed."""
    submit_plain(cells, "a", count=4, duration_ms=300)
    cells.run(280)
    cells.cancel("a")
    cells.run(1_000)
    assert cells.cell.find_state("a") == "cancelled"
    assert not cells.cell.state.workers["w0"].runs
    submit_plain(cells, "b")
    cells.run(2_000)
    assert cells.cell.find_state("b") == "completed"


def test_cancelled_job_stops_and_never_starts_again(cells: CellCluster) -> None:
    submit_plain(cells, "a", count=4, duration_ms=10_000)
    cells.run(500)
    ticket = cells.cancel("a")
    cells.run(1_000)
    assert cells.owner.outcomes[ticket] == "cancelled"
    assert not cells.ground_truth.list_running("a")
    cells.run(5_000)
    assert len(cells.ground_truth.starts) == 4


def test_end_after_the_cancellation_opens_no_further_step(cells: CellCluster) -> None:
    """A task may still end as done between the cancellation and its stop, and complete its step."""
    for worker in cells.workers.values():
        worker.stop_ms = 2_000
    spec = make_spec("a", make_step(3), make_step(4, after=(0,)))
    cells.submit(spec, POLICY, {0: 600, 1: 500})
    cells.run(300)
    cells.cancel("a")
    cells.run(4_000)
    assert len(cells.ground_truth.starts) == 3
    assert cells.cell.find_state("a") == "cancelled"


def test_lasting_task_restarts_after_its_worker_has_crashed(cells: CellCluster) -> None:
    cells.submit(make_spec("a", make_step(3, lasting=True)), POLICY, {0: None})
    cells.run(500)
    victim = cells.ground_truth.starts[0][3]
    cells.workers[victim].crash()
    cells.run(8_000)
    assert len(cells.ground_truth.list_running("a")) == 3
    assert not cells.ground_truth.violations


def test_tasks_restart_after_another_worker_has_taken_the_address(
    cells: CellCluster,
) -> None:
    """Another worker that answers at the address proves that the boot is over."""
    cells.submit(make_spec("a", make_step(3, lasting=True)), POLICY, {0: None})
    cells.run(500)
    victim = cells.ground_truth.starts[0][3]
    cells.workers[victim].crash()
    cells.workers[victim].is_replaced = True
    cells.cell.state.stop_run(next(iter(cells.cell.state.workers[victim].runs.values())), "test")
    cells.run(2_500)
    assert len(cells.ground_truth.list_running("a")) == 3
    assert victim not in cells.cell.state.workers


def test_restarted_worker_runs_no_earlier_task(cells: CellCluster) -> None:
    submit_plain(cells, "a", count=8, duration_ms=3_000)
    cells.run(500)
    cells.workers["w0"].crash()
    cells.run(300)
    cells.revive("w0")
    cells.run(9_000)
    assert cells.cell.find_state("a") == "completed"
    assert not cells.ground_truth.violations


def test_limit_per_worker_is_kept(cells: CellCluster) -> None:
    cells.submit(make_spec("a", make_step(8, max_per_worker=2)), POLICY, {0: 2_000})
    cells.run(1_000)
    workers = [worker for _, _, _, worker in cells.ground_truth.starts]
    assert all(workers.count(worker) <= 2 for worker in set(workers))
    assert len(workers) == 8


def test_gang_starts_whole_or_not_at_all() -> None:
    cells = CellCluster(workers=2, capacity=Resources(4_000, 8_000, 0))
    cells.run(500)
    submit_plain(cells, "a", count=2, duration_ms=1_500)
    cells.run(200)
    cells.submit(
        make_spec("b", make_step(4, gang=True, needs=Resources(2_000, 2_000, 0))), POLICY, {0: 500}
    )
    cells.run(800)
    assert not cells.ground_truth.list_running("b")
    cells.run(3_000)
    assert cells.cell.find_state("b") == "completed"
    runs = {run for _, task, run, _ in cells.ground_truth.starts if task.startswith("b")}
    assert len(runs) == 1


def test_repetitions_start_when_they_are_due(cells: CellCluster) -> None:
    first = cells.read_unix_ms() + 1_000
    spec = make_spec("a", make_step(1), repetitions=3, first_run_ms=first, interval_ms=1_000)
    cells.submit(spec, POLICY, {0: 200})
    cells.run(900)
    assert not cells.ground_truth.starts
    cells.run(4_000)
    assert cells.cell.find_state("a") == "completed"
    times = [at for at, _, _, _ in cells.ground_truth.starts]
    assert [round((at - times[0]) / 1_000) for at in times] == [0, 1, 2]


def test_worker_that_fails_all_tasks_does_not_fail_jobs(cells: CellCluster) -> None:
    cells.workers["w0"].mode = "grey"
    for number in range(10):
        submit_plain(cells, f"job{number}", count=4, duration_ms=300)
        cells.run(150)
    cells.run(4_000)
    states = [cells.cell.find_state(f"job{number}") for number in range(10)]
    assert states == ["completed"] * 10


def test_hanging_task_restarts_on_another_worker(cells: CellCluster) -> None:
    cells.workers["w0"].mode = "hang"
    for number in range(4):
        submit_plain(cells, f"job{number}", count=4, duration_ms=500)
    cells.run(8_000)
    assert all(cells.cell.find_state(f"job{n}") == "completed" for n in range(4))
    assert not cells.ground_truth.violations


def submit_interfering_tasks(cells: CellCluster, count: int) -> None:
    """Submit serving tasks on all workers, and best-effort tasks that interfere with them."""
    big = Resources(3_000, 4_000, 0)
    serving = make_step(4, lasting=True, image="desk", target_ms=20, needs=big, max_per_worker=1)
    cells.submit(make_spec("s", serving), POLICY, {0: None})
    for worker in cells.workers.values():
        worker.interference["desk", "noisy"] = 15.0
    cells.run(500)
    needs = Resources(2_000, 2_000, 0)
    best_effort = make_step(count, fills=True, image="noisy", saves=True, needs=needs)
    policy = QueuePolicy("n", "pool", 2, 2, 2.0, 1_000, 1)
    cells.submit(make_spec("n", best_effort), policy, {0: 1_500})


def measure_time_over_target(cells: CellCluster, ms: int) -> int:
    """Return the longest time in ms that a serving task is above its target within `ms` ms."""
    over_target_ms: dict[str, int] = {}
    longest = 0
    for _ in range(ms // 50):
        cells.run(50)
        for worker in cells.workers.values():
            for name, run in worker.runs.items():
                is_over_target = run.target_ms and run.mean_tail > run.target_ms
                over_target_ms[name] = over_target_ms.get(name, 0) + 50 if is_over_target else 0
                longest = max(longest, over_target_ms[name])
    return longest


def test_best_effort_task_is_migrated_from_a_serving_task_over_target(cells: CellCluster) -> None:
    submit_interfering_tasks(cells, count=12)
    assert measure_time_over_target(cells, 40_000) < cells.bounds.harm_ms
    assert cells.cell.find_state("n") == "completed"
    assert cells.cell.state.interference.get_coefficient("desk", "noisy") > 1.5


def test_lost_pace_order_is_repeated(cells: CellCluster) -> None:
    """The answer to a pace order is not used: a lost order shows only in the processor use."""
    cells.pace_loss_rate = 0.5
    submit_interfering_tasks(cells, count=12)
    assert measure_time_over_target(cells, 40_000) < cells.bounds.harm_ms


def test_no_best_effort_task_joins_a_serving_task_over_target(cells: CellCluster) -> None:
    submit_interfering_tasks(cells, count=60)
    for number in range(12):
        needs = Resources(1_000, 1_000, 0)
        step = make_step(8, fills=True, image="noisy", needs=needs)
        cells.submit(make_spec(f"n{number}", step), POLICY, {0: 400})
        assert measure_time_over_target(cells, 1_000) < cells.bounds.harm_ms
    assert measure_time_over_target(cells, 20_000) < cells.bounds.harm_ms


def test_unanswered_start_is_neither_duplicated_nor_lost(cells: CellCluster) -> None:
    """An unanswered order may have been executed, so it is repeated at the same worker."""
    cells.order_loss_rate = 0.3
    for number in range(6):
        submit_plain(cells, f"job{number}", count=4, duration_ms=400)
    cells.run(8_000)
    cells.order_loss_rate = 0.0
    cells.run(6_000)
    assert all(cells.cell.find_state(f"job{n}") == "completed" for n in range(6))
    assert not cells.ground_truth.violations


def test_pending_counts_jobs_of_which_no_task_has_started() -> None:
    cells = CellCluster(workers=1, capacity=SMALL)
    cells.run(500)
    for number in range(3):
        submit_plain(cells, f"job{number}", count=1, duration_ms=5_000)
    cells.run(500)
    assert cells.cell.count_pending("queue") == 2
    assert cells.cell.count_pending("other") == 0
