"""Workers that have more ended runs than they list at once: what is not listed may have ended."""

from collections import Counter
from dataclasses import replace

import pytest

from quetzallock_core.cells.const import STALL_TIMEOUT_MS
from quetzallock_core.cells.models import Inventory, Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator import workers as emulated_workers
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.workers import MAX_ENDS_PER_INVENTORY, Answer, EmulatedWorker

from .common import POLICY, make_step, submit_plain

TINY = Resources(10, 20, 0)
TASKS = 3 * MAX_ENDS_PER_INVENTORY


def make_cluster_in_outage() -> CellCluster:
    """Return a cluster of one worker that has ended more runs than it lists.

    The store is down, so that no end is acknowledged.
    """
    cluster = CellCluster(workers=1)
    cluster.run(500)
    for number, duration_ms in enumerate((400, 600, 800)):
        spec = make_spec(f"j{number}", make_step(TASKS // 3, needs=TINY))
        cluster.submit(spec, POLICY, {0: duration_ms})
    cluster.run(200)
    cluster.is_store_up = False
    cluster.run(1_800)
    assert len(cluster.workers["w0"].ends) > 2 * MAX_ENDS_PER_INVENTORY
    return cluster


def list_repeated_tasks(cluster: CellCluster) -> list[str]:
    counts = Counter(task for _, task, _, _ in cluster.ground_truth.starts)
    return [task for task, count in counts.items() if count > 1]


def test_task_whose_end_is_not_listed_yet_does_not_run_twice() -> None:
    """The owner took its run for lost, started it again, and acknowledged the first end later."""
    cluster = make_cluster_in_outage()
    cluster.is_store_up = True
    cluster.run(3_000)
    assert [cluster.cell.find_state(f"j{number}") for number in range(3)] == 3 * ["completed"]
    assert list_repeated_tasks(cluster) == []
    assert cluster.ground_truth.violations == []


@pytest.mark.parametrize("is_planned", [False, True])
def test_task_whose_end_the_next_owner_has_not_read_yet_does_not_run_twice(
    is_planned: bool,
) -> None:
    """The next owner took the worker for read after its first inventory."""
    cluster = make_cluster_in_outage()
    if not is_planned:
        cluster.kill_owner()
    cluster.is_store_up = True
    if is_planned:
        cluster.hand_over()
    else:
        cluster.take_over()
    cluster.run(3_000)
    assert [cluster.cell.find_state(f"j{number}") for number in range(3)] == 3 * ["completed"]
    assert list_repeated_tasks(cluster) == []
    assert cluster.ground_truth.violations == []


def hide_ends(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the workers list no end, as with many others before it."""
    poll = EmulatedWorker.poll_inventory

    def poll_without_ends(
        worker: EmulatedWorker, epoch: int, ack_cursor: int, until_ms: int | None
    ) -> Inventory | Answer:
        answer = poll(worker, epoch, ack_cursor, until_ms)
        if isinstance(answer, Inventory):
            return replace(answer, ended=(), has_more_ends=True)
        return answer

    monkeypatch.setattr(emulated_workers.EmulatedWorker, "poll_inventory", poll_without_ends)


def test_run_whose_end_is_not_listed_yet_does_not_count_as_hanging(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was stopped for want of progress, and its worker was charged with a failure."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    submit_plain(cluster, "a")
    cluster.run(200)
    hide_ends(monkeypatch)
    cluster.run(2 * STALL_TIMEOUT_MS)
    assert cluster.cell.state.counters["run.stopped"] == 0
    monkeypatch.undo()
    cluster.run(500)
    assert cluster.cell.find_state("a") == "completed"
    assert list_repeated_tasks(cluster) == []
    assert cluster.ground_truth.violations == []


def test_lease_that_the_next_owner_renews_does_not_lapse_before_all_ends_are_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The recorded end of the previous owner's lease says nothing of one that was renewed."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    submit_plain(cluster, "a")
    cluster.run(200)
    cluster.hand_over()
    hide_ends(monkeypatch)
    cluster.run(2 * cluster.bounds.lease_ms)
    assert list_repeated_tasks(cluster) == []
    assert cluster.cell.state.counters["worker.unverified"] == 0
    monkeypatch.undo()
    cluster.run(500)
    assert cluster.cell.find_state("a") == "completed"
    assert list_repeated_tasks(cluster) == []
    assert cluster.ground_truth.violations == []


def test_tasks_of_a_worker_lost_before_all_its_ends_are_read_start_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing more is read of it, so the wait for its list ends with its lease."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    submit_plain(cluster, "a", count=4, duration_ms=3_000)
    cluster.run(200)
    cluster.hand_over()
    hide_ends(monkeypatch)
    cluster.run(300)
    monkeypatch.undo()
    cluster.workers["w0"].crash()
    cluster.run(2 * cluster.bounds.lease_ms)
    assert cluster.cell.find_state("a") == "completed"
    assert cluster.ground_truth.violations == []
