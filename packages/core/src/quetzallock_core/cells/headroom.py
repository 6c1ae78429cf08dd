"""Keeps CPU free of new long-running tasks, for the short tasks of recent jobs.

Load: more long-running tasks than a pool holds, beside short latency-critical jobs. A long-running
task holds its CPU until its job is cancelled, so CPU that a short task frees would never come back
to the short tasks if the next waiting long-running task took it.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from math import exp
from typing import Final

from .jobs import StepRun, Task
from .workers import Worker

MAX_HEADROOM_SHARE: Final = 0.25
"""Largest share of a pool's CPU that is kept free, so that a backlog of short jobs cannot keep all
long-running tasks out."""

DEMAND_MARGIN: Final = 1.2
"""Headroom as a multiple of the recent demand, as short tasks do not fill it without gaps."""

DEMAND_DECAY_MS: Final = 15_000
"""Time constant with which a past peak of the demand is forgotten: longer than a swing of the
demand between two peaks."""


@dataclass(slots=True)
class _Demand:
    """Peak of the CPU that the short tasks of one priority asked for, decayed over time."""

    cpu: float = 0.0
    updated_at: int = 0

    def update(self, cpu: int, now: int) -> None:
        decayed = self.cpu * exp((self.updated_at - now) / DEMAND_DECAY_MS)
        self.cpu = max(float(cpu), decayed)
        self.updated_at = now


@dataclass(slots=True)
class _Pool:
    """One service's workers.

    Attributes:
        capacity: CPU of the workers that accept tasks, in thousandths of a core.
        lasting_cpu: CPU that long-running tasks hold there.
        displaced_cpu: CPU for which long-running tasks will come back there, as they wait for their
            next run, or run on workers that drain.
        demands: Recent demand of short tasks by priority.
    """

    capacity: int = 0
    lasting_cpu: int = 0
    displaced_cpu: int = 0
    demands: defaultdict[int, _Demand] = field(default_factory=lambda: defaultdict(_Demand))

    def compute_limit(self, priority: int) -> float:
        """Return the CPU that long-running tasks of a priority may hold in total."""
        demand = sum(demand.cpu for other, demand in self.demands.items() if other <= priority)
        return self.capacity - min(DEMAND_MARGIN * demand, MAX_HEADROOM_SHARE * self.capacity)


class Headroom:
    """Decides whether new long-running tasks may start.

    It is not kept in the journal: the jobs of the next seconds show the demand to a new owner.
    """

    def __init__(self) -> None:
        self._pools: defaultdict[str, _Pool] = defaultdict(_Pool)

    def update(self, steps: Iterable[StepRun], workers: Iterable[Worker], now: int) -> None:
        """Update the demand of short tasks from the open steps, and the pools' commitments."""
        for pool in self._pools.values():
            pool.capacity = 0
            pool.lasting_cpu = 0
            pool.displaced_cpu = 0
        for worker in workers:
            pool = self._pools[worker.entry.service]
            if worker.can_accept_task(now):
                pool.capacity += worker.entry.capacity.cpu
                pool.lasting_cpu += worker.lasting_cpu
            elif worker.entry.is_draining:
                pool.displaced_cpu += worker.lasting_cpu
        demands: defaultdict[tuple[str, int], int] = defaultdict(int)
        for step in steps:
            policy = step.job.policy
            if step.spec.fills:
                continue
            if step.spec.lasting:
                self._pools[policy.service].displaced_cpu += compute_interrupted_cpu(step)
                continue
            unfinished = len(step.tasks) - step.done
            demands[policy.service, policy.priority] += unfinished * step.spec.needs.cpu
        for service, pool in self._pools.items():
            priorities = {priority for other, priority in demands if other == service}
            for priority in priorities | pool.demands.keys():
                pool.demands[priority].update(demands[service, priority], now)

    def may_start(self, task: Task) -> bool:
        """Return whether `task` may take CPU; only a long-running task that never ran may not."""
        return self.may_start_all([task])

    def may_start_all(self, tasks: list[Task]) -> bool:
        """Return whether these tasks of one step may take CPU together.

        Tasks that have run before are not held back, as their users notice each second without
        them.
        """
        job = tasks[0].job
        if not _holds_cpu(tasks[0]):
            return True
        pool = self._pools[job.policy.service]
        new_cpu = sum(task.spec.needs.cpu for task in tasks if not task.has_run)
        if not pool.capacity or not new_cpu:
            return True
        held_cpu = pool.lasting_cpu + pool.displaced_cpu
        return held_cpu + new_cpu <= pool.compute_limit(job.policy.priority)

    def add(self, task: Task) -> None:
        """Count a task that was placed, or got a reservation, since the last update."""
        if _holds_cpu(task):
            self._pools[task.job.policy.service].lasting_cpu += task.spec.needs.cpu


def compute_interrupted_cpu(step: StepRun) -> int:
    """Return the CPU of the tasks of a long-running step that have run before and wait."""
    if step.has_no_waiting_task or not step.job.has_started:
        return 0
    return sum(task.has_run and task.is_waiting for task in step.tasks) * step.spec.needs.cpu


def _holds_cpu(task: Task) -> bool:
    """Return whether `task` commits CPU until its job is cancelled; best effort commits none."""
    return task.spec.lasting and not task.spec.fills
