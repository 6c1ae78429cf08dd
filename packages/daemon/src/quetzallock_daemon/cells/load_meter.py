"""Measures what the owner of a cell spends its time on, for the metrics page and one log line."""

import logging
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final

from .const import LOAD_REPORT_INTERVAL_MS

_LOGGER = logging.getLogger(__name__)

INVENTORY: Final = "inventory"
START_ANSWER: Final = "start_answer"
STOP_ANSWER: Final = "stop_answer"
PLACEMENT: Final = "placement"
TICK: Final = "tick"
REQUEST: Final = "request"
JOURNAL: Final = "journal"
ENTRIES: Final = "entries"
"""Kinds of events that an owner processes."""

_KINDS: Final = (
    INVENTORY,
    START_ANSWER,
    STOP_ANSWER,
    PLACEMENT,
    TICK,
    REQUEST,
    JOURNAL,
    ENTRIES,
)

_ELSEWHERE: Final = ""
"""What is measured outside of all kinds; never reported, as it includes idle time."""

SLEEP_MS: Final = 1
"""How long a new meter sleeps to see whether the clock of the processor time stands still."""

MAX_SLEEP_SHARE: Final = 0.5
"""Largest share of this sleep by which that clock may run on, as waking up takes some time."""

_INVENTORIES: Final = "inventories"
_STARTS: Final = "starts"
_STOPS: Final = "stops"
_PACES: Final = "paces"


class LoadMeter:
    """Adds up the busy time of one owner by kind of event, and reports it once a second.

    Busy time is time that passes, not processor time: reading the processor time takes a system
    call for each event. Time for which the process was ready but had no processor counts as busy.
    Processor time is left out where its clock does not measure it, as on some emulated machines.

    Attributes:
        inventories: Number of inventories processed.
        starts: Number of start orders sent.
        stops: Number of stop orders sent.
        paces: Number of pace orders sent.
    """

    def __init__(
        self,
        cell: int,
        counters: Counter[str],
        read_s: Callable[[], float] = time.perf_counter,
        read_processor_s: Callable[[], float] = time.process_time,
    ) -> None:
        self._cell = cell
        self._counters = counters
        self._read_s = read_s
        self._read_processor_s = read_processor_s
        self._measures_processor = _stands_still_in_sleep(read_s, read_processor_s)
        self._kind = _ELSEWHERE
        self._switched_s = read_s()
        self._busy_s = dict.fromkeys((_ELSEWHERE, *_KINDS), 0.0)
        self._published: Counter[str] = Counter()
        self._reported_s = self._switched_s
        self._reported_processor_s = read_processor_s()
        self._reported_busy_s = dict(self._busy_s)
        self._max_lag_ms = 0.0
        self.inventories = 0
        self.starts = 0
        self.stops = 0
        self.paces = 0
        self._reported_counts = self._read_counts()

    def measure(self, kind: str) -> "BusySpan":
        """Return a context manager whose body counts as `kind`; it must not await anything.

        An event that is processed within another one counts only as its own kind.
        """
        return BusySpan(self, kind)

    def switch(self, kind: str) -> str:
        """Count the time from now on as `kind`, and return the kind up to now."""
        now_s = self._read_s()
        before = self._kind
        self._busy_s[before] += now_s - self._switched_s
        self._switched_s = now_s
        self._kind = kind
        return before

    def record_lag(self, lag_ms: float) -> None:
        """Record how late one timer of the owner was."""
        self._max_lag_ms = max(self._max_lag_ms, lag_ms)

    @property
    def is_report_due(self) -> bool:
        """Whether the last report is `LOAD_REPORT_INTERVAL_MS` ago; read after a span."""
        return (self._switched_s - self._reported_s) * 1_000 >= LOAD_REPORT_INTERVAL_MS

    def report(self, lag_ms: float, waiting: Mapping[str, int]) -> None:
        """Log the load since the last report, and bring the counters up to date.

        Args:
            lag_ms: Moving average of the owner's lag.
            waiting: Number of steps with a task that may start, by kind of step.
        """
        now_s = self._read_s()
        processor_s = self._read_processor_s()
        counts = self._read_counts()
        _LOGGER.info(
            "owner.load",
            extra={
                "cell": self._cell,
                "interval_ms": _to_ms(now_s - self._reported_s),
                "cpu_ms": self._keep_measured(processor_s - self._reported_processor_s),
                "busy_ms": self._read_new_busy_ms(),
                "lag_ms": round(lag_ms),
                "max_lag_ms": round(self._max_lag_ms),
                "waiting": dict(waiting),
                **{name: count - self._reported_counts[name] for name, count in counts.items()},
            },
        )
        self._reported_s = now_s
        self._reported_processor_s = processor_s
        self._reported_busy_s = dict(self._busy_s)
        self._reported_counts = counts
        self._max_lag_ms = 0.0
        self.publish()

    def _read_counts(self) -> dict[str, int]:
        return {
            _INVENTORIES: self.inventories,
            _STARTS: self.starts,
            _STOPS: self.stops,
            _PACES: self.paces,
        }

    def _read_new_busy_ms(self) -> dict[str, int]:
        """Return the busy time since the last report by kind, in ms."""
        return {kind: _to_ms(self._busy_s[kind] - self._reported_busy_s[kind]) for kind in _KINDS}

    def publish(self) -> None:
        """Bring the counters of the metrics page up to date."""
        for kind in _KINDS:
            self._raise_counter(f"owner.busy_ms.{kind}", _to_ms(self._busy_s[kind]))
        for name, count in self._read_counts().items():
            self._raise_counter(f"owner.{name}", count)
        # The processor time is that of the process: owners of several cells must not add it up.
        processor_ms = self._keep_measured(self._read_processor_s())
        if processor_ms is not None:
            self._counters["process.cpu_ms"] = processor_ms

    def _keep_measured(self, processor_s: float) -> int | None:
        """Return processor time in ms, or None where it is not measured."""
        return _to_ms(processor_s) if self._measures_processor else None

    def _raise_counter(self, name: str, total: int) -> None:
        """Add what `total` of this owner exceeds its last one; earlier owners count on."""
        self._counters[name] += total - self._published[name]
        self._published[name] = total


class BusySpan:
    """Part of an owner's time that is spent on one kind of event."""

    __slots__ = ("_before", "_kind", "_meter")

    def __init__(self, meter: LoadMeter, kind: str) -> None:
        self._meter = meter
        self._kind = kind
        self._before = _ELSEWHERE

    def __enter__(self) -> None:
        """Begin to count."""
        self._before = self._meter.switch(self._kind)

    def __exit__(self, *_: Any) -> None:
        """Count as before again."""
        self._meter.switch(self._before)


def _stands_still_in_sleep(
    read_s: Callable[[], float], read_processor_s: Callable[[], float]
) -> bool:
    """Return whether the clock of the processor time stands still while the process sleeps.

    Elsewhere it shows passing time, by which an idle owner looks busy.
    """
    began_s, began_processor_s = read_s(), read_processor_s()
    time.sleep(SLEEP_MS / 1_000)
    passed_s = read_s() - began_s
    return read_processor_s() - began_processor_s <= MAX_SLEEP_SHARE * passed_s


def _to_ms(seconds: float) -> int:
    return round(seconds * 1_000)
