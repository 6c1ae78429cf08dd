"""Monotonic clocks with a resolution of one millisecond."""

import time
from typing import Final, Protocol

_NS_PER_MS: Final = 1_000_000


class Clock(Protocol):
    """A source of monotonic time; readings of different processes cannot be compared."""

    def now(self) -> int:
        """Return the time in milliseconds since an arbitrary start."""


class MonotonicClock:
    """The monotonic clock of the operating system; it advances while the process is stopped."""

    def now(self) -> int:
        """Return the time in milliseconds since an arbitrary start."""
        return time.monotonic_ns() // _NS_PER_MS


class ManualClock:
    """A clock for tests and simulations that advances only by calls of `advance`."""

    def __init__(self, start: int = 0) -> None:
        self._now = start

    def now(self) -> int:
        """Return the time in milliseconds since an arbitrary start."""
        return self._now

    def advance(self, ms: int) -> None:
        """Advance the clock by `ms` milliseconds."""
        if ms < 0:
            raise ValueError("a monotonic clock cannot go back")
        self._now += ms
