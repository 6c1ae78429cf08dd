"""Prints the processor time of an owner under a flood: `python -m tests.core.cells.measure_flood`.

The digest covers all orders and decisions: two versions of the code with the same digest have
decided the same. Garbage is not collected, as most of it is the emulator's.
"""

import gc
import time
from collections.abc import Callable
from typing import Any

import fire

from quetzallock_core.cells import Cell
from quetzallock_core.cells.defragmentation import Defragmentation
from quetzallock_core.cells.headroom import Headroom
from quetzallock_core.cells.migration import Migration
from quetzallock_core.cells.preemption import Preemption
from quetzallock_core.cells.room import RoomMaking
from quetzallock_core.cells.waiting import WaitReporter

from .lasting_flood import make_cluster, play_flood

MEASURED: tuple[tuple[type, str], ...] = (
    (Cell, "handle_inventory"),
    (Cell, "tick"),
    (Cell, "start_waiting_tasks"),
    (Preemption, "preempt_for_waiting_tasks"),
    (RoomMaking, "make"),
    (WaitReporter, "report"),
    (Migration, "migrate_from_leaving_workers"),
    (Defragmentation, "move_for_waiting_task"),
    (Headroom, "update"),
)


class CallTimes:
    """Processor time of the calls of one method.

    Attributes:
        calls: Number of calls.
        total_s: Their processor time.
        longest_s: That of the longest.
    """

    def __init__(self, owner: type, name: str) -> None:
        self.calls = 0
        self.total_s = 0.0
        self.longest_s = 0.0
        setattr(owner, name, self._wrap(getattr(owner, name)))

    def _wrap(self, method: Callable[..., Any]) -> Callable[..., Any]:
        def call(*args: Any) -> Any:
            began_s = time.process_time()
            result = method(*args)
            took_s = time.process_time() - began_s
            self.calls += 1
            self.total_s += took_s
            self.longest_s = max(self.longest_s, took_s)
            return result

        return call


def main(workers: int = 176, lasting_jobs: int = 19, other_jobs: int = 40) -> None:
    """Print the table; jobs are those of one burst, and of one second."""
    times = {f"{owner.__name__}.{name}": CallTimes(owner, name) for owner, name in MEASURED}
    cluster = make_cluster(workers)
    gc.disable()
    play_flood(cluster, lasting_jobs, other_jobs)
    print("part | calls | total ms | longest ms")
    for name, time_of in times.items():
        total_ms, longest_ms = 1_000 * time_of.total_s, 1_000 * time_of.longest_s
        print(f"{name} | {time_of.calls} | {total_ms:.0f} | {longest_ms:.1f}")
    print("digest", cluster.digest.hexdigest())


if __name__ == "__main__":
    fire.Fire(main)
