"""Rebuilds the state of a shard from its stream and decides which records are valid.

A batch is valid if it names the newest claim and the next sequence number. So every reader
ignores a batch of a former owner that is appended after a newer claim, and a batch that was
appended twice, because its first answer was lost, is applied once.
"""

from dataclasses import dataclass

from ..codec import decode
from ..const import NO_OFFSET
from ..exceptions import CodecError, UndefinedTransitionError
from .models import BatchRecord, ClaimRecord, Snapshot
from .state import ShardState


@dataclass(frozen=True, slots=True)
class AppliedBatch:
    """A valid batch, which has been applied."""

    offset: int
    batch: BatchRecord


class Replay:
    """The state of a shard's stream up to `next_offset`.

    Attributes:
        claim: Offset of the newest claim.
        nonce: Nonce of that claim, None if its record has expired.
        sequence: Number of the last valid batch of that claim, 0 before the first, None if unknown
            because records expired; then the next batch is accepted with any number.
        complete: Whether `state` is complete; it is not if records expired before they were read.
        faults: Number of records and entries that could not be decoded or applied.
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
        """Continue at `first`, the oldest stored offset, if records before it were not read."""
        if first <= self.next_offset:
            return
        self.next_offset = first
        self._discard_state()
        self.sequence = None

    def mark_complete(self) -> None:
        """Treat the state as complete at the end of the stream.

        It counts as a fault if records expired and the stream contains no snapshot to restore them.
        """
        if not self.complete:
            self.faults += 1
        self.complete = True

    def apply(self, offset: int, raw: bytes) -> AppliedBatch | None:
        """Apply one record; return the batch if it is valid."""
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
        if isinstance(record, BatchRecord) and self._accept(record):
            self._apply_batch(record)
            return AppliedBatch(offset, record)
        return None

    def _accept(self, batch: BatchRecord) -> bool:
        """Return whether `batch` is valid; if so, its sequence number becomes the last one."""
        if batch.claim < self.claim:
            return False
        if batch.claim > self.claim:
            self._handle_expired_claim(batch)
        if self.sequence is not None and batch.sequence != self.sequence + 1:
            return False
        self.sequence = batch.sequence
        return True

    def _handle_expired_claim(self, batch: BatchRecord) -> None:
        """Discard the state: the batch belongs to a newer claim whose record has expired."""
        self.claim, self.nonce, self.sequence = batch.claim, None, None
        self._discard_state()

    def _discard_state(self) -> None:
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
