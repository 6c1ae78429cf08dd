"""Runs in an inventory that are not the ones the owner knows of their tasks."""

import pytest

from quetzallock_core.cells.models import Inventory, RunningRow
from quetzallock_core.cells.orders import StopRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step


def list_other_run(cluster: CellCluster, difference: int) -> list[StopRun]:
    """Let the worker list another run of task `a.0.0.0`, and return the stops of that run."""
    worker = cluster.cell.state.workers["w0"]
    number = worker.runs["a.0.0.0"].number + difference
    row = RunningRow("a.0.0.0", number, "", 100)
    inventory = Inventory(worker.clock_ms, (row,), (), worker.entry.boot_ms)
    cluster.cell.pop_effects()
    cluster.cell.handle_inventory(worker.boot, inventory, cluster.clock.now())
    effects = cluster.cell.pop_effects()
    return [order for order in effects if isinstance(order, StopRun) and order.run == number]


def make_cluster() -> CellCluster:
    """Return a cluster with job `a`, whose start order is on its way."""
    cluster = CellCluster(workers=1)
    cluster.run(500)
    cluster.latency_ms = 300
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(20)
    assert cluster.cell.state.workers["w0"].runs["a.0.0.0"].state == "ordered"
    return cluster


@pytest.mark.parametrize("difference", [-1, 1])
def test_other_run_of_a_cancelled_job_is_stopped_at_once(difference: int) -> None:
    """It went on until the known run was found to be over, up to two polls later."""
    cluster = make_cluster()
    cluster.cancel("a")
    assert list_other_run(cluster, difference)


def test_other_run_of_a_job_that_goes_on_is_not_stopped() -> None:
    """It is adopted once the known run, whose start it refuses, is found to be over."""
    cluster = make_cluster()
    assert not list_other_run(cluster, -1)
