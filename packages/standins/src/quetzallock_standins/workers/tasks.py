"""Attempts on a worker: the one that a task runs or has run, and the closed ones."""

from dataclasses import dataclass, field

from quetzallock_core.workers.const import RUNNING
from quetzallock_core.workers.models import NOTHING, Resources, StartTask, TaskStatus

from .const import CHECKPOINT_INTERVAL_MS, CLOSED_RETENTION_MS
from .models import RunRecord, WorkerShape


@dataclass(slots=True)
class Task:
    """The newest attempt of a task on this worker.

    Attributes:
        until: End of the task lease, by the worker's clock.
        version: Version of the worker's state in which the attempt last changed.
    """

    name: str
    attempt: int
    state: str
    demand: Resources
    run_ms: int
    progress_ms: int
    checkpoint_ms: int
    until: int
    started_at: int
    start_progress_ms: int
    version: int = 0
    throttle_percent: int = 100

    def advance(self, elapsed_ms: int, slowdown_percent: int) -> None:
        """Make the progress of `elapsed_ms`."""
        progress_ms = elapsed_ms * self.throttle_percent // (100 + slowdown_percent)
        self.progress_ms += max(0, progress_ms)

    def save_checkpoint(self) -> None:
        """Save the last checkpoint that the progress has passed."""
        passed_ms = self.progress_ms // CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS
        self.checkpoint_ms = max(self.checkpoint_ms, passed_ms)

    def make_status(self, shape: WorkerShape) -> TaskStatus:
        """Return the status that the worker reports."""
        usage = self._compute_usage(shape) if self.state == RUNNING else NOTHING
        return TaskStatus(
            self.name, self.attempt, self.state, self.demand, self.checkpoint_ms, usage
        )

    def make_run_record(self, worker: str, at: int, ending: str) -> RunRecord:
        """Return the ground truth of the attempt, which ended at `at`."""
        return RunRecord(
            worker,
            self.name,
            self.attempt,
            self.started_at,
            at,
            self.start_progress_ms,
            self.checkpoint_ms,
            ending,
        )

    def _compute_usage(self, shape: WorkerShape) -> Resources:
        share = shape.usage_percent
        return Resources(
            self.demand.cpu_milli * share * self.throttle_percent // 10_000,
            self.demand.memory_mb * share // 100,
            self.demand.accelerators,
        )


def make_task(start: StartTask, now: int) -> Task:
    """Return the attempt that a command starts."""
    return Task(
        start.task,
        start.attempt,
        RUNNING,
        start.demand,
        start.run_ms,
        progress_ms=start.progress_ms,
        checkpoint_ms=start.progress_ms,
        until=start.until,
        started_at=now,
        start_progress_ms=start.progress_ms,
    )


@dataclass(slots=True)
class ClosedAttempts:
    """The highest closed attempt of each task, which must not start again."""

    _newest: dict[str, tuple[int, int]] = field(default_factory=dict)

    def add(self, task: str, attempt: int, now: int) -> None:
        """Close all attempts of a task up to this one, and forget the oldest entries."""
        newest = max(attempt, self._find_newest(task))
        self._newest[task] = (newest, now)
        for name, (_, at) in list(self._newest.items())[:2]:
            if now - at >= CLOSED_RETENTION_MS:
                del self._newest[name]

    def includes(self, task: str, attempt: int) -> bool:
        """Return whether this attempt is closed."""
        return attempt <= self._find_newest(task)

    def clear(self) -> None:
        """Forget all entries."""
        self._newest.clear()

    def _find_newest(self, task: str) -> int:
        return self._newest.get(task, (0, 0))[0]
