"""Prints the longest turns of an owner of a large job.

Run it by `python -m tests.core.cells.measure_large_job`.

A turn is a call that the daemon makes without giving other work a chance; times in ms of processor
time. Each size is played on 24 workers: the job is submitted, placed, ended in part, handed to the
next owner by its journal, and cancelled. With `after`, each step waits for the one before.
"""

import gc
import time
from collections.abc import Callable
from typing import Any

import fire

from quetzallock_core.cells import Batch, Cell
from quetzallock_core.cells.batches import BatchMaker
from quetzallock_core.cells.contents import read_contents
from quetzallock_core.cells.models import Resources, StepSpec
from quetzallock_core.codec import encode
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY

WORKERS = 24
RUN_MS = 1_500
SIZES: tuple[tuple[int, int], ...] = (
    (300, 1),
    (2_500, 1),
    (7_000, 1),
    (1, 3_000),
    (1, 30_000),
    (1, 300_000),
)
"""Steps, and tasks of each."""
KINDS: dict[str, object] = {
    "gang": True,
    "lasting": True,
    "fills": True,
    "saves": True,
    "speculative": True,
    "max_per_worker": 2,
    "max_unavailable": 1,
    "target_ms": 100,
}


class Turns:
    """The longest call of each method, in ms of processor time."""

    def __init__(self) -> None:
        self.longest: dict[str, float] = {}

    def measure(self, owner: Any, name: str) -> None:
        """Measure the calls of a method from now on."""
        method: Callable[..., Any] = getattr(owner, name)

        def call(*args: Any, **kwargs: Any) -> Any:
            began_s = time.process_time()
            result = method(*args, **kwargs)
            took_ms = (time.process_time() - began_s) * 1_000
            self.longest[name] = max(took_ms, self.longest.get(name, 0.0))
            return result

        setattr(owner, name, call)


def encode_batch(batch: Batch) -> list[bytes]:
    """Encode the records of a batch, as the journal does."""
    return [encode(record.value) for record in batch.records if record.value is not None]


def measure(
    steps: int, count: int, needs: Resources, is_chain: bool, kind: str
) -> dict[str, float]:
    """Return the longest turns in ms by name."""
    fields: dict[str, Any] = {kind: KINDS[kind]} if kind else {}
    turns = Turns()
    duration_ms = None if kind in ("lasting", "max_unavailable", "target_ms") else 50
    cluster = CellCluster(workers=WORKERS)
    cluster.run(500)
    specs = [
        StepSpec(
            count,
            needs,
            estimate_ms=50,
            after=(number - 1,) if is_chain and number else (),
            **({"lasting": True} if kind in ("max_unavailable", "target_ms") else {}),
            **fields,
        )
        for number in range(steps)
    ]
    names = ("submit", "start_waiting_tasks", "tick", "handle_inventory", "cancel")
    restore, pop, durable = Cell.restore, BatchMaker.pop_batch, BatchMaker.handle_durable
    originals = {name: getattr(Cell, name) for name in names}
    try:
        for name in (*names, "restore", "find_state", "count_pending"):
            originals.setdefault(name, getattr(Cell, name))
            turns.measure(Cell, name)
        turns.measure(BatchMaker, "pop_batch")
        turns.measure(BatchMaker, "handle_durable")
        cluster.submit(make_spec("a", *specs), POLICY, dict.fromkeys(range(steps), duration_ms))
        cluster.run(RUN_MS)
        cluster.cell.find_state("a")
        cluster.cell.count_pending(POLICY.queue)
        job = cluster.cell.state.jobs["a"]
        cluster.cell.state.dirty[job] = None
        began_s = time.process_time()
        encode_batch(cluster.cell.batches.pop_batch())
        turns.longest["pop and encode"] = (time.process_time() - began_s) * 1_000
        began_s = time.process_time()
        contents = read_contents(cluster.journal)
        turns.longest["read_contents"] = (time.process_time() - began_s) * 1_000
        assert contents.jobs
        cluster.kill_owner()
        cluster.take_over()
        cluster.run(300)
        cluster.cancel("a")
        cluster.run(300)
    finally:
        for name, method in originals.items():
            setattr(Cell, name, method)
        Cell.restore = restore  # type: ignore[method-assign]
        BatchMaker.pop_batch = pop  # type: ignore[method-assign]
        BatchMaker.handle_durable = durable  # type: ignore[method-assign]
    return turns.longest


def run(cpu: int = 500, chain: bool = False, most_tasks: int = 300_000, kind: str = "") -> None:
    """Print the longest turns for each size.

    Args:
        cpu: Processor that each task needs, in thousandths of a core.
        chain: Let each step wait for the one before.
        most_tasks: Largest size measured, in tasks.
        kind: A field of `KINDS` that all steps have.
    """
    for steps, count in SIZES:
        if steps * count > most_tasks:
            continue
        gc.collect()
        gc.disable()
        turns = measure(steps, count, Resources(cpu, 64, 0), chain, kind)
        gc.enable()
        rows = sorted(turns.items(), key=lambda item: -item[1])
        print(
            f"{steps} steps x {count}:",
            ", ".join(f"{name} {took:.0f}" for name, took in rows if took >= 1),
            flush=True,
        )


if __name__ == "__main__":
    fire.Fire(run)
