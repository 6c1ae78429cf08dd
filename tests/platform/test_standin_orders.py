"""Tests of the faults of orders at the workers of the platform stand-in."""

from dataclasses import replace

import pytest
from twisted.internet.task import Clock

from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.orders import StartRun, StopRun
from quetzallock_platform_standin.orders import LATE_ORDER_MS, OrderFaultRates, OrderFaults
from quetzallock_standins.emulator import EmulatedWorker, GroundTruth
from quetzallock_standins.emulator.cluster import make_entry
from quetzallock_standins.emulator.workers import TaskBehaviour

JOB = "0000000000000001"
TASK = f"{JOB}.0.0.0"
LAST_EXECUTION_S = LATE_ORDER_MS[1] / 1_000


def make_worker(clock: Clock) -> EmulatedWorker:
    entry = make_entry("w0", Resources(16_000, 64_000, 0), "rack0", boot_ms=1)
    ground_truth = GroundTruth(lambda: int(clock.seconds() * 1_000))
    return EmulatedWorker(entry, ground_truth, {TASK: TaskBehaviour(Resources(500), None)})


def make_start(run: int = 1, until_ms: int = 20_000) -> StartRun:
    return StartRun("w0", 1, "w0:1", TASK, run, "lasts", "", until_ms)


def test_late_start_reaches_the_boot_of_its_time() -> None:
    clock = Clock()
    worker = make_worker(clock)
    faults = OrderFaults(clock.callLater)
    worker.stop(StopRun("w0", 1, "w0:1", TASK, 1), fence=9)
    faults.defer(worker, make_start(), fence=3)
    worker.crash()
    worker.revive(replace(worker.entry, boot_ms=2))
    clock.advance(LATE_ORDER_MS[0] / 1_000 - 0.001)
    assert (faults.pending, faults.late_starts) == (1, [])
    clock.advance(LAST_EXECUTION_S)
    assert [row[1:] for row in faults.late_starts] == [(TASK, 1, "w0")]
    assert faults.late_starts == worker.ground_truth.starts
    assert faults.pending == 0


@pytest.mark.parametrize("reason", ["fence", "late", "old", "down", "cut off"])
def test_late_start_that_the_worker_refuses_is_no_start(reason: str) -> None:
    clock = Clock()
    worker = make_worker(clock)
    faults = OrderFaults(clock.callLater)
    faults.defer(worker, make_start(until_ms=500 if reason == "late" else 20_000), fence=3)
    if reason == "fence":
        worker.poll_inventory(4, 0, None)
    elif reason == "old":
        worker.stop(StopRun("w0", 1, "w0:1", TASK, 1), fence=3)
    elif reason == "down":
        worker.crash()
    worker.is_isolated = reason == "cut off"
    clock.advance(LAST_EXECUTION_S)
    assert (worker.runs, faults.late_starts, faults.pending) == ({}, [], 0)


def test_late_stop_ends_the_run_that_is_there_then() -> None:
    clock = Clock()
    worker = make_worker(clock)
    faults = OrderFaults(clock.callLater)
    faults.defer(worker, StopRun("w0", 1, "w0:1", TASK, 1), fence=3)
    worker.start(make_start(), fence=3)
    clock.advance(LAST_EXECUTION_S)
    assert worker.runs[TASK].stops_at is not None
    assert faults.late_starts == []


def test_one_fault_at_most_is_drawn_by_the_rates() -> None:
    rates = OrderFaultRates(late=10, lost=20, refused=30, slow=15)
    drawn = [rates.choose(percent) for percent in (9.9, 10, 29.9, 30, 59.9, 60, 74.9, 75, 99)]
    assert drawn == ["late", "lost", "lost", "refused", "refused", "slow", "slow", "", ""]


def test_no_order_has_a_fault_before_rates_are_set() -> None:
    faults = OrderFaults(Clock().callLater)
    assert {faults.draw() for _ in range(1_000)} == {""}
