"""How long the tasks of a lost worker wait: at least for its lease, and not anew at each owner."""

from quetzallock_core.cells.const import MAX_LEASE_MS
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
