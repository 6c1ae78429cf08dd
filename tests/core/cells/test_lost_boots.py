"""Runs that were moved to the next boot of their worker, which is lost before it answers."""

import pytest

from quetzallock_core.cells.const import (
    CLOCK_DRIFT,
    LEASE_MARGIN_MS,
    MAX_LEASE_MS,
    MAX_ORDER_DELAY_MS,
)
from quetzallock_core.cells.jobs import Run
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

LONGEST_LEASE_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
RESTART_MS = 1_000


def lose_worker_after_restarts(cluster: CellCluster, restarts: int) -> Run:
    """Submit job `a`, and let its worker restart without an answer and be lost for good."""
    cluster.run(500)
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: 500})
    cluster.run(50)
    state = cluster.cell.state
    (run,) = next(iter(state.jobs["a"].list_tasks())).runs.values()
    worker = cluster.workers[run.worker]
    for _ in range(restarts):
        worker.crash()
        worker.has_broken_connections = False
        cluster.revive(worker.id)
        worker.is_isolated = True
        cluster.cell.handle_no_answer(state.workers[worker.id].boot)
        cluster.run(200)
        assert state.workers[worker.id].boot == (worker.id, worker.entry.boot_ms)
    worker.crash()
    cluster.order_delay_rate = 0.0
    return run


@pytest.mark.parametrize("restarts", [1, 2])
def test_task_starts_elsewhere_after_the_loss_of_a_boot_that_never_answered(restarts: int) -> None:
    """The boot was kept for good with the run that was to be stopped there."""
    cluster = CellCluster(workers=2)
    run = lose_worker_after_restarts(cluster, restarts)
    assert list(cluster.cell.state.workers[run.worker].runs.values()) == [run]
    cluster.run(MAX_ORDER_DELAY_MS + LONGEST_LEASE_MS + RESTART_MS)
    assert cluster.cell.find_state("a") == "completed"
    assert run.worker not in cluster.cell.state.workers


def test_task_does_not_start_elsewhere_while_a_late_start_may_be_at_work() -> None:
    cluster = CellCluster(workers=2)
    run = lose_worker_after_restarts(cluster, restarts=2)
    until = run.last_sent_at + MAX_ORDER_DELAY_MS + LONGEST_LEASE_MS
    cluster.run(until - cluster.clock.now() - 200)
    assert not cluster.ground_truth.starts
