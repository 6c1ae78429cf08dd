"""Log of the faults of a course, and the periods without any."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final

from .deployment import Span, now_ms

CONTACT_MS: Final = 3_000
"""How long after the last fault has ended hosts and workers may still be out of touch."""
HARMLESS_FAULTS: Final = ("change_configuration",)
"""Faults that do not end a stable period."""
PLANNED_WORK: Final = (
    *HARMLESS_FAULTS,
    "force_rebalance",
    "reload_host",
    "replace_workers",
    "restart_hosts",
    "slow_appends",
    "stop_host",
)
"""Faults that are planned work: they do not end a calm period."""


@dataclass(slots=True)
class FaultLog:
    """Lines of the log of a course, and when each fault began and ended.

    Attributes:
        end: Summary of a course that has reached its end.
        spans: Begin and end of each fault that ends a stable period; infinity until it has ended.
        unplanned_spans: The same of each fault that ends a calm period.
    """

    lines: list[str] = field(default_factory=list)
    end: str = ""
    spans: list[Span] = field(default_factory=list)
    unplanned_spans: list[Span] = field(default_factory=list)

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self.lines.append(f"{now_ms():.0f} {text}")

    @contextmanager
    def record(self, fault: str, detail: str = "") -> Iterator[None]:
        """Record a fault that lasts as long as the context."""
        self.add(f"{fault} {detail}".rstrip())
        began_at = now_ms()
        disturbed = []
        if fault not in HARMLESS_FAULTS:
            disturbed.append(self.spans)
        if fault not in PLANNED_WORK:
            disturbed.append(self.unplanned_spans)
        indexes = [len(spans) for spans in disturbed]
        for spans in disturbed:
            spans.append((began_at, float("inf")))
        try:
            yield
        finally:
            for spans, index in zip(disturbed, indexes, strict=True):
                spans[index] = (began_at, now_ms())
            self.add(f"{fault} has ended")


def list_stable_periods(spans: list[Span], until: float, settle_ms: int = CONTACT_MS) -> list[Span]:
    """Return the periods before `until` that began `settle_ms` after the last fault had ended.

    Nothing before the end of the first fault is stable: it stands for the start of the processes.
    """
    if not spans:
        return []
    ordered = sorted(spans)
    periods: list[Span] = []
    stable_from = ordered[0][1] + settle_ms
    for began_at, ended_at in [*ordered, (until, until)]:
        if stable_from < began_at:
            periods.append((stable_from, began_at))
        stable_from = max(stable_from, ended_at + settle_ms)
    return periods
