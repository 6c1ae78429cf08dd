"""Phases of a drain: what a host still does, by the time since SIGTERM."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from quetzallock_core.clock import Clock

from .const import ANSWER_MARGIN_MS, OWNER_REQUEST_TIMEOUT_MS

_ROTATION_MS: Final = 3_000
"""How long the load balancer may send new connections to a host that is not ready: two misses of
its checks, one each second, and as much as one check may take."""

_MAX_EXIT_MARGIN_MS: Final = 800
"""How long before SIGKILL a draining host exits in any case; less where the grace is short."""

_EXIT_SHARE: Final = 6
"""Part of the grace that the exit margin takes at most: a sixth."""

_FLUSH_SHARE: Final = 4
"""Part of the time until the exit that flushing takes at most: a quarter."""


class Phase(IntEnum):
    """Phases of a host's life, in their order.

    Attributes:
        SERVING: There was no SIGTERM.
        LEAVING: The load balancer takes the host out; requests on all connections are processed.
        CLOSING: No new connections; requests that are partly received are awaited and processed.
        REFUSING: A request that is received now is refused, as its answer may not come in time.
        FLUSHING: All requests have their answers; what is written is flushed.
        OVER: The process exits.
    """

    SERVING = 0
    LEAVING = 1
    CLOSING = 2
    REFUSING = 3
    FLUSHING = 4
    OVER = 5


@dataclass(frozen=True, slots=True)
class DrainTimes:
    """When the phases of a drain begin, in ms since SIGTERM."""

    closing_ms: int
    refusing_ms: int
    flushing_ms: int
    exit_ms: int


def derive_drain_times(grace_ms: int, loss_slack_ms: int) -> DrainTimes:
    """Return the times of a drain.

    Args:
        grace_ms: Time between SIGTERM and SIGKILL.
        loss_slack_ms: Time after a request's last byte within which its connection may end.
    """
    exit_ms = grace_ms - min(_MAX_EXIT_MARGIN_MS, grace_ms // _EXIT_SHARE)
    flushing_ms = exit_ms - min(loss_slack_ms, exit_ms // _FLUSH_SHARE)
    refusing_ms = max(0, flushing_ms - OWNER_REQUEST_TIMEOUT_MS - ANSWER_MARGIN_MS)
    return DrainTimes(min(_ROTATION_MS, refusing_ms), refusing_ms, flushing_ms, exit_ms)


class Drain:
    """The drain of a host, which has not begun before `begin` is called."""

    def __init__(self, clock: Clock, times: DrainTimes) -> None:
        self._clock = clock
        self._times = times
        self._began_at: int | None = None

    @property
    def has_begun(self) -> bool:
        """Whether SIGTERM has come."""
        return self._began_at is not None

    @property
    def phase(self) -> Phase:
        """The phase that the host is in now."""
        return self.find_phase(self._clock.now())

    @property
    def elapsed_ms(self) -> int:
        """Time since SIGTERM, 0 before it."""
        return 0 if self._began_at is None else self._clock.now() - self._began_at

    def begin(self) -> None:
        """Begin the drain, unless it has begun."""
        if self._began_at is None:
            self._began_at = self._clock.now()

    def find_phase(self, at: int) -> Phase:
        """Return the phase that the host is or was in at `at`."""
        if self._began_at is None or at < self._began_at:
            return Phase.SERVING
        elapsed_ms = at - self._began_at
        times = self._times
        ends = (times.closing_ms, times.refusing_ms, times.flushing_ms, times.exit_ms)
        return Phase(Phase.LEAVING + sum(elapsed_ms >= end for end in ends))

    def limit_wait(self, until: int) -> int:
        """Return `until`, or the earlier time by which a draining host has to have an answer."""
        if self._began_at is None:
            return until
        return min(until, self._began_at + self._times.flushing_ms - ANSWER_MARGIN_MS)

    def compute_offset_ms(self, at: int) -> int | None:
        """Return `at` in ms since SIGTERM, negative before it; None if there was none."""
        return None if self._began_at is None else at - self._began_at
