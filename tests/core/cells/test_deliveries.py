"""Faults of the emulator in the delivery of orders and of their answers."""

from random import Random

import pytest

from quetzallock_core.cells.orders import PaceRun, StartRun, StopRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.deliveries import (
    ANSWER_DELAYS_MS,
    Delivery,
    Order,
    draw_delivery,
)

from .common import POLICY, make_step

START = StartRun("w0", 1, "w0:1", "a.0.0.0", 1, "", "", 1_000)
STOP = StopRun("w0", 1, "w0:1", "a.0.0.0", 1)
PACE = PaceRun("w0", 1, "w0:1", "a.0.0.0", 1, 50)


@pytest.mark.parametrize("order", [START, STOP, PACE])
def test_each_order_takes_one_draw_without_further_faults(order: Order) -> None:
    """Guards against other examples of all seeded tests because of a fault that they don't use."""
    cluster = CellCluster(seed=4)
    cluster.rng = Random(4)
    assert draw_delivery(cluster, order) == Delivery(2, 2)
    expected = Random(4)
    expected.random()
    assert cluster.rng.getstate() == expected.getstate()


def test_late_answer_leaves_the_order_on_time() -> None:
    cluster = CellCluster(workers=1)
    cluster.run(500)
    cluster.answer_delay_rate = 1.0
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    while not cluster.workers["w0"].runs:
        cluster.run(5)
    (run,) = cluster.cell.state.workers["w0"].runs.values()
    started_at = cluster.clock.now()
    while run.unanswered:
        cluster.run(5)
    delay_ms = cluster.clock.now() - started_at
    assert ANSWER_DELAYS_MS[0] - 5 <= delay_ms <= ANSWER_DELAYS_MS[1] + 5


def test_rejected_orders_have_no_effect() -> None:
    cluster = CellCluster(workers=1)
    cluster.run(500)
    cluster.busy_rate = 1.0
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(1_000)
    assert cluster.counters["StartRun"] > 1
    assert not cluster.ground_truth.starts
    cluster.busy_rate = 0.0
    cluster.run(1_000)
    assert cluster.ground_truth.list_running("a")
    cluster.busy_rate = 1.0
    cluster.cancel("a")
    cluster.run(1_000)
    assert cluster.ground_truth.list_running("a")
    cluster.busy_rate = 0.0
    cluster.run(1_000)
    assert not cluster.ground_truth.list_running("a")


def test_pace_orders_are_not_rejected() -> None:
    cluster = CellCluster()
    cluster.busy_rate = 1.0
    assert not draw_delivery(cluster, PACE).is_rejected
    assert draw_delivery(cluster, STOP).is_rejected
