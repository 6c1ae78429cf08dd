"""Time limits of the reads of the configuration, by the bound that they serve."""

from dataclasses import dataclass

from quetzallock_core.cells.models import Bounds

from .const import (
    CONFIG_WAIT_MS,
    EVACUATION_READS_PER_BOUND,
    READ_TIMEOUT_MS,
    SHORT_READ_TIMEOUT_MS,
)


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Limits of a read that waits for changes, in ms.

    Attributes:
        wait_ms: How long the read stays open while nothing changes.
        answer_ms: How long the answer may take beyond that, unless the store is known to be slow.
    """

    wait_ms: int
    answer_ms: int


def choose_read_limits(bounds: Bounds) -> ReadLimits:
    """Return the limits with which a version is in force in time, though one read gets no answer.

    A version may be confirmed as soon as such a read was sent. Until it is in force, the read has
    waited and timed out, and the next one was sent after a pause and answered.
    """
    wait_ms = min(choose_config_wait_ms(bounds), bounds.config_apply_ms // 2)
    return ReadLimits(wait_ms, min(SHORT_READ_TIMEOUT_MS, bounds.config_apply_ms // 4))


def choose_config_wait_ms(bounds: Bounds) -> int:
    """Return how long a read of the configuration may stay open for the bound of evacuations."""
    if not bounds.evacuation_ms:
        return CONFIG_WAIT_MS
    return min(CONFIG_WAIT_MS, bounds.evacuation_ms // EVACUATION_READS_PER_BOUND)


class AnswerTimeLimit:
    """Time limit for an answer that follows how slow the store is.

    It is twice the time that the last answer took, but at least `min_ms` and at most
    `READ_TIMEOUT_MS`, and is doubled by each call without an answer.
    """

    def __init__(self, min_ms: int) -> None:
        self._min_ms = min_ms
        self.current_ms = min_ms

    def handle_answer(self, took_ms: int) -> None:
        """Record how long an answer took, without the wait for changes."""
        self.current_ms = min(max(2 * took_ms, self._min_ms), READ_TIMEOUT_MS)

    def handle_records(self, took_ms: int) -> None:
        """Record how long an answer with records took, with the wait for them.

        It never raises the limit, since both the wait and a slow link add to the time.
        """
        self.current_ms = min(self.current_ms, max(2 * took_ms, self._min_ms))

    def handle_no_answer(self) -> None:
        """Record a call without an answer."""
        self.current_ms = min(2 * self.current_ms, READ_TIMEOUT_MS)
