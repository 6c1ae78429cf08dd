"""Takeover and hand-over of a cell, on the emulator: no task runs twice and none is lost."""

from quetzallock_core.cells.const import MAX_LEASE_MS, OWNERSHIP_VALID_MS
from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.orders import StartRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step, submit_plain


def make_busy_cluster() -> CellCluster:
    """Return a cluster with two jobs under way."""
    cluster = CellCluster()
    cluster.run(500)
    submit_plain(cluster, "a", count=4, duration_ms=2_000)
    cluster.submit(make_spec("b", make_step(3, lasting=True)), POLICY, {0: None})
    cluster.run(700)
    return cluster


def test_new_owner_adopts_what_runs() -> None:
    cluster = make_busy_cluster()
    cluster.kill_owner()
    cluster.run(1_500)
    cluster.take_over()
    cluster.run(4_000)
    assert cluster.cell.find_state("a") == "completed"
    assert len(cluster.ground_truth.list_running("b")) == 3
    assert len(cluster.ground_truth.starts) == 7
    assert not cluster.ground_truth.violations


def test_previous_owner_that_goes_on_after_a_takeover_changes_nothing() -> None:
    """It does not notice the takeover at once: workers and the store must refuse its epoch."""
    cluster = make_busy_cluster()
    cluster.take_over()
    submit_plain(cluster, "c", count=4)
    cluster.run(6_000)
    old = cluster.owners[0].cell.state
    assert old.fenced or not cluster.owners[0].is_running
    assert cluster.cell.find_state("c") == "completed"
    assert not cluster.ground_truth.violations


def test_tasks_wait_for_an_unreachable_worker() -> None:
    """Its runs go on until its lease lapses; an earlier start elsewhere would run a task twice."""
    cluster = make_busy_cluster()
    victim = cluster.ground_truth.starts[0][3]
    cluster.kill_owner()
    cluster.workers[victim].is_isolated = True
    cluster.take_over()
    cluster.run(MAX_LEASE_MS)
    lost = [task for _, task, _, worker in cluster.ground_truth.starts if worker == victim]
    restarted = [task for _, task, _, worker in cluster.ground_truth.starts if worker != victim]
    assert not set(lost) & set(restarted)
    cluster.run(OWNERSHIP_VALID_MS + 4_000)
    assert len(cluster.ground_truth.list_running("b")) == 3
    assert cluster.cell.find_state("a") == "completed"
    assert not cluster.ground_truth.violations


def test_failed_attempts_survive_a_takeover() -> None:
    cluster = CellCluster()
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: 200}, fails=True)
    cluster.run(160)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(4_000)
    assert cluster.cell.find_state("a") == "failed"
    assert len(cluster.ground_truth.starts) <= POLICY.max_attempts
    assert not cluster.ground_truth.violations


def test_record_of_a_worker_that_is_gone_is_deleted() -> None:
    cluster = make_busy_cluster()
    cluster.workers["w1"].crash()
    cluster.run(9_000)
    assert "worker/w1" not in cluster.journal
    cluster.take_over()
    cluster.run(300)
    assert not cluster.cell.state.unverified.by_boot


def test_learned_coefficients_pass_to_the_next_owner() -> None:
    cluster = make_busy_cluster()
    cluster.cell.state.interference.restore([("s", "f", 4.0)], [("s", 7.0)])
    cluster.run(3_000)
    submit_plain(cluster, "c")
    cluster.run(500)
    cluster.take_over()
    assert cluster.cell.state.interference.get_coefficient("s", "f") == 4.0


def test_finished_jobs_expire() -> None:
    cluster = make_busy_cluster()
    cluster.run(3_000)
    assert cluster.cell.find_state("a") == "completed"
    cluster.clock.advance(cluster.bounds.status_ms + 40_000)
    for worker in cluster.workers.values():
        worker.lease_until = worker.clock_ms + 10_000
    cluster.run(1_000)
    assert cluster.cell.find_state("a") is None
    assert "job/a" not in cluster.journal


def test_second_takeover_does_not_extend_the_wait_for_a_lease() -> None:
    """The first new owner records when the lease of a lost worker lapses, by other workers' clocks.

    Without that record, each takeover would begin the wait for the lease again.
    """
    cluster = make_busy_cluster()
    victim = cluster.ground_truth.starts[0][3]
    cluster.kill_owner()
    cluster.workers[victim].crash()
    cluster.take_over()
    cluster.run(MAX_LEASE_MS)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(OWNERSHIP_VALID_MS + 1_500)
    assert len(cluster.ground_truth.list_running("b")) == 3
    assert not cluster.ground_truth.violations


def test_suspended_lease_is_not_renewed_before_a_new_record_is_durable() -> None:
    """While the journal holds when a suspended lease lapses, the lease must not be renewed.

    The next owner would rely on that record and start the worker's tasks a second time.
    """
    cluster = make_busy_cluster()
    victim = cluster.ground_truth.starts[0][3]
    cluster.workers[victim].is_isolated = True
    cluster.run(2_500)
    worker = cluster.cell.state.workers[victim]
    assert worker.is_lease_suspended
    cluster.is_store_up = False
    cluster.workers[victim].is_isolated = False
    until = cluster.workers[victim].lease_until
    cluster.run(800)
    assert worker.is_reachable(cluster.clock.now())
    assert cluster.workers[victim].lease_until == until
    cluster.is_store_up = True
    cluster.run(600)
    assert cluster.workers[victim].lease_until > until


def test_handed_over_tasks_wait_only_for_their_own_worker() -> None:
    """An unreachable worker delays only the tasks that the hand-over record places on it."""
    cluster = CellCluster(capacity=Resources(2_000, 8_000, 0))
    cluster.run(500)
    submit_plain(cluster, "a", count=12, duration_ms=700)
    cluster.run(300)
    victim = cluster.ground_truth.starts[0][3]
    cluster.workers[victim].is_isolated = True
    cluster.hand_over()
    cluster.run(3_500)
    done = {task for _, task, _, how in cluster.ground_truth.ends if how == "done"}
    assert len(done) >= 10
    cluster.run(12_000)
    assert cluster.cell.find_state("a") == "completed"
    assert not cluster.ground_truth.violations
    assert "handover" not in cluster.journal


def test_hand_over_record_is_deleted_before_the_next_start() -> None:
    """A hand-over record no longer names all runs after the next start.

    An owner that loaded it then would start a task a second time that runs on an unverified worker.
    """
    cluster = make_busy_cluster()
    cluster.hand_over()
    submit_plain(cluster, "c", count=4, duration_ms=6_000)
    cluster.run(400)
    victim = next(
        worker for _, task, _, worker in cluster.ground_truth.starts if task.startswith("c")
    )
    cluster.workers[victim].is_isolated = True
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(OWNERSHIP_VALID_MS + MAX_LEASE_MS + 6_000 + 2_000)
    assert cluster.cell.find_state("c") == "completed"
    assert not cluster.ground_truth.violations


def test_paused_task_resumes_under_the_next_owner() -> None:
    """The journal has no paces: the next owner estimates them by the processor use.

    An owner that took the task for one at full pace would never resume it.
    """
    cluster = CellCluster(workers=1)
    cluster.run(500)
    step = make_step(1, fills=True, image="f", needs=Resources(2_000, 2_000, 0))
    cluster.submit(make_spec("n", step), POLICY, {0: 3_000})
    cluster.run(400)
    run = next(iter(cluster.cell.state.workers["w0"].runs.values()))
    cluster.cell.state.pace_run(run, 0)
    cluster.run_effects(cluster.owner)
    cluster.run(100)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(6_000)
    assert cluster.cell.find_state("n") == "completed"


def test_owner_with_unverified_workers_writes_no_hand_over_record() -> None:
    """It took over without a hand-over record, so it cannot list the runs on these workers.

    A record without them would let the next owner start their tasks a second time.
    """
    cluster = make_busy_cluster()
    cluster.kill_owner()
    cluster.take_over()
    victim = cluster.ground_truth.starts[0][3]
    cluster.workers[victim].is_isolated = True
    cluster.run(50)
    cluster.hand_over()
    cluster.run(400)
    assert not cluster.ground_truth.violations
    cluster.workers[victim].is_isolated = False
    cluster.run(5_000)
    assert not cluster.ground_truth.violations
    assert len(cluster.ground_truth.list_running("b")) == 3


def test_end_of_the_next_boot_is_not_acknowledged_under_an_earlier_number() -> None:
    """A worker numbers its ends anew after a restart.

    An acknowledgement of the earlier boot's numbers would delete an end that the owner has not
    processed.
    """
    cluster = CellCluster(workers=1)
    cluster.run(500)
    for number in range(3):
        submit_plain(cluster, f"early{number}", count=3, duration_ms=50)
    cluster.run(1_000)
    assert cluster.cell.state.workers["w0"].durable_cursor == 9
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    submit_plain(cluster, "late", count=1, duration_ms=10)
    cluster.run(8_000)
    assert cluster.cell.find_state("late") == "completed"
    assert cluster.ground_truth.violations == []


def test_delayed_order_to_an_earlier_boot_starts_no_second_run() -> None:
    """A start order that is under way while its worker restarts may still reach the next boot.

    The owner stops the run there before it starts the task again, so that the order is refused.
    """
    for seed in range(6):
        cluster = CellCluster(workers=2, seed=seed)
        cluster.run(500)
        cluster.order_delay_rate = 1.0
        cluster.submit(make_spec("a", make_step(2, lasting=True)), POLICY, {0: None})
        cluster.run(100)
        cluster.order_delay_rate = 0.0
        cluster.workers["w0"].crash()
        cluster.revive("w0")
        cluster.run(15_000)
        assert cluster.ground_truth.violations == []
        assert len(cluster.ground_truth.list_running("a")) == 2


def test_run_started_by_the_next_boot_is_stopped_before_the_task_starts_elsewhere() -> None:
    """The next boot may execute an order to the known one before the platform's list names it.

    The order is answered, but no inventory of the known boot lists its run. The owner must not
    count such a run as over when the known boot is replaced.
    """
    cluster = CellCluster(workers=2)
    cluster.run(500)
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.submit(make_spec("a", make_step(4, lasting=True)), POLICY, {0: None})
    cluster.run(5_000)
    assert cluster.ground_truth.violations == []
    assert len(cluster.ground_truth.list_running("a")) == 4


def test_answer_of_an_earlier_boot_does_not_change_the_next() -> None:
    """Its clock reading must not become that of the next boot, whose clock starts anew.

    Lease ends are computed from the clock reading.
    """
    cluster = CellCluster(workers=1)
    cluster.run(500)
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(50)
    boot_ms = cluster.cell.state.workers["w0"].entry.boot_ms
    order = StartRun("w0", boot_ms, "w0:1", "a.0.0.0", 100_001, "", "", 9_000)
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    while cluster.cell.state.workers["w0"].entry.boot_ms == boot_ms:
        cluster.run(5)
    cluster.cell.answers.handle_start_answer(order, "ok", 1_000_000, cluster.clock.now())
    assert cluster.cell.state.workers["w0"].clock_ms < 1_000


def test_earlier_boot_stays_unverified_until_the_next_inventory() -> None:
    """The list's entry of the next boot does not show what runs there.

    A delayed order of the previous owner may still start a task on the next boot.
    """
    cluster = make_busy_cluster()
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.workers["w0"].is_isolated = True
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(300)
    assert [worker for worker, _ in cluster.cell.state.unverified.by_boot] == ["w0"]
    cluster.workers["w0"].is_isolated = False
    cluster.run(300)
    assert not cluster.cell.state.unverified.by_boot


def test_recorded_lease_lapse_is_replaced_after_the_worker_returns() -> None:
    """The recorded lapse of a lease must not outlive the return of its worker.

    The next owner would take the renewed lease for lapsed and start its tasks a second time.
    """
    cluster = make_busy_cluster()
    cluster.workers["w0"].is_isolated = True
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(1_400)
    cluster.workers["w0"].is_isolated = False
    cluster.run(7_000)
    cluster.workers["w0"].is_isolated = True
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(4_000)
    assert cluster.ground_truth.violations == []


def test_lease_of_a_worker_listed_late_is_not_renewed_under_its_recorded_lapse() -> None:
    """The lapse of an unlisted worker's lease is recorded while the worker is unverified.

    When it is listed later, that record must be replaced before its lease is renewed. Otherwise the
    next owner would take the lease for lapsed and start the worker's tasks a second time.
    """
    cluster = make_busy_cluster()
    cluster.workers["w0"].is_isolated = True
    cluster.unlisted_workers.add("w0")
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(1_200)
    cluster.unlisted_workers.discard("w0")
    cluster.run(200)
    cluster.workers["w0"].is_isolated = False
    cluster.run(7_000)
    cluster.workers["w0"].is_isolated = True
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(4_000)
    assert cluster.ground_truth.violations == []
