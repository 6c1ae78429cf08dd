"""Where a task starts: hard limits first, then the cheapest place."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from heapq import heapify, heappop, heappush
from typing import Final

from .interference import Interference, Neighbourhood
from .jobs import StepRun, Task
from .models import Resources
from .workers import Worker

REMOTE_COST: Final = 3.0
AVOID_COST: Final = 20.0
SUSPECT_COST: Final = 10.0
PRESSURE_COST: Final = 2.0
NEAR_SERVING_COST: Final = 0.05
ALIKE_GAIN: Final = 0.4
UNLIKE_COST: Final = 0.3
COMPANY: Final = 4
"""So many serving neighbours count when a serving task looks for its place."""

STARVING_MS: Final = 2_000
"""A filling task that waits longer may stand alone beside serving tasks that it disturbs."""

MOST_EXCESS: Final = 0.85
"""Highest predicted tail, as a share of the target, that a filling task may lead to."""
FILL_SHARE: Final = 0.5
"""A filling task starts where at least this share of what it can use is expected idle."""


def count_on_worker(step: StepRun, worker: Worker) -> int:
    """Return how many runs of `step` may be on `worker`."""
    return sum(run.task.step is step for run in worker.runs.values())


def can_place(task: Task, worker: Worker, now: int) -> bool:
    """Tell whether `task` may start on `worker`."""
    spec = task.spec
    if not worker.is_usable(now) or worker.entry.service != task.job.policy.service:
        return False
    if spec.required_label and spec.required_label not in worker.entry.labels:
        return False
    if spec.fills and now < worker.strained_until:
        return False
    if not _has_room(task, worker):
        return False
    if worker.is_suspect(now) and worker.runs:
        return False
    if not spec.max_per_worker:
        return True
    return count_on_worker(task.step, worker) < spec.max_per_worker


def _has_room(task: Task, worker: Worker) -> bool:
    needs = task.spec.needs
    if not task.spec.fills:
        return needs.fits_in(worker.free)
    if not Resources(0, needs.memory_mb, needs.gpus).fits_in(worker.free):
        return False
    return worker.idle_cpu >= FILL_SHARE * needs.cpu


def compute_cost(task: Task, worker: Worker, now: int) -> float:
    """Return how unfavourable `worker` is for `task`; lower is better."""
    spec = task.spec
    capacity = max(1, worker.entry.capacity.cpu)
    cost = 1.0 - worker.idle_cpu / capacity
    cost += worker.slowness - 1.0
    if spec.data_rack and spec.data_rack != worker.entry.rack:
        cost += REMOTE_COST
    if worker.id in task.avoid:
        cost += AVOID_COST
    if worker.is_suspect(now) or worker.failed_jobs:
        cost += SUSPECT_COST
    if spec.target_ms:
        cost += _compute_company(task, worker)
    elif not spec.fills:
        cost += NEAR_SERVING_COST * worker.serving_count
    return cost


@dataclass(slots=True)
class _Ranking:
    """The workers that tasks of one step may start on, cheapest first.

    Attributes:
        task: A task of the step; all others cost the same everywhere.
        heap: Cost, place in the list of workers, version of the worker, and the worker.
    """

    task: Task
    is_starving: bool
    heap: list[tuple[float, int, int, Worker]]


class Placement:
    """One round of placing: what is known of the workers, and what found no place."""

    def __init__(self, workers: Iterable[Worker], interference: Interference, now: int) -> None:
        self._workers = [worker for worker in workers if worker.is_usable(now)]
        self._places = {worker.id: place for place, worker in enumerate(self._workers)}
        self._versions = [0] * len(self._workers)
        self._interference = interference
        self._now = now
        self._near: dict[str, Neighbourhood] = {}
        self._failed: defaultdict[tuple[str, ...], list[Resources]] = defaultdict(list)
        self._ranking: _Ranking | None = None

    def choose(self, task: Task, besides: str = "") -> Worker | None:
        """Return the best worker that `task` may start on, or None.

        Args:
            task: The task to place.
            besides: Worker that a run of it is on; only a place without harm is better.
        """
        spec = task.spec
        waited_ms = self._now - task.step.ready_at
        is_starving = spec.fills and not besides and waited_ms > STARVING_MS
        kind = (
            task.job.policy.service,
            spec.required_label,
            spec.image,
            str(spec.fills),
            str(is_starving),
        )
        if any(failed.fits_in(spec.needs) for failed in self._failed[kind]):
            return None
        if besides or task.avoid:
            best = self._scan(task, is_starving, besides)
        else:
            best = self._take_cheapest(task, is_starving)
        if best is None and not besides and not spec.max_per_worker:
            self._failed[kind].append(spec.needs)
        return best

    def _scan(self, task: Task, is_starving: bool, besides: str) -> Worker | None:
        """Return the best worker for a task that has reasons of its own against some."""
        best: Worker | None = None
        least = 0.0
        for worker in self._workers:
            if worker.id == besides or task.name in worker.runs:
                continue
            cost = self._rate(task, worker, is_starving)
            if cost is not None and (best is None or cost < least):
                best, least = worker, cost
        return best

    def _take_cheapest(self, task: Task, is_starving: bool) -> Worker | None:
        ranking = self._ranking
        if (
            ranking is None
            or ranking.task.step is not task.step
            or ranking.is_starving != is_starving
        ):
            ranking = self._ranking = self._rank(task, is_starving)
        heap = ranking.heap
        while heap:
            _, place, version, worker = heap[0]
            if version == self._versions[place]:
                return worker
            heappop(heap)
        return None

    def _rank(self, task: Task, is_starving: bool) -> _Ranking:
        ranking = _Ranking(task, is_starving, [])
        for place, worker in enumerate(self._workers):
            cost = self._rate(task, worker, is_starving)
            if cost is not None:
                ranking.heap.append((cost, place, self._versions[place], worker))
        heapify(ranking.heap)
        return ranking

    def _rate(self, task: Task, worker: Worker, is_starving: bool) -> float | None:
        """Return how unfavourable `worker` is for `task`, or None where it may not start."""
        if not can_place(task, worker, self._now):
            return None
        disturbance = self._compute_disturbance(task, worker)
        is_too_much = disturbance > MOST_EXCESS * PRESSURE_COST
        if is_too_much and (worker.best_effort_count or not is_starving):
            return None
        return disturbance + compute_cost(task, worker, self._now)

    def choose_for_gang(self, step: StepRun) -> dict[Task, Worker] | None:
        """Return a worker for every task of a gang, or None where they do not all fit."""
        return choose_for_gang(step, self._workers, self._now)

    def forget(self, worker: Worker) -> None:
        """A task was started on `worker`: what was known of it has changed."""
        self._near.pop(worker.id, None)
        place = self._places.get(worker.id)
        if place is None:
            return
        self._versions[place] += 1
        ranking = self._ranking
        if ranking is None:
            return
        cost = self._rate(ranking.task, worker, ranking.is_starving)
        if cost is not None:
            heappush(ranking.heap, (cost, place, self._versions[place], worker))

    def _survey(self, worker: Worker) -> Neighbourhood:
        near = self._near.get(worker.id)
        if near is None:
            near = self._near[worker.id] = self._interference.survey(worker)
        return near

    def _compute_disturbance(self, task: Task, worker: Worker) -> float:
        """Return the cost of what `task` and its neighbours would do to each other."""
        spec = task.spec
        if spec.target_ms:
            if not worker.best_effort_count:
                return 0.0
            pressure = self._interference.predict_beside(self._survey(worker), spec.image)
            return min(PRESSURE_COST * pressure, MOST_EXCESS * PRESSURE_COST)
        if not spec.fills or not worker.serving_count:
            return 0.0
        share = spec.needs.cpu / max(1, worker.entry.capacity.cpu)
        near = self._survey(worker)
        return PRESSURE_COST * self._interference.predict_excess(near, spec.image, share)


def _compute_company(task: Task, worker: Worker) -> float:
    """Return the cost of the serving tasks that `task` would join.

    Serving tasks of one image are sensitive to the same filling images, so together they keep
    these away from as few workers as possible.
    """
    if not worker.serving_count:
        return 0.0
    image = task.spec.image
    serving = [run for run in worker.runs.values() if run.task.spec.target_ms]
    alike = sum(run.task.spec.image == image for run in serving)
    unlike = len(serving) - alike
    return UNLIKE_COST * min(unlike, COMPANY) - ALIKE_GAIN * min(alike, COMPANY)


def choose_for_gang(
    step: StepRun, workers: Iterable[Worker], now: int
) -> dict[Task, Worker] | None:
    """Return a worker for every task of a gang, or None where they do not all fit at once."""
    everywhere = list(workers)
    groups = [everywhere]
    if step.spec.one_rack:
        racks = sorted({worker.entry.rack for worker in everywhere})
        groups = [[w for w in everywhere if w.entry.rack == rack] for rack in racks] + groups
    for group in groups:
        chosen = _fit_gang(step, group, now)
        if chosen is not None:
            return chosen
    return None


def _fit_gang(step: StepRun, workers: list[Worker], now: int) -> dict[Task, Worker] | None:
    free = {worker.id: worker.free for worker in workers}
    taken = dict.fromkeys(free, 0)
    usable = [worker for worker in workers if can_place(step.tasks[0], worker, now)]
    needs = step.spec.needs
    chosen: dict[Task, Worker] = {}
    for task in step.tasks:
        fitting = [
            worker
            for worker in usable
            if needs.fits_in(free[worker.id])
            and (not step.spec.max_per_worker or taken[worker.id] < step.spec.max_per_worker)
        ]
        if not fitting:
            return None
        worker = min(fitting, key=lambda w: (compute_cost(task, w, now), -free[w.id].cpu, w.id))
        chosen[task] = worker
        free[worker.id] = free[worker.id] - needs
        taken[worker.id] += 1
    return chosen
