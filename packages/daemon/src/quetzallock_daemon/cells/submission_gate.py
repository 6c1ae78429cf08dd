"""Compares the version under which a job is submitted with the one that the owner applies."""

import logging
from collections.abc import Callable

from quetzallock_core.cells.models import QueuePolicy
from quetzallock_core.clock import Clock

from .const import STORE_RETRY_PAUSE_MS
from .ports import Configuration

_LOGGER = logging.getLogger(__name__)


class SubmissionGate:
    """Finds out why an owner may not accept a job yet, or not any more.

    Tasks of a job show the effect of the version under which it was submitted. An owner that starts
    them before it applies that version would answer its own callers by an older one afterwards, and
    one that accepts a job of a queue that its version has removed goes back to an older version.

    Args:
        clock: Local clock.
        refresh: Reads the configuration now.
        max_hold_ms: How long jobs of a newer version are held back while the configuration can be
            read, as the owner may be unable to use that version.
        is_confirmed_since: Tells whether this host knows all versions that were in the store at a
            time. Until then it may just not have read that version.
    """

    def __init__(
        self,
        clock: Clock,
        refresh: Callable[[], None],
        max_hold_ms: int,
        is_confirmed_since: Callable[[int], bool],
    ) -> None:
        self._clock = clock
        self._refresh = refresh
        self._max_hold_ms = max_hold_ms
        self._is_confirmed_since = is_confirmed_since
        self._configuration: Configuration | None = None
        self._known_since: dict[int, int] = {}
        self._refreshed_at = 0

    def handle_applied(self, configuration: Configuration) -> None:
        """Record the configuration that this host applies from now on."""
        self._configuration = configuration
        self._known_since = {
            version: since
            for version, since in self._known_since.items()
            if version > configuration.version
        }

    def handle_loaded(self, version: int) -> None:
        """Read the configuration now if jobs that were loaded are of a newer version."""
        applied_version = 0 if self._configuration is None else self._configuration.version
        if version > applied_version:
            self._holds_back(version, applied_version)

    def find_refusal(self, policy: QueuePolicy) -> str:
        """Return why a new job may not be accepted, or an empty string.

        Args:
            policy: The job's queue, with the version that its router applies.

        Returns:
            `unproved` while this host does not apply that version, `removed` for a queue that its
            newer version does not have.
        """
        applied = self._configuration
        applied_version = 0 if applied is None else applied.version
        if policy.version > applied_version:
            return "unproved" if self._holds_back(policy.version, applied_version) else ""
        if applied is None or policy.version == applied_version:
            return ""
        return "" if applied.has_queue(policy.queue) else "removed"

    def _holds_back(self, version: int, applied_version: int) -> bool:
        now = self._clock.now()
        if version not in self._known_since:
            self._known_since[version] = now
            _LOGGER.info(
                "newer configuration is known from a job",
                extra={"version": version, "applied": applied_version},
            )
        if now - self._refreshed_at >= STORE_RETRY_PAUSE_MS:
            self._refreshed_at = now
            self._refresh()
        since = self._known_since[version]
        return now - since < self._max_hold_ms or not self._is_confirmed_since(since)
