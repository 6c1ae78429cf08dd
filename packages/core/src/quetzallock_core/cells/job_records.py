"""Makes jobs from the records of the journal."""

from .jobs import Job, Task
from .models import JobSpec
from .records import JobRecord, ProgressRecord


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
        task.failed_runs = set(row.failed_runs)
        task.failed_on = {run: (worker, boot_ms) for run, worker, boot_ms in row.failed_on}
        task.checkpoint = row.checkpoint
        task.crashes = row.crashes
        task.exposures = row.exposures
        task.worked_on = row.worked_on
        task.excused_crashes = row.excused_crashes
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
