"""A run is over by the word of its worker or by its lease, whatever the list says meanwhile."""

from dataclasses import replace
from typing import Any

import pytest

from quetzallock_core.cells.const import UNREACHABLE_TIMEOUT_MS
from quetzallock_core.cells.models import PollFailure, WorkerEntry
from quetzallock_standins.emulator import CellCluster

from .common import submit_plain

WORKERS = 16
SILENT = 8
TASKS = 4 * WORKERS
SILENCE_MS = 2_500
BOOT_MS = 1_000
"""`born` of the workers."""
FALSE_BOOTS = (1, BOOT_MS - 1, BOOT_MS + 1, 1_700_000_000_000)


class FalseEntries:
    """Entries of another writer under the ids of some workers."""

    def __init__(self, cluster: CellCluster, workers: list[str], **fields: Any) -> None:
        self._cluster = cluster
        self._list_entries = cluster._list_entries
        self._workers = workers
        self._fields = fields
        cluster._list_entries = self.list  # type: ignore[method-assign]

    def list(self) -> dict[str, WorkerEntry]:
        """Return the list with the false entries."""
        entries = self._list_entries()
        for worker in self._workers:
            entries[worker] = replace(entries[worker], **self._fields)
        return entries

    def remove(self) -> None:
        """Let the workers write their own entries again."""
        self._cluster._list_entries = self._list_entries  # type: ignore[method-assign]


def make_busy_cluster() -> CellCluster:
    """Return a cluster with tasks under way on all workers."""
    cluster = CellCluster(workers=WORKERS)
    for worker in cluster.workers.values():
        worker.entry = replace(worker.entry, boot_ms=BOOT_MS)
    cluster.run(500)
    submit_plain(cluster, "a", count=TASKS, duration_ms=3_000)
    cluster.run(300)
    assert all(worker.runs for worker in cluster.workers.values())
    return cluster


def check_run_once(cluster: CellCluster) -> None:
    """Check that all tasks are done, and that each has run once."""
    cluster.run(8_000)
    assert cluster.ground_truth.violations == []
    assert cluster.cell.find_state("a") == "completed"
    assert len(cluster.ground_truth.starts) == TASKS


@pytest.mark.parametrize("boot_ms", FALSE_BOOTS)
def test_false_entry_ends_no_run_of_a_worker_that_is_silent(boot_ms: int) -> None:
    cluster = make_busy_cluster()
    silent = [f"w{number}" for number in range(SILENT)]
    entries = FalseEntries(cluster, silent, boot_ms=boot_ms)
    for worker in silent:
        cluster.workers[worker].is_isolated = True
    cluster.run(SILENCE_MS)
    for worker in silent:
        cluster.workers[worker].is_isolated = False
    cluster.run(500)
    entries.remove()
    check_run_once(cluster)


@pytest.mark.parametrize("failure", PollFailure)
def test_false_entry_and_a_poll_without_an_answer_end_no_run(failure: PollFailure) -> None:
    cluster = make_busy_cluster()
    entries = FalseEntries(cluster, ["w0"], boot_ms=BOOT_MS + 1)
    cluster.cell.handle_no_answer(cluster.cell.state.workers["w0"].boot, failure)
    cluster.cell.handle_entries(cluster._list_entries())
    cluster.run(500)
    entries.remove()
    check_run_once(cluster)


def test_false_address_ends_no_run_of_a_worker_that_is_silent() -> None:
    """After 1.5 s the listed address was taken, at which another worker answers 421."""
    cluster = make_busy_cluster()
    cluster.workers["w0"].is_isolated = True
    entries = FalseEntries(cluster, ["w0"], address=cluster.workers["w1"].entry.address)
    cluster.run(UNREACHABLE_TIMEOUT_MS + 500)
    entries.remove()
    cluster.workers["w0"].is_isolated = False
    check_run_once(cluster)
