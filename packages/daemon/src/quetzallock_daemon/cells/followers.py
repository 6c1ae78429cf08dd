"""Follow the configuration and the workers' entries in the platform's store."""

import logging
from collections.abc import Callable
from typing import Any

from quetzallock_core.cells.models import WorkerEntry

from ..helpers import run_in_background, sleep
from .const import CONFIG_WAIT_MS, ENTRIES_READ_INTERVAL_MS, STORE_RETRY_PAUSE_MS
from .ports import Configuration, HistoryGoneError, Store, StoreUnavailableError

_LOGGER = logging.getLogger(__name__)


class _Follower:
    """Reads a keyed topic: the newest records first, then changes, for as long as needed."""

    name = ""
    pause_ms = 0

    def __init__(self, reactor: Any, store: Store) -> None:
        self._reactor = reactor
        self._store = store
        self._offset: int | None = None
        self._is_lost = False
        self._is_running = False

    def start(self) -> None:
        """Begin to read."""
        if not self._is_running:
            self._is_running = True
            run_in_background(self._run())

    def stop(self) -> None:
        """Read no more; the next start begins with the newest records."""
        self._is_running = False
        self._offset = None

    async def _run(self) -> None:
        while self._is_running:
            try:
                await self._read_once()
            except HistoryGoneError:
                _LOGGER.info("history is gone", extra={"of": self.name, "offset": self._offset})
                self._offset = None
                continue
            except StoreUnavailableError as error:
                self._note_lost(str(error))
                await sleep(self._reactor, STORE_RETRY_PAUSE_MS)
                continue
            if self._is_lost:
                _LOGGER.info("reading again", extra={"dependency": self.name})
                self._is_lost = False
            await sleep(self._reactor, self.pause_ms)

    def _note_lost(self, error: str) -> None:
        if not self._is_lost:
            _LOGGER.warning("reading fails", extra={"dependency": self.name, "error": error})
        self._is_lost = True

    async def _read_once(self) -> None:
        raise NotImplementedError


class ConfigurationFollower(_Follower):
    """Knows the newest configuration; an older version never replaces a newer one."""

    name = "configuration"
    pause_ms = 5

    def __init__(
        self, reactor: Any, store: Store, on_change: Callable[[Configuration], None]
    ) -> None:
        super().__init__(reactor, store)
        self._on_change = on_change
        self._version: int | None = None

    async def _read_once(self) -> None:
        if self._offset is None:
            page = await self._store.read_configuration()
        else:
            page = await self._store.read_configuration_changes(self._offset, CONFIG_WAIT_MS)
        self._offset = page.next_offset
        found = page.configuration
        if found is None or (self._version is not None and found.version <= self._version):
            return
        _LOGGER.info(
            "configuration is in force",
            extra={"version": found.version, "before": self._version, "offset": self._offset},
        )
        self._version = found.version
        self._on_change(found)


class EntriesFollower(_Follower):
    """Knows the workers' entries."""

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
