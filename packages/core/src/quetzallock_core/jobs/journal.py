"""Writes a shard's stream: claims it, groups entries, and resolves lost answers by reading.

An entry takes effect only once it has been read back under this host's own claim.
"""

import logging
from dataclasses import dataclass

from ..chart import load_chart
from ..codec import encode
from ..core import Core
from ..effects import Append, Appended, Read, ReadDone
from .const import JobSettings
from .models import BatchRecord, ClaimRecord, Entry
from .replay import Replay

_LOGGER = logging.getLogger(__name__)
_CHART = load_chart(__package__, "shard")
_LOSSES_MAX = 5


@dataclass(frozen=True, slots=True)
class Requester:
    """Who waits for an entry to take effect: a request of an entry host."""

    host: str
    request: int


@dataclass(frozen=True, slots=True)
class PendingEntry:
    """An entry on its way into the stream."""

    entry: Entry
    requester: Requester | None = None


@dataclass(slots=True)
class _Flight:
    sequence: int
    record: bytes
    pendings: tuple[PendingEntry, ...]
    retry_at: int


@dataclass(frozen=True, slots=True)
class JournalUpdate:
    """What reading the stream brought.

    Attributes:
        took_effect: Own entries that took effect, in order.
        dropped: Own entries that surely never will.
        won: Whether the shard became this host's own.
        lost: Whether it ceased to be.
    """

    took_effect: tuple[PendingEntry, ...] = ()
    dropped: tuple[PendingEntry, ...] = ()
    won: bool = False
    lost: bool = False


class Journal:
    """This host's view of, and pen for, one shard's stream."""

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
        self._claim_again_at = 0
        self._next_read = 0
        self._reading = False
        self._losses = 0
        self._queue: list[PendingEntry] = []
        self._flight: _Flight | None = None
        self._next_flush = 0
        self._snapshot_at = 0
        self._records_since_snapshot = 0

    @property
    def is_owner(self) -> bool:
        """Whether this host owns the shard as far as it has read."""
        return self.state == "owned"

    def is_ownership_confirmed(self, now: int) -> bool:
        """Tell whether ownership was confirmed recently enough to renew task leases."""
        return self.is_owner and now < self.confirmed_until

    def want(self, now: int) -> None:
        """Claim the shard unless that is under way."""
        if self.state == "owned":
            return
        if self.state == "idle":
            if now < self._claim_again_at:
                return
            self._move("want")
            self.replay = Replay()
            self._next_read = 0
            self._claim_again_at = 0
        if now >= self._claim_again_at:
            self._claim(now)

    def forget_losses(self) -> None:
        """Claim without long pauses again: the members have changed."""
        self._losses = 0
        self._claim_again_at = min(
            self._claim_again_at, self._core.clock.now() + self._settings.claim_retry_ms
        )

    def add(self, entry: Entry, requester: Requester | None = None) -> None:
        """Queue an entry."""
        self._queue.append(PendingEntry(entry, requester))

    def list_pending(self) -> tuple[Entry, ...]:
        """Return the entries that have not taken effect yet."""
        flying = self._flight.pendings if self._flight else ()
        return tuple(pending.entry for pending in (*flying, *self._queue))

    def drop_waiting(self) -> tuple[PendingEntry, ...]:
        """Take back queued entries that someone waits for and that were never sent."""
        dropped = tuple(pending for pending in self._queue if pending.requester)
        self._queue = [pending for pending in self._queue if not pending.requester]
        return dropped

    def tick(self, now: int) -> None:
        """Read, append and append again where it is time."""
        if self.state == "idle":
            return
        if now >= self._next_read and not self._reading:
            self._reading = True
            self._next_read = now + self._settings.read_ms
            self._core.emit(Read(self.stream, self.replay.next_offset))
        if self.state != "owned":
            return
        if self._flight is not None:
            self._retry_flight(now)
        elif now >= self._next_flush:
            self._flush(now)

    def on_appended(self, event: Appended) -> None:
        """Read back at once; the answer alone proves nothing."""
        self.log_ok = event.ok
        if event.ok:
            self._next_read = 0

    def on_read(self, event: ReadDone, now: int) -> JournalUpdate:
        """Take in what was read."""
        self._reading = False
        self.log_ok = event.ok
        if not event.ok or self.state == "idle" or event.offset > self.replay.next_offset:
            return JournalUpdate()
        if event.first > self.replay.next_offset and self.state == "owned":
            _LOGGER.warning("records of %s expired before they were read", self.stream)
            return self._leave()
        self.replay.skip_to(event.first)
        effects: list[PendingEntry] = []
        for offset, raw in event.records:
            effects.extend(self._take(offset, raw))
        at_end = self.replay.next_offset >= event.next_offset
        if not at_end:
            self._next_read = 0
            return JournalUpdate(tuple(effects))
        return self._judge(event, now, tuple(effects))

    def _take(self, offset: int, raw: bytes) -> tuple[PendingEntry, ...]:
        faults = self.replay.faults
        applied = self.replay.apply(offset, raw)
        self._core.counters["jobs.faulty_entries"] += self.replay.faults - faults
        self._claim_seen = self._claim_seen or self.replay.nonce == self._nonce
        if applied is None:
            return ()
        self._records_since_snapshot += 1
        flight = self._flight
        mine = self.replay.nonce == self._nonce and self.state == "owned"
        if not mine or flight is None or applied.batch.sequence != flight.sequence:
            return ()
        self._flight = None
        return flight.pendings

    def _judge(self, event: ReadDone, now: int, effects: tuple[PendingEntry, ...]) -> JournalUpdate:
        """Decide, at the end of the stream, who owns the shard."""
        mine = self._nonce != 0 and self.replay.nonce == self._nonce
        if mine:
            self.confirmed_at = event.sent_at
            self.confirmed_until = event.sent_at + self._settings.trust_ms
        if mine and self.state == "claiming":
            self.replay.accept_end()
            self._move("won")
            self._snapshot_at = now + self._core.rng.randrange(self._settings.snapshot_ms)
            return JournalUpdate(effects, won=True)
        if not mine and self._claim_seen:
            news = self._leave()
            pause = self._settings.claim_retry_ms * 2 ** min(self._losses, _LOSSES_MAX)
            self._losses += 1
            self._claim_again_at = now + self._jitter(pause)
            return JournalUpdate(effects, news.dropped, lost=news.lost)
        return JournalUpdate(effects)

    def _leave(self) -> JournalUpdate:
        was_owner = self.state == "owned"
        flying = self._flight.pendings if self._flight else ()
        dropped = (*flying, *self._queue)
        self._flight, self._queue, self._nonce = None, [], 0
        self._claim_seen = False
        self.confirmed_until = 0
        self._move("outdone")
        return JournalUpdate(dropped=dropped, lost=was_owner)

    def _move(self, event: str) -> None:
        self.state = _CHART.next_state(self.state, event)
        _LOGGER.info("shard stream %s is %s", self.stream, self.state)

    def _claim(self, now: int) -> None:
        self._claim_again_at = now + self._jitter(self._settings.claim_retry_ms)
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
        self._flight = _Flight(sequence, record, tuple(self._queue), retry_at)
        self._queue = []
        self._next_flush = now + self._settings.flush_ms
        self._core.counters["log.batches"] += 1
        self._core.counters["log.entries"] += len(entries)
        self._core.emit(Append(self.stream, record))

    def _is_snapshot_due(self, now: int) -> bool:
        if self._records_since_snapshot >= self._settings.snapshot_records:
            return True
        return now >= self._snapshot_at and bool(self.replay.state.jobs)

    def _retry_flight(self, now: int) -> None:
        """Append again what reading did not show; a second copy does not count."""
        assert self._flight is not None
        if now < self._flight.retry_at or self._reading:
            return
        self._flight.retry_at = now + self._jitter(self._settings.append_retry_ms)
        self._core.emit(Append(self.stream, self._flight.record))
