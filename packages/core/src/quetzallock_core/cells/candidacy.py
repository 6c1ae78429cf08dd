"""Decides which hosts join the group of cell owners.

These are the few with the most processor, and any host while an owner does not answer.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from math import log
from typing import Final

from ..helpers.hashing import hash_to_range

MAX_MEMBERS: Final = 4
"""Number of members of the group while all owners answer."""

OWNER_TIMEOUT_MS: Final = 3_000
"""Time without an answer of a cell's owner after which any host joins the group."""

FIRST_PROBE_TIMEOUT_MS: Final = 400
"""How long a host that has just started waits for an owner's answer before it joins the group."""

MAX_JOIN_DELAY_MS: Final = 700
"""Delay before joining of a host without any processor; it falls linearly to 0 at
`UNDELAYED_POWER`."""

UNDELAYED_POWER: Final = 1_000
"""Processor in thousandths of a core from which on a host joins without delay."""

VACANCY_SPREAD_MS: Final = 4_000
"""Longest delay before a host fills a vacancy while the owners answer, which is not urgent."""

MAX_EXPECTED_HOSTS: Final = 1_000
"""Number of hosts up to which few of them fill the same vacancy before they see each other join."""

_HASH_RANGE: Final = 1_000_000
"""Number of different delays of hosts."""

REPLACEMENT_POWER_FACTOR: Final = 1.25
"""A host replaces the weakest member if its processor exceeds that member's by this factor."""


@dataclass(frozen=True, slots=True, order=True)
class Candidate:
    """A host that may own cells.

    Attributes:
        power: Its processor in thousandths of a core. Candidates are ordered by it.
        host: Name of the host, which breaks ties.
    """

    power: int
    host: str


def compute_vacancy_delay_ms(host: str) -> int:
    """Return how long a host waits before it fills a vacancy in the group.

    All hosts see a vacancy at about the same time, and each other's joins only later. The delays
    are spread exponentially over the hosts, by a hash of their names: few hosts have a short delay,
    however many there are, and the others see that the vacancy is filled.
    """
    share = (1 + hash_to_range(host, _HASH_RANGE)) / _HASH_RANGE
    return int(VACANCY_SPREAD_MS * max(0.0, 1 + log(share) / log(MAX_EXPECTED_HOSTS)))


class Candidacy:
    """Decides for one host whether it should be a member of the group of cell owners.

    Hosts with more processor are preferred: a weak host takes so long to load a large cell that it
    loses the ownership again.
    """

    def __init__(self, own: Candidate, now: int) -> None:
        self._own = own
        self._eligible_since: int | None = None
        self._answered_at = now + FIRST_PROBE_TIMEOUT_MS - OWNER_TIMEOUT_MS
        self._power_delay_ms = int(MAX_JOIN_DELAY_MS * max(0.0, 1 - own.power / UNDELAYED_POWER))
        self._vacancy_delay_ms = self._power_delay_ms + compute_vacancy_delay_ms(own.host)

    def handle_owner_answer(self, now: int) -> None:
        """Record that the owner of a cell has answered."""
        self._answered_at = now

    def is_owner_unresponsive(self, now: int) -> bool:
        """Return whether no owner has answered within the time limit."""
        return now - self._answered_at >= OWNER_TIMEOUT_MS

    def should_be_member(
        self, members: Iterable[Candidate], is_member: bool, now: int, owns_cell: bool = False
    ) -> bool:
        """Return whether this host should be a member.

        Args:
            members: The known members that own something.
            is_member: This host is a member now.
            now: Local ms.
            owns_cell: This host owns a cell now, which another host would have to load.
        """
        others = [member for member in members if member.host != self._own.host]
        if is_member:
            self._eligible_since = None
            stronger_count = self._count_stronger(others, is_clearly=owns_cell)
            return self.is_owner_unresponsive(now) or stronger_count < MAX_MEMBERS
        if not self._is_eligible(others, now):
            self._eligible_since = None
            return False
        if self._eligible_since is None:
            self._eligible_since = now
        is_vacancy = len(others) < MAX_MEMBERS and not self.is_owner_unresponsive(now)
        delay_ms = self._vacancy_delay_ms if is_vacancy else self._power_delay_ms
        return now - self._eligible_since >= delay_ms

    def _count_stronger(self, others: list[Candidate], is_clearly: bool) -> int:
        if is_clearly:
            power = REPLACEMENT_POWER_FACTOR * self._own.power
            return sum(other.power > power for other in others)
        return sum(other > self._own for other in others)

    def _is_eligible(self, others: list[Candidate], now: int) -> bool:
        if self.is_owner_unresponsive(now):
            return True
        if len(others) < MAX_MEMBERS:
            return bool(others)
        return self._own.power > REPLACEMENT_POWER_FACTOR * min(other.power for other in others)
