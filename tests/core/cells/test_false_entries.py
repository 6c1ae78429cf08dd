"""Entries of a worker that another writer has written: the word of the worker counts."""

from dataclasses import replace

import pytest

from quetzallock_core.cells.const import (
    CLOCK_DRIFT,
    LEASE_MARGIN_MS,
    MAX_LEASE_MS,
    UNREACHABLE_TIMEOUT_MS,
)
from quetzallock_standins.emulator import CellCluster

from .common import submit_plain

ENTRIES_READ_MS = 300
LONGEST_LEASE_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS


def make_busy_cluster() -> CellCluster:
    """Return a cluster with a job under way on all workers."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    submit_plain(cluster, "a", count=8, duration_ms=3_000)
    cluster.run(300)
    assert all(worker.runs for worker in cluster.workers.values())
    return cluster


@pytest.mark.parametrize("boot_ms", [2, 1_700_000_000_000])
def test_entry_with_another_boot_does_not_end_the_runs_of_a_worker_that_answers(
    monkeypatch: pytest.MonkeyPatch, boot_ms: int
) -> None:
    """Its tasks were started elsewhere at once, and ran twice until the first runs were stopped."""
    cluster = make_busy_cluster()
    entries = cluster._list_entries()
    entries["w0"] = replace(entries["w0"], boot_ms=boot_ms)
    monkeypatch.setattr(cluster, "_list_entries", lambda: entries)
    cluster.run(1_500)
    monkeypatch.undo()
    cluster.run(3_000)
    assert cluster.cell.find_state("a") == "completed"
    assert len(cluster.ground_truth.starts) == 8
    assert cluster.ground_truth.violations == []


def test_entry_with_the_address_of_another_worker_does_not_end_the_runs_of_its_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The 421 of the other worker ended the boot for good: its tasks ran twice, unpolled."""
    cluster = make_busy_cluster()
    boot = cluster.cell.state.workers["w0"].boot
    entries = cluster._list_entries()
    entries["w0"] = replace(entries["w0"], address=entries["w1"].address)
    monkeypatch.setattr(cluster, "_list_entries", lambda: entries)
    cluster.run(300)
    monkeypatch.undo()
    cluster.run(4_000)
    assert cluster.cell.find_state("a") == "completed"
    assert len(cluster.ground_truth.starts) == 8
    assert cluster.ground_truth.violations == []
    assert boot not in cluster.cell.state.ended_boots


def test_worker_with_a_false_entry_gets_tasks_again_after_its_next_own_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    cluster = CellCluster(workers=1)
    cluster.run(500)
    entries = cluster._list_entries()
    entries["w0"] = replace(entries["w0"], boot_ms=2)
    monkeypatch.setattr(cluster, "_list_entries", lambda: entries)
    cluster.run(1_500)
    monkeypatch.undo()
    submit_plain(cluster, "a")
    cluster.run(1_500)
    assert cluster.cell.find_state("a") == "completed"


def test_worker_that_starts_again_is_known_by_its_next_boot_soon() -> None:
    cluster = make_busy_cluster()
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.run(ENTRIES_READ_MS)
    worker = cluster.cell.state.workers["w0"]
    assert worker.entry.boot_ms == cluster.workers["w0"].entry.boot_ms
    cluster.run(6_000)
    assert cluster.cell.find_state("a") == "completed"
    assert cluster.ground_truth.violations == []


def test_silent_worker_is_replaced_by_its_next_boot_once_its_lease_has_lapsed() -> None:
    """Its connections may go silent without a reset, so that no poll fails at once."""
    cluster = make_busy_cluster()
    boot = cluster.cell.state.workers["w0"].boot
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.workers["w0"].has_broken_connections = False
    cluster.workers["w0"].is_isolated = True
    cluster.run(MAX_LEASE_MS - ENTRIES_READ_MS)
    assert cluster.cell.state.workers["w0"].boot == boot
    cluster.run(UNREACHABLE_TIMEOUT_MS + LONGEST_LEASE_MS - MAX_LEASE_MS + 2 * ENTRIES_READ_MS)
    worker = cluster.cell.state.workers["w0"]
    assert worker.entry.boot_ms == cluster.workers["w0"].entry.boot_ms


def test_next_boot_at_another_address_is_known_by_its_answer_there() -> None:
    cluster = make_busy_cluster()
    cluster.workers["w0"].crash()
    cluster.revive("w0", address="w0:2")
    cluster.run(2 * ENTRIES_READ_MS)
    worker = cluster.cell.state.workers["w0"]
    assert worker.entry.boot_ms == cluster.workers["w0"].entry.boot_ms
    assert worker.inventory_at >= 0
    cluster.run(6_000)
    assert cluster.cell.find_state("a") == "completed"
    assert cluster.ground_truth.violations == []


def test_worker_of_a_service_that_no_queue_names_gets_no_task() -> None:
    cluster = CellCluster(workers=2)
    other = cluster.workers["w0"]
    other.entry = replace(other.entry, service="unnamed")
    cluster.run(500)
    submit_plain(cluster, "a", count=8)
    cluster.run(3_000)
    assert cluster.cell.find_state("a") == "completed"
    assert {worker for _, _, _, worker in cluster.ground_truth.starts} == {"w1"}
