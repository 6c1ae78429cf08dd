"""Late copies of start orders whose runs are over, and the next boots of their workers."""

from dataclasses import replace
from typing import Any

import pytest

from quetzallock_core.cells import ended_runs
from quetzallock_core.cells.const import (
    MAX_ORDER_DELAY_MS,
    ORDER_TIMEOUT_MS,
    UNREACHABLE_TIMEOUT_MS,
)
from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.orders import StopRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import Owner, make_spec
from quetzallock_standins.emulator.deliveries import Delivery, Order

from .common import CAPACITY, POLICY, answer_as_next_boot, make_step

SETTLE_MS = 12_500
"""Longer than the emulated cluster holds an order back."""
LONG_MS = 30_000
"""Tasks of this duration are at work for longer than that."""


def make_cluster_with_late_order(count: int = 1, seed: int = 1) -> CellCluster:
    """Return a cluster with a finished job, of whose start orders the first copies are late."""
    cluster = CellCluster(workers=1, seed=seed)
    cluster.run(500)
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec("a", make_step(count)), POLICY, {0: 200})
    cluster.run(50)
    cluster.order_delay_rate = 0.0
    cluster.run(1_200)
    assert cluster.cell.find_state("a") == "completed"
    return cluster


def restart_worker(cluster: CellCluster, down_ms: int = 200) -> None:
    """Crash the worker and start it again under its id."""
    cluster.workers["w0"].crash()
    cluster.run(down_ms)
    cluster.revive("w0")


def list_stops(cluster: CellCluster) -> list[StopRun]:
    """Return the stop orders that the cell emits in its next tick, without sending them."""
    cluster.cell.pop_effects()
    cluster.cell.tick()
    return [effect for effect in cluster.cell.pop_effects() if isinstance(effect, StopRun)]


@pytest.mark.parametrize("seed", range(6))
def test_next_boots_reject_late_orders_of_finished_runs(seed: int) -> None:
    """Guards against a second run of a finished task, on whichever boot the late copy reaches."""
    cluster = make_cluster_with_late_order(count=8, seed=seed)
    for _ in range(4):
        restart_worker(cluster)
        cluster.run(1_000)
    cluster.run(SETTLE_MS)
    assert not cluster.ground_truth.violations


@pytest.mark.parametrize("seed", range(3))
def test_boot_that_returns_after_its_entry_was_dropped_rejects_the_late_order(seed: int) -> None:
    """Guards against forgetting the run with the worker's state."""
    cluster = make_cluster_with_late_order(count=8, seed=seed)
    cluster.workers["w0"].crash()
    cluster.run(2_000)
    assert not cluster.cell.state.workers
    cluster.revive("w0")
    cluster.run(SETTLE_MS)
    assert not cluster.ground_truth.violations


def test_stop_is_repeated_until_the_next_boot_answers_it() -> None:
    """Guards against a stop that is lost on its way to the next boot."""
    cluster = make_cluster_with_late_order()
    sent = cluster.counters["StopRun"]
    cluster.order_loss_rate = 1.0
    restart_worker(cluster)
    cluster.run(2_000)
    assert cluster.counters["StopRun"] - sent == 3
    cluster.order_loss_rate = 0.0
    cluster.run(1_000)
    answered = cluster.counters["StopRun"]
    cluster.run(2_000)
    assert cluster.counters["StopRun"] == answered


def test_each_next_boot_is_told_at_once() -> None:
    """Guards against a pause after the stop that an earlier boot was sent, in which a copy begins.

    The pause is for a boot that does not answer; another boot has not been asked yet.
    """
    cluster = make_cluster_with_late_order()
    for _ in range(3):
        restart_worker(cluster, down_ms=20)
        cluster.run(300)
        assert cluster.workers["w0"].highest_closed_runs


def test_next_owner_needs_no_record_as_its_first_call_refuses_the_late_order() -> None:
    """Guards against a change of the fencing on which the missing journal record relies."""
    cluster = make_cluster_with_late_order()
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(200)
    restart_worker(cluster)
    cluster.run(SETTLE_MS)
    assert not cluster.ground_truth.violations


def test_ended_run_is_forgotten_after_the_longest_delay_of_an_order() -> None:
    """Guards against orders, and memory, for runs that no order can start any more."""
    cluster = make_cluster_with_late_order()
    cluster.run(MAX_ORDER_DELAY_MS)
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.cell.handle_no_answer(cluster.cell.state.workers["w0"].boot)
    cluster.cell.handle_entries(cluster._list_entries())
    assert not list_stops(cluster)


def test_number_of_ended_runs_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unbounded memory; the latest runs are those kept."""
    monkeypatch.setattr(ended_runs, "MAX_ENDED_RUNS", 3)
    cluster = make_cluster_with_late_order(count=8)
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.cell.pop_effects()
    answer_as_next_boot(cluster, "w0")
    effects = cluster.cell.pop_effects()
    assert sum(isinstance(effect, StopRun) for effect in effects) == 3


class RejectedStops(CellCluster):
    """A cluster in which some workers reject stop orders as busy.

    Attributes:
        busy_workers: Ids of these workers.
    """

    def __init__(self, **fields: Any) -> None:
        self.busy_workers: set[str] = set()
        super().__init__(**fields)

    def _execute(self, owner: Owner, order: Order, sent_at: int, delivery: Delivery) -> None:
        if isinstance(order, StopRun) and order.worker in self.busy_workers:
            delivery = replace(delivery, is_rejected=True)
        super()._execute(owner, order, sent_at, delivery)


def make_cluster_with_waiting_task(seed: int = 1, **fields: bool) -> RejectedStops:
    """Return a cluster whose task waits for room while a copy of its start order is late.

    Its first run is over on the second boot of `w0`. The third boot is up and answers polls, but
    rejects stop orders as busy. Its entry shows no room, so that the task can start on `w1` only.
    """
    cluster = RejectedStops(workers=2, seed=seed)
    cluster.run(500)
    cluster.resize("w1", Resources())
    cluster.run(200)
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec("a", make_step(1, **fields)), POLICY, {0: LONG_MS})
    cluster.run(50)
    cluster.order_delay_rate = 0.0
    restart_worker(cluster)
    cluster.workers["w0"].resize(Resources())
    cluster.workers["w0"].publish_capacity()
    cluster.run(700)
    task = cluster.cell.state.jobs["a"].find_task(0, 0, 0)
    assert task is not None
    assert not task.runs
    cluster.busy_workers.add("w0")
    restart_worker(cluster)
    cluster.resize("w0", CAPACITY, entry_delay_ms=LONG_MS)
    cluster.run(100)
    cluster.resize("w1", CAPACITY)
    return cluster


@pytest.mark.parametrize("seed", range(6))
def test_task_does_not_start_elsewhere_before_the_next_boot_rejects_its_late_order(
    seed: int,
) -> None:
    """Guards against two runs at once: the boot carries the copy out while its stop is repeated."""
    cluster = make_cluster_with_waiting_task(seed)
    cluster.run(SETTLE_MS)
    assert not cluster.ground_truth.violations


def test_task_starts_as_soon_as_the_next_boot_rejects_its_late_order() -> None:
    """Guards against a wait that outlasts its cause."""
    cluster = make_cluster_with_waiting_task()
    cluster.run(700)
    assert not cluster.ground_truth.starts
    cluster.busy_workers.clear()
    cluster.run(ORDER_TIMEOUT_MS + 50)
    assert [worker for *_, worker in cluster.ground_truth.starts] == ["w1"]


def test_task_does_not_wait_for_a_next_boot_that_has_gone() -> None:
    """Guards against a wait for the answer of a boot that will not come."""
    cluster = make_cluster_with_waiting_task()
    cluster.workers["w0"].crash()
    cluster.run(UNREACHABLE_TIMEOUT_MS + 500)
    assert [worker for *_, worker in cluster.ground_truth.starts] == ["w1"]


def test_speculative_task_does_not_wait_for_the_next_boot() -> None:
    """Guards against a wait where two runs at once break no promise."""
    cluster = make_cluster_with_waiting_task(speculative=True)
    cluster.run(300)
    assert [worker for *_, worker in cluster.ground_truth.starts] == ["w1"]
