"""Prints the processor time that a cell takes: `python -m tests.core.cells.measure`.

For some numbers of workers: ms to load the journal of a busy cell, and ms for each start.
"""

import time
from typing import Final

import fire

from quetzallock_core.cells import Cell
from quetzallock_core.cells.contents import read_contents
from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

CAPACITY: Final = Resources(16_000, 64_000, 0)
CLUSTER_SIZES: Final = (24, 96, 176, 246)
JOBS_PER_WORKER: Final = 0.8
TASKS_PER_JOB: Final = 40
TASKS_PER_SERVING_JOB: Final = 12


def make_busy_cluster(workers: int) -> CellCluster:
    """Return a cluster with running serving jobs, and best-effort jobs done and running."""
    cluster = CellCluster(workers=workers, capacity=CAPACITY)
    cluster.run(500)
    for number in range(workers // 8):
        step = make_step(TASKS_PER_SERVING_JOB, lasting=True, image="s", target_ms=100)
        cluster.submit(make_spec(f"serving{number}", step), POLICY, {0: None})
    for number in range(int(JOBS_PER_WORKER * workers)):
        step = make_step(TASKS_PER_JOB, fills=True, image="f")
        cluster.submit(make_spec(f"fills{number}", step), POLICY, {0: 400.0})
        cluster.run(80)
    return cluster


def measure_load(cluster: CellCluster) -> float:
    """Return the ms to decode the journal and restore a cell from it."""
    began = time.process_time()
    contents = read_contents(cluster.journal)
    cell = Cell(0, 99, cluster.bounds, cluster.clock, cluster.read_unix_ms)
    cell.restore(contents)
    return (time.process_time() - began) * 1_000


def measure_starts(cluster: CellCluster) -> float:
    """Return the ms for each start of a job of many tasks."""
    cell = cluster.cell
    cluster.submit(make_spec("last", make_step(TASKS_PER_JOB)), POLICY, {0: 400.0})
    for job in cell.state.jobs.values():
        job.is_stored = True
    cell.state.open_job(cell.state.jobs["last"])
    before = cluster.counters["StartRun"]
    began = time.process_time()
    cell.start_waiting_tasks()
    took_ms = (time.process_time() - began) * 1_000
    starts = sum(len(task.runs) for task in cell.state.jobs["last"].list_tasks())
    return took_ms / max(1, starts + cluster.counters["StartRun"] - before)


def main() -> None:
    """Print the table."""
    print("workers | journal records | load ms | ms a start")
    for workers in CLUSTER_SIZES:
        cluster = make_busy_cluster(workers)
        load = measure_load(cluster)
        starts = measure_starts(cluster)
        print(f"{workers} | {len(cluster.journal)} | {load:.0f} | {starts:.2f}")


if __name__ == "__main__":
    fire.Fire(main)
