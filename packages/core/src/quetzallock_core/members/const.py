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
    """Times in ms and sizes of the gossip protocol.

    Attributes:
        seeds: `ip:port` of the hosts that are contacted first.
        neighbours: Number of ring successors that a host pings.
        ping_ms: Interval between pings to each neighbour.
        ping_timeout_ms: Time without an answer after which a neighbour is suspected.
        suspect_ms: Time after which a suspected host is declared dead.
        rumours_per_message: Maximum number of new changes in one ping or answer.
        join_ms: Maximum wait for an answer from a seed before the host joins without one.
        rejoin_ms: Interval between pings to a seed or to a host that is considered dead.
        forget_ms: Time after which a dead or leaving host is removed from the list.
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
