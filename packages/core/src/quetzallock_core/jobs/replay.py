"""Reads a shard's stream: which records count, and what they add up to.

A batch counts where it names the newest claim and the next sequence number. So a batch of a
former owner that lands after a newer claim is void for every reader, and a batch that was
appended twice, because its first answer was lost, counts once.
"""

from dataclasses import dataclass

from ..codec import decode
from ..const import NO_OFFSET
from ..exceptions import CodecError, UndefinedTransitionError
from .models import BatchRecord, ClaimRecord, Snapshot
from .state import ShardState


@dataclass(frozen=True, slots=True)
class Applied:
    """A batch that counted."""

    offset: int
    batch: BatchRecord


class Replay:
    """The state of a shard's stream up to `next_offset`.

    Attributes:
        claim: Offset of the newest claim.
        nonce: Nonce of that claim, None where its record has expired.
        complete: Whether `book` is the whole state.
        faults: Records that could not be used.
    """

    def __init__(self) -> None:
        self.next_offset = 0
        self.claim = NO_OFFSET
        self.nonce: int | None = None
        self.sequence: int | None = 0
        self.complete = True
        self.state = ShardState()
        self.faults = 0

    def skip_to(self, first: int) -> None:
        """Go on at `first`, the oldest kept offset, where older ones were not read."""
        if first <= self.next_offset:
            return
        self.next_offset = first
        self._lose_state()
        self.sequence = None

    def accept_end(self) -> None:
        """Take what was read for complete: the stream holds no snapshot."""
        if not self.complete:
            self.faults += 1
        self.complete = True

    def apply(self, offset: int, raw: bytes) -> Applied | None:
        """Take in one record and return the batch if it counted."""
        if offset < self.next_offset:
            return None
        self.next_offset = offset + 1
        try:
            record = decode(raw)
        except CodecError:
            self.faults += 1
            return None
        if isinstance(record, ClaimRecord):
            self.claim, self.nonce, self.sequence = offset, record.nonce, 0
            return None
        if isinstance(record, BatchRecord) and self._counts(record):
            self._apply_batch(record)
            return Applied(offset, record)
        return None

    def _counts(self, batch: BatchRecord) -> bool:
        if batch.claim < self.claim:
            return False
        if batch.claim > self.claim:
            self._meet_expired_claim(batch)
        if self.sequence is not None and batch.sequence != self.sequence + 1:
            return False
        self.sequence = batch.sequence
        return True

    def _meet_expired_claim(self, batch: BatchRecord) -> None:
        """Drop what was read: it came after a claim whose record has expired."""
        self.claim, self.nonce, self.sequence = batch.claim, None, None
        self._lose_state()

    def _lose_state(self) -> None:
        self.state = ShardState()
        self.complete = False

    def _apply_batch(self, batch: BatchRecord) -> None:
        for entry in batch.entries:
            if isinstance(entry, Snapshot):
                self.complete = True
            if not self.complete:
                continue
            try:
                self.state.apply(entry)
            except (KeyError, UndefinedTransitionError):
                self.faults += 1
