"""What is known of the connection that carried a call."""

from dataclasses import dataclass
from typing import Final

_MS_PER_S: Final = 1_000


@dataclass(frozen=True, slots=True)
class Channel:
    """State of a connection at the time at which a call was sent on it.

    Attributes:
        number: Its number at its client, in the order of opening.
        is_reused: It was taken from the idle connections.
        calls_before: Number of calls that it had carried.
        open_ms: Time since it was established.
        idle_ms: Time since its last answer, or since it was established.
    """

    number: int
    is_reused: bool
    calls_before: int
    open_ms: int
    idle_ms: int

    def __str__(self) -> str:
        """Return a text for error messages."""
        origin = "reused" if self.is_reused else "new"
        return (
            f"channel {self.number} ({origin}, {self.calls_before} calls before, "
            f"open for {self.open_ms} ms, idle for {self.idle_ms} ms)"
        )


class ChannelRecord:
    """Counts and times of a connection.

    Each answer refers to the record of its connection, since a `Channel` for each would cost a busy
    owner too much. The record describes the call of an answer until the next call is sent.
    """

    __slots__ = ("_answered_s", "_calls", "_idle_s", "_number", "_opened_s", "_sent_s", "is_reused")

    def __init__(self, number: int, now_s: float) -> None:
        self._number = number
        self._opened_s = now_s
        self._answered_s = now_s
        self._sent_s = now_s
        self._idle_s = 0.0
        self._calls = 0
        self.is_reused = False

    def start_call(self, now_s: float, is_reused: bool) -> None:
        """Record that a call is sent."""
        self._idle_s = now_s - self._answered_s
        self._sent_s = now_s
        self._calls += 1
        self.is_reused = is_reused

    def end_call(self, now_s: float) -> None:
        """Record that the call is answered."""
        self._answered_s = now_s

    def has_answered_since(self, since_s: float) -> bool:
        """Return whether an answer came, or it was established, after `since_s`."""
        return self._answered_s > since_s

    def describe(self) -> Channel:
        """Return the state at the time at which the last call was sent."""
        return Channel(
            self._number,
            self.is_reused,
            self._calls - 1,
            round((self._sent_s - self._opened_s) * _MS_PER_S),
            round(self._idle_s * _MS_PER_S),
        )
