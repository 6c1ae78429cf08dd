"""Runs that only the journal names: none is forgotten for another run, or another boot.

A task must not start elsewhere before each worker that may run it has listed its runs, or its lease
has lapsed, whatever other boots and runs later records name.
"""

from dataclasses import replace

import pytest

from quetzallock_core.cells.models import Inventory
from quetzallock_core.cells.orders import StartRun
from quetzallock_core.cells.records import HandOverRecord, LeasesRecord, WorkerRecord
from quetzallock_core.codec import decode, encode
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step
from .test_lease_waits import LONGEST_WAIT_MS
from .test_run_ends import FalseEntries

TASK = "a.0.0.0"
LONG_MS = 12_000
SETTLED_MS = 1_500
FALSE_BOOTS = (0, 7)
"""`born` in false entries, before and after that of the workers."""
RECORDED_MS = 200


def make_cluster_with_one_run(*, speculative: bool = False) -> CellCluster:
    """Return a cluster with a task of which one run goes on, on `w0`."""
    cluster = CellCluster(workers=3)
    cluster.run(500)
    for worker in ("w1", "w2"):
        cluster.workers[worker].drain()
    cluster.run(200)
    cluster.submit(make_spec("a", make_step(1, speculative=speculative)), POLICY, {0: LONG_MS})
    cluster.run(200)
    for worker in ("w1", "w2"):
        entry = cluster.workers[worker].entry
        cluster.workers[worker].entry = replace(entry, is_draining=False)
    cluster.run(200)
    return cluster


def count_starts(cluster: CellCluster) -> int:
    """Return the number of runs that workers have started."""
    return len(cluster.ground_truth.starts)


def test_task_waits_for_the_worker_of_each_of_its_copies_after_a_hand_over() -> None:
    """The copy's row hid that of the first run: a third one started when the copy was lost."""
    cluster = make_cluster_with_one_run(speculative=True)
    cluster.run(2_000)
    assert [start[3] for start in cluster.ground_truth.starts] == ["w0", "w1"]
    cluster.workers["w0"].is_isolated = True
    cluster.workers["w1"].crash()
    cluster.revive("w1")
    cluster.hand_over()
    cluster.run(SETTLED_MS)
    assert TASK in cluster.workers["w0"].runs
    assert count_starts(cluster) == 2
    cluster.run(25_000)
    assert cluster.cell.find_state("a") == "completed"


def test_task_waits_for_its_run_beside_a_late_one_that_is_being_stopped() -> None:
    """The row of the run that is being stopped hid that of the run that goes on."""
    cluster = make_cluster_with_one_run()
    late = cluster.workers["w1"]
    until_ms = late.clock_ms + cluster.bounds.lease_ms
    order = StartRun("w1", 1, late.entry.address, TASK, 1, "", "", until_ms)
    late.start(order, cluster.owner.epoch)
    while TASK not in cluster.cell.state.workers["w1"].runs:
        cluster.run(5)
    cluster.workers["w0"].is_isolated = True
    cluster.hand_over()
    cluster.run(SETTLED_MS)
    assert TASK in cluster.workers["w0"].runs
    assert count_starts(cluster) == 2


def read_recorded_boot(cluster: CellCluster, worker: str = "w0") -> int:
    """Return the boot that the journal's record of a worker names."""
    record = decode(cluster.journal[f"worker/{worker}"])
    assert isinstance(record, WorkerRecord)
    return record.boot_ms


def take_over_with_false_entry(boot_ms: int) -> tuple[CellCluster, FalseEntries]:
    """Kill the owner; the next one reads a false entry of the silent worker with the run."""
    cluster = make_cluster_with_one_run()
    cluster.kill_owner()
    cluster.workers["w0"].is_isolated = True
    entries = FalseEntries(cluster, ["w0"], boot_ms=boot_ms)
    cluster.take_over()
    cluster.run(300)
    return cluster, entries


@pytest.mark.parametrize("boot_ms", FALSE_BOOTS)
@pytest.mark.parametrize("is_entry_kept", [False, True])
def test_lease_of_a_silent_boot_is_known_after_a_false_entry_and_a_hand_over(
    boot_ms: int, is_entry_kept: bool
) -> None:
    """The record of the entry's boot replaced it, and its task started elsewhere at once."""
    cluster, entries = take_over_with_false_entry(boot_ms)
    if not is_entry_kept:
        entries.remove()
    cluster.hand_over()
    cluster.run(SETTLED_MS)
    assert TASK in cluster.workers["w0"].runs
    assert count_starts(cluster) == 1
    cluster.run(LONGEST_WAIT_MS + LONG_MS + SETTLED_MS)
    assert cluster.cell.find_state("a") == "completed"
    assert cluster.ground_truth.violations == []


@pytest.mark.parametrize("boot_ms", FALSE_BOOTS)
def test_record_of_a_silent_boot_is_kept_by_an_owner_that_is_killed(boot_ms: int) -> None:
    """The second of two takeovers in a row knew only the boot that the false entry names."""
    cluster, entries = take_over_with_false_entry(boot_ms)
    assert read_recorded_boot(cluster) == 1
    cluster.kill_owner()
    cluster.take_over()
    assert ("w0", 1) in cluster.cell.state.unverified.by_boot
    cluster.run(SETTLED_MS)
    assert read_recorded_boot(cluster) == 1
    entries.remove()
    cluster.workers["w0"].is_isolated = False
    cluster.run(LONG_MS)
    assert cluster.cell.find_state("a") == "completed"
    assert count_starts(cluster) == 1


def test_next_boot_is_recorded_once_it_lists_its_runs() -> None:
    cluster = make_cluster_with_one_run()
    cluster.kill_owner()
    worker = cluster.workers["w0"]
    worker.crash()
    cluster.revive("w0")
    worker.is_isolated = True
    cluster.take_over()
    cluster.run(SETTLED_MS)
    assert read_recorded_boot(cluster) == 1
    worker.is_isolated = False
    cluster.run(RECORDED_MS)
    assert read_recorded_boot(cluster) == worker.entry.boot_ms
    assert cluster.cell.state.workers["w0"].can_accept_task(cluster.clock.now())


def test_lease_of_a_next_boot_is_known_to_the_owner_after_the_next() -> None:
    """The first new owner wrote the lease end of the boot before over the record of the next one.

    Its own end left no trace of the tasks on the next boot, which were started elsewhere.
    """
    cluster = make_cluster_with_one_run()
    cluster.kill_owner()
    worker = cluster.workers["w0"]
    worker.crash()
    cluster.revive("w0")
    worker.is_isolated = True
    for other in ("w1", "w2"):
        cluster.workers[other].drain()
    cluster.take_over()
    cluster.run(SETTLED_MS)
    worker.is_isolated = False
    cluster.run(SETTLED_MS)
    assert TASK in worker.runs
    cluster.run(LONGEST_WAIT_MS - SETTLED_MS)
    for other in ("w1", "w2"):
        entry = cluster.workers[other].entry
        cluster.workers[other].entry = replace(entry, is_draining=False)
    cluster.kill_owner()
    worker.is_isolated = True
    cluster.take_over()
    cluster.run(SETTLED_MS)
    assert TASK in worker.runs
    assert count_starts(cluster) == 2


def test_next_boot_is_recorded_once_the_lease_of_the_one_before_has_lapsed() -> None:
    cluster = make_cluster_with_one_run()
    cluster.kill_owner()
    worker = cluster.workers["w0"]
    worker.crash()
    cluster.revive("w0")
    worker.is_isolated = True
    cluster.take_over()
    cluster.run(LONGEST_WAIT_MS - RECORDED_MS)
    assert read_recorded_boot(cluster) == 1
    cluster.run(2 * RECORDED_MS)
    assert read_recorded_boot(cluster) == worker.entry.boot_ms
    assert not cluster.cell.state.unverified.by_boot


@pytest.mark.parametrize("are_runs_known", [True, False])
def test_boot_that_only_the_hand_over_names_is_waited_for(are_runs_known: bool) -> None:
    """An owner of an earlier version has written the record of another boot over its own."""
    cluster = make_cluster_with_one_run()
    cluster.workers["w0"].is_isolated = True
    cluster.kill_owner()
    now = cluster.clock.now()
    left_ms = cluster.cell.state.workers["w0"].compute_lapse_at() - now
    leases = (("w0", 1, left_ms), ("w0", 7, 0), ("w1", 1, left_ms), ("w2", 1, left_ms))
    record: HandOverRecord | LeasesRecord = LeasesRecord(leases)
    if are_runs_known:
        record = HandOverRecord(((TASK, "w0", 1),), leases)
    cluster.journal["handover"] = encode(record)
    cluster.journal["worker/w0"] = encode(WorkerRecord("w0", "w0:1", 7))
    cluster.take_over()
    cluster.run(SETTLED_MS)
    assert count_starts(cluster) == 1
    assert read_recorded_boot(cluster) == 1
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(SETTLED_MS)
    assert TASK in cluster.workers["w0"].runs
    assert count_starts(cluster) == 1
    cluster.run(LONGEST_WAIT_MS + LONG_MS)
    assert cluster.cell.find_state("a") == "completed"
    assert cluster.ground_truth.violations == []


@pytest.mark.parametrize("boot_ms", FALSE_BOOTS)
@pytest.mark.parametrize("hands_over", [False, True])
def test_owner_that_knows_a_live_boot_keeps_its_record_beside_a_false_entry(
    boot_ms: int, hands_over: bool
) -> None:
    cluster = make_cluster_with_one_run()
    entries = FalseEntries(cluster, ["w0"], boot_ms=boot_ms)
    cluster.run(SETTLED_MS)
    cluster.workers["w0"].is_isolated = True
    cluster.run(500)
    assert read_recorded_boot(cluster) == 1
    if hands_over:
        cluster.hand_over()
    else:
        cluster.kill_owner()
        cluster.take_over()
    cluster.run(SETTLED_MS)
    assert read_recorded_boot(cluster) == 1
    assert TASK in cluster.workers["w0"].runs
    assert count_starts(cluster) == 1
    entries.remove()
    cluster.workers["w0"].is_isolated = False
    cluster.run(LONG_MS)
    assert cluster.cell.find_state("a") == "completed"
    assert count_starts(cluster) == 1


@pytest.mark.parametrize("boot_ms", FALSE_BOOTS)
def test_inventory_of_another_boot_than_the_asked_one_verifies_nothing(boot_ms: int) -> None:
    """A false entry lets the owner ask a boot that is not there; the one that answers is counted.

    Only the asked boot's own lists end the wait. It is asked after the journal was read, so that
    all boots that the journal names under its id are over, or are this one.
    """
    cluster, _ = take_over_with_false_entry(boot_ms)
    worker = cluster.workers["w0"]
    asked = cluster.cell.state.workers["w0"].boot
    assert asked == ("w0", boot_ms)
    answer = worker.poll_inventory(cluster.owner.epoch, 0, None)
    assert isinstance(answer, Inventory)
    cluster.cell.handle_inventory(asked, answer, cluster.clock.now())
    cluster.cell.handle_inventory(("w0", 1), answer, cluster.clock.now())
    assert ("w0", 1) in cluster.cell.state.unverified.by_boot
    cluster.run(SETTLED_MS)
    assert count_starts(cluster) == 1
    assert read_recorded_boot(cluster) == 1


def test_inventory_without_a_boot_does_not_verify_another_one() -> None:
    """All lists of a worker have `born`, so one without is not known to be of the asked boot."""
    cluster, _ = take_over_with_false_entry(boot_ms=7)
    asked = cluster.cell.state.workers["w0"].boot
    cluster.cell.handle_inventory(asked, Inventory(5_000, (), (), 0), cluster.clock.now())
    cluster.run_effects(cluster.owner)
    cluster.run(SETTLED_MS)
    assert TASK in cluster.workers["w0"].runs
    assert count_starts(cluster) == 1


def test_hand_over_record_that_cannot_be_read_is_deleted_before_the_next_start() -> None:
    """Guards against a later owner of the version that wrote it, who would take it for newest."""
    cluster = make_cluster_with_one_run()
    cluster.kill_owner()
    cluster.journal["handover"] = b"of a later version"
    cluster.take_over()
    cluster.run(2 * RECORDED_MS)
    assert "handover" not in cluster.journal


def test_worker_whose_record_cannot_be_read_is_waited_for() -> None:
    """Its task started elsewhere at once, as if no worker but the readable ones had any run."""
    cluster = make_cluster_with_one_run()
    cluster.kill_owner()
    cluster.workers["w0"].is_isolated = True
    cluster.journal["worker/w0"] = b"of a later version"
    cluster.take_over()
    cluster.run(SETTLED_MS)
    assert TASK in cluster.workers["w0"].runs
    assert count_starts(cluster) == 1
    cluster.workers["w0"].is_isolated = False
    cluster.run(LONG_MS)
    assert cluster.cell.find_state("a") == "completed"
    assert count_starts(cluster) == 1
