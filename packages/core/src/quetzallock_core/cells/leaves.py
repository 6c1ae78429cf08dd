"""Tells from failed polls that the process of a worker is gone, before its lease has lapsed."""

from dataclasses import dataclass

from .const import REJECTED_FOR_MS
from .models import Boot, PollFailure, Resources, WorkerEntry


@dataclass(slots=True)
class LeaveEvidence:
    """What the polls of one boot show of its process.

    A machine that is cut off or without power is silent; one that rejects a connection has no
    process at that port. A machine that has closed the connection of a poll and then accepts none
    was not cut off when it closed it. Only the address at which the boot itself has answered
    counts, as others may write an entry with a false one.

    Attributes:
        polled_address: Address that the last poll was sent to.
        answered_address: Address at which the boot has last listed its runs, to this owner or to
            the one that handed the cell over; empty if none is known.
        rejected_since: Local ms of the first of the rejections in a row until now; -1 if the last
            poll was not rejected.
        rejected_for_ms: Time from that one to the last one.
        has_closed: Its side has closed or reset the connection of a poll, and answered none since.
        accepts_none: A connection that was opened after that got no answer in time. One that
            failed on the owner's own host shows nothing.
    """

    polled_address: str = ""
    answered_address: str = ""
    rejected_since: int = -1
    rejected_for_ms: int = 0
    has_closed: bool = False
    accepts_none: bool = False

    @property
    def shows_end(self) -> bool:
        """Whether its process is gone, if the boot has announced its leave and has no entry."""
        is_rejecting = self.rejected_since >= 0 and self.rejected_for_ms >= REJECTED_FOR_MS
        return is_rejecting or self.accepts_none

    def record_inventory(self) -> None:
        """Record that the boot has answered the last poll with its inventory."""
        self.answered_address = self.polled_address

    def forget_failures(self) -> None:
        """Record that the boot has answered a call."""
        self._forget_rejections()
        self.has_closed = False
        self.accepts_none = False

    def _forget_rejections(self) -> None:
        self.rejected_since = -1
        self.rejected_for_ms = 0

    def record_failure(self, failure: PollFailure, now: int) -> None:
        """Record that a poll got no answer."""
        if not self.answered_address or self.polled_address != self.answered_address:
            self.forget_failures()
        elif failure is PollFailure.REJECTED:
            self._record_rejection(now)
        elif failure is PollFailure.UNANSWERED:
            self._forget_rejections()
            self.accepts_none = self.has_closed
        elif failure is PollFailure.CONNECTION_LOST:
            self._forget_rejections()
            self.has_closed = True
            self.accepts_none = False
        else:
            self.forget_failures()

    def _record_rejection(self, now: int) -> None:
        if self.rejected_since < 0:
            self.rejected_since = now
        self.rejected_for_ms = now - self.rejected_since


def make_unlisted_entry(boot: Boot, address: str) -> WorkerEntry:
    """Return an entry with which a boot that has left the platform's list can be polled."""
    return WorkerEntry(*boot, "", address, "", True, Resources(), (), "")
