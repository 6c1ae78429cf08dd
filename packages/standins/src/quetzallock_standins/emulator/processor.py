"""The processor of an emulated owner: each event takes time, and events wait for each other."""

from dataclasses import dataclass
from typing import Final

COSTS_MS: Final = {"inventory": 0.5, "order": 0.7, "append": 2.0, "submission": 1.0, "tick": 4.0}
"""Processor ms of an event on a whole core, with what is sent because of it."""


@dataclass(slots=True)
class Processor:
    """A share of a core that processes events one at a time, first come, first served.

    Attributes:
        share: Share of a core.
        busy_until: When the events that have arrived so far are processed.
    """

    share: float
    busy_until: float = 0.0

    def take(self, kind: str, now: int) -> int:
        """Return in how many ms an event of this kind that arrives now is processed."""
        self.busy_until = max(self.busy_until, now) + COSTS_MS[kind] / self.share
        return int(self.busy_until - now)

    def compute_lag_ms(self, now: int) -> int:
        """Return how long an event that arrives now waits."""
        return max(0, int(self.busy_until - now))
