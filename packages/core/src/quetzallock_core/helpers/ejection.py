"""Ejects what fails again and again, and lets it be tried again after a growing pause."""

from dataclasses import dataclass
from typing import Final

_FAILURES: Final = 3
_PAUSE_MS: Final = 2_000
_PAUSE_MAX_MS: Final = 60_000


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    until: int = 0


class Ejector:
    """Counts failures in a row by name."""

    def __init__(self) -> None:
        self._health: dict[str, _Health] = {}

    def note(self, name: str, ok: bool, now: int) -> bool:
        """Count one outcome; return whether it ejects `name`."""
        if ok:
            self._health.pop(name, None)
            return False
        health = self._health.setdefault(name, _Health())
        health.failures += 1
        if health.failures < _FAILURES or now < health.until:
            return False
        pause = min(_PAUSE_MAX_MS, _PAUSE_MS * 2**health.ejections)
        health.ejections += 1
        health.until = now + pause
        return True

    def is_ejected(self, name: str, now: int) -> bool:
        """Tell whether `name` is to be passed over."""
        health = self._health.get(name)
        return health is not None and now < health.until

    def is_probing(self, name: str) -> bool:
        """Tell whether `name` is back on trial, so that one try at a time is enough."""
        health = self._health.get(name)
        return health is not None and health.ejections > 0
