"""Chooses workers for tasks: among those within the hard limits, the one with the lowest cost."""

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum
from heapq import heapify, heappop, heappush
from typing import Final

from .interference import ColocationProfile, Interference
from .isolation import compute_crash_cost, may_share_worker
from .jobs import StepRun, Task
from .models import Resources, StepSpec
from .policies import PlacementPolicy, spread
from .workers import Worker, compute_commitment

REMOTE_COST: Final = 3.0
"""Cost of a worker outside the rack that holds the task's data."""

AVOID_COST: Final = 20.0
"""Cost of a worker on which the task failed or was stopped."""

SUSPECT_COST: Final = 10.0
"""Cost of a worker that is suspect, or with failures since its last success."""

COLD_COST_PER_S: Final = 1.0
"""Cost of each second for which a worker remains slow after its start."""

MAX_COLD_COST: Final = 8.0
"""Highest such cost: above those of load, interference and remote data, below that of a suspect."""

INTERFERENCE_COST: Final = 2.0
"""Cost of a predicted pressure of 1, or of a predicted tail at the target."""

SERVING_COLOCATION_COST: Final = 0.05
"""Cost of each serving task on the worker, for a task that is neither serving nor best effort."""

SAME_IMAGE_BONUS: Final = 0.4
"""Deducted from a serving task's cost for each serving task of the same image on the worker."""

OTHER_IMAGE_COST: Final = 0.3
"""Cost, for a serving task, of each serving task of another image on the worker."""

MAX_COLOCATED_COUNTED: Final = 4
"""Maximum number of colocated serving tasks that count for each of these two."""

STARVING_AFTER_MS: Final = 2_000
"""A best-effort task that waits longer may start next to serving tasks with which it interferes, if
it is the only best-effort task there."""

MAX_TAIL_SHARE: Final = 0.7
"""Highest predicted tail, as a share of the target, that a best-effort task may cause. The rest
is left for what the model of the interference does not explain."""

MIN_IDLE_SHARE: Final = 0.5
"""Share of its processor needs that must be expected idle where a best-effort task starts."""


class Obstacle(StrEnum):
    """Why a task may not start on a worker."""

    CPU = "cpu"
    MEMORY = "memory"
    GPU = "gpu"
    IDLE_CPU = "idle_cpu"
    POOL = "pool"
    LABEL = "label"
    BLOCKED = "best_effort_blocked"
    SUSPECT = "suspect_worker"
    ISOLATION = "crash_isolation"
    ANTI_AFFINITY = "anti_affinity"
    INTERFERENCE = "interference"


def find_obstacle(task: Task, worker: Worker, now: int) -> Obstacle | None:
    """Return what keeps `task` from `worker`, which accepts tasks; None if it may start there."""
    shortage = _find_shortage(task.spec, worker)
    return find_constraint(task, worker, now) if shortage is None else shortage


def find_constraint(task: Task, worker: Worker, now: int) -> Obstacle | None:
    """Return what keeps `task` from `worker`, however many resources are free there."""
    spec = task.spec
    if worker.entry.service != task.job.policy.service:
        return Obstacle.POOL
    if spec.required_label and spec.required_label not in worker.entry.labels:
        return Obstacle.LABEL
    if spec.fills and now < worker.best_effort_blocked_until:
        return Obstacle.BLOCKED
    if worker.is_suspect(now) and not worker.is_idle:
        return Obstacle.SUSPECT
    if (task.is_crash_suspect or worker.crash_suspects) and not may_share_worker(task, worker, now):
        return Obstacle.ISOLATION
    if spec.max_per_worker and worker.count_tasks(task.step) >= spec.max_per_worker:
        return Obstacle.ANTI_AFFINITY
    return None


def can_place(task: Task, worker: Worker, now: int) -> bool:
    """Return whether `task` may start on `worker`, which accepts tasks."""
    return find_obstacle(task, worker, now) is None


def _find_shortage(spec: StepSpec, worker: Worker) -> Obstacle | None:
    commitment = compute_commitment(spec.needs, spec.fills)
    if not worker.has_capacity_for(commitment):
        free = worker.free
        if commitment.cpu > free.cpu:
            return Obstacle.CPU
        return Obstacle.MEMORY if commitment.memory_mb > free.memory_mb else Obstacle.GPU
    if spec.fills and worker.idle_cpu < MIN_IDLE_SHARE * spec.needs.cpu:
        return Obstacle.IDLE_CPU
    return None


def compute_cost(task: Task, worker: Worker, now: int) -> float:
    """Return the cost of `worker` for `task`, without interference; lower is better."""
    cost = compute_step_cost(task, worker, now)
    return cost + AVOID_COST if worker.id in task.avoid else cost


def compute_step_cost(
    task: Task, worker: Worker, now: int, compute_room_cost: PlacementPolicy = spread
) -> float:
    """Return the cost of `worker` for each task of the step of `task`, without interference."""
    spec = task.spec
    cost = compute_room_cost(task, worker)
    cost += worker.slowness - 1.0
    if spec.data_rack and spec.data_rack != worker.entry.rack:
        cost += REMOTE_COST
    if worker.is_suspect(now) or worker.failed_jobs:
        cost += SUSPECT_COST
    if task.is_crash_suspect:
        cost += compute_crash_cost(worker)
    if worker.cold_until is not None and worker.cold_until > now:
        cost += min(MAX_COLD_COST, COLD_COST_PER_S * (worker.cold_until - now) / 1_000)
    if spec.target_ms:
        cost += _compute_serving_cost(task, worker)
    elif not spec.fills:
        cost += SERVING_COLOCATION_COST * worker.serving_count
    return cost


_Check = Callable[[Task, Worker, int], Obstacle | None]

_Ranked = tuple[float, int, int, Worker]
"""Cost, position in the list of workers, version of the worker, and the worker."""


@dataclass(slots=True)
class _Room:
    """The most of each resource that any worker of a pool has free.

    Reserved capacity counts as free, as a reservation may be released during the round.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Memory in MB.
        gpus: Number of accelerators.
        idle_cpu: Processor that no task is expected to use, in thousandths of a core.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0
    idle_cpu: int = 0

    def add(self, worker: Worker) -> None:
        """Take a worker of the pool into account."""
        capacity = worker.entry.capacity
        committed = worker.committed
        cpu = capacity.cpu - committed.cpu
        memory_mb = capacity.memory_mb - committed.memory_mb
        gpus = capacity.gpus - committed.gpus
        idle_cpu = worker.idle_cpu
        for reservation in worker.reservations.values():
            held = reservation.held
            cpu += held.cpu
            memory_mb += held.memory_mb
            gpus += held.gpus
            idle_cpu += max(held.cpu, reservation.task.spec.needs.cpu)
        self.cpu = max(self.cpu, cpu)
        self.memory_mb = max(self.memory_mb, memory_mb)
        self.gpus = max(self.gpus, gpus)
        self.idle_cpu = max(self.idle_cpu, idle_cpu)

    def is_short_for(self, spec: StepSpec) -> bool:
        """Return whether no worker can have room for a task of `spec`."""
        needs = spec.needs
        if needs.memory_mb > self.memory_mb or needs.gpus > self.gpus:
            return True
        if spec.fills:
            return self.idle_cpu < MIN_IDLE_SHARE * needs.cpu
        return needs.cpu > self.cpu


@dataclass(slots=True)
class _Ranking:
    """The workers that tasks of one kind may start on, cheapest first.

    Attributes:
        task: A task of the step that was placed last; the costs of the others are the same.
        is_starving: The tasks have waited longer than `STARVING_AFTER_MS`.
        heap: Entries with an older version than the worker's are outdated.
        changes_seen: Number of changes of workers that it takes into account.
    """

    task: Task
    is_starving: bool
    heap: list[_Ranked]
    changes_seen: int


def _describe_kind(task: Task, is_starving: bool) -> tuple[object, ...] | None:
    """Return what the costs of all workers for `task` depend on, or None where that is its step."""
    spec = task.spec
    if spec.max_per_worker:
        return None
    return (
        task.job.policy.service,
        spec.needs,
        spec.required_label,
        spec.data_rack,
        spec.lasting,
        spec.image,
        spec.target_ms,
        spec.fills,
        is_starving,
    )


class Placement:
    """One placement round: the ranked workers, and the needs for which none was found.

    Attributes:
        workers: The workers that accept tasks.
    """

    def __init__(
        self,
        workers: Iterable[Worker],
        interference: Interference,
        now: int,
        policies: Mapping[str, PlacementPolicy] | None = None,
    ) -> None:
        self.workers = [worker for worker in workers if worker.can_accept_task(now)]
        self._positions = {worker.id: position for position, worker in enumerate(self.workers)}
        self._versions = [0] * len(self.workers)
        self._committed = [worker.committed for worker in self.workers]
        self._changes: list[int] = []
        self._interference = interference
        self._now = now
        self._policies = policies or {}
        self._profiles: dict[str, ColocationProfile] = {}
        self._unplaceable: defaultdict[tuple[str, ...], list[Resources]] = defaultdict(list)
        self._unplaceable_gangs: defaultdict[tuple[str, ...], list[tuple[int, Resources]]] = (
            defaultdict(list)
        )
        self._ranking: _Ranking | None = None
        self._rankings: dict[tuple[object, ...], _Ranking] = {}
        self._rooms: defaultdict[str, _Room] = defaultdict(_Room)
        for worker in self.workers:
            self._rooms[worker.entry.service].add(worker)

    def choose(self, task: Task, excluded_worker: str = "") -> Worker | None:
        """Return the best worker that `task` may start on, or None.

        Args:
            task: The task to place.
            excluded_worker: Worker on which the task runs already. If given, only a worker without
                harmful interference is returned, however long the task has waited.
        """
        spec = task.spec
        if self._rooms[task.job.policy.service].is_short_for(spec):
            return None
        waited_ms = self._now - task.step.ready_at
        is_starving = spec.fills and not excluded_worker and waited_ms > STARVING_AFTER_MS
        demand_key = (
            task.job.policy.service,
            spec.required_label,
            spec.image,
            str(spec.fills),
            str(is_starving),
        )
        if any(unplaceable.fits_in(spec.needs) for unplaceable in self._unplaceable[demand_key]):
            return None
        if excluded_worker or task.is_crash_suspect:
            best = self._scan_workers(task, is_starving, excluded_worker)
        else:
            best = self._choose_ranked(task, is_starving)
        is_limit_general = not (excluded_worker or spec.max_per_worker or task.is_crash_suspect)
        if best is None and is_limit_general:
            self._unplaceable[demand_key].append(spec.needs)
        return best

    def may_have_room(self, step: StepRun) -> bool:
        """Return whether a worker may have the resources for a task of `step` in this round."""
        return not self._rooms[step.job.policy.service].is_short_for(step.spec)

    def _scan_workers(self, task: Task, is_starving: bool, excluded_worker: str) -> Worker | None:
        """Return the cheapest worker for a task whose costs differ from those of its step."""
        best: Worker | None = None
        lowest_cost = 0.0
        for worker in self.workers:
            if worker.id == excluded_worker or task.name in worker.runs:
                continue
            cost = self._compute_total_cost(task, worker, is_starving)
            if cost is None:
                continue
            if worker.id in task.avoid:
                cost += AVOID_COST
            if best is None or cost < lowest_cost:
                best, lowest_cost = worker, cost
        return best

    def can_place_elsewhere(self, task: Task, worker_id: str) -> bool:
        """Return whether there is another worker than `worker_id` without harmful interference."""
        if self._rooms[task.job.policy.service].is_short_for(task.spec):
            return False
        return any(
            worker.id != worker_id
            and task.name not in worker.runs
            and self._compute_total_cost(task, worker, is_starving=False) is not None
            for worker in self.workers
        )

    def _choose_ranked(self, task: Task, is_starving: bool) -> Worker | None:
        ranking = self._ranking
        if (
            ranking is None
            or ranking.task.step is not task.step
            or ranking.is_starving != is_starving
        ):
            ranking = self._ranking = self._find_ranking(task, is_starving)
        return self._pop_cheapest(ranking.heap, task.avoid)

    def _find_ranking(self, task: Task, is_starving: bool) -> _Ranking:
        """Return the ranking for a step: that of an earlier one of the same kind, if any."""
        self._record_changes()
        kind = _describe_kind(task, is_starving)
        if kind is None:
            return self._rank(task, is_starving)
        ranking = self._rankings.get(kind)
        if ranking is None:
            ranking = self._rankings[kind] = self._rank(task, is_starving)
        else:
            ranking.task = task
            self._update_ranking(ranking)
        return ranking

    def _record_changes(self) -> None:
        """Record the workers whose commitments have changed without a call of `update_worker`.

        A task that starts elsewhere frees what was kept for it.
        """
        for position, worker in enumerate(self.workers):
            if worker.committed is not self._committed[position]:
                self._record_change(position)

    def _record_change(self, position: int) -> None:
        self._versions[position] += 1
        self._committed[position] = self.workers[position].committed
        self._changes.append(position)

    def _update_ranking(self, ranking: _Ranking) -> None:
        """Rank the workers anew that have changed since the ranking was used last."""
        for position in set(self._changes[ranking.changes_seen :]):
            self._rank_worker(ranking, position)
        ranking.changes_seen = len(self._changes)

    def _rank_worker(self, ranking: _Ranking, position: int) -> None:
        worker = self.workers[position]
        cost = self._compute_total_cost(ranking.task, worker, ranking.is_starving)
        if cost is not None:
            heappush(ranking.heap, (cost, position, self._versions[position], worker))

    def _pop_cheapest(self, heap: list[_Ranked], avoid: set[str]) -> Worker | None:
        """Return the cheapest worker of a ranking, where those to avoid cost more.

        Outdated entries above it are dropped.
        """
        avoided: list[_Ranked] = []
        best: tuple[float, int, Worker] | None = None
        while heap and best is None:
            cost, position, version, worker = heap[0]
            if version != self._versions[position]:
                heappop(heap)
            elif worker.id in avoid:
                avoided.append(heappop(heap))
            else:
                best = cost, position, worker
        for entry in avoided:
            heappush(heap, entry)
            cost, position = entry[0] + AVOID_COST, entry[1]
            if best is None or (cost, position) < best[:2]:
                best = cost, position, entry[3]
        return None if best is None else best[2]

    def _rank(self, task: Task, is_starving: bool) -> _Ranking:
        ranking = _Ranking(task, is_starving, [], len(self._changes))
        for position, worker in self._list_fitting(task.spec):
            cost = self._compute_total_cost(task, worker, is_starving, find_constraint)
            if cost is not None:
                ranking.heap.append((cost, position, self._versions[position], worker))
        heapify(ranking.heap)
        return ranking

    def _list_fitting(self, spec: StepSpec) -> list[tuple[int, Worker]]:
        """Return the workers, and their positions, that have the resources for a task of `spec`.

        Most workers of a full pool have not, so this check is made for all of them at once.
        """
        commitment = compute_commitment(spec.needs, spec.fills)
        min_idle_cpu = MIN_IDLE_SHARE * spec.needs.cpu
        return [
            (position, worker)
            for position, worker in enumerate(self.workers)
            if worker.has_capacity_for(commitment)
            and (not spec.fills or worker.idle_cpu >= min_idle_cpu)
        ]

    def _compute_total_cost(
        self, task: Task, worker: Worker, is_starving: bool, find: _Check = find_obstacle
    ) -> float | None:
        """Return the cost of `worker` for the step of `task`, or None where it may not start.

        Args:
            task: A task of the step.
            worker: A worker that accepts tasks.
            is_starving: The tasks have waited longer than `STARVING_AFTER_MS`.
            find: Check that the worker must pass; without resources where they are known to fit.
        """
        if find(task, worker, self._now) is not None:
            return None
        interference_cost = self._compute_interference_cost(task, worker)
        if _is_over_limit(interference_cost, worker, is_starving):
            return None
        policy = self._policies.get(task.job.policy.service, spread)
        return interference_cost + compute_step_cost(task, worker, self._now, policy)

    def find_obstacle(self, task: Task, worker: Worker) -> Obstacle | None:
        """Return what keeps `task` from `worker`; None if it may start there."""
        obstacle = find_obstacle(task, worker, self._now)
        if obstacle is not None:
            return obstacle
        is_starving = task.spec.fills and self._now - task.step.ready_at > STARVING_AFTER_MS
        interference_cost = self._compute_interference_cost(task, worker)
        if _is_over_limit(interference_cost, worker, is_starving):
            return Obstacle.INTERFERENCE
        return None

    def choose_for_gang(self, step: StepRun) -> dict[Task, Worker] | None:
        """Return a worker for every task of a gang, or None where they do not all fit.

        A gang that needs no less than one which did not fit waits for the next round, as each
        attempt looks at all workers.
        """
        spec = step.spec
        key = (step.job.policy.service, spec.required_label, str(spec.max_per_worker))
        unplaceable = self._unplaceable_gangs[key]
        if any(count <= spec.count and needs.fits_in(spec.needs) for count, needs in unplaceable):
            return None
        chosen = choose_for_gang(step, self.workers, self._now)
        if chosen is None and not step.tasks[0].is_crash_suspect:
            unplaceable.append((spec.count, spec.needs))
        return chosen

    def update_worker(self, worker: Worker) -> None:
        """Update the ranking after a task was started on `worker`."""
        self._profiles.pop(worker.id, None)
        position = self._positions.get(worker.id)
        if position is None:
            return
        self._record_change(position)
        ranking = self._ranking
        if ranking is not None:
            self._update_ranking(ranking)

    def _get_profile(self, worker: Worker) -> ColocationProfile:
        profile = self._profiles.get(worker.id)
        if profile is None:
            profile = self._profiles[worker.id] = self._interference.make_profile(worker)
        return profile

    def _compute_interference_cost(self, task: Task, worker: Worker) -> float:
        """Return the cost of the interference between `task` and the tasks on `worker`."""
        spec = task.spec
        if spec.target_ms:
            if not worker.best_effort_count:
                return 0.0
            pressure = self._interference.predict_pressure(self._get_profile(worker), spec.image)
            return min(INTERFERENCE_COST * pressure, MAX_TAIL_SHARE * INTERFERENCE_COST)
        if not spec.fills or not worker.serving_count:
            return 0.0
        share = spec.needs.cpu / max(1, worker.entry.capacity.cpu)
        profile = self._get_profile(worker)
        return INTERFERENCE_COST * self._interference.predict_tail_share(profile, spec.image, share)


def _is_over_limit(interference_cost: float, worker: Worker, is_starving: bool) -> bool:
    if interference_cost <= MAX_TAIL_SHARE * INTERFERENCE_COST:
        return False
    return bool(worker.best_effort_count) or not is_starving


def _compute_serving_cost(task: Task, worker: Worker) -> float:
    """Return the cost of the serving tasks that are colocated with the serving task `task`.

    Serving tasks of one image are sensitive to the same best-effort images. If they share workers,
    they keep these images away from as few workers as possible.
    """
    if not worker.serving_count:
        return 0.0
    image = task.spec.image
    serving = [run for run in worker.runs.values() if run.task.spec.target_ms]
    same_image = sum(run.task.spec.image == image for run in serving)
    other_image = len(serving) - same_image
    return OTHER_IMAGE_COST * min(other_image, MAX_COLOCATED_COUNTED) - SAME_IMAGE_BONUS * min(
        same_image, MAX_COLOCATED_COUNTED
    )


def choose_for_gang(
    step: StepRun, workers: Iterable[Worker], now: int
) -> dict[Task, Worker] | None:
    """Return a worker for every task of a gang, or None where they do not all fit at once.

    A gang with `one_rack` gets workers of several racks only if it fits in no single rack.
    """
    all_workers = list(workers)
    groups = [all_workers]
    if step.spec.one_rack:
        racks = sorted({worker.entry.rack for worker in all_workers})
        groups = [[w for w in all_workers if w.entry.rack == rack] for rack in racks] + groups
    for group in groups:
        chosen = _fit_gang(step, group, now)
        if chosen is not None:
            return chosen
    return None


def _fit_gang(step: StepRun, workers: list[Worker], now: int) -> dict[Task, Worker] | None:
    free = {worker.id: worker.free for worker in workers}
    placed_counts = dict.fromkeys(free, 0)
    usable = [worker for worker in workers if can_place(step.tasks[0], worker, now)]
    needs = step.spec.needs
    chosen: dict[Task, Worker] = {}
    for task in step.tasks:
        fitting = [
            worker
            for worker in usable
            if needs.fits_in(free[worker.id])
            and (
                not step.spec.max_per_worker or placed_counts[worker.id] < step.spec.max_per_worker
            )
        ]
        if not fitting:
            return None
        worker = min(fitting, key=lambda w: (compute_cost(task, w, now), -free[w.id].cpu, w.id))
        chosen[task] = worker
        free[worker.id] = free[worker.id] - needs
        placed_counts[worker.id] += 1
    return chosen
