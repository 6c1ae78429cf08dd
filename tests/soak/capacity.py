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
    """Free processor of the workers that are ready, in thousandths of a core.

    Attributes:
        total: Of all of them together.
        largest: Of the one with most of it.
    """

    total: int
    largest: int


class CapacityTimeline:
    """Free capacity at each time of a record; runs that are being stopped count as well."""

    def __init__(self, record: dict[str, Any]) -> None:
        """Read a record of the platform stand-in.

        Args:
            record: The record: `starts`, `ends`, `worker_states` and `task_cpu`.
        """
        self._times: list[float] = []
        self._free: list[FreeCapacity] = []
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
            self._free.append(self._compute())

    def _apply(self, worker: str, state: str, cpu: int) -> None:
        if not state:
            self._used[worker] += cpu
        elif state == "ready":
            self._offered[worker] = cpu
        else:
            self._offered.pop(worker, None)

    def _compute(self) -> FreeCapacity:
        free = [max(0, cpu - self._used[worker]) for worker, cpu in self._offered.items()]
        return FreeCapacity(sum(free), max(free, default=0))

    def list_between(self, begin: float, end: float) -> Iterator[tuple[Span, FreeCapacity]]:
        """Yield the spans between two times in which the free capacity is the same, in order."""
        index = max(0, bisect_right(self._times, begin) - 1)
        while index < len(self._times) and self._times[index] < end:
            until = self._times[index + 1] if index + 1 < len(self._times) else end
            span = (max(begin, self._times[index]), min(end, until))
            if span[0] < span[1]:
                yield span, self._free[index]
            index += 1
