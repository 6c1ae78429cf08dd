"""Chooses for how long a host stays a member of the group of cell owners without a renewal."""

from typing import Final

MIN_MEMBERSHIP_TTL_MS: Final = 1_500
"""Time without a renewal after which the cells of a host that is on time are assigned to others."""

MAX_MEMBERSHIP_TTL_MS: Final = 6_000
"""The same for a host that is as late as a busy host can be, or does work of unknown length."""

TTL_PER_DELAY: Final = 2
"""Time added for a late host, as a multiple of its delay."""

MAX_DELAY_SAMPLE_MS: Final = (MAX_MEMBERSHIP_TTL_MS - MIN_MEMBERSHIP_TTL_MS) // TTL_PER_DELAY
"""Largest delay that counts, in ms."""

_KEPT_SHARE: Final = 0.9
"""Share of an earlier delay that is still expected at the next renewal."""


class MembershipDuration:
    """Lets a host that renews late stay a member for longer.

    A busy host is not a dead one: if its membership ended, the next host would have to load the
    cell, would be as late, and would lose the cell in turn.
    """

    def __init__(self) -> None:
        self._expected_delay_ms = 0.0
        self._long_work_count = 0

    def record_delay(self, delay_ms: float) -> None:
        """Record how late a renewal was, or how long the host did nothing but other work."""
        sample_ms = min(delay_ms, MAX_DELAY_SAMPLE_MS)
        self._expected_delay_ms = max(sample_ms, _KEPT_SHARE * self._expected_delay_ms)

    def expect_long_work(self) -> None:
        """Choose the longest time until `handle_work_done`, since the host may be late."""
        self._long_work_count += 1

    def handle_work_done(self, took_ms: float) -> None:
        """Expect delays as long as the work took, which shows how slow the host is."""
        self._long_work_count -= 1
        self.record_delay(took_ms)

    def choose_ttl_ms(self) -> int:
        """Return the time for which the next renewal keeps the host a member."""
        if self._long_work_count:
            return MAX_MEMBERSHIP_TTL_MS
        return int(MIN_MEMBERSHIP_TTL_MS + TTL_PER_DELAY * self._expected_delay_ms)
