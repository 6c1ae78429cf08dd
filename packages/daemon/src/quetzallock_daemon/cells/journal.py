"""Writes the journal of one cell: groups records into appends and retries them."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from quetzallock_core.cells import Batch
from quetzallock_core.cells.batches import BatchMaker
from quetzallock_core.cells.orders import Persist
from quetzallock_core.codec import encode
from quetzallock_core.exceptions import CodecError

from ..helpers import run_in_background, sleep
from .clocks import BootClock
from .const import APPEND_PAUSE_MS, STORE_RETRY_PAUSE_MS, STORE_UNAVAILABLE_AFTER_MS
from .load_meter import JOURNAL, LoadMeter
from .ports import (
    MAX_KEY_BYTES,
    FencedError,
    Store,
    StoreRefusedError,
    StoreUnavailableError,
)

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class JournalId:
    """The journal of a cell under one epoch of ownership."""

    cell: int
    epoch: int


class JournalWriter:
    """Appends the batches of a cell to its journal, one at a time.

    `on_change` is called when changes of a batch were applied, and `on_fenced` with the reason when
    the store has seen a newer owner.
    """

    def __init__(
        self,
        reactor: Any,
        journal: JournalId,
        store: Store,
        batches: BatchMaker,
        on_change: Callable[[], None],
        on_fenced: Callable[[str], None],
        observe: Callable[[str, float], None],
        meter: LoadMeter,
    ) -> None:
        self._reactor = reactor
        self._journal = journal
        self._store = store
        self._batches = batches
        self._on_change = on_change
        self._on_fenced = on_fenced
        self._observe = observe
        self._meter = meter
        self._clock = BootClock()
        self._sequence = 0
        self._unencodable_keys: set[str] = set()
        self._is_writing = False
        self._is_stopped = False
        self._started_at = 0
        self._timer: Any = None

    @property
    def is_append_stuck(self) -> bool:
        """Whether an append has been in flight for so long that new jobs are refused."""
        return (
            self._is_writing and self._clock.now() - self._started_at >= STORE_UNAVAILABLE_AFTER_MS
        )

    def schedule_append(self) -> None:
        """Append the waiting records soon, unless an append is scheduled or in flight."""
        if self._is_writing or self._timer is not None or not self._batches.has_records():
            return
        self._timer = self._reactor.callLater(APPEND_PAUSE_MS / 1_000, self._append_waiting)

    def _append_waiting(self) -> None:
        self._timer = None
        if self._is_stopped or self._is_writing:
            return
        with self._meter.measure(JOURNAL):
            batch = self._batches.pop_batch()
        run_in_background(self._append(batch))

    async def _append(self, batch: Batch) -> None:
        """Append one batch, and apply the changes that depend on its being durable."""
        self._is_writing = True
        self._started_at = self._clock.now()
        try:
            await self._write(batch)
        except FencedError:
            self._on_fenced("the journal is fenced")
            return
        finally:
            self._is_writing = False
        if self._is_stopped:
            return
        with self._meter.measure(JOURNAL):
            self._batches.handle_durable(batch)
            self._on_change()

    async def _write(self, batch: Batch) -> None:
        """Append a batch, and retry until it is written.

        The journal may hold a batch whose append got no answer; repeating it under its sequence
        number is idempotent. If the store refused all attempts, the batch's new jobs are withdrawn
        once the append is stuck.
        """
        cell, epoch = self._journal.cell, self._journal.epoch
        sequence = self._sequence + 1
        may_be_written = False
        while not self._is_stopped:
            with self._meter.measure(JOURNAL):
                records = self._encode_records(batch)
            if not records:
                self._sequence = sequence - 1
                return
            self._sequence = sequence
            try:
                await self._store.append(cell, epoch, sequence, records)
                self._observe("journal.append", self._clock.now() - self._started_at)
                return
            except StoreUnavailableError as error:
                may_be_written |= not isinstance(error, StoreRefusedError)
                _LOGGER.warning("append failed", extra={"cell": cell, "error": str(error)})
            if self.is_append_stuck and not may_be_written:
                with self._meter.measure(JOURNAL):
                    self._batches.withdraw_new_jobs(batch)
                    self._on_change()
            await sleep(self._reactor, STORE_RETRY_PAUSE_MS)

    def _encode_records(self, batch: Batch) -> list[tuple[str, bytes]]:
        """Return the encoded records of a batch.

        A record that cannot be encoded is left out, so that it does not hold up the others.
        """
        encoded = []
        unencodable = set()
        for record in batch.records:
            try:
                encoded.append((record.key, _encode_record(record)))
            except CodecError as error:
                unencodable.add(record.key)
                self._report_unencodable(record.key, error)
        if unencodable:
            self._batches.exclude_records(batch, unencodable)
        return encoded

    def _report_unencodable(self, key: str, error: CodecError) -> None:
        """Log a record that cannot be encoded, once for each key."""
        if key in self._unencodable_keys:
            return
        self._unencodable_keys.add(key)
        _LOGGER.error(
            "journal record cannot be encoded",
            extra={"cell": self._journal.cell, "key": key, "error": str(error)},
        )

    async def write_hand_over(self, timeout_ms: int) -> None:
        """Append the last records, with the hand-over record, within `timeout_ms`."""
        until = self._clock.now() + timeout_ms
        await self._wait_until_written(until)
        if self._is_stopped or self._is_writing:
            return
        run_in_background(self._append(self._batches.pop_hand_over_batch()))
        await self._wait_until_written(until)

    async def _wait_until_written(self, until: int) -> None:
        while self._is_writing and self._clock.now() < until:
            await sleep(self._reactor, APPEND_PAUSE_MS)

    def stop(self) -> None:
        """Stop appending; what is in flight may still be written."""
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()


def _encode_record(record: Persist) -> bytes:
    """Return the encoded value of a record; empty to delete its key.

    Raises:
        CodecError: The key or the value cannot be encoded.
    """
    key_size = len(record.key.encode(errors="replace"))
    if key_size > MAX_KEY_BYTES:
        raise CodecError(f"the key has {key_size} bytes, {MAX_KEY_BYTES} are allowed")
    return b"" if record.value is None else encode(record.value)
