"""Callers' HTTP connections: which are open, and why those of a draining host ended."""

from collections import Counter
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from .drain import Drain


class CallerChannel(http.HTTPChannel):
    """A caller's connection."""

    channels: "CallerChannels"
    end_cause = "caller"

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        super().connectionMade()
        self.channels.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Record why the connection ended."""
        self.channels.remove(self)
        super().connectionLost(reason)

    @property
    def is_idle(self) -> bool:
        """Whether every request whose first byte was received has its answer."""
        # These are the parsed requests without an answer, and what is not parsed yet.
        return not self.requests and not self._buffer and not any(self._dataBuffer)


class CallerChannels:
    """All open connections of callers."""

    def __init__(self, drain: Drain, counters: Counter[str]) -> None:
        self._drain = drain
        self._counters = counters
        self._open: set[CallerChannel] = set()
        self._ended: Counter[str] = Counter()

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def add(self, channel: CallerChannel) -> None:
        """Record an accepted connection."""
        self._open.add(channel)

    def remove(self, channel: CallerChannel) -> None:
        """Record the end of a connection."""
        self._open.discard(channel)
        if self._drain.has_begun:
            self._count_end(channel.end_cause)

    def _count_end(self, cause: str) -> None:
        self._ended[cause] += 1
        self._counters[f"drain.channels.{cause}"] += 1

    def report(self) -> dict[str, Any]:
        """Return what an exiting host logs; connections that are open count as ended by it."""
        for channel in self._open:
            self._count_end("exit_idle" if channel.is_idle else "exit_busy")
        return {"channels": dict(self._ended)}
