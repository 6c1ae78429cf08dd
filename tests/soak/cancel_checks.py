"""Checks how long tasks of cancelled jobs start and run on after the acknowledged cancellation."""

from collections import defaultdict, deque
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from .callers import CallerJob
from .fault_log import CONTACT_MS, Span, list_stable_periods

CANCEL_MS: Final = 3_000
"""Time after the acknowledgement within which tasks may still start; `cancel_ms` of the rules."""
STOP_MS: Final = 400
"""Time that a worker may take to stop a run; `stopMs` of the rules."""


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


def list_cancel_findings(
    jobs: Iterable[CallerJob], record: dict[str, Any], spans: list[Span], recorded_at: float
) -> list[str]:
    """Return one line for each start and run that a cancelled job should not have had.

    Args:
        jobs: The callers' jobs.
        record: The record of the platform stand-in: `starts`, `ends` and `late_starts`.
        spans: Begin and end of each fault.
        recorded_at: When the record was read.
    """
    periods = list_stable_periods(spans, recorded_at)
    acknowledged = {job.id: job.cancel_acknowledged_at for job in jobs}
    findings = []
    for run in list_runs(record):
        acknowledged_at = acknowledged.get(run.task.partition(".")[0])
        if acknowledged_at is not None:
            findings += _check_run(run, acknowledged_at, periods, recorded_at)
    return findings


def _check_run(
    run: RecordedRun, acknowledged_at: float, periods: list[Span], recorded_at: float
) -> Iterator[str]:
    if _starts_too_late(run, acknowledged_at, periods):
        since = run.started_at - acknowledged_at
        yield f"{run} started {since:.0f} ms after its job's cancellation was acknowledged"
    ended_at = min(run.ended_at, recorded_at)
    counted_from = acknowledged_at
    if run.is_late:
        counted_from = max(counted_from, run.started_at + CONTACT_MS)
    for begin, end in periods:
        gone_by = max(begin, counted_from) + CANCEL_MS + STOP_MS
        if gone_by <= end and run.started_at < gone_by < ended_at:
            yield (
                f"{run} went on {ended_at - gone_by:.0f} ms too long in a stable period from"
                f" {begin:.0f}; its job's cancellation was acknowledged at {acknowledged_at:.0f}"
            )
            return


def _starts_too_late(run: RecordedRun, acknowledged_at: float, periods: list[Span]) -> bool:
    if run.is_late or run.started_at <= acknowledged_at + CANCEL_MS:
        return False
    return any(begin <= run.started_at < end for begin, end in periods)
