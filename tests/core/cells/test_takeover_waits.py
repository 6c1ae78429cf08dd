"""What a new owner knows of the leases that earlier owners gave: no wait is longer than need be."""

from quetzallock_core.cells.const import (
    CLOCK_DRIFT,
    LEASE_MARGIN_MS,
    MAX_LEASE_MS,
    UNREACHABLE_TIMEOUT_MS,
)
from quetzallock_core.cells.records import WorkerRecord
from quetzallock_core.codec import decode
from quetzallock_standins.emulator import CellCluster

from .test_lease_waits import LONGEST_WAIT_MS
from .test_leaving_workers import find_busiest_worker, make_cluster

LEASE_LAPSE_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
RESTART_MARGIN_MS = 500


def restart_workers(cluster: CellCluster, but: str) -> None:
    """Replace each boot but that of one worker by a next one, whose clock starts anew."""
    for worker in cluster.workers.values():
        if worker.id != but:
            worker.crash()
    cluster.run(50)
    for worker in cluster.workers:
        if worker != but:
            cluster.revive(worker)


def test_recorded_lease_end_is_not_lost_with_the_workers_whose_clocks_it_refers_to() -> None:
    cluster = make_cluster()
    lost = find_busiest_worker(cluster)
    cluster.workers[lost].crash()
    cluster.run(2_500)
    cluster.kill_owner()
    restart_workers(cluster, lost)
    cluster.take_over()
    cluster.run(LEASE_LAPSE_MS + RESTART_MARGIN_MS)
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_recorded_lease_end_without_readable_clocks_is_not_too_early() -> None:
    cluster = make_cluster()
    cut_off = cluster.workers[find_busiest_worker(cluster)]
    cut_off.clock_rate = 1 - CLOCK_DRIFT
    cut_off.is_isolated = True
    cluster.run(2_500)
    for _ in range(3):
        cluster.kill_owner()
        restart_workers(cluster, cut_off.id)
        cluster.take_over()
        cluster.run(2_000)
    assert not cut_off.runs
    assert not cluster.ground_truth.violations


def test_lease_is_not_renewed_while_the_journal_says_when_it_has_lapsed() -> None:
    """The owner was frozen: it writes the record of a silent worker before its next tick."""
    cluster = make_cluster()
    cell = cluster.cell
    worker = cell.state.workers["w0"]
    cell.state.invalidate_record(worker)
    cluster.clock.advance(UNREACHABLE_TIMEOUT_MS)
    batch = cell.batches.pop_batch()
    record = next(record.value for record in batch.records if record.key == "worker/w0")
    assert isinstance(record, WorkerRecord)
    assert record.is_suspended
    cell.batches.handle_durable(batch)
    assert not worker.may_renew_lease


def test_boot_that_never_answered_does_not_delay_all_tasks_at_the_next_owner() -> None:
    cluster = make_cluster(workers=5)
    newcomer = find_busiest_worker(cluster)
    cluster.workers[newcomer].crash()
    cluster.run(LONGEST_WAIT_MS)
    lost = find_busiest_worker(cluster)
    cluster.kill_owner()
    cluster.workers[lost].crash()
    taken_over_at = cluster.clock.now()
    cluster.take_over()
    cluster.run(LONGEST_WAIT_MS - 1_000)
    cluster.revive(newcomer)
    cluster.workers[newcomer].is_isolated = True
    cluster.run(500)
    assert f"worker/{newcomer}" in cluster.journal
    cluster.workers[newcomer].crash()
    cluster.hand_over()
    cluster.run(taken_over_at + LONGEST_WAIT_MS + 1_000 - cluster.clock.now())
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_lease_of_a_worker_that_refuses_connections_is_not_renewed_in_vain() -> None:
    cluster = make_cluster()
    lost = cluster.workers[find_busiest_worker(cluster)]
    lost.crash()
    lost.has_broken_connections = True
    cluster.run(LEASE_LAPSE_MS + RESTART_MARGIN_MS)
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_lease_end_that_was_handed_over_is_not_lost_with_an_owner_that_soon_dies() -> None:
    cluster = make_cluster()
    cluster.workers[find_busiest_worker(cluster)].crash()
    cluster.run(100)
    cluster.hand_over()
    cluster.run(400)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(LEASE_LAPSE_MS + RESTART_MARGIN_MS)
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_handed_over_lease_end_is_not_kept_for_a_worker_that_is_listed_later() -> None:
    cluster = make_cluster()
    worker = cluster.workers[find_busiest_worker(cluster)]
    worker.clock_rate = 1 - CLOCK_DRIFT
    cluster.unlisted_workers.add(worker.id)
    cluster.hand_over()
    cluster.run(400)
    assert decode(cluster.journal[f"worker/{worker.id}"]).is_suspended
    cluster.unlisted_workers.clear()
    cluster.run(LEASE_LAPSE_MS)
    cluster.kill_owner()
    worker.is_isolated = True
    cluster.take_over()
    cluster.run(LEASE_LAPSE_MS)
    assert not cluster.ground_truth.violations
