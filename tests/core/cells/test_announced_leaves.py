"""Workers that have left as announced: their tasks wait for the shorter lease of a draining one."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from quetzallock_core.cells.const import (
    CLOCK_DRIFT,
    DRAINING_LEASE_MS,
    LEASE_MARGIN_MS,
    MAX_LEASE_MS,
)
from quetzallock_core.cells.models import PollFailure, Resources, WorkerEntry
from quetzallock_standins.emulator import CellCluster, EmulatedWorker
from quetzallock_standins.emulator.cluster import (
    INVENTORY_POLL_INTERVAL_MS,
    make_spec,
)

from .common import POLICY, make_step

DRAIN_MS = 2_000
SEEN_MS = 1_000
"""Time for two polls, the entries and a tick, well below a lease."""
LAPSED_MS = int((MAX_LEASE_MS - DRAIN_MS) / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS + SEEN_MS
"""Time after which the last lease before the announcement has lapsed, and tasks run elsewhere."""
LONG_MS = 2 * MAX_LEASE_MS
TASKS = 6
LOCAL_FAILURE = PollFailure.NOT_CONNECTED


def make_full_cluster() -> tuple[CellCluster, EmulatedWorker]:
    """Return a cluster full of lasting tasks, and a worker whose leave is announced."""
    cluster = CellCluster(workers=3, capacity=Resources(2_000, 8_000, 0))
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(TASKS, lasting=True)), POLICY, {0: None})
    cluster.run(1_000)
    leaving = cluster.workers["w0"]
    leaving.drain()
    cluster.run(DRAIN_MS)
    assert len(leaving.runs) == 2
    return cluster, leaving


def count_running(cluster: CellCluster) -> int:
    """Return the number of tasks that run."""
    return len(cluster.ground_truth.list_running("a"))


def test_lasting_tasks_wait_no_longer_than_the_lease_of_a_worker_that_has_left() -> None:
    cluster, leaving = make_full_cluster()
    leaving.leave()
    cluster.join_worker()
    cluster.run(LAPSED_MS)
    assert count_running(cluster) == TASKS
    assert not cluster.ground_truth.violations


@pytest.mark.parametrize("ms_before", [0, 2 * INVENTORY_POLL_INTERVAL_MS, 300])
@pytest.mark.parametrize("hand_overs", [1, 2])
def test_new_owners_wait_no_longer_than_the_lease_of_a_worker_that_has_left(
    hand_overs: int, ms_before: int
) -> None:
    cluster, leaving = make_full_cluster()
    leaving.leave()
    cluster.join_worker()
    cluster.run(ms_before)
    for _ in range(hand_overs):
        cluster.hand_over()
        cluster.run(INVENTORY_POLL_INTERVAL_MS)
    cluster.run(LAPSED_MS - ms_before)
    assert count_running(cluster) == TASKS
    assert not cluster.ground_truth.violations


def test_lasting_tasks_wait_no_longer_than_the_lease_of_a_worker_whose_machine_has_left() -> None:
    cluster, leaving = make_full_cluster()
    leaving.leave(is_silent=True)
    cluster.join_worker()
    cluster.run(LAPSED_MS)
    assert count_running(cluster) == TASKS
    assert not cluster.ground_truth.violations


def break_connections(_cluster: CellCluster, worker: EmulatedWorker) -> None:
    """Reset the connections of a worker that goes on."""
    worker.has_broken_connections = True


def cut_off(_cluster: CellCluster, worker: EmulatedWorker) -> None:
    """Let no call reach a worker."""
    worker.is_isolated = True


def close_listener(_cluster: CellCluster, worker: EmulatedWorker) -> None:
    """Let a worker that goes on reject connections."""
    worker.is_listener_closed = True


def reset_and_cut_off(_cluster: CellCluster, worker: EmulatedWorker) -> None:
    """Reset the connections of a worker that goes on, and let it accept no others."""
    worker.has_broken_connections = True
    worker.is_silent = True


def delete_entry(cluster: CellCluster, worker: EmulatedWorker) -> None:
    """Delete the entry of a worker that goes on."""
    cluster.unlisted_workers.add(worker.id)


def falsify_address(cluster: CellCluster, worker: EmulatedWorker) -> None:
    """Cut a worker off, give its entry an address where nothing listens, and delete it later."""
    worker.is_isolated = True
    list_entries = cluster._list_entries

    def list_false_entries() -> dict[str, WorkerEntry]:
        entries = list_entries()
        if worker.id in entries:
            entries[worker.id] = replace(entries[worker.id], address="nobody:1")
        return entries

    cluster._list_entries = list_false_entries  # type: ignore[method-assign]
    cluster.schedule(2_000, lambda: delete_entry(cluster, worker))


def exhaust_descriptors(cluster: CellCluster, worker: EmulatedWorker) -> None:
    """Let the owner's connections to a worker that goes on fail on the owner's own host."""
    worker.is_isolated = True
    boot = worker.id, worker.entry.boot_ms
    for ms in range(100, 2_000, 100):
        cluster.schedule(ms, lambda: cluster._handle_failure(cluster.owner, boot, LOCAL_FAILURE))


FALSE_SIGNS: list[tuple[Callable[[CellCluster, Any], None], ...]] = [
    (delete_entry,),
    (cut_off, delete_entry),
    (close_listener,),
    (falsify_address,),
    (delete_entry, break_connections),
    (delete_entry, break_connections, exhaust_descriptors),
    (delete_entry, close_listener),
    (delete_entry, reset_and_cut_off),
]


@pytest.mark.parametrize("hand_overs", [0, 1])
@pytest.mark.parametrize(
    "signs", FALSE_SIGNS, ids=lambda signs: "-".join(sign.__name__ for sign in signs)
)
def test_tasks_do_not_start_elsewhere_while_a_draining_worker_may_run_them(
    signs: tuple[Callable[[CellCluster, Any], None], ...], hand_overs: int
) -> None:
    cluster, draining = make_full_cluster()
    for sign in signs:
        sign(cluster, draining)
    for _ in range(hand_overs):
        cluster.hand_over()
    cluster.join_worker()
    cluster.run(DRAINING_LEASE_MS // 2)
    cluster.run(LONG_MS)
    assert not cluster.ground_truth.violations


def test_a_listener_that_is_back_at_once_does_not_end_the_runs_of_a_worker() -> None:
    cluster, draining = make_full_cluster()
    delete_entry(cluster, draining)
    for _ in range(10):
        draining.is_listener_closed = True
        cluster.run(INVENTORY_POLL_INTERVAL_MS)
        draining.is_listener_closed = False
        cluster.run(2 * INVENTORY_POLL_INTERVAL_MS)
    assert cluster.cell.state.counters["run.lapsed"] == 0
    assert count_running(cluster) == TASKS


def test_runs_of_a_worker_that_has_not_announced_its_leave_wait_for_its_lease() -> None:
    cluster, silent = make_full_cluster()
    silent.entry = replace(silent.entry, is_draining=False)
    cluster.run(SEEN_MS)
    close_listener(cluster, silent)
    delete_entry(cluster, silent)
    cluster.join_worker()
    cluster.run(LONG_MS)
    assert not cluster.ground_truth.violations


def test_late_start_order_to_a_worker_that_left_is_rejected_by_its_next_boot() -> None:
    cluster = CellCluster(workers=1)
    cluster.run(500)
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec("a", make_step(4, lasting=True)), POLICY, {0: None})
    cluster.run(20)
    cluster.order_delay_rate = 0.0
    leaving = cluster.workers["w0"]
    leaving.drain()
    cluster.run(200)
    leaving.leave()
    cluster.join_worker()
    cluster.run(MAX_LEASE_MS + SEEN_MS)
    assert not cluster.cell.state.workers["w1"].is_idle
    cluster.revive("w0")
    cluster.run(LONG_MS)
    assert count_running(cluster) == 4
    assert not cluster.ground_truth.violations
