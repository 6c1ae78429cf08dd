"""Request policies: queueing and admission; the preset in force selects one."""

import heapq
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from ..presets.schema import RequestRules
from ..registry import Registry
from .durations import DurationEstimates


@dataclass(slots=True)
class PendingRequest:
    """A request that has no final result yet.

    Attributes:
        kind: Group whose past durations predict this one.
        expected_ms: Expected duration of one attempt.
        upper_bound_ms: Duration that one attempt is unlikely to exceed.
        is_long: Whether it counts against the share of slots for long work.
        attempts: Number of dispatches so far.
        sent_at: Time of the last dispatch, 0 before the first.
        may_have_run: Whether an earlier attempt may have run.
        avoid: Workers on which an earlier attempt failed.
    """

    ticket: int
    kind: str
    deadline: int
    idempotent: bool
    arrived_at: int
    expected_ms: float = 0.0
    upper_bound_ms: float = 0.0
    is_long: bool = False
    key: str = ""
    attempts: int = 0
    sent_at: int = 0
    may_have_run: bool = False
    avoid: frozenset[str] = field(default_factory=frozenset)


class RequestPolicy(Protocol):
    """Decides which requests are queued, in which order they are sent and which are refused.

    `slots` is the number of slots that are leased to this host.
    """

    max_attempts: int

    def admit(self, request: PendingRequest, slots: int, now: int) -> int | None:
        """Queue a request, or return the ms after which the caller may retry."""

    def pop(self, slots: int, now: int) -> PendingRequest | None:
        """Remove and return the request to send next, or return None."""

    def pop_unmeetable(self, now: int) -> PendingRequest | None:
        """Remove and return a queued request that will miss its deadline, or return None."""

    def record_dispatch(self, request: PendingRequest) -> None:
        """Record that a request was sent."""

    def record_done(self, request: PendingRequest, took_ms: float | None) -> None:
        """Record that a request is not in flight any more; `took_ms` is None without an answer."""

    def count(self) -> int:
        """Return how many requests are queued."""


POLICIES: Registry = Registry("requests.policy")


@POLICIES.register("baseline")
class BaselinePolicy:
    """A FIFO queue that refuses no request before its deadline; up to three retries."""

    max_attempts = 4

    def __init__(self, rules: RequestRules, durations: DurationEstimates) -> None:
        self._queue: deque[PendingRequest] = deque()
        self._durations = durations

    def admit(self, request: PendingRequest, slots: int, now: int) -> int | None:
        """Queue the request unconditionally."""
        self._queue.append(request)
        return None

    def pop(self, slots: int, now: int) -> PendingRequest | None:
        """Remove and return the oldest request."""
        return self._queue.popleft() if self._queue else None

    def pop_unmeetable(self, now: int) -> PendingRequest | None:
        """Remove and return the oldest request if its deadline has passed."""
        if self._queue and now >= self._queue[0].deadline:
            return self._queue.popleft()
        return None

    def record_dispatch(self, request: PendingRequest) -> None:
        """Do nothing: this policy has no limit on requests in flight."""

    def record_done(self, request: PendingRequest, took_ms: float | None) -> None:
        """Update the duration estimate."""
        if took_ms is not None:
            self._durations.record(request.kind, took_ms)

    def count(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)


@POLICIES.register("deadline")
class DeadlinePolicy:
    """Earliest deadline first, with separate queues for short and long work and admission control.

    It refuses requests that are predicted to miss their deadline.
    """

    max_attempts = 3

    def __init__(self, rules: RequestRules, durations: DurationEstimates) -> None:
        self._rules = rules
        self._durations = durations
        self._short_queue: list[tuple[int, int, PendingRequest]] = []
        self._long_queue: list[tuple[int, int, PendingRequest]] = []
        self._long_in_flight = 0
        self._short_work_ms = 0.0
        self._long_work_ms = 0.0

    def admit(self, request: PendingRequest, slots: int, now: int) -> int | None:
        """Queue the request if it is predicted to meet its deadline."""
        estimate = self._durations.estimate(request.kind)
        request.expected_ms, request.upper_bound_ms = estimate.mean_ms, estimate.upper_bound_ms
        request.is_long = self._durations.is_long(request.kind, self._rules.long_ms)
        wait_ms = self._predict_wait(request, slots)
        if now + wait_ms + request.upper_bound_ms > request.deadline:
            return int(wait_ms + request.expected_ms)
        self._push(request)
        return None

    def _predict_wait(self, request: PendingRequest, slots: int) -> float:
        if request.is_long:
            return self._long_work_ms / max(1, self._compute_long_limit(slots))
        return self._short_work_ms / max(1, slots - self._long_in_flight)

    def _compute_long_limit(self, slots: int) -> int:
        return max(1, slots * self._rules.long_percent // 100)

    def _push(self, request: PendingRequest) -> None:
        entry = (request.deadline, request.ticket, request)
        if request.is_long:
            heapq.heappush(self._long_queue, entry)
            self._long_work_ms += request.expected_ms
        else:
            heapq.heappush(self._short_queue, entry)
            self._short_work_ms += request.expected_ms

    def _pop_from(self, queue: list[tuple[int, int, PendingRequest]]) -> PendingRequest:
        request = heapq.heappop(queue)[2]
        if request.is_long:
            self._long_work_ms = max(0.0, self._long_work_ms - request.expected_ms)
        else:
            self._short_work_ms = max(0.0, self._short_work_ms - request.expected_ms)
        return request

    def pop(self, slots: int, now: int) -> PendingRequest | None:
        """Remove and return the request with the earliest deadline.

        Long work is returned only while it uses less than its share of the slots.
        """
        may_send_long = self._long_queue and self._long_in_flight < self._compute_long_limit(slots)
        if may_send_long and (not self._short_queue or self._long_queue[0] < self._short_queue[0]):
            return self._pop_from(self._long_queue)
        if self._short_queue:
            return self._pop_from(self._short_queue)
        return None

    def pop_unmeetable(self, now: int) -> PendingRequest | None:
        """Remove and return a request that would miss its deadline even if it were sent now."""
        for queue in (self._short_queue, self._long_queue):
            if queue and now + queue[0][2].upper_bound_ms > queue[0][0]:
                return self._pop_from(queue)
        return None

    def record_dispatch(self, request: PendingRequest) -> None:
        """Count long work in flight."""
        self._long_in_flight += request.is_long

    def record_done(self, request: PendingRequest, took_ms: float | None) -> None:
        """Update the number of long requests in flight and the duration estimate."""
        self._long_in_flight -= request.is_long
        if took_ms is not None:
            self._durations.record(request.kind, took_ms)

    def count(self) -> int:
        """Return how many requests are queued."""
        return len(self._short_queue) + len(self._long_queue)
