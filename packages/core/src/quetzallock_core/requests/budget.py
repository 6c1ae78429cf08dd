"""A budget for retries: a share of first tries, so that retries never multiply an overload."""

from typing import Final

_CEILING: Final = 20.0


class RetryBudget:
    """Tokens earned by first tries and spent by retries."""

    def __init__(self, percent: int) -> None:
        self.percent = percent
        self._tokens = _CEILING / 2

    def deposit(self) -> None:
        """Note a first try."""
        self._tokens = min(_CEILING, self._tokens + self.percent / 100)

    def spend(self) -> bool:
        """Take a retry off the budget, or return False where it is used up."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
