"""What really ran, and which promises that broke."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class GroundTruth:
    """Keeps all starts and ends of runs and checks each of them.

    Attributes:
        violations: One line for each broken promise.
    """

    read_ms: Callable[[], int]
    speculative: set[str] = field(default_factory=set)
    predecessors: dict[str, tuple[str, ...]] = field(default_factory=dict)
    max_attempts: dict[str, int] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    starts: list[tuple[int, str, int, str]] = field(default_factory=list)
    ends: list[tuple[int, str, int, str]] = field(default_factory=list)
    _running_by_task: dict[str, set[int]] = field(default_factory=dict)
    _done: set[str] = field(default_factory=set)
    _acknowledged_done: set[str] = field(default_factory=set)
    _acknowledged_failures: dict[str, set[int]] = field(default_factory=dict)
    cancelled_at: dict[str, int] = field(default_factory=dict)

    def record_start(self, task: str, run: int, worker: str, boot_ms: int) -> None:
        """A run has begun."""
        now = self.read_ms()
        running = self._running_by_task.setdefault(task, set())
        if task not in self.speculative:
            if running:
                self.violations.append(
                    f"{now}: {task} run {run} on {worker}: also runs as {running}"
                )
            if task in self._acknowledged_done:
                self.violations.append(f"{now}: {task} run {run}: was done")
        for before in self.predecessors.get(task, ()):
            if before not in self._done:
                self.violations.append(f"{now}: {task} run {run}: before {before} was done")
        if len(self._acknowledged_failures.get(task, ())) >= self.max_attempts.get(task, 1_000):
            self.violations.append(f"{now}: {task} run {run}: has used up its attempts")
        running.add(run)
        self.starts.append((now, task, run, worker))

    def record_end(self, task: str, run: int, how: str) -> None:
        """A run has ended."""
        self._running_by_task.get(task, set()).discard(run)
        self.ends.append((self.read_ms(), task, run, how))
        if how == "done":
            self._done.add(task)

    def record_acknowledged_end(self, task: str, run: int, how: str) -> None:
        """The owner has taken note of an end."""
        if how == "done":
            self._acknowledged_done.add(task)
        elif how == "failed":
            self._acknowledged_failures.setdefault(task, set()).add(run)

    def is_done(self, task: str) -> bool:
        """Tell whether a run of `task` has ended as done."""
        return task in self._done

    def count_running(self) -> int:
        """Return the number of runs going on."""
        return sum(len(running) for running in self._running_by_task.values())

    def list_running(self, job: str) -> list[str]:
        """Return the tasks of `job` that run."""
        return [
            task
            for task, running in self._running_by_task.items()
            if running and task.startswith(job)
        ]
