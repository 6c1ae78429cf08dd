"""Record of what the emulated workers really ran, and of the promises that were broken."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class GroundTruth:
    """Starts and ends of runs as the workers saw them; every start is checked against the promises.

    Attributes:
        read_ms: Reads the clock of the emulation.
        speculative: Tasks of which two runs may overlap.
        predecessors: For each task, the tasks that must be done before it starts.
        max_attempts: For each task, the number of failures after which it must not start again.
        violations: One line for each broken promise.
        starts: Time, task, run and worker of each start.
        ends: Time, task, run and outcome of each end.
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
    _done_at: dict[tuple[str, int], int] = field(default_factory=dict)
    _last_start: dict[str, tuple[int, int]] = field(default_factory=dict)
    _acknowledged_done: set[str] = field(default_factory=set)
    _acknowledged_failures: dict[str, set[int]] = field(default_factory=dict)

    def record_start(self, task: str, run: int, worker: str, boot_ms: int) -> None:
        """Record the start of a run and check it."""
        now = self.read_ms()
        running = self._running_by_task.setdefault(task, set())
        if task not in self.speculative:
            if running:
                self.violations.append(
                    f"{now}: {task} run {run} on {worker}: overlaps runs {running}"
                )
            if task in self._acknowledged_done:
                self.violations.append(f"{now}: {task} run {run}: the task is already done")
        for predecessor in self.predecessors.get(task, ()):
            if predecessor not in self._done:
                self.violations.append(f"{now}: {task} run {run}: {predecessor} is not done")
        if len(self._acknowledged_failures.get(task, ())) >= self.max_attempts.get(task, 1_000):
            self.violations.append(f"{now}: {task} run {run}: no attempts are left")
        running.add(run)
        self.starts.append((now, task, run, worker))
        self._last_start[task] = (now, run)

    def record_overload(self, task: str, run: int, worker: str) -> None:
        """Record a start that brings a worker over the capacity it offers."""
        self.violations.append(f"{self.read_ms()}: {task} run {run} on {worker}: over its capacity")

    def record_end(self, task: str, run: int, outcome: str) -> None:
        """Record the end of a run and its outcome."""
        self._running_by_task.get(task, set()).discard(run)
        self.ends.append((self.read_ms(), task, run, outcome))
        if outcome == "done":
            self._done.add(task)
            self._done_at[task, run] = self.read_ms()

    def record_acknowledged_end(
        self, task: str, run: int, outcome: str, has_lapsed_since: bool = False
    ) -> None:
        """Record that the owner has acknowledged an end; its journal holds it by then.

        An end as done is not taken note of, for good, if the lease has lapsed since.

        Args:
            task: The task.
            run: Number of its run.
            outcome: Its outcome.
            has_lapsed_since: The worker's lease has lapsed between the end and this.
        """
        if outcome == "done" and has_lapsed_since:
            return
        if outcome == "done":
            self._acknowledged_done.add(task)
            self._check_started_again(task, run)
        elif outcome == "failed":
            self._acknowledged_failures.setdefault(task, set()).add(run)

    def _check_started_again(self, task: str, run: int) -> None:
        """Check that no run was started after one whose end as done counts."""
        done_at = self._done_at[task, run]
        if task in self.speculative:
            return
        started_at, started_run = self._last_start[task]
        if started_at > done_at:
            self.violations.append(f"{started_at}: {task} run {started_run}: run {run} was done")

    def is_done(self, task: str) -> bool:
        """Return whether a run of `task` has ended as done."""
        return task in self._done

    def is_running(self, task: str, run: int) -> bool:
        """Return whether a run of `task` has started and not ended."""
        return run in self._running_by_task.get(task, ())

    def count_running(self) -> int:
        """Return the number of runs that have not ended."""
        return sum(len(running) for running in self._running_by_task.values())

    def list_running(self, job: str) -> list[str]:
        """Return the running tasks whose name starts with `job`."""
        return [
            task
            for task, running in self._running_by_task.items()
            if running and task.startswith(job)
        ]
