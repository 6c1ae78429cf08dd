"""Random faults beside false entries: the list ends no run of a worker that is up."""

from dataclasses import replace
from random import Random
from typing import Any

import pytest

from quetzallock_core.cells.models import WorkerEntry
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.workers import EmulatedWorker

from .common import submit_plain

WORKERS = 16
ROUNDS = 10
BOOT_MS = 1_000
"""`born` of the workers at first."""
FALSE_BOOT_OFFSETS_MS = (-BOOT_MS + 1, -1, 1, 1_700_000_000_000)
MAX_FALSE_ENTRIES = 8
FALSE_ENTRY_MS = (200, 3_000)
MAX_SILENT_WORKERS = 8
SILENCE_MS = (200, 3_500)
"""Shorter than a lease, so that no run ends for a silence."""
SETTLE_MS = 12_000
SEEDS = (*range(1, 13), 21, 44, 72)
"""In 10, 21, 44 and 72, two owners in a row know a worker only by a false entry."""


class FalseEntryCluster(CellCluster):
    """A cluster with entries of another writer under the ids of some workers.

    Attributes:
        false_fields: Fields that are false in the entry of each of these workers.
    """

    def __init__(self, **fields: Any) -> None:
        self.false_fields: dict[str, dict[str, Any]] = {}
        super().__init__(**fields)
        for worker in self.workers.values():
            worker.entry = replace(worker.entry, boot_ms=BOOT_MS)

    def _list_entries(self) -> dict[str, WorkerEntry]:
        return {
            worker: replace(entry, **self.false_fields.get(worker, {}))
            for worker, entry in super()._list_entries().items()
        }


def draw_workers(cluster: CellCluster, rng: Random, limit: int) -> list[EmulatedWorker]:
    """Draw up to `limit` of the workers."""
    return rng.sample(list(cluster.workers.values()), rng.randrange(limit + 1))


def write_false_entries(cluster: FalseEntryCluster, rng: Random) -> None:
    """Write entries with another boot, or with the address of another worker, for a while."""
    for worker in draw_workers(cluster, rng, MAX_FALSE_ENTRIES):
        if rng.random() < 0.6:
            fields: dict[str, Any] = {
                "boot_ms": worker.entry.boot_ms + rng.choice(FALSE_BOOT_OFFSETS_MS)
            }
        else:
            fields = {"address": rng.choice(list(cluster.workers.values())).entry.address}
        cluster.false_fields[worker.id] = fields
        cluster.schedule(
            rng.randrange(*FALSE_ENTRY_MS),
            lambda worker=worker: cluster.false_fields.pop(worker.id, None),  # type: ignore[misc]
        )


def silence_workers(cluster: CellCluster, rng: Random) -> None:
    """Cut some workers off for a while."""
    for worker in draw_workers(cluster, rng, MAX_SILENT_WORKERS):
        if worker.is_isolated:
            continue
        worker.is_isolated = True
        cluster.schedule(
            rng.randrange(*SILENCE_MS),
            lambda worker=worker: setattr(worker, "is_isolated", False),  # type: ignore[misc]
        )


def replace_owner(cluster: CellCluster, rng: Random) -> None:
    """Let the owner hand the cell over, or replace it, at times without its knowledge."""
    draw = rng.random()
    if draw < 0.4:
        cluster.hand_over()
        return
    if draw < 0.8:
        cluster.kill_owner()
    cluster.run(rng.randrange(500))
    cluster.take_over()


def play(seed: int) -> FalseEntryCluster:
    """Submit jobs among false entries and silences, and let time pass without faults."""
    cluster = FalseEntryCluster(workers=WORKERS, seed=seed)
    rng = Random(seed)
    cluster.run(500)
    for number in range(ROUNDS):
        submit_plain(
            cluster, f"j{number}", rng.randrange(4, 2 * WORKERS), rng.randrange(300, 4_000)
        )
        write_false_entries(cluster, rng)
        silence_workers(cluster, rng)
        if rng.random() < 0.25:
            replace_owner(cluster, rng)
        cluster.run(rng.randrange(200, 1_500))
    cluster.false_fields.clear()
    for worker in cluster.workers.values():
        worker.is_isolated = False
    cluster.run(SETTLE_MS)
    return cluster


@pytest.mark.parametrize("seed", SEEDS)
def test_false_entries_beside_silences_start_no_task_twice(seed: int) -> None:
    """Guards against ends of runs that neither the worker nor the end of its lease has shown."""
    cluster = play(seed)
    assert cluster.ground_truth.violations == []
    states = {job: cluster.cell.find_state(job) for job in cluster.cell.state.jobs}
    assert set(states.values()) == {"completed"}, states
