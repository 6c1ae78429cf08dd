"""Keeps room for one more long-running task in each pool, for the tasks of the next lost worker.

For floods of new long-running tasks: they would fill all workers, so that a task that loses its
worker would find no room until another one is cancelled.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import nlargest
from typing import Final

from .jobs import Task
from .workers import Worker

MAX_SPARE_SHARE: Final = 0.03
"""Largest share of a pool's CPU that is kept for this. A small pool keeps nothing: there one place
is much of what its users pay for."""

_Group = tuple[str, str]
"""Service and label of workers; the label is empty for all workers of a service."""


@dataclass(slots=True)
class _Workers:
    """The workers of one group.

    Attributes:
        workers: Those that accept tasks.
        capacity: Their CPU, in thousandths of a core.
        largest_cpu: CPU of the largest long-running task that runs and is bound to the group.
    """

    workers: list[Worker] = field(default_factory=list)
    capacity: int = 0
    largest_cpu: int = 0

    def compute_kept(self, new_cpu: int) -> int:
        """Return the CPU that is kept on one worker, once a task of `new_cpu` has started."""
        kept = max(self.largest_cpu, new_cpu)
        return kept if kept <= MAX_SPARE_SHARE * self.capacity else 0


class SpareRoom:
    """The room that new long-running tasks leave free for displaced ones.

    Short tasks may use it, as they are stopped for a displaced task. Only CPU is kept.
    """

    def __init__(self) -> None:
        self._groups: defaultdict[_Group, _Workers] = defaultdict(_Workers)

    def update(self, workers: Iterable[Worker], now: int) -> None:
        """Update the groups: one for each pool, and for each label that its tasks need."""
        self._groups.clear()
        listed = list(workers)
        for worker in listed:
            if worker.lasting_count:
                self._add_largest(worker)
        for worker in listed:
            if worker.can_accept_task(now):
                for group in self._list_groups(worker):
                    group.workers.append(worker)
                    group.capacity += worker.entry.capacity.cpu

    def _add_largest(self, worker: Worker) -> None:
        for run in worker.runs.values():
            spec = run.task.spec
            if spec.lasting and not spec.fills:
                group = self._groups[run.task.job.policy.service, spec.required_label]
                group.largest_cpu = max(group.largest_cpu, spec.needs.cpu)

    def _list_groups(self, worker: Worker) -> list[_Workers]:
        service = worker.entry.service
        return [self._groups[service, label] for label in ("", *worker.entry.labels)]

    def is_taken_by(self, task: Task, worker: Worker) -> bool:
        """Return whether a start of `task` on `worker` would leave too little room.

        Only a long-running task that never ran is held back.
        """
        if not _is_held_back(task):
            return False
        new_cpu = task.spec.needs.cpu
        return not all(_keeps_room(one, worker, new_cpu) for one in self._list_groups(worker))

    def may_start(self, task: Task) -> bool:
        """Return whether there is a worker where a start of `task` would leave enough room.

        What short tasks hold there counts as free, as runs may be preempted for `task`.
        """
        if not _is_held_back(task):
            return True
        group = self._groups[task.job.policy.service, task.spec.required_label]
        new_cpu = task.spec.needs.cpu
        return not group.compute_kept(new_cpu) or any(
            _compute_piece(worker) >= new_cpu and not self.is_taken_by(task, worker)
            for worker in nlargest(2, group.workers, key=_compute_piece)
        )


def _is_held_back(task: Task) -> bool:
    return task.spec.lasting and not task.has_run and not task.spec.fills


def _compute_piece(worker: Worker) -> int:
    """Return the CPU beside the long-running tasks of `worker`."""
    return worker.entry.capacity.cpu - worker.lasting_cpu


def _keeps_room(group: _Workers, worker: Worker, new_cpu: int) -> bool:
    """Return whether enough room is left in `group` once `worker` has a new task."""
    kept = group.compute_kept(new_cpu)
    return not kept or any(
        _compute_piece(other) - (new_cpu if other is worker else 0) >= kept
        for other in group.workers
    )
