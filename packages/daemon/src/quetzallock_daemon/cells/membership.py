"""Keeps this host a member of the group of owners and learns which cells it owns."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from quetzallock_core.cells.candidacy import Candidate

from ..helpers import run_in_background, sleep
from .clocks import BootClock
from .const import (
    JOIN_INTERVAL_MS,
    LEAVE_POLL_INTERVAL_MS,
    MEMBERSHIP_TTL_MS,
    MIN_OWNERS_READ_INTERVAL_MS,
    OWNERS_READ_INTERVAL_MS,
    STORE_UNAVAILABLE_AFTER_MS,
)
from .ports import Membership, Store, StoreUnavailableError

_LOGGER = logging.getLogger(__name__)


class StoreContact:
    """Whether the store answers, as the tasks that call it all the time see it."""

    def __init__(self) -> None:
        self._clock = BootClock()
        self._lost_at: int | None = None

    def note_answer(self) -> None:
        """The store has answered."""
        if self._lost_at is not None:
            _LOGGER.info(
                "store is back",
                extra={"dependency": "store", "after_ms": self._clock.now() - self._lost_at},
            )
        self._lost_at = None

    def note_lost(self, error: str) -> None:
        """The store has not answered."""
        if self._lost_at is None:
            self._lost_at = self._clock.now()
            _LOGGER.warning("store is lost", extra={"dependency": "store", "error": error})

    def is_lost(self) -> bool:
        """Tell whether the store has not been reached for some time."""
        return (
            self._lost_at is not None
            and self._clock.now() - self._lost_at >= STORE_UNAVAILABLE_AFTER_MS
        )


class MembershipTask:
    """The task that joins the group again and again, while this host is to be a member."""

    def __init__(
        self,
        reactor: Any,
        store: Store,
        member: str,
        contact: StoreContact,
        on_membership: Callable[[Membership, int], bool],
    ) -> None:
        self._reactor = reactor
        self._store = store
        self._member = member
        self._contact = contact
        self._on_membership = on_membership
        self._clock = BootClock()
        self._generation = 0
        self.is_stopped = True
        self._is_joining = False
        self._call: Any = None

    def start(self) -> None:
        """Join, and go on joining."""
        self.is_stopped = False
        self._tick()

    def _tick(self) -> None:
        if self.is_stopped:
            return
        self._call = self._reactor.callLater(JOIN_INTERVAL_MS / 1_000, self._tick)
        run_in_background(self.join())

    async def join(self) -> None:
        """Make one join call and hand on what it says; the call's start is the proof's time."""
        if self._is_joining or self.is_stopped:
            return
        self._is_joining = True
        asked_at = self._clock.now()
        try:
            membership = await self._store.join(self._member, self._generation, MEMBERSHIP_TTL_MS)
        except StoreUnavailableError as error:
            self._contact.note_lost(str(error))
            return
        finally:
            self._is_joining = False
        self._contact.note_answer()
        if self.is_stopped:
            return
        is_settled = self._on_membership(membership, asked_at)
        if is_settled:
            self._generation = membership.generation

    def stop(self) -> None:
        """Join no more."""
        self.is_stopped = True
        if self._call is not None and self._call.active():
            self._call.cancel()

    async def leave(self) -> None:
        """Leave the group, after a join that is under way, which would undo it."""
        while self._is_joining:
            await sleep(self._reactor, LEAVE_POLL_INTERVAL_MS)
        try:
            await self._store.leave(self._member)
        except StoreUnavailableError as error:
            _LOGGER.warning("leave failed", extra={"error": str(error)})


class OwnersTask:
    """Knows which host owns which cell."""

    def __init__(self, reactor: Any, store: Store, contact: StoreContact) -> None:
        self._reactor = reactor
        self._store = store
        self._contact = contact
        self._clock = BootClock()
        self._owners: dict[int, str] = {}
        self._members: dict[int, Member] = {}
        self._read_at = 0
        self._is_reading = False

    def start(self) -> None:
        """Read, and go on reading."""
        self._reactor.callLater(OWNERS_READ_INTERVAL_MS / 1_000, self.start)
        self.refresh()

    def refresh(self) -> None:
        """Read now, unless a reading is under way or very recent."""
        now = self._clock.now()
        if self._is_reading or now - self._read_at < MIN_OWNERS_READ_INTERVAL_MS:
            return
        self._is_reading = True
        self._read_at = now
        run_in_background(self._read())

    async def _read(self) -> None:
        try:
            owners = await self._store.read_owners()
        except StoreUnavailableError as error:
            _LOGGER.debug("owners not read: %s", error)
            self._contact.note_lost(str(error))
            return
        finally:
            self._is_reading = False
        self._contact.note_answer()
        if owners == self._owners:
            return
        _LOGGER.info("owners changed", extra={"owners": {str(c): m for c, m in owners.items()}})
        self._owners = owners
        members = {cell: parse_member(name) for cell, name in owners.items()}
        self._members = {cell: member for cell, member in members.items() if member is not None}

    def find(self, cell: int) -> str | None:
        """Return the peer address of the owner of `cell`, or None."""
        member = self._members.get(cell)
        return None if member is None else member.address

    def list_candidates(self) -> list[Candidate]:
        """Return the members that hold something."""
        return [member.candidate for member in set(self._members.values())]


@dataclass(frozen=True, slots=True)
class Member:
    """What the name under which a process joins says of it.

    Attributes:
        candidate: The host and its processor.
        address: `ip:port` for other hosts.
        life: Number that tells this process from earlier ones of the host.
    """

    candidate: Candidate
    address: str
    life: int

    def to_name(self) -> str:
        """Return the name."""
        return f"{self.candidate.host}|{self.address}|{self.life:x}|{self.candidate.power}"


def parse_member(name: str) -> Member | None:
    """Return what a member's name says, or None where it is not one."""
    parts = name.split("|")
    try:
        host, address, life, power = parts
        return Member(Candidate(int(power), host), address, int(life, 16))
    except ValueError:
        return None
