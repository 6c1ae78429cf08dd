"""Limits retries to a share of first attempts, so that retries cannot amplify an overload."""

from typing import Final

_MAX_TOKENS: Final = 20.0


class RetryBudget:
    """A bucket of tokens: first attempts deposit a share of a token, a retry spends one.

    Attributes:
        percent: Retries allowed for each hundred first attempts.
    """

    def __init__(self, percent: int) -> None:
        self.percent = percent
        self._tokens = _MAX_TOKENS / 2

    def deposit(self) -> None:
        """Deposit the share of a first attempt."""
        self._tokens = min(_MAX_TOKENS, self._tokens + self.percent / 100)

    def spend(self) -> bool:
        """Spend the token of one retry; return False when less than one is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
