"""State of one shard: its jobs and tasks, built from the entries of its stream."""

from collections import Counter
from dataclasses import replace

from ..chart import load_chart
from .models import (
    AttemptEnded,
    AttemptRecorded,
    Entry,
    JobAccepted,
    JobCancelled,
    JobForgotten,
    JobSpec,
    Snapshot,
    TaskCount,
    TaskFinished,
    TaskParked,
    TaskRow,
    name_task,
)

TASK_CHART = load_chart(__package__, "task")


class ShardState:
    """Jobs and task rows of a shard; changed only by applying entries."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobSpec] = {}
        self.rows: dict[str, TaskRow] = {}

    def apply(self, entry: Entry) -> None:
        """Apply one entry.

        Raises:
            UndefinedTransitionError: The entry is not valid in the task's state.
        """
        match entry:
            case JobAccepted(spec):
                self._accept(spec)
            case AttemptRecorded(task, attempt, worker, boot):
                self._transition(task, "record_attempt", attempt=attempt, worker=worker, boot=boot)
            case AttemptEnded(task, _, reason, progress):
                failed_on = self._find_failed_workers(task, reason)
                ended = {"reason": reason, "progress_ms": progress, "failed_on": failed_on}
                self._transition(task, "end_attempt", **ended)
            case TaskFinished(task, _):
                self._transition(task, "finish")
            case TaskParked(task, reason):
                self._transition(task, "park", reason=reason)
            case JobCancelled(job):
                self._cancel(job)
            case JobForgotten(job):
                self._forget(job)
            case Snapshot(jobs):
                self._restore(jobs)

    def list_tasks(self, job: str) -> tuple[str, ...]:
        """Return the ids of the tasks of `job`."""
        return tuple(name_task(job, index) for index in range(self.jobs[job].tasks))

    def count_states(self, job: str) -> tuple[TaskCount, ...]:
        """Return how many tasks of `job` are in each state."""
        counts = Counter(self.rows[task].state for task in self.list_tasks(job))
        return tuple(TaskCount(state, count) for state, count in sorted(counts.items()))

    def is_over(self, job: str) -> bool:
        """Return whether all tasks of `job` are finished, cancelled or parked."""
        ended = TASK_CHART.final | {"parked"}
        return all(self.rows[task].state in ended for task in self.list_tasks(job))

    def make_snapshot(self) -> Snapshot:
        """Return an entry that restores this state."""
        return Snapshot(
            tuple(
                (spec, tuple(self.rows[task] for task in self.list_tasks(job)))
                for job, spec in self.jobs.items()
            )
        )

    def _find_failed_workers(self, task: str, reason: str) -> tuple[str, ...]:
        row = self.rows[task]
        if reason != "failed" or row.worker in row.failed_on:
            return row.failed_on
        return (*row.failed_on, row.worker)

    def _accept(self, spec: JobSpec) -> None:
        if spec.job in self.jobs:
            return
        self.jobs[spec.job] = spec
        for task in self.list_tasks(spec.job):
            self.rows[task] = TaskRow(TASK_CHART.initial)

    def _transition(self, task: str, event: str, **fields: object) -> None:
        row = self.rows[task]
        state = TASK_CHART.next_state(row.state, event)
        self.rows[task] = replace(row, state=state, **fields)  # type: ignore[arg-type]

    def _cancel(self, job: str) -> None:
        for task in self.list_tasks(job):
            if TASK_CHART.allows(self.rows[task].state, "cancel"):
                self._transition(task, "cancel")

    def _forget(self, job: str) -> None:
        for task in self.list_tasks(job):
            del self.rows[task]
        del self.jobs[job]

    def _restore(self, jobs: tuple[tuple[JobSpec, tuple[TaskRow, ...]], ...]) -> None:
        self.jobs = {spec.job: spec for spec, _ in jobs}
        self.rows = {
            name_task(spec.job, index): row for spec, rows in jobs for index, row in enumerate(rows)
        }
