"""A run that a worker has begun unseen, while the owner orders another run of the task there."""

import pytest

from quetzallock_core.cells.orders import StartRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step


@pytest.mark.parametrize("lasting", [False, True])
def test_unseen_run_is_adopted_instead_of_orders_for_further_runs(lasting: bool) -> None:
    """Guards against start orders without end, and a second run on another worker."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    cluster.workers["w1"].drain()
    cluster.run(200)
    cluster.submit(make_spec("a", make_step(1, lasting=lasting)), POLICY, {0: None})
    while not cluster.counters["StartRun"]:
        cluster.run(5)
    worker = cluster.workers["w0"]
    entry = worker.entry
    until_ms = worker.clock_ms + cluster.bounds.lease_ms
    late = StartRun("w0", entry.boot_ms, entry.address, "a.0.0.0", 1, "", "", until_ms)
    worker.start(late, cluster.owner.epoch)
    cluster.run(5_000)
    assert [start[2] for start in cluster.ground_truth.starts] == [1]
    assert cluster.counters["StartRun"] == 1
    cluster.cancel("a")
    cluster.run(1_000)
    assert not cluster.ground_truth.list_running("a")
