"""Follow topics of the store: what all followers share, and the workers' entries."""

import logging
from collections.abc import Callable
from typing import Any

from quetzallock_core.cells.models import WorkerEntry

from ..helpers import run_in_background, sleep
from .clocks import BootClock
from .const import (
    ENTRIES_READ_INTERVAL_MS,
    LATE_READ_MS,
    STORE_RETRY_PAUSE_MS,
)
from .ports import (
    HistoryGoneError,
    LogBehindError,
    Store,
    StoreUnavailableError,
)

_LOGGER = logging.getLogger(__name__)


class Follower:
    """Follows a keyed topic: reads the newest record of each key, then the changes."""

    name = ""
    pause_ms = 0

    def __init__(self, reactor: Any, store: Store) -> None:
        self._reactor = reactor
        self._store = store
        self._clock = BootClock()
        self._offset: int | None = None
        self._read_sent_at = 0
        self._is_failing = False
        self._is_running = False
        self._has_loop = False

    def start(self) -> None:
        """Start reading, by the loop of an earlier start if that has not ended yet."""
        self._is_running = True
        if not self._has_loop:
            self._has_loop = True
            self._offset = None
            run_in_background(self._run())

    def stop(self) -> None:
        """Stop reading; the next start reads the newest records again."""
        self._is_running = False
        self._offset = None

    async def _run(self) -> None:
        while self._is_running:
            self._read_sent_at = self._clock.now()
            try:
                await self._read_once()
            except HistoryGoneError:
                _LOGGER.info(
                    "requested records have expired",
                    extra={"of": self.name, "offset": self._offset},
                )
                self._offset = None
                continue
            except StoreUnavailableError as error:
                self._record_failure(error)
                await sleep(self._reactor, STORE_RETRY_PAUSE_MS)
                continue
            except Exception as error:
                self._record_unexpected_error(error)
                await sleep(self._reactor, STORE_RETRY_PAUSE_MS)
                continue
            self._record_success()
            await sleep(self._reactor, self.pause_ms)
        self._has_loop = False

    def _record_success(self) -> None:
        if self._is_failing:
            _LOGGER.info("reading from the store succeeds again", extra={"dependency": self.name})
        self._is_failing = False

    def _record_unexpected_error(self, error: Exception) -> None:
        """Log an error of the program, and read the newest records next.

        A record that newer ones have replaced is then not read again.
        """
        if not self._is_failing:
            _LOGGER.error(
                "records cannot be processed", exc_info=error, extra={"dependency": self.name}
            )
        self._is_failing = True
        self._offset = None

    def _record_failure(self, error: StoreUnavailableError) -> None:
        """Log the first failure, and each that took long, with the channel that it hung on.

        After a log that ends before the offset, the newest records are read: those below the offset
        are not what they were.
        """
        if isinstance(error, LogBehindError):
            self._offset = None
        took_ms = self._clock.now() - self._read_sent_at
        if not self._is_failing or took_ms > LATE_READ_MS:
            _LOGGER.warning(
                "reading from the store fails",
                extra={"dependency": self.name, "error": str(error), "took_ms": took_ms},
            )
        self._is_failing = True

    async def _read_once(self) -> None:
        raise NotImplementedError


class EntriesFollower(Follower):
    """Follows the workers' entries."""

    name = "entries"
    pause_ms = ENTRIES_READ_INTERVAL_MS

    def __init__(
        self, reactor: Any, store: Store, on_change: Callable[[dict[str, WorkerEntry]], None]
    ) -> None:
        super().__init__(reactor, store)
        self._on_change = on_change
        self._entries: dict[str, WorkerEntry] = {}

    async def _read_once(self) -> None:
        if self._offset is None:
            page = await self._store.read_entries()
            self._entries = {}
        else:
            page = await self._store.read_entry_changes(self._offset)
        self._offset = page.next_offset
        for change in page.changes:
            if change.entry is None:
                self._entries.pop(change.worker, None)
            else:
                self._entries[change.worker] = change.entry
        self._on_change(self._entries)
