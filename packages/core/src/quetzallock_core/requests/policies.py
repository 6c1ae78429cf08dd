"""Request policies, chosen by the preset in force."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from ..presets.schema import RequestRules
from ..registry import Registry
from .durations import DurationEstimates


@dataclass(slots=True)
class PendingRequest:
    """A request that waits for a slot.

    Attributes:
        expected_ms: How long it is likely to take.
        upper_bound_ms: Time that it is not likely to exceed.
        may_have_run: Whether an earlier try may have run.
        avoid: Workers that failed it.
    """

    ticket: int
    kind: str
    deadline: int
    idempotent: bool
    arrived: int
    expected_ms: float = 0.0
    upper_bound_ms: float = 0.0
    is_long: bool = False
    key: str = ""
    tries: int = 0
    sent_at: int = 0
    may_have_run: bool = False
    avoid: frozenset[str] = field(default_factory=frozenset)


class RequestPolicy(Protocol):
    """Decides which requests wait, in which order, and which are refused."""

    max_tries: int

    def admit(self, waiting: PendingRequest, slots: int, now: int) -> int | None:
        """Queue a request, or return the ms after which to come back."""

    def pop(self, slots: int, now: int) -> PendingRequest | None:
        """Return the request to be sent next, or None."""

    def pop_unmeetable(self, now: int) -> PendingRequest | None:
        """Return a queued request that cannot be answered in time, or None."""

    def record_dispatch(self, waiting: PendingRequest) -> None:
        """Note that a request is under way."""

    def record_done(self, waiting: PendingRequest, took_ms: float | None) -> None:
        """Note that a request is not under way any more; the time only if it was answered."""

    def count(self) -> int:
        """Return how many requests are queued."""


POLICIES: Registry = Registry("requests.policy")


@POLICIES.register("baseline")
class BaselinePolicy:
    """One queue in order of arrival, nothing refused before its deadline, three retries."""

    max_tries = 4

    def __init__(self, rules: RequestRules, lengths: DurationEstimates) -> None:
        self._queue: deque[PendingRequest] = deque()
        self._lengths = lengths

    def admit(self, waiting: PendingRequest, slots: int, now: int) -> int | None:
        """Queue the request in any case."""
        self._queue.append(waiting)
        return None

    def pop(self, slots: int, now: int) -> PendingRequest | None:
        """Return the oldest request."""
        return self._queue.popleft() if self._queue else None

    def pop_unmeetable(self, now: int) -> PendingRequest | None:
        """Return a request whose deadline has passed."""
        if self._queue and now >= self._queue[0].deadline:
            return self._queue.popleft()
        return None

    def record_dispatch(self, waiting: PendingRequest) -> None:
        """Do nothing."""

    def record_done(self, waiting: PendingRequest, took_ms: float | None) -> None:
        """Learn the length."""
        if took_ms is not None:
            self._lengths.record(waiting.kind, took_ms)

    def count(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)


@POLICIES.register("deadline")
class DeadlinePolicy:
    """Short and long work apart, earliest deadline first, refusal of what would be late."""

    max_tries = 3

    def __init__(self, rules: RequestRules, lengths: DurationEstimates) -> None:
        self._rules = rules
        self._lengths = lengths
        self._short: list[tuple[int, int, PendingRequest]] = []
        self._long: list[tuple[int, int, PendingRequest]] = []
        self._long_busy = 0
        self._short_work = 0.0
        self._long_work = 0.0

    def admit(self, waiting: PendingRequest, slots: int, now: int) -> int | None:
        """Queue the request where it is likely to be answered in time."""
        length = self._lengths.estimate(waiting.kind)
        waiting.expected_ms, waiting.upper_bound_ms = length.mean, length.upper_bound_ms
        waiting.is_long = self._lengths.is_long(waiting.kind, self._rules.long_ms)
        wait = self._predict_wait(waiting, slots)
        if now + wait + waiting.upper_bound_ms > waiting.deadline:
            return int(wait + waiting.expected_ms)
        self._enter(waiting)
        return None

    def _predict_wait(self, waiting: PendingRequest, slots: int) -> float:
        if waiting.is_long:
            return self._long_work / max(1, self._find_long_limit(slots))
        return self._short_work / max(1, slots - self._long_busy)

    def _find_long_limit(self, slots: int) -> int:
        return max(1, slots * self._rules.long_percent // 100)

    def _enter(self, waiting: PendingRequest) -> None:
        entry = (waiting.deadline, waiting.ticket, waiting)
        if waiting.is_long:
            heapq.heappush(self._long, entry)
            self._long_work += waiting.expected_ms
        else:
            heapq.heappush(self._short, entry)
            self._short_work += waiting.expected_ms

    def _leave(self, lane: list[tuple[int, int, PendingRequest]]) -> PendingRequest:
        waiting = heapq.heappop(lane)[2]
        if waiting.is_long:
            self._long_work = max(0.0, self._long_work - waiting.expected_ms)
        else:
            self._short_work = max(0.0, self._short_work - waiting.expected_ms)
        return waiting

    def pop(self, slots: int, now: int) -> PendingRequest | None:
        """Return the most pressing request; long work only below its share of slots."""
        long_allowed = self._long and self._long_busy < self._find_long_limit(slots)
        if long_allowed and (not self._short or self._long[0] < self._short[0]):
            return self._leave(self._long)
        if self._short:
            return self._leave(self._short)
        return None

    def pop_unmeetable(self, now: int) -> PendingRequest | None:
        """Return a request that would be late even if it were sent now."""
        for lane in (self._short, self._long):
            if lane and now + lane[0][2].upper_bound_ms > lane[0][0]:
                return self._leave(lane)
        return None

    def record_dispatch(self, waiting: PendingRequest) -> None:
        """Count long work under way."""
        self._long_busy += waiting.is_long

    def record_done(self, waiting: PendingRequest, took_ms: float | None) -> None:
        """Learn the length."""
        self._long_busy -= waiting.is_long
        if took_ms is not None:
            self._lengths.record(waiting.kind, took_ms)

    def count(self) -> int:
        """Return how many requests are queued."""
        return len(self._short) + len(self._long)
