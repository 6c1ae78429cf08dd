"""Ends of runs and of boots that are believed although no word of the worker shows them."""

from dataclasses import replace

import pytest

from quetzallock_core.cells.const import CLOCK_DRIFT, LEASE_MARGIN_MS, MAX_LEASE_MS
from quetzallock_core.cells.models import WorkerEntry
from quetzallock_core.cells.records import HandOverRecord, LeasesRecord, WorkerRecord
from quetzallock_core.codec import encode
from quetzallock_standins.emulator import CellCluster

from .common import submit_plain
from .test_hidden_runs import LONG_MS, SETTLED_MS, TASK, count_starts, make_cluster_with_one_run
from .test_run_ends import FalseEntries
from .test_worker_answers import advance, find_run, make_list, make_order, read_list

LONGEST_LEASE_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
TICKS_MS = 400
"""Time for the list, a tick and an order."""


def list_entry(cluster: CellCluster, entry: WorkerEntry) -> None:
    """Let the owner read a list in which one worker has an entry of another writer."""
    cluster.cell.handle_entries(cluster._list_entries() | {entry.worker: entry})


@pytest.mark.parametrize("between", ["other boot", "no entry"])
def test_refusal_of_a_poll_before_a_boot_was_listed_again_does_not_end_the_boot(
    between: str,
) -> None:
    """Guards against a worker that is up and whose runs lapse since it is never polled again.

    The 421 comes from the address in a false entry. Meanwhile the boot was dropped and listed
    again, and no poll of it has been sent, so that neither a polled nor an answered address is
    known.
    """
    cluster = make_cluster_with_one_run()
    worker = cluster.workers["w0"]
    cluster.kill_owner()
    worker.is_isolated = True
    cluster.take_over()
    cell = cluster.cell
    list_entry(cluster, replace(worker.entry, address="w1:1"))
    cell.state.workers["w0"].renew_lease(cluster.bounds.lease_ms, cluster.clock.now())
    if between == "other boot":
        list_entry(cluster, replace(worker.entry, boot_ms=7))
    else:
        entries = cluster._list_entries()
        del entries["w0"]
        cell.handle_entries(entries)
        cell.tick()
    cell.handle_entries(cluster._list_entries())
    cell.answers.handle_inventory_refusal((worker.id, worker.entry.boot_ms), 2, "other boot")
    worker.is_isolated = False
    cluster.run(LONG_MS)
    assert cluster.cell.find_state("a") == "completed"
    assert count_starts(cluster) == 1


@pytest.mark.parametrize("early_ms", [5, 400, 1_000])
def test_list_made_before_the_lease_end_of_an_unanswered_start_ends_no_run(early_ms: int) -> None:
    """Guards against a second run beside one whose start came just before its lease had lapsed.

    A worker may make the lists before it carries an order out, and read its clock later.
    """
    cluster = CellCluster(workers=2)
    cluster.run(500)
    cluster.holds_orders = True
    submit_plain(cluster, "a", count=1, duration_ms=LONG_MS)
    cluster.run(50)
    order, run = make_order(cluster), find_run(cluster)
    worker = cluster.workers[order.worker]
    advance(cluster, order.until_ms - worker.clock_ms - early_ms)
    inventory, asked_at = make_list(cluster, worker), cluster.clock.now()
    advance(cluster, early_ms - 1)
    worker.start(order, cluster.owner.epoch)
    advance(cluster, 10)
    assert worker.clock_ms > order.until_ms
    assert run.task.name in worker.runs
    read_list(cluster, worker, inventory, asked_at)
    assert run.state == "ordered"


@pytest.mark.parametrize("killed_after_ms", [200, 800, SETTLED_MS])
@pytest.mark.parametrize("are_runs_known", [True, False])
def test_record_of_one_boot_does_not_shorten_the_lease_of_another_one(
    are_runs_known: bool, killed_after_ms: int
) -> None:
    """Guards against a second run while the run of the recorded boot goes on unseen.

    The journal has one record of a worker. That of a boot which only the hand-over names, whose
    lease ends sooner, was written over that of the boot with the run.
    """
    cluster = make_cluster_with_one_run()
    cluster.workers["w0"].is_isolated = True
    cluster.kill_owner()
    left_ms = cluster.cell.state.workers["w0"].compute_lapse_at() - cluster.clock.now()
    leases = (("w0", 0, 300), ("w0", 1, left_ms), ("w1", 1, left_ms), ("w2", 1, left_ms))
    record: HandOverRecord | LeasesRecord = LeasesRecord(leases)
    if are_runs_known:
        record = HandOverRecord(((TASK, "w0", 0), (TASK, "w0", 1)), leases)
    cluster.journal["handover"] = encode(record)
    cluster.journal["worker/w0"] = encode(WorkerRecord("w0", "w0:1", 1))
    cluster.take_over()
    cluster.run(killed_after_ms)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(SETTLED_MS)
    assert TASK in cluster.workers["w0"].runs
    assert count_starts(cluster) == 1


@pytest.mark.parametrize("boot_ms", [None, 7])
@pytest.mark.parametrize("has_broken_connections", [True, False])
def test_task_of_a_restarted_worker_that_no_entry_names_waits_no_longer_than_its_lease(
    boot_ms: int | None, has_broken_connections: bool
) -> None:
    """Guards against a lease that is renewed although another boot answers in place of its own."""
    cluster = make_cluster_with_one_run()
    worker = cluster.workers["w0"]
    entry = worker.entry
    if boot_ms is None:
        cluster.unlisted_workers.add("w0")
    else:
        FalseEntries(cluster, ["w0"], boot_ms=boot_ms)
    worker.crash()
    cluster.revive("w0")
    worker.has_broken_connections = has_broken_connections
    assert worker.entry.boot_ms not in (entry.boot_ms, boot_ms)
    cluster.run(LONGEST_LEASE_MS + TICKS_MS)
    assert count_starts(cluster) == 2
