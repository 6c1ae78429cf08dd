"""How long the tasks of a lost worker wait: at least for its lease, and not anew at each owner."""

from quetzallock_core.cells.const import MAX_LEASE_MS
from quetzallock_core.codec import encode
from quetzallock_standins.emulator import CellCluster

from .common import submit_plain
from .test_leaving_workers import find_busiest_worker, make_cluster


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
    cell.handle_inventory(cut_off, answers.pop(cut_off), now)
    cluster.kill_owner()
    cluster.workers[cut_off].is_isolated = True
    cluster.run(1_600)
    cell.handle_entries(cluster._list_entries())
    cell.tick()
    for name, answer in answers.items():
        cell.handle_inventory(name, answer, now)
    for record in cell.batches.pop_batch().records:
        cluster.journal[record.key] = encode(record.value)
    cluster.run(500)
    cluster.take_over()
    cluster.run(MAX_LEASE_MS)
    assert not cluster.ground_truth.violations
