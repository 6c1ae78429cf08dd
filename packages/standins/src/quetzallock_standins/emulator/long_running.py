"""Checks that long-running tasks whose run has ended run again in time."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Final, Protocol

from quetzallock_core.cells import Cell
from quetzallock_core.cells.models import JobSpec, Resources, StepSpec
from quetzallock_core.cells.workers import compute_commitment
from quetzallock_core.clock import Clock

from .fault_monitor import UnplannedFaultMonitor
from .ground_truth import GroundTruth
from .operator import EmulatedOperator
from .workers import EmulatedWorker

RESTART_MS: Final = 6_000
"""Time after the end of its last run in which a long-running task may wait."""
WAIT_MS: Final = 3_000
"""How long it may wait after that while there is capacity for it."""
CALM_MS: Final = 4_000
"""How long before that wait no unplanned fault may be active, for the wait to count."""
SPARE_FACTOR: Final = 2
"""There is capacity for a task if its needs are free this many times."""
NOTHING: Final = Resources()


class CheckedCluster(Protocol):
    """What the check needs of the emulated cell."""

    ground_truth: GroundTruth
    operator: EmulatedOperator
    unlisted_workers: set[str]

    @property
    def clock(self) -> Clock:
        """The clock of the emulation."""

    @property
    def workers(self) -> Mapping[str, EmulatedWorker]:
        """The workers by their ids."""

    @property
    def cell(self) -> Cell:
        """The newest owner's cell."""


@dataclass(slots=True)
class _Absence:
    """Time without a run of a task that ran before.

    Attributes:
        ended_at: Time in ms of the end of its last run.
        waits_from: Time in ms from which on it could have run, None while it can't.
        is_reported: Whether its wait was reported as a violation.
    """

    ended_at: int
    waits_from: int | None = None
    is_reported: bool = False


class LongRunningCheck:
    """Finds long-running tasks that ran before and do not run, with capacity for them.

    A task of a job that nobody has cancelled must not wait for `WAIT_MS` on end from `RESTART_MS`
    after its last run, if the workers that take tasks have room for it `SPARE_FACTOR` times over
    and neither this time nor the `CALM_MS` before it have an unplanned fault. The room is what is
    free in total; a violation also tells how many such tasks fit on the workers one by one, now and
    once all tasks have ended that end by themselves. For a
    gang it is the room of all its tasks. Jobs that their owner shows as failed are left to the
    checks of job states.

    Attributes:
        longest_absences: Longest time in ms without a run by task, of those that have ended.
    """

    def __init__(self, cluster: CheckedCluster, monitor: UnplannedFaultMonitor) -> None:
        self.longest_absences: dict[str, int] = {}
        self._cluster = cluster
        self._monitor = monitor
        self._steps: dict[str, StepSpec] = {}
        self._services: dict[str, str] = {}
        self._cancelled: set[str] = set()
        self._absences: dict[str, _Absence] = {}
        self._seen_starts = 0
        self._seen_ends = 0

    def record_submission(self, spec: JobSpec, service: str) -> None:
        """Record a submitted job and the pool that runs it."""
        self._services[spec.job] = service
        for number, step in enumerate(spec.steps):
            if step.lasting:
                self._steps[f"{spec.job}.{number}"] = step

    def record_cancellation(self, job: str) -> None:
        """Record that the cancellation of `job` was requested."""
        self._cancelled.add(job)

    def check(self) -> None:
        """Check how long tasks have waited."""
        self._monitor.observe()
        self._read_ends()
        self._read_starts()
        now = self._cluster.clock.now()
        for task, absence in list(self._absences.items()):
            if self._is_over(task):
                del self._absences[task]
            elif now >= absence.ended_at + RESTART_MS and not absence.is_reported:
                self._check_wait(task, absence, now)

    def _read_ends(self) -> None:
        ends: Sequence[tuple[int, str, int, str]] = self._cluster.ground_truth.ends
        for at, task, _, _ in ends[self._seen_ends :]:
            if _get_step_name(task) in self._steps:
                self._absences[task] = _Absence(at)
        self._seen_ends = len(ends)

    def _read_starts(self) -> None:
        starts = self._cluster.ground_truth.starts
        for at, task, _, _ in starts[self._seen_starts :]:
            absence = self._absences.get(task)
            if absence is not None and at >= absence.ended_at:
                longest = max(at - absence.ended_at, self.longest_absences.get(task, 0))
                self.longest_absences[task] = longest
                del self._absences[task]
        self._seen_starts = len(starts)

    def _is_over(self, task: str) -> bool:
        """Return whether the job of `task` was cancelled, or is shown as ended."""
        job_id = _get_job(task)
        job = self._cluster.cell.state.jobs.get(job_id)
        return job_id in self._cancelled or (job is not None and job.is_over)

    def _check_wait(self, task: str, absence: _Absence, now: int) -> None:
        step = self._steps[_get_step_name(task)]
        is_calm = now >= self._monitor.last_fault_at + CALM_MS
        workers = self._list_workers(task, step)
        if not is_calm or not _have_room(workers, step) or self._is_running(task):
            absence.waits_from = None
        elif absence.waits_from is None:
            absence.waits_from = now
        elif now - absence.waits_from >= WAIT_MS:
            absence.is_reported = True
            self._report(task, step, absence, workers)

    def _is_running(self, task: str) -> bool:
        return any(task in worker.runs for worker in self._cluster.workers.values())

    def _list_workers(self, task: str, step: StepSpec) -> list[EmulatedWorker]:
        """Return the workers that take the tasks of a step."""
        cluster = self._cluster
        service = self._services[_get_job(task)]
        return [
            worker
            for worker in cluster.workers.values()
            if worker.is_up
            and not worker.is_isolated
            and worker.id not in cluster.unlisted_workers
            and worker.entry.data_centre not in cluster.operator.evacuated
            and _may_run(worker, task, step, service)
        ]

    def _report(
        self, task: str, step: StepSpec, absence: _Absence, workers: list[EmulatedWorker]
    ) -> None:
        now = self._cluster.clock.now()
        free = _sum_free(workers, step)
        places = sum(_count_places(worker, task, step) for worker in workers)
        places_later = sum(
            _count_places(worker, task, step, self._sum_ending(worker)) for worker in workers
        )
        self._cluster.ground_truth.violations.append(
            f"{now}: {task} is to last and has not run since {absence.ended_at}, with {free} free "
            f"in total for {step.needs}; room for {places}, for {places_later} once others end"
        )

    def _sum_ending(self, worker: EmulatedWorker) -> Resources:
        """Return the resources of the runs of a worker that end by themselves."""
        total = Resources()
        for task, run in worker.runs.items():
            if _get_step_name(task) not in self._steps:
                total = total + compute_commitment(run.needs, run.is_best_effort)
        return total


def _get_job(task: str) -> str:
    return task.rsplit(".", 3)[0]


def _get_step_name(task: str) -> str:
    """Return the job and the number of the step of a task."""
    job, _, step, _ = task.rsplit(".", 3)
    return f"{job}.{step}"


def _may_run(worker: EmulatedWorker, task: str, step: StepSpec, service: str) -> bool:
    """Return whether a worker takes the tasks of a step, if it has room."""
    entry = worker.entry
    if entry.is_draining or entry.service != service:
        return False
    if step.required_label and step.required_label not in entry.labels:
        return False
    return not step.max_per_worker or _count_tasks(worker, task) < step.max_per_worker


def _count_tasks(worker: EmulatedWorker, task: str) -> int:
    """Return the number of tasks of the same step that a worker runs."""
    return sum(_get_step_name(other) == _get_step_name(task) for other in worker.runs)


def _get_free(worker: EmulatedWorker, step: StepSpec) -> Resources:
    """Return what is free on a worker; best-effort tasks need processor that is really idle."""
    if not step.fills:
        return worker.capacity - worker.committed
    used = Resources()
    for run in worker.runs.values():
        used = used + run.needs
    return worker.capacity - used


def _sum_free(workers: list[EmulatedWorker], step: StepSpec) -> Resources:
    """Return the free resources of the workers; those of a shrunk one may be negative."""
    total = Resources()
    for worker in workers:
        free = _get_free(worker, step)
        total = total + Resources(max(0, free.cpu), max(0, free.memory_mb), max(0, free.gpus))
    return total


def _have_room(workers: list[EmulatedWorker], step: StepSpec) -> bool:
    """Return whether the workers have room for a task in total, `SPARE_FACTOR` times over."""
    factor = SPARE_FACTOR * (step.count if step.gang else 1)
    needs = step.needs
    wanted = Resources(needs.cpu * factor, needs.memory_mb * factor, needs.gpus * factor)
    return wanted.fits_in(_sum_free(workers, step))


def _count_places(
    worker: EmulatedWorker, task: str, step: StepSpec, ending: Resources = NOTHING
) -> int:
    """Return the number of tasks of a step for which a worker has room once `ending` is free."""
    free = _get_free(worker, step) + ending
    pairs = zip(
        (free.cpu, free.memory_mb, free.gpus),
        (step.needs.cpu, step.needs.memory_mb, step.needs.gpus),
        strict=True,
    )
    places = max(0, min((has // needs for has, needs in pairs if needs), default=SPARE_FACTOR))
    if step.max_per_worker:
        places = min(places, step.max_per_worker - _count_tasks(worker, task))
    return places
