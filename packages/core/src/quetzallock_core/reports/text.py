"""Renders a report as text of at most 12 lines of 40 columns, which fits a phone screen."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ..const import SECOND_MS
from .const import MAX_COLUMNS, MAX_LINES
from .models import Report


@dataclass(frozen=True, slots=True)
class PromiseDescription:
    """A promise, its short name, and the counters that show a violation."""

    name: str
    short: str
    violation_counters: tuple[str, ...]


PROMISES: Final = (
    PromiseDescription("no host over-committed", "room", ("placement.over_room",)),
    PromiseDescription("no task in two places", "one place", ("jobs.outdated_attempts",)),
    PromiseDescription("evicted work resumes once", "resume", ("jobs.faulty_entries",)),
    PromiseDescription("whole answers only", "whole", ("requests.partial_passed",)),
    PromiseDescription("not run is certain", "not run", ("requests.ran_after_not_run",)),
    PromiseDescription("non-idempotent at most once", "orders", ("requests.sent_twice",)),
    PromiseDescription("leaving gets no work", "leaving", ("placement.leaving_started",)),
    PromiseDescription("stop cuts off nothing", "stop", ("requests.cut_off",)),
    PromiseDescription("preset never reverts", "preset", ("presets.reverted",)),
)


def check_promises(counts: Mapping[str, int], complete: bool) -> dict[str, str]:
    """Return `ok`, `BROKEN` or, if a host is missing, `?`, by short name of the promise."""
    verdicts = {}
    for promise in PROMISES:
        broken = any(counts.get(name, 0) for name in promise.violation_counters)
        verdicts[promise.short] = "BROKEN" if broken else "ok" if complete else "?"
    return verdicts


def render_report(report: Report) -> str:
    """Render the report as text."""
    counts = report.counts
    total = report.hosts + len(report.missing)
    arrived = counts.get("requests.arrived", 0)
    seconds = max(1.0, report.up_ms / SECOND_MS)
    finished = counts.get("jobs.tasks_finished", 0)
    lines = [
        f"hosts {report.hosts}/{total}  {_describe_missing(report.missing)}",
        f"preset {report.preset or '-'} in force {report.preset_hosts}/{total}",
        f"answers in time {_percent(counts.get('requests.in_time', 0), arrived)} of {arrived}",
        f"tail p50 {report.p50_ms:.0f} ms  p99 {report.p99_ms:.0f} ms",
        f"crest {_percent(report.crest_in_time, report.crest_asked)} of {report.crest_asked}",
        f"not run {counts.get('requests.not_run', 0)}  unknown {counts.get('requests.unknown', 0)}",
        f"batch {finished} done  {finished / seconds:.1f}/s",
        f"evicted {count_evictions(counts)}  short wait p99 {report.short_wait_p99_ms:.0f} ms",
    ]
    verdicts = [f"{name} {verdict}" for name, verdict in _check_report(report).items()]
    lines += ["  ".join(verdicts[start : start + 3]) for start in range(0, len(verdicts), 3)]
    return "\n".join(line[:MAX_COLUMNS] for line in lines[:MAX_LINES])


def count_evictions(counts: Mapping[str, int]) -> int:
    """Return how many attempts ended unfinished by a stop or a lapsed lease."""
    return sum(counts.get(f"jobs.attempts_{reason}", 0) for reason in ("stopped", "lapsed"))


def _check_report(report: Report) -> dict[str, str]:
    return check_promises(report.counts, not report.missing)


def _describe_missing(missing: tuple[str, ...]) -> str:
    return f"missing {', '.join(missing)}" if missing else "all answer"


def _percent(part: int, whole: int) -> str:
    if not whole:
        return "-"
    return f"{100 * part / whole:.1f}%"
