"""Finds the worker on which enough is free first for a long-running task, as short runs end."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Final

from .jobs import Run, Task
from .models import Resources
from .placement import find_constraint
from .state import CellState
from .workers import Worker, compute_commitment

MAX_EXPECTED_WAIT_MS: Final = 2_000
"""Longest time until enough is expected to be free on a worker that keeps capacity."""

MAX_RESERVED_SHARE: Final = 0.25
"""Largest share of a pool's workers that keep capacity for displaced tasks at once, so that other
tasks still start."""

MIN_TIME_LEFT_MS: Final = 200
"""Least time until the expected end of a run."""


@dataclass(frozen=True, slots=True)
class ExpectedEnd:
    """The expected end of a run that does not last.

    Attributes:
        at: Local ms.
        run: The run.
        freed: Resources that are free then.
    """

    at: float
    run: Run
    freed: Resources


@dataclass(frozen=True, slots=True)
class Vacancy:
    """Capacity on one worker that is enough for a task once some runs have ended.

    Attributes:
        at: Local ms at which the last of them is expected to end.
        worker: The worker.
        awaited: These runs.
        kept_for: The larger task that capacity is kept for until then, if any.
    """

    at: float
    worker: Worker
    awaited: tuple[Run, ...]
    kept_for: Task | None = None


class VacancySearch:
    """The search within one tick for workers that will soon have room.

    Attributes:
        count: Number of tasks for which all workers were looked at.
    """

    def __init__(self, state: CellState, now: int) -> None:
        self._state = state
        self._now = now
        self._workers = [w for w in state.workers.values() if w.can_accept_task(now)]
        self._ends: dict[Worker, list[ExpectedEnd]] = {}
        self._too_large: defaultdict[tuple[str, str], list[Resources]] = defaultdict(list)
        self.count = 0
        self._left: dict[str, int] = {}
        reserved: Counter[str] = Counter()
        total: Counter[str] = Counter()
        for worker in self._workers:
            total[worker.entry.service] += 1
            reserved[worker.entry.service] += bool(worker.reservations)
        for service, count in total.items():
            self._left[service] = max(1, int(MAX_RESERVED_SHARE * count)) - reserved[service]

    def find(self, task: Task) -> Vacancy | None:
        """Return the vacancy for `task` that is expected first, or None."""
        spec = task.spec
        pool = (task.job.policy.service, spec.required_label)
        if self._left.get(pool[0], 0) <= 0:
            return self._find_partly_kept(task)
        if any(too_large.fits_in(spec.needs) for too_large in self._too_large[pool]):
            return None
        self.count += 1
        best = self._find_first(task)
        if best is None or best.awaited:
            best = self._find_partly_kept(task) or best
        if best is None and not task.avoid and not spec.max_per_worker:
            self._too_large[pool].append(spec.needs)
        return best

    def _find_first(self, task: Task) -> Vacancy | None:
        """Return the vacancy for `task` that is expected first on any worker, or None."""
        best: Vacancy | None = None
        for worker in self._workers:
            if worker.reservations or worker.id in task.avoid or worker.is_overcommitted:
                continue
            if find_constraint(task, worker, self._now) is not None:
                continue
            latest = best.at if best is not None else self._now + MAX_EXPECTED_WAIT_MS
            vacancy = self._find_on(worker, task.spec.needs, latest)
            if vacancy is not None:
                best = vacancy
        return best

    def _find_partly_kept(self, task: Task) -> Vacancy | None:
        """Return capacity that is kept for a larger task, which waits for more, or None.

        Only a task without a run gets it, as it can start there at once.
        """
        if task.runs:
            return None
        for worker in self._workers:
            if len(worker.reservations) != 1 or worker.id in task.avoid:
                continue
            kept = next(iter(worker.reservations.values()))
            if kept.moved_run is not None or not kept.awaited or not kept.task.spec.lasting:
                continue
            is_enough = task.spec.needs.fits_in(worker.free + kept.held)
            if is_enough and find_constraint(task, worker, self._now) is None:
                return Vacancy(self._now, worker, (), kept.task)
        return None

    def take(self, vacancy: Vacancy) -> None:
        """Record that capacity is kept on the worker of `vacancy`."""
        if vacancy.kept_for is None:
            self._left[vacancy.worker.entry.service] -= 1

    def _find_on(self, worker: Worker, needs: Resources, latest: float) -> Vacancy | None:
        """Return the vacancy on `worker` if it is expected before `latest`."""
        free = worker.free
        at = float(self._now)
        awaited: list[Run] = []
        for end in self._list_ends(worker):
            if needs.fits_in(free):
                break
            at = end.at
            if at >= latest:
                return None
            awaited.append(end.run)
            free = free + end.freed
        if not needs.fits_in(free) or at >= latest:
            return None
        return Vacancy(at, worker, tuple(awaited))

    def _list_ends(self, worker: Worker) -> list[ExpectedEnd]:
        """Return the expected ends on `worker`, the first one first."""
        ends = self._ends.get(worker)
        if ends is None:
            ends = [self._expect_end(run) for run in worker.runs.values() if _frees_capacity(run)]
            ends.sort(key=lambda end: end.at)
            self._ends[worker] = ends
        return ends

    def _expect_end(self, run: Run) -> ExpectedEnd:
        spec = run.task.spec
        left_ms = 0.0
        if run.state != "stopping":
            expected_end = run.ordered_at + self._state.durations.expect(run.task.step)
            left_ms = abs(expected_end - self._now)
        at = self._now + max(MIN_TIME_LEFT_MS, left_ms)
        return ExpectedEnd(at, run, compute_commitment(spec.needs, spec.fills))


def _frees_capacity(run: Run) -> bool:
    """Return whether `run` commits processor and ends by itself, and nothing waits for its end."""
    spec = run.task.spec
    return not spec.fills and (run.state == "stopping" or not spec.lasting)
