"""The runs of tasks as the workers of the platform stand-in recorded them."""

from collections import defaultdict, deque
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class RecordedRun:
    """One run as a worker recorded it.

    Attributes:
        ended_at: When it ended, infinity if it had not ended at the time of the record.
        outcome: How it ended, empty if it had not.
        is_late: Whether the worker carried out the order to start it late.
    """

    task: str
    run: int
    worker: str
    started_at: float
    ended_at: float
    outcome: str
    is_late: bool

    def __str__(self) -> str:
        late = ", carried out late" if self.is_late else ""
        return (
            f"{self.task} run {self.run} on {self.worker}"
            f" ({self.started_at:.0f} to {self.ended_at:.0f} {self.outcome}{late})"
        )


def list_runs(record: dict[str, Any]) -> list[RecordedRun]:
    """Return the runs in a record; a number that a later boot starts again is another run."""
    ends: defaultdict[tuple[str, int], deque[tuple[float, str]]] = defaultdict(deque)
    for ended_at, task, run, outcome in record["ends"]:
        ends[task, run].append((ended_at, outcome))
    late_starts = {tuple(row) for row in record.get("late_starts", [])}
    runs = []
    for row in record["starts"]:
        started_at, task, run, worker = row
        ended = ends[task, run]
        end = ended.popleft() if ended else (float("inf"), "")
        runs.append(RecordedRun(task, run, worker, started_at, *end, tuple(row) in late_starts))
    return runs


def list_runs_of_findings(findings: list[str], record: dict[str, Any]) -> list[str]:
    """Return one line for each run of the tasks that findings name."""
    return [str(run) for run in list_runs(record) if any(run.task in line for line in findings)]
