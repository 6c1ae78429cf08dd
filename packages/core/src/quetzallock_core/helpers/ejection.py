"""Outlier ejection: skips targets after consecutive failures, for exponentially longer pauses."""

from dataclasses import dataclass
from typing import Final

_FAILURES_TO_EJECT: Final = 3
_FIRST_PAUSE_MS: Final = 2_000
_MAX_PAUSE_MS: Final = 60_000


@dataclass(slots=True)
class _Health:
    consecutive_failures: int = 0
    ejection_count: int = 0
    ejected_until: int = 0


class Ejector:
    """Counts the consecutive failures of named targets and ejects those with too many."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def record(self, name: str, ok: bool, now: int) -> bool:
        """Record one outcome and return whether it ejects `name`."""
        if ok:
            self._health.pop(name, None)
            return False
        health = self._health.setdefault(name, _Health())
        health.consecutive_failures += 1
        if health.consecutive_failures < _FAILURES_TO_EJECT or now < health.ejected_until:
            return False
        pause = min(_MAX_PAUSE_MS, _FIRST_PAUSE_MS * 2**health.ejection_count)
        health.ejection_count += 1
        health.ejected_until = now + pause
        return True

    def is_ejected(self, name: str, now: int) -> bool:
        """Return whether `name` is ejected at `now`."""
        health = self._health.get(name)
        return health is not None and now < health.ejected_until

    def is_probing(self, name: str) -> bool:
        """Return whether `name` was ejected and has not succeeded since.

        Such a target should receive one request at a time.
        """
        health = self._health.get(name)
        return health is not None and health.ejection_count > 0
