"""The free capacity of the workers over time, from their record of states, starts and ends."""

from bisect import bisect_right
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from .fault_log import Span
from .runs import list_runs


@dataclass(frozen=True, slots=True)
class FreeCapacity:
    """Free processor of ready workers that are large enough, in thousandths of a core.

    Attributes:
        total: Of all of them together.
        largest: Of the one with most of it.
    """

    total: int
    largest: int


@dataclass(frozen=True, slots=True)
class _ReadyWorker:
    offered: int
    free: int


class CapacityTimeline:
    """Free capacity at each time of a record; runs that are being stopped count as well."""

    def __init__(self, record: dict[str, Any]) -> None:
        """Read a record of the platform stand-in.

        Args:
            record: The record: `starts`, `ends`, `worker_states` and `task_cpu`.
        """
        self._times: list[float] = []
        self._workers: list[list[_ReadyWorker]] = []
        self._offered: dict[str, int] = {}
        self._used: Counter[str] = Counter()
        task_cpu = record["task_cpu"]
        changes: list[tuple[float, str, str, int]] = [
            (at, worker, state, cpu) for at, worker, state, cpu in record["worker_states"]
        ]
        for run in list_runs(record):
            changes.append((run.started_at, run.worker, "", task_cpu[run.task]))
            if run.ended_at < float("inf"):
                changes.append((run.ended_at, run.worker, "", -task_cpu[run.task]))
        for at, worker, state, cpu in sorted(changes):
            self._apply(worker, state, cpu)
            self._times.append(at)
            self._workers.append(self._list_ready())

    def _apply(self, worker: str, state: str, cpu: int) -> None:
        if not state:
            self._used[worker] += cpu
        elif state == "ready":
            self._offered[worker] = cpu
        else:
            self._offered.pop(worker, None)

    def _list_ready(self) -> list["_ReadyWorker"]:
        return [
            _ReadyWorker(cpu, max(0, cpu - self._used[worker]))
            for worker, cpu in self._offered.items()
        ]

    def list_between(
        self, begin: float, end: float, cpu: int = 0
    ) -> Iterator[tuple[Span, FreeCapacity]]:
        """Yield the spans between two times in which nothing changes, in order.

        Args:
            begin: The first time.
            end: The last time.
            cpu: Smaller workers do not count.
        """
        index = max(0, bisect_right(self._times, begin) - 1)
        while index < len(self._times) and self._times[index] < end:
            until = self._times[index + 1] if index + 1 < len(self._times) else end
            span = (max(begin, self._times[index]), min(end, until))
            if span[0] < span[1]:
                free = [worker.free for worker in self._workers[index] if worker.offered >= cpu]
                yield span, FreeCapacity(sum(free), max(free, default=0))
            index += 1
