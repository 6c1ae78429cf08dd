"""Calls in flight, and their time limits."""

from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from math import inf
from typing import Any, NamedTuple

from twisted.internet.defer import Deferred

from .channel import ChannelRecord


class Reply(NamedTuple):
    """A complete answer.

    A tuple, since a busy owner reads thousands of answers in a second.

    Attributes:
        status: Status code.
        body: Body.
        channel: Record of the connection that carried it; None if no `HttpClient` received it.
    """

    status: int
    body: bytes
    channel: ChannelRecord | None = None


@dataclass(slots=True)
class Call:
    """A call in flight.

    Attributes:
        address: `ip:port` that it is sent to.
        request: Its bytes; empty once they were sent, as the call is kept until its time limit.
        result: Fires with the answer.
        wait_s: How long the server may keep it open before it answers.
        silence_s: How long nothing may arrive once its answer is due; None without such a limit.
        ends_s: When it times out, however much has arrived.
        connection: The `Connection` that carries it; None before it was sent.
        due_s: When its answer is due.
        heard_s: When a part of its answer last arrived; only recorded for `silence_s`.
    """

    address: str
    request: bytes
    result: "Deferred[Reply]"
    wait_s: float
    silence_s: float | None
    ends_s: float
    connection: Any = None
    due_s: float = 0.0
    heard_s: float = -inf


class TimeLimits:
    """Times out calls, with one timer of the reactor for all of them.

    The reactor keeps cancelled timers until they are due or outnumber the others, and compares its
    timers in Python. At hundreds of calls a second, a timer for each would take more of the
    processor than their heap here, which drops answered calls when they are due.
    """

    def __init__(self, reactor: Any, time_out: Callable[[Call], None]) -> None:
        self._reactor = reactor
        self._time_out = time_out
        self._calls: list[tuple[float, int, Call]] = []
        self._last_number = 0
        self._timer: Any = None
        self._timer_due_s = inf

    def add(self, call: Call, timeout_ms: int) -> None:
        """Let `call` time out after `timeout_ms` milliseconds, unless it is over by then."""
        due_s = self._reactor.seconds() + timeout_ms / 1_000
        self._last_number += 1
        heappush(self._calls, (due_s, self._last_number, call))
        if due_s < self._timer_due_s:
            self._set_timer(due_s)

    def _set_timer(self, due_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._timer_due_s = due_s
        delay_s = max(0.0, due_s - self._reactor.seconds())
        self._timer = self._reactor.callLater(delay_s, self._wait_for_input)

    def _wait_for_input(self) -> None:
        """Time out the calls that are due, after the input that has arrived by now.

        On a busy host the timer fires while answers that came in time are still unread. One turn of
        the reactor later they are read.
        """
        now_s = max(self._timer_due_s, self._reactor.seconds())
        due = []
        while self._calls and (self._calls[0][0] <= now_s or self._calls[0][2].result.called):
            call = heappop(self._calls)[2]
            if not call.result.called:
                due.append(call)
        if due:
            self._reactor.callLater(0, self._time_out_unanswered, due)
        self._timer = None
        self._timer_due_s = inf
        if self._calls:
            self._set_timer(self._calls[0][0])

    def _time_out_unanswered(self, calls: list[Call]) -> None:
        for call in calls:
            if not call.result.called:
                self._time_out(call)
