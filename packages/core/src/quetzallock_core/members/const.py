"""Settings of the member list."""

from dataclasses import dataclass
from typing import Final

ALIVE: Final = "alive"
SUSPECT: Final = "suspect"
LEAVING: Final = "leaving"
DEAD: Final = "dead"

STATE_RANK: Final = {ALIVE: 0, SUSPECT: 1, LEAVING: 2, DEAD: 3}


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Times in ms and sizes of the gossip.

    Attributes:
        seeds: `ip:port` of hosts to ask first.
        neighbours: Ring successors that a host pings.
        rumours_per_message: Most changes that one ping or answer carries.
        join_ms: Longest time to wait for an answer of a seed before acting alone.
        rejoin_ms: Interval of pings to a seed or to a host held for dead.
    """

    seeds: tuple[str, ...] = ()
    neighbours: int = 3
    ping_ms: int = 500
    ping_timeout_ms: int = 1_500
    suspect_ms: int = 1_500
    rumours_per_message: int = 8
    join_ms: int = 2_500
    rejoin_ms: int = 2_000
    forget_ms: int = 600_000
