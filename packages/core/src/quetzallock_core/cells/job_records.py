"""Makes jobs from the records of the journal."""

from collections.abc import Iterable, Mapping
from typing import Final

from .jobs import Job, StepRun, Task, parse_task_name
from .models import JobSpec
from .records import HandOverRecord, JobRecord, LeasesRecord, ProgressRecord

MAX_INTERRUPTED: Final = 1_000
"""Maximum number of interrupted tasks that a hand-over names, as it is one record of the store."""


def compute_work(spec: JobSpec) -> float:
    """Return the core-ms of one repetition by the submitter's estimates."""
    return sum(step.count * step.needs.cpu / 1_000 * step.estimate_ms for step in spec.steps)


def make_job(record: JobRecord, now: int) -> Job:
    """Return the job of a record that was accepted at `now`."""
    return Job(record, accepted_at=now, work=compute_work(record.spec))


def restore_job(record: JobRecord, progress: ProgressRecord | None, now: int) -> Job:
    """Return the job of a journal's records."""
    job = make_job(record, now)
    job.is_stored = True
    job.is_loaded = True
    if progress is None:
        return job
    job.state = progress.state
    job.durable_state = progress.state
    job.has_started = progress.has_started
    job.ended_ms = progress.ended_ms
    if job.is_over:
        return job
    for row in progress.tasks:
        task = job.find_task(row.occurrence, row.step, row.index)
        if task is None:
            continue
        task.is_done = row.is_done
        task.step.done += row.is_done
        for run in row.failed_runs:
            task.record_failed_run(run)
        task.failed_on = {run: (worker, boot_ms) for run, worker, boot_ms in row.failed_on}
        task.checkpoint = row.checkpoint
        task.crashes = row.crashes
        task.exposures = row.exposures
        task.worked_on = row.worked_on
        task.excused_crashes = row.excused_crashes
    job.count_done()
    return job


def list_exhausted(job: Job) -> list[Task]:
    """Return the unfinished tasks of `job` that have no attempts left."""
    if job.is_over:
        return []
    return [
        task
        for task in job.list_tasks()
        if not task.is_done and task.attempts and task.attempts >= job.policy.max_attempts
    ]


def list_interrupted(steps: Iterable[StepRun]) -> tuple[str, ...]:
    """Return the names of long-running tasks that have run before and wait, with a limit."""
    names = [
        task.name
        for step in steps
        if step.spec.lasting and step.job.has_started and not step.has_no_waiting_task
        for task in step.tasks
        if task.is_waiting and task.has_run
    ]
    return tuple(names[:MAX_INTERRUPTED])


def restore_has_run(
    jobs: Mapping[str, Job],
    progress: Mapping[str, ProgressRecord],
    hand_over: HandOverRecord | LeasesRecord | None,
) -> None:
    """Mark the long-running tasks that have run before.

    Without a record of the runs, those count that the progress of a started job does not exclude.
    """
    if not isinstance(hand_over, HandOverRecord):
        for job in jobs.values():
            if job.has_started and not job.is_over:
                _restore_started(job, progress[job.id])
        return
    for name in (*(run[0] for run in hand_over.runs), *hand_over.interrupted):
        found = _find_task(jobs, name)
        if found is not None and found.spec.lasting:
            found.has_run = True


def _restore_started(job: Job, progress: ProgressRecord) -> None:
    """Mark the long-running tasks of a started job that may have run."""
    counts = {(occurrence, step): count for occurrence, step, count in progress.started}
    for task in job.list_tasks():
        step = task.step
        count = counts.get((step.occurrence, step.number), len(step.tasks))
        task.has_run |= task.spec.lasting and task.index < count


def _find_task(jobs: Mapping[str, Job], name: str) -> Task | None:
    parts = parse_task_name(name)
    job = None if parts is None else jobs.get(parts[0])
    return None if job is None or parts is None or job.is_over else job.find_task(*parts[1:])
