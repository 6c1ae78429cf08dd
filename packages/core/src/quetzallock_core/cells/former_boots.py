"""Boots that were called not long ago, as their calls may reach the next boot under the same id."""

from ..clock import Clock
from .const import MAX_ORDER_DELAY_MS
from .models import Boot


class FormerBoots:
    """When each former boot of a worker was called last, for as long as such a call may be late."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._arrive_until: dict[str, dict[int, int]] = {}

    def add(self, boot: Boot, called_until: int) -> None:
        """Record that `boot` may have been called until the local ms `called_until`."""
        worker_id, boot_ms = boot
        boots = self._arrive_until.setdefault(worker_id, {})
        boots[boot_ms] = max(called_until + MAX_ORDER_DELAY_MS, boots.get(boot_ms, 0))

    def may_reach(self, boot: Boot) -> bool:
        """Return whether calls that were meant for an earlier boot may reach `boot`."""
        now = self._clock.now()
        worker_id, boot_ms = boot
        boots = self._arrive_until.get(worker_id, {})
        return any(known != boot_ms and now < until for known, until in boots.items())

    def expire(self) -> None:
        """Forget the boots of which no call can arrive any more."""
        now = self._clock.now()
        for worker_id, boots in list(self._arrive_until.items()):
            kept = {boot_ms: until for boot_ms, until in boots.items() if now < until}
            if kept:
                self._arrive_until[worker_id] = kept
            else:
                del self._arrive_until[worker_id]
