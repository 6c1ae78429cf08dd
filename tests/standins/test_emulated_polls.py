"""Polls of the emulated cell reach its owner as those of the daemon do."""

from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec
from tests.core.cells.common import POLICY, make_step


def test_inventory_does_not_overtake_an_earlier_one_when_the_latency_falls() -> None:
    """Guards against faults that the daemon cannot have: it has one poll of a boot at a time.

    An inventory from before the start, read after one that lists the run, shows the run as over.
    """
    cluster = CellCluster(workers=2)
    cluster.run(500)
    cluster.latency_ms = 200
    cluster.run(500)
    cluster.latency_ms = 2
    cluster.submit(make_spec("a", make_step(count=8)), POLICY, {0: 1_000})
    cluster.run(3_000)
    assert cluster.cell.find_state("a") == "completed"
    assert "run.vanished" not in cluster.cell.state.counters
    assert cluster.ground_truth.violations == []
