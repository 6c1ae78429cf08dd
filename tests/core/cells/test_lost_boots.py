"""Runs that were moved to the next boot of their worker, which is lost before it answers."""

from dataclasses import replace

import pytest

from quetzallock_core.cells.const import (
    CLOCK_DRIFT,
    LEASE_MARGIN_MS,
    MAX_LEASE_MS,
    MAX_ORDER_DELAY_MS,
    UNREACHABLE_TIMEOUT_MS,
)
from quetzallock_core.cells.jobs import Run
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

LONGEST_LEASE_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
SILENCE_MS = UNREACHABLE_TIMEOUT_MS + LONGEST_LEASE_MS + 200
"""Time after which a silent boot that has answered is over."""
RESTART_MS = 1_000
LATE_START_MS = 11_000
LONG_MS = 20_000


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
        cluster.run(SILENCE_MS if state.workers[worker.id].contact_at >= 0 else 200)
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


def test_moved_run_does_not_lapse_with_the_lease_of_a_boot_that_a_late_start_may_reach() -> None:
    """Guards against a second run, as the late start begins a lease of its own."""
    cluster = CellCluster(workers=2)
    cluster.workers["w0"]._clock = float(LONG_MS)
    cluster.run(500)
    late_ms = iter((LATE_START_MS,))
    cluster.rng.randrange = lambda _start, stop: next(late_ms, stop)  # type: ignore[method-assign, assignment]
    cluster.order_delay_rate = 1.0
    cluster.workers["w1"].drain()
    cluster.run(200)
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: LONG_MS})
    cluster.run(50)
    worker = cluster.workers["w0"]
    worker.crash()
    cluster.revive("w0")
    cluster.run(400)
    assert cluster.cell.state.workers["w0"].lease_end_clock_ms
    worker.is_isolated = True
    cluster.workers["w1"].entry = replace(cluster.workers["w1"].entry, is_draining=False)
    cluster.run(UNREACHABLE_TIMEOUT_MS + LONGEST_LEASE_MS + RESTART_MS)
    cluster.order_delay_rate = 0.0
    worker.is_isolated = False
    cluster.run(2 * LONG_MS)
    assert cluster.ground_truth.violations == []
    assert cluster.cell.find_state("a") == "completed"
