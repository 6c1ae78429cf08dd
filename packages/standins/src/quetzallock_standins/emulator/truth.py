"""What really ran, and which promises that broke."""

from collections.abc import Callable
from dataclasses import dataclass, field


@dataclass(slots=True)
class Truth:
    """Keeps all starts and ends of runs and checks each of them.

    Attributes:
        broken: One line for each broken promise.
    """

    read_ms: Callable[[], int]
    speculative: set[str] = field(default_factory=set)
    predecessors: dict[str, tuple[str, ...]] = field(default_factory=dict)
    attempts: dict[str, int] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    starts: list[tuple[int, str, int, str]] = field(default_factory=list)
    ends: list[tuple[int, str, int, str]] = field(default_factory=list)
    _live: dict[str, set[int]] = field(default_factory=dict)
    _done: set[str] = field(default_factory=set)
    _noted_done: set[str] = field(default_factory=set)
    _noted_failures: dict[str, set[int]] = field(default_factory=dict)
    cancelled_at: dict[str, int] = field(default_factory=dict)

    def note_start(self, task: str, run: int, worker: str, boot_ms: int) -> None:
        """A run has begun."""
        now = self.read_ms()
        live = self._live.setdefault(task, set())
        if task not in self.speculative:
            if live:
                self.broken.append(f"{now}: {task} run {run} on {worker}: also runs as {live}")
            if task in self._noted_done:
                self.broken.append(f"{now}: {task} run {run}: was done")
        for before in self.predecessors.get(task, ()):
            if before not in self._done:
                self.broken.append(f"{now}: {task} run {run}: before {before} was done")
        if len(self._noted_failures.get(task, ())) >= self.attempts.get(task, 1_000):
            self.broken.append(f"{now}: {task} run {run}: has used up its attempts")
        live.add(run)
        self.starts.append((now, task, run, worker))

    def note_end(self, task: str, run: int, how: str) -> None:
        """A run has ended."""
        self._live.get(task, set()).discard(run)
        self.ends.append((self.read_ms(), task, run, how))
        if how == "done":
            self._done.add(task)

    def note_acknowledged(self, task: str, run: int, how: str) -> None:
        """The owner has taken note of an end."""
        if how == "done":
            self._noted_done.add(task)
        elif how == "failed":
            self._noted_failures.setdefault(task, set()).add(run)

    def is_done(self, task: str) -> bool:
        """Tell whether a run of `task` has ended as done."""
        return task in self._done

    def count_live(self) -> int:
        """Return the number of runs going on."""
        return sum(len(live) for live in self._live.values())

    def list_live(self, job: str) -> list[str]:
        """Return the tasks of `job` that run."""
        return [task for task, live in self._live.items() if live and task.startswith(job)]
