"""Learns how long kinds of requests take; what callers declare is far off."""

from dataclasses import dataclass
from typing import Final

_WEIGHT: Final = 0.1
_OVERALL_WEIGHT: Final = 0.01
_LONG_FACTOR: Final = 3.0
_FIRST_GUESS_MS: Final = 20.0
_KINDS_LIMIT: Final = 1_000
_DEVIATIONS: Final = 2.0


@dataclass(frozen=True, slots=True)
class DurationEstimate:
    """How long a kind of request takes, in ms: moving mean and moving mean deviation."""

    mean: float
    deviation: float

    @property
    def upper_bound_ms(self) -> float:
        """Time that few requests of the kind exceed."""
        return self.mean + _DEVIATIONS * self.deviation

    def update(self, took_ms: float, weight: float = _WEIGHT) -> "DurationEstimate":
        """Return the length after one more request."""
        error = took_ms - self.mean
        deviation = self.deviation + weight * (abs(error) - self.deviation)
        return DurationEstimate(self.mean + weight * error, deviation)


class DurationEstimates:
    """Learned lengths by kind."""

    def __init__(self) -> None:
        self._kinds: dict[str, DurationEstimate] = {}
        self._overall = DurationEstimate(_FIRST_GUESS_MS, 0.0)
        self._noted = 0

    def record(self, kind: str, took_ms: float) -> None:
        """Take in how long one request took."""
        self._noted += 1
        weight = max(_OVERALL_WEIGHT, 1 / self._noted)
        self._overall = self._overall.update(took_ms, weight)
        old = self._kinds.pop(kind, None)
        self._kinds[kind] = old.update(took_ms) if old else DurationEstimate(took_ms, took_ms / 4)
        if len(self._kinds) > _KINDS_LIMIT:
            del self._kinds[next(iter(self._kinds))]

    def estimate(self, kind: str) -> DurationEstimate:
        """Return how long a request of `kind` is likely to take."""
        return self._kinds.get(kind, self._overall)

    def is_long(self, kind: str, least_ms: float) -> bool:
        """Tell whether a kind takes `least_ms` or more, and much longer than most requests.

        What is long is a matter of the company: where all requests take their time, none of
        them is to be held back for the others.
        """
        return self.estimate(kind).mean >= max(least_ms, _LONG_FACTOR * self._overall.mean)
