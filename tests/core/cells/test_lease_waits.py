"""How long the tasks of a lost worker wait: at least for its lease, and not anew at each owner."""

from quetzallock_core.cells.const import (
    CLOCK_DRIFT,
    LEASE_MARGIN_MS,
    MAX_LEASE_MS,
    OWNERSHIP_VALID_MS,
)
from quetzallock_core.cells.models import Bounds
from quetzallock_core.codec import decode, encode
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step, submit_plain
from .test_leaving_workers import find_busiest_worker, make_cluster

LONGEST_WAIT_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + OWNERSHIP_VALID_MS + LEASE_MARGIN_MS
"""Wait for a worker of which no more is known than that it had a lease before the takeover."""


def lose_entry_of_unverified_worker(cluster: CellCluster, cut_off: str) -> None:
    """Let the lease end of a cut off worker be recorded, and its entry expire after that."""
    cluster.run(1_300)
    submit_plain(cluster, "b")
    cluster.run(200)
    cluster.unlisted_workers.add(cut_off)
    cluster.run(500)


def test_record_of_an_unverified_worker_outlives_its_entry_after_a_crash() -> None:
    cluster = make_cluster()
    cut_off = find_busiest_worker(cluster)
    cluster.kill_owner()
    cluster.workers[cut_off].is_isolated = True
    cluster.take_over()
    lose_entry_of_unverified_worker(cluster, cut_off)
    assert f"worker/{cut_off}" in cluster.journal
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(MAX_LEASE_MS)
    assert not cluster.ground_truth.violations


def test_record_of_an_unverified_worker_outlives_its_entry_after_a_hand_over() -> None:
    cluster = make_cluster()
    cut_off = find_busiest_worker(cluster)
    cluster.workers[cut_off].is_isolated = True
    cluster.hand_over()
    lose_entry_of_unverified_worker(cluster, cut_off)
    cluster.hand_over()
    cluster.run(MAX_LEASE_MS)
    assert not cluster.ground_truth.violations


def cut_off_after_its_last_poll(cluster: CellCluster, cut_off: str) -> None:
    """Cut a worker off whose last poll stays open, so that no other is sent."""
    cluster.workers[cut_off].is_isolated = True
    poll, owner = cluster._poll_inventory, cluster.owner
    cluster._poll_inventory = (  # type: ignore[method-assign]
        lambda who, worker: None if who is owner and worker.id == cut_off else poll(who, worker)
    )


def test_clock_reference_from_an_answer_that_was_read_late_is_not_too_early() -> None:
    cluster = make_cluster()
    cut_off_after_its_last_poll(cluster, find_busiest_worker(cluster))
    cluster.latency_ms = 1_000
    cluster.run(2_000)
    cluster.kill_owner()
    cluster.latency_ms = 2
    cluster.take_over()
    cluster.run(MAX_LEASE_MS)
    assert not cluster.ground_truth.violations


def test_clock_reference_after_a_frozen_owner_is_not_too_early() -> None:
    """Answers wait in the sockets of the frozen owner, whose timers fire first."""
    cluster = make_cluster()
    cut_off = find_busiest_worker(cluster)
    cell, now = cluster.cell, cluster.clock.now()
    answers = {}
    for name, worker in cluster.workers.items():
        known = cell.state.workers[name]
        until = known.extend_lease(cluster.bounds.lease_ms, now)
        answers[name] = worker.poll_inventory(cluster.owner.epoch, known.ack_cursor, until)
    cell.handle_inventory(cell.state.workers[cut_off].boot, answers.pop(cut_off), now)
    cluster.kill_owner()
    cluster.workers[cut_off].is_isolated = True
    cluster.run(1_600)
    cell.handle_entries(cluster._list_entries())
    cell.tick()
    for name, answer in answers.items():
        cell.handle_inventory(cell.state.workers[name].boot, answer, now)
    for record in cell.batches.pop_batch().records:
        cluster.journal[record.key] = encode(record.value)
    cluster.run(500)
    cluster.take_over()
    cluster.run(MAX_LEASE_MS)
    assert not cluster.ground_truth.violations


def test_stop_answered_before_the_first_inventory_does_not_shorten_the_wait_at_a_hand_over() -> (
    None
):
    cluster = CellCluster(workers=2, bounds=Bounds(stop_ms=3_000))
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.order_delay_rate = 1.0
    cluster.run(100)
    cluster.order_delay_rate = 0.0
    task = cluster.cell.state.jobs["a"].list_tasks()[0]
    worker = cluster.workers[next(iter(task.runs.values())).worker]
    worker.crash()
    cluster.unlisted_workers.add(worker.id)
    cluster.run(100)
    cluster.revive(worker.id)
    while not worker.runs:
        cluster.run(5)
    poll = cluster._poll_inventory
    cluster._poll_inventory = (  # type: ignore[method-assign]
        lambda owner, polled: None if polled is worker else poll(owner, polled)
    )
    cluster.unlisted_workers.clear()
    cluster.run(150)
    worker.is_isolated = True
    cluster.run(100)
    cluster.hand_over()
    cluster.run(2_500)
    assert not cluster.ground_truth.violations


def test_third_owner_keeps_the_recorded_lease_end_of_a_worker_that_is_still_listed() -> None:
    cluster = make_cluster()
    lost = find_busiest_worker(cluster)
    cluster.kill_owner()
    cluster.workers[lost].is_isolated = True
    for job in ("b", "c"):
        cluster.take_over()
        cluster.run(1_300)
        submit_plain(cluster, job)
        cluster.run(700)
        assert decode(cluster.journal[f"worker/{lost}"]).lapsed_by
        cluster.kill_owner()


def test_quick_crashes_do_not_restart_the_wait_for_a_worker_that_is_still_listed() -> None:
    cluster = make_cluster()
    lost = find_busiest_worker(cluster)
    cluster.kill_owner()
    cluster.workers[lost].is_isolated = True
    started_at = cluster.clock.now()
    for number in range(4):
        cluster.take_over()
        cluster.run(1_300)
        submit_plain(cluster, f"b{number}")
        cluster.run(700)
        cluster.kill_owner()
    cluster.take_over()
    cluster.run(started_at + LONGEST_WAIT_MS + 1_000 - cluster.clock.now())
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_lease_end_of_an_unverified_worker_is_recorded_in_a_cell_without_other_changes() -> None:
    cluster = make_cluster()
    lost = find_busiest_worker(cluster)
    cluster.kill_owner()
    cluster.workers[lost].crash()
    cluster.take_over()
    cluster.run(MAX_LEASE_MS)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(OWNERSHIP_VALID_MS + 1_500)
    assert len(cluster.ground_truth.list_running("a")) == 6


def test_hand_overs_after_a_crash_do_not_restart_the_wait() -> None:
    cluster = make_cluster()
    lost = find_busiest_worker(cluster)
    cluster.kill_owner()
    cluster.workers[lost].crash()
    started_at = cluster.clock.now()
    cluster.take_over()
    for _ in range(4):
        cluster.run(900)
        cluster.hand_over()
    cluster.run(started_at + LONGEST_WAIT_MS + 500 - cluster.clock.now())
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations
