"""Follows the configuration and the evacuations in the store."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from quetzallock_core.cells.models import Bounds

from ..helpers import run_in_background
from .configuration_view import ConfigurationView
from .const import LATE_READ_MS
from .followers import Follower
from .ports import (
    ConfigPage,
    Configuration,
    LogBehindError,
    Store,
    StoreRefusedError,
    StoreUnavailableError,
)
from .read_limits import AnswerTimeLimit, ReadLimits, choose_read_limits

_LOGGER = logging.getLogger(__name__)


def _ignore_evacuations(_data_centres: frozenset[str], _confirmed_at: int) -> None:
    """Ignore evacuations."""


class ConfigurationFollower(Follower):
    """Follows the configuration and the evacuations, which share a topic.

    An older version of the configuration never replaces a newer one. After each read, all evacuated
    data centres are passed on with the local time at which the last read that reached the end of
    the topic was sent.

    Attributes:
        view: What is known of the configuration, for logs and metrics.
    """

    name = "configuration"
    pause_ms = 5

    def __init__(
        self,
        reactor: Any,
        store: Store,
        on_change: Callable[[Configuration], None],
        on_evacuations: Callable[[frozenset[str], int], None] = _ignore_evacuations,
        limits: ReadLimits | None = None,
        counters: Counter[str] | None = None,
    ) -> None:
        super().__init__(reactor, store)
        self._on_change = on_change
        self._on_evacuations = on_evacuations
        self._limits = limits or choose_read_limits(Bounds())
        self._answer_limit = AnswerTimeLimit(self._limits.answer_ms)
        self._counters = Counter() if counters is None else counters
        self._evacuated: frozenset[str] = frozenset()
        self._confirmed_at = 0
        self._is_late = False
        self._is_refreshing = False
        self.view = ConfigurationView()

    def refresh(self) -> None:
        """Read the newest version now, beside the read that waits for changes."""
        if not self._is_refreshing:
            self._is_refreshing = True
            run_in_background(self._refresh())

    async def _refresh(self) -> None:
        sent_at = self._clock.now()
        try:
            page = await self._store.read_configuration(self._limits.answer_ms)
        except StoreUnavailableError as error:
            _LOGGER.warning("newer configuration cannot be read", extra={"error": str(error)})
            return
        finally:
            self._is_refreshing = False
        self._apply_configuration(page.configuration, self._describe_read(page, sent_at))

    async def _read_once(self) -> None:
        offset = self._offset
        # A read that does not wait confirms the view soonest after failed reads.
        wait_ms = 0 if self._is_failing or offset is None else self._limits.wait_ms
        page = await self._read_page(offset, wait_ms)
        evacuated = set() if offset is None else set(self._evacuated)
        self._offset = page.next_offset
        read = self._describe_read(page, self._read_sent_at)
        self._record_lateness(read, wait_ms)
        self._count_faults(page)
        self._confirm_view(page, page.next_offset == offset, wait_ms)
        self._apply_configuration(page.configuration, read)
        self._apply_evacuations(page, evacuated, self._read_sent_at)

    async def _read_page(self, offset: int | None, wait_ms: int) -> ConfigPage:
        """Read the newest records, or those from `offset` on, and adapt the time limit."""
        limit = self._answer_limit
        try:
            if offset is None:
                page = await self._store.read_configuration(limit.current_ms)
            else:
                page = await self._store.read_configuration_changes(
                    offset, wait_ms, limit.current_ms
                )
        except LogBehindError:
            self._counters["config.behind"] += 1
            raise
        except StoreUnavailableError as error:
            if not isinstance(error, StoreRefusedError):
                limit.handle_no_answer()
            raise
        took_ms = self._clock.now() - self._read_sent_at
        if page.next_offset == offset:
            # Only an answer without records tells how slow the store is rather than the link.
            limit.handle_answer(took_ms - wait_ms)
        else:
            limit.handle_records(took_ms)
        return page

    def _describe_read(self, page: ConfigPage, sent_at: int) -> dict[str, Any]:
        """Return the log fields of a read that was just answered."""
        now = self._clock.now()
        return {
            "offset": page.next_offset,
            "read_ms": now - sent_at,
            "view_age_ms": self.view.compute_age_ms(now),
            "channel": None if page.channel is None else asdict(page.channel),
        }

    def _record_lateness(self, read: dict[str, Any], wait_ms: int) -> None:
        """Log a read that took longer than its wait allows, once until one is in time again."""
        is_late = read["read_ms"] > wait_ms + LATE_READ_MS
        if is_late and not self._is_late:
            _LOGGER.warning(
                "configuration is read late",
                extra={"version": self.view.version, "wait_ms": wait_ms, **read},
            )
        self._is_late = is_late

    def _count_faults(self, page: ConfigPage) -> None:
        self._counters["config.rejected"] += page.has_invalid_configuration

    def _confirm_view(self, page: ConfigPage, is_unchanged: bool, wait_ms: int) -> None:
        """Confirm the view as of the time at which the store has looked at the topic.

        A read without records that stayed open for its whole wait was looked at again at its end.
        """
        if not page.is_complete:
            return
        has_waited = self._clock.now() - self._read_sent_at >= wait_ms
        looked_after_ms = wait_ms if is_unchanged and has_waited else 0
        self.view = self.view.confirm(self._read_sent_at + looked_after_ms, page.channel)

    def _apply_evacuations(self, page: ConfigPage, evacuated: set[str], sent_at: int) -> None:
        """Apply the changes to `evacuated`, the data centres that were evacuated before them."""
        for change in page.evacuations:
            if change.is_requested:
                evacuated.add(change.data_centre)
            else:
                evacuated.discard(change.data_centre)
        self._evacuated = frozenset(evacuated)
        if page.is_complete:
            self._confirmed_at = sent_at
        self._on_evacuations(self._evacuated, self._confirmed_at)

    def _apply_configuration(
        self, configuration: Configuration | None, read: dict[str, Any]
    ) -> None:
        before = self.view.version
        if configuration is None or (before is not None and configuration.version <= before):
            return
        _LOGGER.info(
            "configuration is in force",
            extra={"version": configuration.version, "before": before, **read},
        )
        self._counters["config.applied"] += 1
        self.view = self.view.apply(configuration.version, self._clock.now())
        self._on_change(configuration)
