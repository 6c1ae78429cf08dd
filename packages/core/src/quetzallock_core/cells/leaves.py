"""Tells from failed polls that the process of a worker is gone, before its lease has lapsed."""

from dataclasses import dataclass

from .const import REJECTED_FOR_MS
from .models import Boot, PollFailure, Resources, WorkerEntry


@dataclass(slots=True)
class LeaveEvidence:
    """What the polls of one boot show of its process.

    A machine that is cut off or without power is silent; one that rejects a connection has no
    process at that port. Only the address at which the boot itself has answered counts, as others
    may write an entry with a false one.

    Attributes:
        polled_address: Address that the last poll was sent to.
        answered_address: Address at which the boot has last listed its runs, to this owner or to
            the one that handed the cell over; empty if none is known.
        rejected_since: Local ms of the first of the rejections in a row until now; -1 if the last
            poll was not rejected.
        rejected_for_ms: Time from that one to the last one.
    """

    polled_address: str = ""
    answered_address: str = ""
    rejected_since: int = -1
    rejected_for_ms: int = 0

    @property
    def shows_end(self) -> bool:
        """Whether no process has listened for as long as shows that it is gone."""
        return self.rejected_since >= 0 and self.rejected_for_ms >= REJECTED_FOR_MS

    def record_inventory(self) -> None:
        """Record that the boot has answered the last poll with its inventory."""
        self.answered_address = self.polled_address

    def forget_rejections(self) -> None:
        """Record that the last call was not rejected."""
        self.rejected_since = -1
        self.rejected_for_ms = 0

    def record_failure(self, failure: PollFailure, now: int) -> None:
        """Record that a poll got no answer."""
        is_rejected = failure is PollFailure.REJECTED and bool(self.answered_address)
        if not is_rejected or self.polled_address != self.answered_address:
            self.forget_rejections()
            return
        if self.rejected_since < 0:
            self.rejected_since = now
        self.rejected_for_ms = now - self.rejected_since


def make_unlisted_entry(boot: Boot, address: str) -> WorkerEntry:
    """Return an entry with which a boot that has left the platform's list can be polled."""
    return WorkerEntry(*boot, "", address, "", True, Resources(), (), "")
