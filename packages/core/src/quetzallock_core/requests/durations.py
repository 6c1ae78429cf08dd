"""Estimates how long requests take from past requests of the same kind.

Durations that callers declare are too inaccurate to use.
"""

from dataclasses import dataclass
from typing import Final

_KIND_WEIGHT: Final = 0.1
_OVERALL_WEIGHT: Final = 0.01
_LONG_RATIO: Final = 3.0
_INITIAL_MEAN_MS: Final = 20.0
_MAX_KINDS: Final = 1_000
_UPPER_BOUND_DEVIATIONS: Final = 2.0


@dataclass(frozen=True, slots=True)
class DurationEstimate:
    """Moving averages of the durations of requests and of their absolute deviation."""

    mean_ms: float
    deviation_ms: float

    @property
    def upper_bound_ms(self) -> float:
        """Duration that few requests of the kind exceed."""
        return self.mean_ms + _UPPER_BOUND_DEVIATIONS * self.deviation_ms

    def update(self, took_ms: float, weight: float = _KIND_WEIGHT) -> "DurationEstimate":
        """Return the estimate updated with the duration of one more request."""
        error = took_ms - self.mean_ms
        deviation = self.deviation_ms + weight * (abs(error) - self.deviation_ms)
        return DurationEstimate(self.mean_ms + weight * error, deviation)


class DurationEstimates:
    """Duration estimates by kind of request, and one over all requests."""

    def __init__(self) -> None:
        self._kinds: dict[str, DurationEstimate] = {}
        self._overall = DurationEstimate(_INITIAL_MEAN_MS, 0.0)
        self._recorded_count = 0

    def record(self, kind: str, took_ms: float) -> None:
        """Update the estimates with the duration of one request.

        The overall estimate starts as a plain mean of the first requests, so that its initial
        value does not bias it. The kind that was recorded least recently is dropped when there
        are too many.
        """
        self._recorded_count += 1
        weight = max(_OVERALL_WEIGHT, 1 / self._recorded_count)
        self._overall = self._overall.update(took_ms, weight)
        old = self._kinds.pop(kind, None)
        self._kinds[kind] = old.update(took_ms) if old else DurationEstimate(took_ms, took_ms / 4)
        if len(self._kinds) > _MAX_KINDS:
            del self._kinds[next(iter(self._kinds))]

    def estimate(self, kind: str) -> DurationEstimate:
        """Return the estimate for `kind`, or the overall one if no request of it was recorded."""
        return self._kinds.get(kind, self._overall)

    def is_long(self, kind: str, min_ms: float) -> bool:
        """Return whether a kind takes at least `min_ms` and much longer than the average request.

        The comparison is relative because, where all requests take long, none of them must be
        held back in favour of the others.
        """
        return self.estimate(kind).mean_ms >= max(min_ms, _LONG_RATIO * self._overall.mean_ms)
