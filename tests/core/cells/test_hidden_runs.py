"""Runs that only the journal names: none is forgotten for another run, or another boot.

A task must not start elsewhere before each worker that may run it has listed its runs, or its lease
has lapsed, whatever other boots and runs later records name.
"""

from dataclasses import replace

from quetzallock_core.cells.orders import StartRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

TASK = "a.0.0.0"
LONG_MS = 12_000
SETTLED_MS = 1_500


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
