"""Service that queues have received, by which queues of one priority share the capacity.

Start-time fair queueing over a decayed service: the queue with the least service for its weight is
served next. A queue that has waited for nothing continues near the others, so that it gets no
credit for the time it was idle.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Final, NamedTuple

HALF_LIFE_MS: Final = 5_000
"""Time in which received service loses half of its effect. Several times the duration of usual
tasks, so that one task does not decide, and short enough for a queue to recover from a burst."""

IDLE_AFTER_MS: Final = 1_000
"""A queue that had no waiting task for longer was idle. Shorter gaps are those between jobs."""

MAX_CREDIT_SHARE: Final = 0.25
"""Service, as a share of that of the others, by which a queue that was idle may be behind them."""

CREDIT_STARTS: Final = 4
"""Minimum of that credit, in starts of another queue. Where tasks are large, a few starts change
the level of a queue by more than `MAX_CREDIT_SHARE`."""

NEGLIGIBLE_CORE_MS: Final = 1.0
"""Service below which an account is dropped, so that queues that are gone leave nothing."""


class ShareKey(NamedTuple):
    """Account of a queue.

    Attributes:
        queue: Name of the queue.
        lasting: Account of its long-running tasks, which compete only among themselves.
    """

    queue: str
    lasting: bool


@dataclass(slots=True)
class _Account:
    """Received service of a queue.

    Attributes:
        core_ms: Decayed service at `at`.
        at: Local ms.
        last_start_core_ms: Service of its last start.
        started_at: Local ms of its last start, or -1.
        waited_at: Local ms at which it last had a waiting task, or -1.
    """

    core_ms: float = 0.0
    at: int = 0
    last_start_core_ms: float = 0.0
    started_at: int = -1
    waited_at: int = -1

    def decay(self, now: int) -> float:
        """Decay the service up to `now` and return it."""
        if now > self.at:
            self.core_ms *= 0.5 ** ((now - self.at) / HALF_LIFE_MS)
            self.at = now
        return self.core_ms


class Shares:
    """Decayed service in core-ms by queue."""

    def __init__(self) -> None:
        self._accounts: dict[ShareKey, _Account] = {}

    def _get(self, key: ShareKey, now: int) -> _Account:
        account = self._accounts.get(key)
        if account is None:
            account = self._accounts[key] = _Account(at=now)
        return account

    def charge(self, key: ShareKey, core_ms: float, now: int) -> None:
        """Add the service of a task that is started now."""
        account = self._get(key, now)
        account.core_ms = account.decay(now) + core_ms
        account.last_start_core_ms = core_ms
        account.started_at = now

    def refund(self, key: ShareKey, core_ms: float, now: int) -> None:
        """Take back the service of a start that a worker has refused."""
        account = self._get(key, now)
        account.core_ms = max(0.0, account.decay(now) - core_ms)

    def compute_level(self, key: ShareKey, weight: float, now: int) -> float:
        """Return the service of a queue in core-ms for each unit of its weight."""
        account = self._accounts.get(key)
        return 0.0 if account is None else account.decay(now) / weight

    def get_started_at(self, key: ShareKey) -> int:
        """Return the local ms of the last start of a task of a queue, or -1."""
        account = self._accounts.get(key)
        return -1 if account is None else account.started_at

    def limit_credit(self, weights: Mapping[ShareKey, float], now: int) -> None:
        """Raise the service of those queues that were idle near that of the others.

        Args:
            weights: The queues that wait for the same capacity, and their weights.
            now: Local ms.
        """
        floors = {key: self._compute_floor(key, weight, now) for key, weight in weights.items()}
        for key, weight in weights.items():
            account = self._get(key, now)
            is_new = account.waited_at < 0 or now - account.waited_at > IDLE_AFTER_MS
            account.waited_at = now
            if not is_new:
                continue
            floor = max((floors[other] for other in weights if other != key), default=0.0)
            account.core_ms = max(account.decay(now), floor * weight)

    def _compute_floor(self, key: ShareKey, weight: float, now: int) -> float:
        """Return the lowest level from which another queue may continue beside this one."""
        account = self._get(key, now)
        level = account.decay(now) / weight
        credit_of_starts = CREDIT_STARTS * account.last_start_core_ms / weight
        return level - max(MAX_CREDIT_SHARE * level, credit_of_starts)

    def drop_negligible(self, now: int) -> None:
        """Drop the accounts of queues that neither wait nor have any service left."""
        self._accounts = {
            key: account
            for key, account in self._accounts.items()
            if account.decay(now) >= NEGLIGIBLE_CORE_MS or now - account.waited_at <= IDLE_AFTER_MS
        }

    def list_services(self, now: int) -> tuple[tuple[str, bool, float], ...]:
        """Return queue, whether for long-running tasks, and service of each account."""
        return tuple(
            (key.queue, key.lasting, round(account.decay(now)))
            for key, account in self._accounts.items()
        )

    def restore(self, services: Iterable[tuple[str, bool, float]], now: int) -> None:
        """Load the service that an earlier owner has recorded.

        It has not decayed since: nothing was started between the two owners.
        """
        for queue, lasting, core_ms in services:
            self._accounts[ShareKey(queue, lasting)] = _Account(
                max(0.0, core_ms), now, waited_at=now
            )
