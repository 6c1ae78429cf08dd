"""Limits how many best-effort starts are on their way at once.

For an owner at the edge of its processor: a wide best-effort job gives it many orders and answers
at one moment, and the starts and ends of urgent tasks would wait behind them.
"""

from .const import ORDER_TIMEOUT_MS
from .jobs import Run


class StartWindow:
    """Best-effort starts without an answer.

    Attributes:
        limit: Maximum number of them, set by the owner's load control; None for no limit.
        is_holding_back: The limit has held back a start in the last placement round.
    """

    def __init__(self) -> None:
        self.limit: int | None = None
        self.is_holding_back = False
        self._unconfirmed: list[Run] = []

    def begin_round(self, now: int) -> None:
        """Drop the starts that are answered, at the begin of a placement round.

        A start without an answer in time counts no more, as its worker may be lost.
        """
        self.is_holding_back = False
        self._drop_answered(now)

    def _drop_answered(self, now: int) -> None:
        self._unconfirmed = [
            run
            for run in self._unconfirmed
            if run.state == "ordered" and now - run.ordered_at < ORDER_TIMEOUT_MS
        ]

    def has_room(self) -> bool:
        """Return whether another best-effort task may be started."""
        if self.limit is None or len(self._unconfirmed) < self.limit:
            return True
        self.is_holding_back = True
        return False

    def add(self, run: Run) -> None:
        """Count a best-effort run that was ordered."""
        self._unconfirmed.append(run)

    def needs_refill(self, now: int) -> bool:
        """Return whether starts were held back, and half of those on their way are answered.

        Half, so that not each answer leads to a placement round.
        """
        if not self.is_holding_back:
            return False
        self._drop_answered(now)
        return self.limit is None or len(self._unconfirmed) <= self.limit // 2
