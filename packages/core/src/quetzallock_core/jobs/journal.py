"""Writes a shard's stream: claims it, batches entries, and resolves lost answers by reading.

An entry takes effect only after it has been read back under this host's own claim.
"""

import logging
from dataclasses import dataclass, replace

from ..chart import load_chart
from ..codec import encode
from ..core import Core
from ..effects import Append, Appended, Read, ReadDone
from .const import JobSettings
from .models import BatchRecord, ClaimRecord, Entry
from .replay import Replay

_LOGGER = logging.getLogger(__name__)
_CHART = load_chart(__package__, "shard")
_MAX_BACKOFF_DOUBLINGS = 5


@dataclass(frozen=True, slots=True)
class Requester:
    """The request of an entry host that is answered once an entry takes effect."""

    host: str
    request: int


@dataclass(frozen=True, slots=True)
class PendingEntry:
    """An entry that has not been read back from the stream yet."""

    entry: Entry
    requester: Requester | None = None


@dataclass(slots=True)
class _InFlightBatch:
    sequence: int
    record: bytes
    pending_entries: tuple[PendingEntry, ...]
    retry_at: int


@dataclass(frozen=True, slots=True)
class JournalUpdate:
    """Result of reading the stream.

    Attributes:
        applied: Own entries that took effect, in order.
        dropped: Own entries that will certainly never take effect.
        uncertain: Own entries that may have taken effect, in records that expired unread.
        won: Whether this host became the owner of the shard.
        lost: Whether this host ceased to be the owner.
    """

    applied: tuple[PendingEntry, ...] = ()
    dropped: tuple[PendingEntry, ...] = ()
    uncertain: tuple[PendingEntry, ...] = ()
    won: bool = False
    lost: bool = False


class Journal:
    """Reader and writer of one shard's stream.

    Attributes:
        state: State in the state chart `shard`.
        confirmed_at: When the last read that confirmed the ownership was sent.
        confirmed_until: When the confirmation expires.
        log_ok: Whether the last call to the log succeeded.
    """

    def __init__(self, core: Core, settings: JobSettings, shard: int) -> None:
        self._core = core
        self._settings = settings
        self.stream = f"jobs-{shard}"
        self.state = _CHART.initial
        self.replay = Replay()
        self.confirmed_until = 0
        self.confirmed_at = 0
        self.log_ok = True
        self._nonce = 0
        self._claim_seen = False
        self._next_claim_at = 0
        self._next_read = 0
        self._is_reading = False
        self._lost_claims = 0
        self._queue: list[PendingEntry] = []
        self._in_flight: _InFlightBatch | None = None
        self._next_flush = 0
        self._snapshot_at = 0
        self._records_since_snapshot = 0

    @property
    def is_owner(self) -> bool:
        """Whether this host owns the shard, according to the records read so far."""
        return self.state == "owned"

    def is_ownership_confirmed(self, now: int) -> bool:
        """Return whether ownership was confirmed recently enough to renew task leases."""
        return self.is_owner and now < self.confirmed_until

    def request_ownership(self, now: int) -> None:
        """Claim the shard, unless this host owns it or a claim is pending."""
        if self.state == "owned":
            return
        if self.state == "idle":
            if now < self._next_claim_at:
                return
            self._transition("want")
            self.replay = Replay()
            self._next_read = 0
            self._next_claim_at = 0
        if now >= self._next_claim_at:
            self._claim(now)

    def reset_claim_backoff(self) -> None:
        """Reset the backoff between claims after a change of the members."""
        self._lost_claims = 0
        self._next_claim_at = min(
            self._next_claim_at, self._core.clock.now() + self._settings.claim_retry_ms
        )

    def add(self, entry: Entry, requester: Requester | None = None) -> None:
        """Queue an entry for the next batch."""
        self._queue.append(PendingEntry(entry, requester))

    def list_pending(self) -> tuple[Entry, ...]:
        """Return the entries that have not taken effect yet."""
        in_flight = self._in_flight.pending_entries if self._in_flight else ()
        return tuple(pending.entry for pending in (*in_flight, *self._queue))

    def pop_unsent_requests(self) -> tuple[PendingEntry, ...]:
        """Remove and return queued entries that have a requester and were never sent."""
        dropped = tuple(pending for pending in self._queue if pending.requester)
        self._queue = [pending for pending in self._queue if not pending.requester]
        return dropped

    def tick(self, now: int) -> None:
        """Send the reads, appends and retries that are due."""
        if self.state == "idle":
            return
        if now >= self._next_read and not self._is_reading:
            self._is_reading = True
            self._next_read = now + self._settings.read_ms
            self._core.emit(Read(self.stream, self.replay.next_offset))
        if self.state != "owned":
            return
        if self._in_flight is not None:
            self._retry_append(now)
        elif now >= self._next_flush:
            self._flush(now)

    def on_appended(self, event: Appended) -> None:
        """Read back at once, since a successful append may still be invalid under a newer claim."""
        self.log_ok = event.ok
        if event.ok:
            self._next_read = 0

    def on_read(self, event: ReadDone, now: int) -> JournalUpdate:
        """Apply the records that were read."""
        self._is_reading = False
        self.log_ok = event.ok
        if not event.ok or self.state == "idle" or event.offset > self.replay.next_offset:
            return JournalUpdate()
        if event.first > self.replay.next_offset and self.state == "owned":
            _LOGGER.warning("records of %s expired before they were read", self.stream)
            uncertain = self._pop_in_flight()
            return replace(self._give_up_ownership(), uncertain=uncertain)
        self.replay.skip_to(event.first)
        applied_entries: list[PendingEntry] = []
        for offset, raw in event.records:
            applied_entries.extend(self._apply_record(offset, raw))
        at_end = self.replay.next_offset >= event.next_offset
        if not at_end:
            self._next_read = 0
            return JournalUpdate(tuple(applied_entries))
        return self._update_ownership(event, now, tuple(applied_entries))

    def _apply_record(self, offset: int, raw: bytes) -> tuple[PendingEntry, ...]:
        faults = self.replay.faults
        applied = self.replay.apply(offset, raw)
        self._core.counters["jobs.faulty_entries"] += self.replay.faults - faults
        self._claim_seen = self._claim_seen or self.replay.nonce == self._nonce
        if applied is None:
            return ()
        self._records_since_snapshot += 1
        in_flight = self._in_flight
        is_own = self.replay.nonce == self._nonce and self.state == "owned"
        if not is_own or in_flight is None or applied.batch.sequence != in_flight.sequence:
            return ()
        self._in_flight = None
        return in_flight.pending_entries

    def _update_ownership(
        self, event: ReadDone, now: int, applied_entries: tuple[PendingEntry, ...]
    ) -> JournalUpdate:
        """Determine the owner of the shard from the newest claim, at the end of the stream."""
        is_own = self._nonce != 0 and self.replay.nonce == self._nonce
        if is_own:
            self.confirmed_at = event.sent_at
            self.confirmed_until = event.sent_at + self._settings.trust_ms
        if is_own and self.state == "claiming":
            self.replay.mark_complete()
            self._transition("won")
            self._snapshot_at = now + self._core.rng.randrange(self._settings.snapshot_ms)
            return JournalUpdate(applied_entries, won=True)
        if not is_own and self._claim_seen:
            update = self._give_up_ownership()
            pause = self._settings.claim_retry_ms * 2 ** min(
                self._lost_claims, _MAX_BACKOFF_DOUBLINGS
            )
            self._lost_claims += 1
            self._next_claim_at = now + self._jitter(pause)
            return JournalUpdate(applied_entries, update.dropped, lost=update.lost)
        return JournalUpdate(applied_entries)

    def _pop_in_flight(self) -> tuple[PendingEntry, ...]:
        """Remove and return the entries of the batch that was not read back yet."""
        in_flight, self._in_flight = self._in_flight, None
        return in_flight.pending_entries if in_flight else ()

    def _give_up_ownership(self) -> JournalUpdate:
        was_owner = self.state == "owned"
        dropped = (*self._pop_in_flight(), *self._queue)
        self._queue, self._nonce = [], 0
        self._claim_seen = False
        self.confirmed_until = 0
        self._transition("outdone")
        return JournalUpdate(dropped=dropped, lost=was_owner)

    def _transition(self, event: str) -> None:
        self.state = _CHART.next_state(self.state, event)
        _LOGGER.info("shard stream %s is %s", self.stream, self.state)

    def _claim(self, now: int) -> None:
        self._next_claim_at = now + self._jitter(self._settings.claim_retry_ms)
        self._nonce = self._core.rng.getrandbits(62) | 1
        self._claim_seen = False
        record = ClaimRecord(self._core.identity.holder, self._nonce)
        self._core.emit(Append(self.stream, encode(record)))

    def _jitter(self, base: int) -> int:
        return base + self._core.rng.randrange(base)

    def _flush(self, now: int) -> None:
        entries = [pending.entry for pending in self._queue]
        if self._is_snapshot_due(now):
            entries.insert(0, self.replay.state.make_snapshot())
            self._snapshot_at = now + self._settings.snapshot_ms
            self._records_since_snapshot = 0
        if not entries:
            return
        sequence = (self.replay.sequence or 0) + 1
        record = encode(BatchRecord(self.replay.claim, sequence, tuple(entries)))
        retry_at = now + self._settings.append_retry_ms
        self._in_flight = _InFlightBatch(sequence, record, tuple(self._queue), retry_at)
        self._queue = []
        self._next_flush = now + self._settings.flush_ms
        self._core.counters["log.batches"] += 1
        self._core.counters["log.entries"] += len(entries)
        self._core.emit(Append(self.stream, record))

    def _is_snapshot_due(self, now: int) -> bool:
        if self._records_since_snapshot >= self._settings.snapshot_records:
            return True
        return now >= self._snapshot_at and bool(self.replay.state.jobs)

    def _retry_append(self, now: int) -> None:
        """Append a batch again that was not read back; readers ignore a second copy."""
        assert self._in_flight is not None
        if now < self._in_flight.retry_at or self._is_reading:
            return
        self._in_flight.retry_at = now + self._jitter(self._settings.append_retry_ms)
        self._core.emit(Append(self.stream, self._in_flight.record))
