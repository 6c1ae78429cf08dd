"""A run is over by an answer only if that answer excludes that it goes on."""

from dataclasses import replace

import pytest

from quetzallock_core.cells.jobs import Run
from quetzallock_core.cells.models import Inventory
from quetzallock_core.cells.orders import StartRun, StopRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.workers import EmulatedWorker

from .common import submit_plain

LONG_MS = 4_000
SILENCE_MS = 1_000


@pytest.fixture
def cluster() -> CellCluster:
    """Return a cluster of two workers, one of which is to start a task; no order has arrived."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    cluster.holds_orders = True
    submit_plain(cluster, "a", count=1, duration_ms=LONG_MS)
    cluster.run(50)
    assert find_run(cluster).state == "ordered"
    return cluster


def find_run(cluster: CellCluster) -> Run:
    """Return the only run."""
    (run,) = [run for worker in cluster.cell.state.workers.values() for run in worker.runs.values()]
    return run


def make_order(cluster: CellCluster) -> StartRun:
    """Return the start order of the only run."""
    run = find_run(cluster)
    entry = cluster.cell.state.workers[run.worker].entry
    return StartRun(
        entry.worker, entry.boot_ms, entry.address, run.task.name, run.number, "", "", run.until_ms
    )


def answer_start(cluster: CellCluster, order: StartRun, outcome: str) -> None:
    """Let the owner process an answer to a start order."""
    clock_ms = cluster.workers[order.worker].clock_ms
    cluster.cell.answers.handle_start_answer(order, outcome, clock_ms, cluster.clock.now())
    cluster.run_effects(cluster.owner)


def answer_stop(cluster: CellCluster, start: StartRun) -> None:
    """Let the worker carry out the stop of a run, and the owner process the answer."""
    order = StopRun(start.worker, start.boot_ms, start.address, start.task, start.run)
    answer = cluster.workers[start.worker].stop(order, cluster.owner.epoch)
    cluster.cell.answers.handle_stop_answer(
        order, answer.outcome, answer.clock_ms, cluster.clock.now()
    )
    cluster.run_effects(cluster.owner)


def check_run_once_at_a_time(cluster: CellCluster, silent_worker: str) -> None:
    """Check that the task gets done without two runs at once.

    The worker drains, so that the task would start on the other one, and is silent at first, so
    that no inventory shows in time that the run goes on.
    """
    cluster.holds_orders = False
    cluster.workers[silent_worker].drain()
    cluster.workers[silent_worker].is_isolated = True
    cluster.run(SILENCE_MS)
    cluster.workers[silent_worker].is_isolated = False
    cluster.run(3 * LONG_MS)
    assert cluster.ground_truth.violations == []
    assert cluster.cell.find_state("a") == "completed"


@pytest.mark.parametrize("outcome", ["late", "room", "busy", "bad"])
def test_run_is_stopped_if_an_earlier_copy_of_a_refused_start_may_be_carried_out(
    cluster: CellCluster, outcome: str
) -> None:
    """Guards against a second run while the first copy's goes on, as polls extend its lease."""
    order, run = make_order(cluster), find_run(cluster)
    run.unanswered = 2
    cluster.workers[order.worker].start(order, cluster.owner.epoch)
    answer_start(cluster, order, outcome)
    assert run.state == "stopping"
    check_run_once_at_a_time(cluster, order.worker)


@pytest.mark.parametrize("outcome", ["late", "room", "busy", "bad"])
def test_refusal_of_the_only_copy_ends_the_run(cluster: CellCluster, outcome: str) -> None:
    """Guards against a task that waits for a stop although nothing can be running."""
    order, run = make_order(cluster), find_run(cluster)
    answer_start(cluster, order, outcome)
    assert run.state == "over"
    check_run_once_at_a_time(cluster, order.worker)


@pytest.mark.parametrize("is_listed", [True, False])
@pytest.mark.parametrize("outcome", ["late", "room", "busy", "bad"])
def test_refused_copy_of_a_start_that_was_carried_out_ends_no_run_that_is_being_stopped(
    cluster: CellCluster, outcome: str, is_listed: bool
) -> None:
    """Guards against a second run before the end of the first one, whose stop is unanswered."""
    order, run = make_order(cluster), find_run(cluster)
    run.unanswered = 2
    cluster.workers[order.worker].start(order, cluster.owner.epoch)
    answer_start(cluster, order, "ok")
    if is_listed:
        cluster.run(300)
    assert run.is_listed is is_listed
    cluster.cell.state.stop_run(run, "preempted")
    answer_start(cluster, order, outcome)
    assert run.state == "stopping"
    check_run_once_at_a_time(cluster, order.worker)


def make_list(cluster: CellCluster, worker: EmulatedWorker) -> Inventory:
    """Return the list that a worker makes now."""
    inventory = worker.poll_inventory(cluster.owner.epoch, 0, None)
    assert isinstance(inventory, Inventory)
    return inventory


def read_list(
    cluster: CellCluster, worker: EmulatedWorker, inventory: Inventory, asked_at: int
) -> None:
    """Let the owner process a list, to which the worker sets its clock only now."""
    stamped = replace(inventory, clock_ms=worker.clock_ms)
    boot = worker.id, worker.entry.boot_ms
    cluster.cell.handle_inventory(boot, stamped, asked_at)
    cluster.run_effects(cluster.owner)


def advance(cluster: CellCluster, ms: int) -> None:
    """Let time pass in which the owner processes nothing."""
    cluster.clock.advance(ms)
    for worker in cluster.workers.values():
        worker.advance(ms)


@pytest.mark.parametrize("early_ms", [0, 1, 400])
def test_list_that_was_asked_for_before_the_answer_to_the_start_ends_no_run(
    cluster: CellCluster, early_ms: int
) -> None:
    """Guards against a list that a worker makes before the start, and stamps after it."""
    order, run = make_order(cluster), find_run(cluster)
    worker = cluster.workers[order.worker]
    inventory, asked_at = make_list(cluster, worker), cluster.clock.now()
    advance(cluster, early_ms)
    worker.start(order, cluster.owner.epoch)
    answer_start(cluster, order, "ok")
    worker.advance(50)
    read_list(cluster, worker, inventory, asked_at)
    assert run.state == "running"
    check_run_once_at_a_time(cluster, order.worker)


def test_list_that_was_asked_for_after_the_answer_to_the_start_shows_that_the_run_is_over(
    cluster: CellCluster,
) -> None:
    """Guards against a task that waits for the lease although its worker does not know it."""
    order, run = make_order(cluster), find_run(cluster)
    worker = cluster.workers[order.worker]
    answer_start(cluster, order, "old")
    advance(cluster, 1)
    read_list(cluster, worker, make_list(cluster, worker), cluster.clock.now())
    assert run.state == "over"


@pytest.mark.parametrize("early_ms", [0, 1, 400])
def test_list_that_was_asked_for_before_the_answer_to_the_stop_ends_no_run(
    cluster: CellCluster, early_ms: int
) -> None:
    """Guards against a second run beside one whose start came late, and whose stop takes long."""
    order, run = make_order(cluster), find_run(cluster)
    worker = cluster.workers[order.worker]
    cluster.cell.state.stop_run(run, "preempted")
    inventory, asked_at = make_list(cluster, worker), cluster.clock.now()
    advance(cluster, early_ms)
    worker.start(order, cluster.owner.epoch)
    answer_stop(cluster, order)
    worker.advance(cluster.bounds.stop_ms + 50)
    read_list(cluster, worker, inventory, asked_at)
    assert run.state == "stopping"


def test_list_that_was_asked_for_after_the_answer_to_the_stop_shows_that_the_run_is_over(
    cluster: CellCluster,
) -> None:
    """Guards against a wait for the time of a stop, or the lease, where nothing has run."""
    order, run = make_order(cluster), find_run(cluster)
    worker = cluster.workers[order.worker]
    cluster.cell.state.stop_run(run, "preempted")
    answer_stop(cluster, order)
    advance(cluster, 1)
    read_list(cluster, worker, make_list(cluster, worker), cluster.clock.now())
    assert run.state == "over"


def test_run_that_an_earlier_list_had_is_over_when_a_list_lacks_it(cluster: CellCluster) -> None:
    order, run = make_order(cluster), find_run(cluster)
    worker = cluster.workers[order.worker]
    worker.start(order, cluster.owner.epoch)
    read_list(cluster, worker, make_list(cluster, worker), cluster.clock.now())
    assert run.is_listed
    worker.runs.clear()
    read_list(cluster, worker, make_list(cluster, worker), cluster.clock.now())
    assert run.state == "over"


def test_unanswered_start_is_over_once_its_lease_end_has_passed(cluster: CellCluster) -> None:
    order, run = make_order(cluster), find_run(cluster)
    worker = cluster.workers[order.worker]
    inventory, asked_at = make_list(cluster, worker), cluster.clock.now()
    worker.advance(order.until_ms - worker.clock_ms)
    read_list(cluster, worker, inventory, asked_at)
    assert run.state == "ordered"
    worker.advance(5)
    read_list(cluster, worker, inventory, asked_at)
    assert run.state == "over"
