"""Which hosts stand ready to own cells: a few, the strongest, and others when these are silent."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

MAX_MEMBERS: Final = 4
"""So many hosts stand for ownership while all goes well."""

OWNER_TIMEOUT_MS: Final = 3_000
"""Silence of a cell's owner after which any host stands for ownership."""

FIRST_PROBE_TIMEOUT_MS: Final = 400
"""How long a host that has just started listens for an owner before it stands for ownership."""

MAX_JOIN_DELAY_MS: Final = 700
"""How much longer a host without any processor would wait than a strong one before it joins."""

UNDELAYED_POWER: Final = 1_000
"""Processor, in thousandths of a core, from which on a host does not wait."""

REPLACEMENT_POWER_FACTOR: Final = 1.25
"""How many times stronger a host has to be to take a weaker one's place."""


@dataclass(frozen=True, slots=True, order=True)
class Candidate:
    """A host that may own cells; `power` is its processor in thousandths of a core."""

    power: int
    host: str


class Candidacy:
    """Decides for one host whether it is to be a member of the group of owners.

    A weak host that owned a large cell would take so long to load it that it lost it again.
    """

    def __init__(self, own: Candidate, now: int) -> None:
        self._own = own
        self._eligible_since: int | None = None
        self._answered_at = now + FIRST_PROBE_TIMEOUT_MS - OWNER_TIMEOUT_MS
        self._delay_ms = int(MAX_JOIN_DELAY_MS * max(0.0, 1 - own.power / UNDELAYED_POWER))

    def handle_owner_answer(self, now: int) -> None:
        """The owner of a cell has answered."""
        self._answered_at = now

    def is_owner_unresponsive(self, now: int) -> bool:
        """Tell whether no owner has been heard of lately."""
        return now - self._answered_at >= OWNER_TIMEOUT_MS

    def should_be_member(self, members: Iterable[Candidate], is_member: bool, now: int) -> bool:
        """Tell whether this host is to be a member.

        Args:
            members: The members that are known to hold something.
            is_member: It is one now.
            now: Local ms.
        """
        others = [member for member in members if member.host != self._own.host]
        if is_member:
            self._eligible_since = None
            return self.is_owner_unresponsive(now) or self._count_stronger(others) < MAX_MEMBERS
        if not self._is_eligible(others, now):
            self._eligible_since = None
            return False
        if self._eligible_since is None:
            self._eligible_since = now
        return now - self._eligible_since >= self._delay_ms

    def _count_stronger(self, others: list[Candidate]) -> int:
        return sum(other > self._own for other in others)

    def _is_eligible(self, others: list[Candidate], now: int) -> bool:
        if self.is_owner_unresponsive(now):
            return True
        if len(others) < MAX_MEMBERS:
            return bool(others)
        return self._own.power > REPLACEMENT_POWER_FACTOR * min(other.power for other in others)
