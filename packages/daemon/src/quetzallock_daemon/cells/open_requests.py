"""Callers' requests that were read whole and not answered yet, and what a drain does to them."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from quetzallock_core.clock import Clock

from .drain import Drain, Phase

_MAX_DESCRIBED: Final = 20
"""Maximum number of unanswered requests that the report describes one by one."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request that was read whole at `read_at`.

    Attributes:
        give_up: Answers it now, with an unknown outcome.
    """

    method: str
    path: str
    read_at: int
    give_up: Callable[[], None]


class OpenRequests:
    """Tracks the requests of all callers' connections of a host."""

    def __init__(self, clock: Clock, drain: Drain, counters: Counter[str]) -> None:
        self._clock = clock
        self._drain = drain
        self._counters = counters
        self._open: dict[int, OpenRequest] = {}
        self._read: Counter[str] = Counter()
        self._last_number = 0

    @property
    def count(self) -> int:
        """Number of requests without an answer."""
        return len(self._open)

    def add(self, method: str, path: str, give_up: Callable[[], None]) -> int:
        """Record a request that was read whole now, and return its number."""
        now = self._clock.now()
        phase = self._drain.find_phase(now)
        if phase is not Phase.SERVING:
            self._read[phase.name.lower()] += 1
            self._counters[f"drain.requests.{phase.name.lower()}"] += 1
        self._last_number += 1
        self._open[self._last_number] = OpenRequest(method, path, now, give_up)
        return self._last_number

    def remove(self, number: int) -> None:
        """Record that a request was answered, or that its caller has disconnected."""
        self._open.pop(number, None)

    def give_up_all(self) -> None:
        """Answer all requests now."""
        for request in list(self._open.values()):
            self._counters["drain.requests.given_up"] += 1
            request.give_up()

    def report(self) -> dict[str, Any]:
        """Return what an exiting host logs; counts the requests that it leaves unanswered."""
        self._counters["drain.requests.unanswered"] += len(self._open)
        oldest = list(self._open.values())[:_MAX_DESCRIBED]
        return {
            "drain_ms": self._drain.elapsed_ms,
            "in_flight": len(self._open),
            "unanswered": [self._describe(request) for request in oldest],
            "requests": dict(self._read),
        }

    def _describe(self, request: OpenRequest) -> dict[str, Any]:
        return {
            "method": request.method,
            "path": request.path,
            "age_ms": self._clock.now() - request.read_at,
            "read_after_ms": self._drain.compute_offset_ms(request.read_at),
        }
