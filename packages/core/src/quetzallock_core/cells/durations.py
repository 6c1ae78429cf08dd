"""Learns the durations of tasks, as submitters' estimates are too inaccurate to schedule with."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Final

from .const import DEFAULT_DURATION_MS
from .jobs import StepRun

_MIN_SAMPLE_WEIGHT: Final = 0.1
"""Weight of a new sample in the moving mean once there are many."""

_MIN_SAMPLES: Final = 3
"""Number of ended tasks of a step from which on its own mean replaces that of its queue."""


@dataclass(slots=True)
class _Mean:
    count: int = 0
    value: float = 0.0

    def add(self, sample: float) -> None:
        self.count += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self.count)
        self.value += weight * (sample - self.value)


@dataclass(slots=True)
class DurationEstimates:
    """Mean durations of tasks in ms, by queue and by step of a job, and mean work of jobs."""

    _by_queue: dict[str, _Mean] = field(default_factory=dict)
    _by_step: dict[tuple[str, int], _Mean] = field(default_factory=dict)
    _work_by_queue: dict[str, _Mean] = field(default_factory=dict)

    def list_means(self) -> tuple[tuple[str, float], ...]:
        """Return the mean duration in ms of each queue's tasks."""
        return tuple((queue, round(mean.value)) for queue, mean in self._by_queue.items())

    def restore(self, means: Iterable[tuple[str, float]]) -> None:
        """Load the mean durations that an earlier owner has learned."""
        for queue, value in means:
            self._by_queue[queue] = _Mean(_MIN_SAMPLES, value)

    def add_work(self, queue: str, core_ms: float) -> None:
        """Add the work of a job, by its submitter's estimates, to the mean of its queue."""
        self._work_by_queue.setdefault(queue, _Mean()).add(core_ms)

    def get_mean_work(self, queue: str) -> float:
        """Return the mean work of the jobs of a queue in core-ms, or 0."""
        mean = self._work_by_queue.get(queue)
        return 0.0 if mean is None else mean.value

    def add(self, step: StepRun, duration_ms: int) -> None:
        """Add the duration of a task that ended as done."""
        self._by_queue.setdefault(step.job.policy.queue, _Mean()).add(duration_ms)
        self._by_step.setdefault((step.job.id, step.number), _Mean()).add(duration_ms)

    def expect(self, step: StepRun) -> float:
        """Return the expected duration in ms of a task of `step`."""
        own = self._by_step.get((step.job.id, step.number))
        if own is not None and own.count >= _MIN_SAMPLES:
            return own.value
        queue = self._by_queue.get(step.job.policy.queue)
        if queue is not None:
            return queue.value
        return float(step.spec.estimate_ms or DEFAULT_DURATION_MS)

    def forget(self, job: str, steps: int) -> None:
        """Drop the mean durations of one job's steps."""
        for number in range(steps):
            self._by_step.pop((job, number), None)
