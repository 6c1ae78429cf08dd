"""Learns how long kinds of requests take; what callers declare is far off."""

from typing import Final

_WEIGHT: Final = 0.2
_FIRST_GUESS_MS: Final = 20.0
_KINDS_LIMIT: Final = 1_000


class Lengths:
    """Moving averages by kind, in ms."""

    def __init__(self) -> None:
        self._means: dict[str, float] = {}
        self._overall = _FIRST_GUESS_MS

    def note(self, kind: str, took_ms: float) -> None:
        """Take in how long one request took."""
        self._overall += _WEIGHT * (took_ms - self._overall)
        old = self._means.pop(kind, took_ms)
        self._means[kind] = old + _WEIGHT * (took_ms - old)
        if len(self._means) > _KINDS_LIMIT:
            del self._means[next(iter(self._means))]

    def expect(self, kind: str) -> float:
        """Return how long a request of `kind` is likely to take."""
        return self._means.get(kind, self._overall)
