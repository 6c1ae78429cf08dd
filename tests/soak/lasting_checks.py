"""Checks that long-running tasks that have run before run again while there is room for them."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, Final

from .callers import CallerJob
from .capacity import CapacityTimeline
from .fault_log import Span, list_stable_periods
from .runs import RecordedRun, list_runs

RESTART_MS: Final = 6_000
"""Time after its last run within which a task must run again; from the rules."""
ABSENCE_MS: Final = 3_000
"""Time without a run after that, with room for it, that is a finding; from the rules."""
CALM_MS: Final = 4_000
"""Time without unplanned faults before that; from the rules."""
ROOM_FACTOR: Final = 2
"""The free capacity must be this many times what the task needs; from the rules."""


@dataclass(frozen=True, slots=True)
class Gap:
    """A time in which a task has no run although it should.

    Attributes:
        last_run: The run before it.
        begin: When the task must have run again.
        end: When it runs again, its job is cancelled or the record ends.
        cpu: What the task needs.
    """

    last_run: RecordedRun
    begin: float
    end: float
    cpu: int


def list_lasting_findings(
    jobs: Iterable[CallerJob],
    record: dict[str, Any],
    unplanned_spans: list[Span],
    recorded_at: float,
) -> list[str]:
    """Return one line for each gap of a long-running task in calm, with room for the task.

    Args:
        jobs: The callers' jobs.
        record: The record of the platform stand-in.
        unplanned_spans: Begin and end of each fault that is not planned work.
        recorded_at: When the record was read.
    """
    periods = list_stable_periods(unplanned_spans, recorded_at, CALM_MS)
    timeline = CapacityTimeline(record)
    findings = []
    for gap in _list_gaps(jobs, record, recorded_at):
        for begin, end in periods:
            inside = (max(begin, gap.begin), min(end, gap.end))
            if inside[1] - inside[0] >= ABSENCE_MS:
                findings += _check_gap(gap, inside, timeline)
    return findings


def _list_gaps(
    jobs: Iterable[CallerJob], record: dict[str, Any], recorded_at: float
) -> Iterator[Gap]:
    lasting = {job.id: job for job in jobs if job.kind == "lasting" and job.accepted_at is not None}
    by_task: defaultdict[str, list[RecordedRun]] = defaultdict(list)
    for run in list_runs(record):
        if run.task.partition(".")[0] in lasting:
            by_task[run.task].append(run)
    for task, runs in by_task.items():
        job = lasting[task.partition(".")[0]]
        until = min(job.cancel_sent_at, recorded_at)
        runs.sort(key=lambda run: run.started_at)
        starts = [run.started_at for run in runs[1:]] + [until]
        for run, next_start in zip(runs, starts, strict=True):
            begin = max(run.ended_at, job.accepted_at or 0) + RESTART_MS
            yield Gap(run, begin, min(next_start, until), record["task_cpu"][task])


def _check_gap(gap: Gap, inside: Span, timeline: CapacityTimeline) -> Iterator[str]:
    """Yield a finding if there is room for the task for `ABSENCE_MS` on end in a span."""
    since: float | None = None
    total = largest = 0
    for (begin, end), free in timeline.list_between(*inside, gap.cpu):
        if free.total < ROOM_FACTOR * gap.cpu:
            since = None
            continue
        if since is None:
            since, total, largest = begin, free.total, 0
        total, largest = min(total, free.total), max(largest, free.largest)
        if end - since >= ABSENCE_MS:
            away_ms = gap.end - gap.last_run.ended_at
            yield (
                f"{gap.last_run}: lasting, but not run again for {away_ms:.0f} ms, though it needs"
                f" {gap.cpu} and {total} were free from {since:.0f} on for {ABSENCE_MS} ms,"
                f" up to {largest} on one worker"
            )
            return
