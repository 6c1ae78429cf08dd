"""Clocks of a host: monotonic time that includes suspensions, and Unix time."""

import time
from typing import Final

_NS_PER_MS: Final = 1_000_000


class BootClock:
    """Monotonic time since the host's boot, including suspensions."""

    def now(self) -> int:
        """Return the time in ms."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


def read_unix_ms() -> int:
    """Return the Unix time of this host's clock in ms; it may jump."""
    return time.time_ns() // _NS_PER_MS
