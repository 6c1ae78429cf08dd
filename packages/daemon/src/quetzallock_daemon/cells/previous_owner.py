"""Finds out when the process of a cell's previous owner was over.

Two processes of a host cannot listen on one address, so another one that listens there shows that
the earlier one is over. Leases that it may have renewed lapse sooner than its right to order shows.
"""

from collections.abc import Awaitable, Callable
from typing import Protocol

from twisted.internet.defer import Deferred

from quetzallock_core.cells import Cell
from quetzallock_core.cells.records import OwnerRecord
from quetzallock_core.clock import Clock

from .const import PROCESS_PROBE_INTERVAL_MS
from .membership import Member, parse_member_name
from .messages import OwnerAnswer

Probe = Callable[[str], Awaitable[OwnerAnswer | None]]


class FollowingOwner(Protocol):
    """What the search needs of the owner of a cell."""

    cell: Cell
    is_stopped: bool

    @property
    def clock(self) -> Clock:
        """Local clock that goes on during a suspension of the host."""

    def pause(self, ms: int) -> "Deferred[None]":
        """Return a deferred that fires after `ms` milliseconds."""


def make_owner_record(member: Member, epoch: int) -> OwnerRecord:
    """Return the record of the process `member` as the owner with `epoch`."""
    return OwnerRecord(epoch, member.candidate.host, member.address, member.incarnation)


class PreviousOwnerSearch:
    """Asks for the process of a cell's previous owner until it is over or does not matter.

    Args:
        own: This process as a member of the group.
        listening_since: Local ms from which on this process listens.
        probe: Asks the process at an address which one it is.
    """

    def __init__(self, own: Member, listening_since: int, probe: Probe) -> None:
        self._own = own
        self._listening_since = listening_since
        self._probe = probe

    async def run(self, owner: FollowingOwner) -> None:
        """Tell the cell of `owner` when its previous owner's process was over."""
        unverified = owner.cell.state.unverified
        while not owner.is_stopped and unverified.list_renewable():
            record = unverified.previous_owner
            assert record is not None
            gone_at = await self._find_end(record, owner.clock)
            if owner.is_stopped:
                return
            if gone_at is not None:
                owner.cell.handle_previous_owner_gone(gone_at)
                return
            await owner.pause(PROCESS_PROBE_INTERVAL_MS)

    async def _find_end(self, record: OwnerRecord, clock: Clock) -> int | None:
        """Return the local ms at which the process of `record` was over, or None.

        It was over before the start of the process that now listens at its address.
        """
        own = self._own
        if (record.host, record.address) == (own.candidate.host, own.address):
            return self._listening_since if record.incarnation != own.incarnation else None
        answer = await self._probe(record.address)
        if answer is None or answer.outcome != "process":
            return None
        member = parse_member_name(answer.state)
        if member is None or member.candidate.host != record.host:
            return None
        is_other = member.address == record.address and member.incarnation != record.incarnation
        return clock.now() - answer.count if is_other else None
