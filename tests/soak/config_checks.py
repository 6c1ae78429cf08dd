"""Checks by which version of the configuration hosts answered, as callers saw it.

A host in touch serves by a version `CONFIG_APPLY_MS` after its acknowledgement. A host that has
shown a version does not return to an older one in the same boot, in touch or not.
"""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, Final

from .fault_log import CONTACT_MS, Span

CONFIG_APPLY_MS: Final = 2_000
"""Time after the acknowledgement of a version in which older ones may be in force."""
ROLLBACK_SLACK_MS: Final = 250
"""Time after an answer by a version in which older ones may still answer.

It is longer for slowed hosts, but no fault of the soak slows one.
"""
OK: Final = 200
NO_ROUTE: Final = 404


@dataclass(frozen=True, slots=True)
class Probe:
    """A request for the count of a queue, and its answer; the times are in ms.

    Attributes:
        boot: Number of the host's start that preceded it.
        status: HTTP status of the answer; 0 for no answer.
    """

    host: str
    boot: int
    prefix: str
    sent_at: float
    status: int
    answered_at: float


class _Versions:
    """The published versions, numbered from 0 in the order of their acknowledgement."""

    def __init__(self, record: Sequence[dict[str, Any]]) -> None:
        self._rows = sorted(record, key=lambda row: row["acknowledged_at"])
        self._times = [row["acknowledged_at"] for row in self._rows]

    def find_bound(self, sent_at: float) -> int:
        """Return the oldest version that a request at `sent_at` may be handled by in touch."""
        return max(0, bisect_left(self._times, sent_at - CONFIG_APPLY_MS) - 1)

    def find_match(self, probe: Probe, oldest: int) -> int | None:
        """Return the oldest version from `oldest` on that allows the answer, or None."""
        end = bisect_right(self._times, probe.answered_at)
        for number in range(oldest, end):
            if (probe.prefix in self._rows[number]["prefixes"]) == (probe.status == OK):
                return number
        return None

    def describe(self, number: int) -> str:
        """Return the version and the time of its acknowledgement."""
        return f"version {self._rows[number]['version']}, acknowledged at {self._times[number]},"


def list_config_findings(
    probes: Iterable[Probe], record: Sequence[dict[str, Any]], spans: dict[str, list[Span]]
) -> list[str]:
    """Return one line for each host, boot and path prefix that was served by a version too old.

    Args:
        probes: The probes in any order.
        record: The published versions as the platform stand-in recorded them.
        spans: Begin and end of what disturbed a host, by host.
    """
    versions = _Versions(record)
    boots: dict[tuple[str, int], list[Probe]] = {}
    for probe in sorted(probes, key=lambda probe: probe.sent_at):
        if probe.status in (OK, NO_ROUTE):
            boots.setdefault((probe.host, probe.boot), []).append(probe)
    findings: list[str] = []
    for (host, _boot), boot_probes in boots.items():
        findings += _check_boot(boot_probes, versions, spans.get(host, []))
    return findings


def _check_boot(
    probes: Sequence[Probe], versions: _Versions, spans: Sequence[Span]
) -> Iterator[str]:
    """Yield a line for each prefix whose answers only versions older than allowed explain."""
    wrong: dict[str, list[tuple[Probe, int, str]]] = {}
    for probe, shown in _list_shown_versions(probes, versions):
        in_touch = all(
            end <= probe.sent_at - CONTACT_MS or probe.sent_at < begin for begin, end in spans
        )
        oldest = max(shown, versions.find_bound(probe.sent_at)) if in_touch else shown
        if versions.find_match(probe, oldest) is None:
            word = "had been shown" if oldest == shown else "had to be in force"
            wrong.setdefault(probe.prefix, []).append((probe, oldest, word))
    for prefix, rows in wrong.items():
        (first, oldest, word), last = rows[0], rows[-1][0]
        yield (
            f"CONFIG: {first.host} answered GET {prefix} with {first.status}, although"
            f" {versions.describe(oldest)} {word}; {len(rows)} times, sent"
            f" {first.sent_at:.0f} to {last.sent_at:.0f}"
        )


def _list_shown_versions(
    probes: Iterable[Probe], versions: _Versions
) -> Iterator[tuple[Probe, int]]:
    """Yield each probe of a boot with the version that earlier answers have shown.

    An answer shows the oldest version that allows it and is not older than the one shown before.
    """
    shown: list[tuple[float, int]] = [(float("-inf"), 0)]
    for probe in probes:
        seen_before = probe.sent_at - ROLLBACK_SLACK_MS
        oldest = max(number for answered_at, number in shown if answered_at < seen_before)
        yield probe, oldest
        match = versions.find_match(probe, oldest)
        if match is not None and match > oldest:
            shown.append((probe.answered_at, match))
