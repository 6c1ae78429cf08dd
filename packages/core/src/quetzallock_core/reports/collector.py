"""Collects the counts of this host and merges the reports of all hosts."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from ..core import Core
from ..members import Members
from ..members.queries import HostQueries
from ..presets.models import PresetChanged
from ..requests.models import RequestEnded
from .const import (
    MAX_RECORDED_MS,
    MIN_RECORDED_MS,
    PEAK_WINDOW_MS,
    SIGNIFICANT_DIGITS,
)
from .models import Count, HostReport, QueryReport, Report


def make_histogram() -> HdrHistogram:
    """Create an empty histogram of durations in ms."""
    return HdrHistogram(MIN_RECORDED_MS, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)


class Reports:
    """Collects this host's counts and queries those of other hosts."""

    def __init__(self, core: Core, members: Members) -> None:
        self._core = core
        self._members = members
        self._started_at = core.clock.now()
        self._latency = make_histogram()
        self._short_wait = make_histogram()
        self._preset = ""
        self._window_started_at = self._started_at
        # Numbers of requests, and of those answered in time.
        self._window = (0, 0)
        self._peak = (0, 0)
        self._queries: HostQueries[HostReport] = HostQueries(core, members, self._answer_query)
        core.listen(RequestEnded, self._on_ended)
        core.listen(PresetChanged, self._on_preset)
        core.listen(QueryReport, self._on_query)
        core.listen(HostReport, self._on_report)
        core.every_tick(self._tick)

    def query_all_hosts(self, ticket: int) -> None:
        """Query all hosts; the answer for `ticket` is the merged `Report`."""
        self._queries.send(ticket, QueryReport)

    def _on_ended(self, event: RequestEnded, _source: str) -> None:
        if event.outcome == "whole":
            self._latency.record_value(max(MIN_RECORDED_MS, event.took_ms))
        if not event.is_long:
            self._short_wait.record_value(max(MIN_RECORDED_MS, event.waited_ms))
        requested, in_time = self._window
        self._window = (requested + 1, in_time + event.in_time)
        self._core.counters["requests.in_time"] += event.in_time

    def _on_preset(self, event: PresetChanged, _source: str) -> None:
        self._preset = event.preset.name

    def _tick(self, now: int) -> None:
        if now - self._window_started_at >= PEAK_WINDOW_MS:
            self._peak = max(self._peak, self._window)
            self._window_started_at, self._window = now, (0, 0)
        self._queries.close_overdue(now)

    def _on_query(self, query: QueryReport, source: str) -> None:
        peak = max(self._peak, self._window)
        counts = tuple(Count(name, value) for name, value in sorted(self._core.counters.items()))
        report = HostReport(
            query.query,
            self._core.clock.now() - self._started_at,
            counts,
            self._latency.encode(),
            self._short_wait.encode(),
            peak[0],
            peak[1],
            self._preset,
        )
        self._core.send(source, report)

    def _on_report(self, report: HostReport, source: str) -> None:
        self._queries.record_answer(report.query, source, report)

    def _answer_query(self, ticket: int, answers: dict[str, HostReport]) -> None:
        missing = tuple(host for host in self._members.reachable if host not in answers)
        reports = tuple(answers.values())
        self._core.answer(ticket, merge_reports(reports, missing, self._preset))


def merge_reports(reports: tuple[HostReport, ...], missing: tuple[str, ...], preset: str) -> Report:
    """Merge the hosts' reports."""
    latency, short_wait = make_histogram(), make_histogram()
    counts: Counter[str] = Counter()
    for report in reports:
        latency.decode_and_add(report.latency)
        short_wait.decode_and_add(report.short_wait)
        for count in report.counts:
            counts[count.name] += count.value
    return Report(
        len(reports),
        missing,
        preset,
        sum(report.preset == preset for report in reports),
        dict(counts),
        latency.get_value_at_percentile(50),
        latency.get_value_at_percentile(99),
        short_wait.get_value_at_percentile(99),
        sum(report.crest_asked for report in reports),
        sum(report.crest_in_time for report in reports),
        max((report.up_ms for report in reports), default=0),
    )
