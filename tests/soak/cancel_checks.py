"""Checks how long tasks of cancelled jobs start and run on after the acknowledged cancellation."""

from collections.abc import Iterable, Iterator
from typing import Any, Final

from .callers import CallerJob
from .fault_log import CONTACT_MS, Span, list_stable_periods
from .runs import RecordedRun, list_runs

CANCEL_MS: Final = 3_000
"""Time after the acknowledgement within which tasks may still start; `cancel_ms` of the rules."""
STOP_MS: Final = 400
"""Time that a worker may take to stop a run; `stopMs` of the rules."""


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
