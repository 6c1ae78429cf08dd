"""Callers' HTTP connections: which are open, and how those of a draining host are ended."""

from collections import Counter
from typing import Any

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http

from quetzallock_core.clock import Clock

from .drain import Drain


class CallerChannel(http.HTTPChannel):
    """A caller's connection.

    Attributes:
        end_cause: Why the host ended it, or `caller`.
        active_at: When bytes arrived last, or when it was accepted.
    """

    channels: "CallerChannels"
    end_cause = "caller"
    active_at = 0
    _is_ending = False

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection."""
        super().connectionMade()
        self.channels.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Record why the connection ended."""
        self.channels.remove(self)
        super().connectionLost(reason)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse requests, unless the connection is being ended."""
        self.active_at = self.channels.clock.now()
        if not self._is_ending:
            super().dataReceived(data)

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection after what was written; in a drain, see `end`."""
        if self.channels.drain.has_begun:
            self.end("answered")
        else:
            super().loseConnection()

    def end(self, cause: str) -> None:
        """Close the writing half after what was written, and the rest a little later.

        Until then bytes of the caller are read and dropped: closing a socket with unread bytes
        resets it, and the caller may lose an answer that it has not read yet.
        """
        if self._is_ending:
            return
        self._is_ending = True
        self.end_cause = cause
        self.setTimeout(None)
        transport: Any = self.transport
        transport.unregisterProducer()
        transport.loseWriteConnection()
        self.channels.close_later(transport)

    @property
    def has_more_input(self) -> bool:
        """Whether bytes of a further request were received, beside the one being answered."""
        return any(self._dataBuffer)

    @property
    def is_idle(self) -> bool:
        """Whether every request whose first byte was received has its answer."""
        return not self.requests and not self._buffer and not self.has_more_input

    @property
    def is_incomplete(self) -> bool:
        """Whether a request was received in part, and none is being processed."""
        return not self.is_idle and not self._handlingRequest


class CallerChannels:
    """All open connections of callers."""

    def __init__(
        self,
        reactor: Any,
        clock: Clock,
        drain: Drain,
        loss_slack_ms: int,
        counters: Counter[str],
    ) -> None:
        self._reactor = reactor
        self.clock = clock
        self.drain = drain
        self._loss_slack_ms = loss_slack_ms
        self._counters = counters
        self._open: set[CallerChannel] = set()
        self._ended: Counter[str] = Counter()

    @property
    def count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def add(self, channel: CallerChannel) -> None:
        """Record an accepted connection."""
        channel.active_at = self.clock.now()
        self._open.add(channel)

    def remove(self, channel: CallerChannel) -> None:
        """Record the end of a connection."""
        self._open.discard(channel)
        if self.drain.has_begun:
            self._count_end(channel.end_cause)

    def close_later(self, transport: Any) -> None:
        """Close a connection after half of the slack, in which its caller may close it.

        A request that is dropped meanwhile sees the end of its connection within the slack.
        """
        self._reactor.callLater(self._loss_slack_ms / 2_000, transport.loseConnection)

    def end_idle(self) -> None:
        """End the idle connections, but for those whose first request may be on its way."""
        quiet_since = self.clock.now() - self._loss_slack_ms
        for channel in list(self._open):
            if channel.is_idle and channel.active_at <= quiet_since:
                channel.end("idle")

    def end_unanswerable(self) -> None:
        """End the connections on which no whole request waits for its answer."""
        for channel in list(self._open):
            if channel.is_idle:
                channel.end("idle")
            elif channel.is_incomplete:
                channel.end("incomplete")

    def _count_end(self, cause: str) -> None:
        self._ended[cause] += 1
        self._counters[f"drain.channels.{cause}"] += 1

    def report(self) -> dict[str, Any]:
        """Return what an exiting host logs; connections that are open count as ended by it."""
        for channel in self._open:
            self._count_end("exit_idle" if channel.is_idle else "exit_busy")
        return {"channels": dict(self._ended)}
