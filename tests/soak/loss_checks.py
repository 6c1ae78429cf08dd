"""Checks that no channel ends without an answer to a request that the host has read.

The check counts a request only if the kernel showed, later than `LOSS_SLACK_MS` after its last byte
was sent, that the channel was open and that the host had left no byte of it unread. A host that
ends a channel between two samples, or before it has read the request, is not counted.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Final

from quetzallock_platform_standin.configurations import TIMEOUTS_MS

from .deployment import Span
from .fault_log import CONTACT_MS

LOSS_SLACK_MS: Final = 200
"""A channel may end this long after the last byte of a request; from the rules."""
GRACE_MS: Final = 6_000
"""Time between SIGTERM and SIGKILL; from the settings of the hosts."""
AFTER_GRACE_MS: Final = 1_000
"""Losses count until this long after the grace; from the rules."""
RELOAD_MS: Final = 2_000
"""Requests sent up to this long after a SIGHUP count; from the rules."""
ROUTE_TIMEOUT_MS: Final = min(TIMEOUTS_MS)
"""The shortest time-out of a route in any version."""
_ESTABLISHED: Final = "01"
_EMPTY_QUEUES: Final = "00000000:00000000"


@dataclass(slots=True)
class SentRequest:
    """A request on an open channel; times are in ms.

    Attributes:
        sent_at: When its last byte was sent.
        deadline_ms: How long its caller waits for the answer.
        seen_open_at: When the channel was last seen open with the request read; 0 for never.
        ended_at: When the answer was complete or the channel ended.
        status: HTTP status of the complete answer; 0 for none.
    """

    host: str
    method: str
    path: str
    sent_at: float
    deadline_ms: int
    seen_open_at: float = 0.0
    ended_at: float = float("inf")
    status: int = 0

    @property
    def is_lost(self) -> bool:
        """Whether the host had read it and ended the channel without an answer, too late."""
        limit_ms = min(self.deadline_ms, ROUTE_TIMEOUT_MS)
        return (
            not self.status
            and self.seen_open_at > self.sent_at + LOSS_SLACK_MS
            and self.ended_at < self.sent_at + limit_ms
        )


@dataclass(frozen=True, slots=True)
class SentSignals:
    """When a host received SIGTERM and SIGHUP."""

    terms: Sequence[float] = ()
    reloads: Sequence[float] = ()

    def describe(self, request: SentRequest) -> str:
        """Return the signal around which the channel of a request ended, or an empty string."""
        for at in self.terms:
            if at <= request.ended_at <= at + GRACE_MS + AFTER_GRACE_MS:
                after_ms = request.sent_at - at
                return f"sent {after_ms:.0f} ms after SIGTERM"
        for at in self.reloads:
            if request.sent_at <= at + RELOAD_MS and request.ended_at >= at:
                return f"sent {request.sent_at - at:.0f} ms after SIGHUP"
        return ""


def list_loss_findings(
    requests: Iterable[SentRequest], signals: dict[str, SentSignals], spans: Sequence[Span]
) -> Iterator[str]:
    """Yield a line for each request that a host has read and given up around a signal.

    Args:
        requests: The requests of all callers.
        signals: The signals to each host.
        spans: Begin and end of each unplanned disturbance.
    """
    for request in requests:
        signal = signals.get(request.host, SentSignals()).describe(request)
        if request.is_lost and signal and _is_calm(request, spans):
            yield (
                f"LOST: {request.method} {request.path} on {request.host}, {signal}: read, and the"
                f" channel ended {request.ended_at - request.sent_at:.0f} ms later, unanswered"
            )


def _is_calm(request: SentRequest, spans: Sequence[Span]) -> bool:
    return all(
        end <= request.sent_at - CONTACT_MS or request.ended_at < begin for begin, end in spans
    )


def list_read_channels(table: str) -> set[tuple[int, int]]:
    """Return the ports of the established connections whose sockets hold no data.

    Args:
        table: The kernel's table of TCP sockets, as in `/proc/net/tcp`.

    Returns:
        The pairs of the port of a socket and the one at the other end.
    """
    pairs = set()
    for line in table.splitlines()[1:]:
        _number, local, remote, state, queues, *_rest = line.split()
        if state == _ESTABLISHED and queues == _EMPTY_QUEUES:
            pairs.add((int(local.rpartition(":")[2], 16), int(remote.rpartition(":")[2], 16)))
    return pairs
