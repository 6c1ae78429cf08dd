"""Membership of this host in the group of cell owners, and the owner of each cell."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from quetzallock_core.cells.candidacy import Candidate
from quetzallock_core.cells.renewal import MembershipDuration

from ..helpers import run_in_background, sleep
from .clocks import BootClock
from .const import (
    JOIN_INTERVAL_MS,
    LATE_JOIN_MS,
    LEAVE_POLL_INTERVAL_MS,
    MIN_OWNERS_READ_INTERVAL_MS,
    OWNERS_READ_INTERVAL_MS,
    STORE_RETRY_PAUSE_MS,
    STORE_UNAVAILABLE_AFTER_MS,
)
from .ports import Membership, Store, StoreRefusedError, StoreUnavailableError

_LOGGER = logging.getLogger(__name__)


class StoreContact:
    """Tracks whether the store answers the periodic calls of this host."""

    def __init__(self) -> None:
        self._clock = BootClock()
        self._lost_at: int | None = None

    def record_answer(self) -> None:
        """Record that the store has answered."""
        if self._lost_at is not None:
            _LOGGER.info(
                "store is back",
                extra={"dependency": "store", "after_ms": self._clock.now() - self._lost_at},
            )
        self._lost_at = None

    def record_failure(self, error: str) -> None:
        """Record that a call to the store has failed."""
        if self._lost_at is None:
            self._lost_at = self._clock.now()
            _LOGGER.warning("store is lost", extra={"dependency": "store", "error": error})

    def is_lost(self) -> bool:
        """Return whether the store has not answered for `STORE_UNAVAILABLE_AFTER_MS`."""
        return (
            self._lost_at is not None
            and self._clock.now() - self._lost_at >= STORE_UNAVAILABLE_AFTER_MS
        )


class MembershipTask:
    """Renews the membership by join calls while this host is to be a member.

    `on_membership` gets each answer with the time at which its call was sent and whether the
    membership may have ended before, and returns whether the answer was fully applied. Until then
    the calls carry the previous generation.
    """

    def __init__(
        self,
        reactor: Any,
        store: Store,
        member: str,
        contact: StoreContact,
        on_membership: Callable[[Membership, int, bool], bool],
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
        self._sent_at = 0
        self._due_at = 0
        self._ends_at = 0
        self._duration = MembershipDuration()
        self._timer: Any = None

    def start(self) -> None:
        """Join now, and repeat this at an interval."""
        self.is_stopped = False
        self._sent_at = self._due_at = self._clock.now()
        self._tick()

    def _tick(self) -> None:
        if self.is_stopped:
            return
        now = self._clock.now()
        self._duration.record_delay(now - self._due_at)
        self._due_at = now + JOIN_INTERVAL_MS
        self._timer = self._reactor.callLater(JOIN_INTERVAL_MS / 1_000, self._tick)
        run_in_background(self.join())

    async def join(self) -> None:
        """Make one join call and pass its answer on.

        The answer confirms the ownership as of the time at which the call was sent.
        """
        if self._is_joining or self.is_stopped:
            return
        self._is_joining = True
        sent_at = self._clock.now()
        self._log_late_join(sent_at - self._sent_at)
        self._sent_at = sent_at
        may_have_ended = sent_at > self._ends_at
        ttl_ms = self._duration.choose_ttl_ms()
        self._ends_at = min(self._ends_at, sent_at + ttl_ms)
        try:
            membership = await self._store.join(self._member, self._generation, ttl_ms)
        except StoreUnavailableError as error:
            self._contact.record_failure(str(error))
            return
        finally:
            self._is_joining = False
        self._contact.record_answer()
        if self.is_stopped:
            return
        self._ends_at = sent_at + ttl_ms
        is_applied = self._on_membership(membership, sent_at, may_have_ended)
        if is_applied:
            self._generation = membership.generation

    async def join_again(self) -> None:
        """Make a join call that is sent from now on, after the one in flight."""
        while self._is_joining:
            await sleep(self._reactor, LEAVE_POLL_INTERVAL_MS)
        await self.join()

    def hold_for_loading(self) -> None:
        """Renew the membership now for as long as loading a cell may take."""
        self._duration.expect_long_work()
        run_in_background(self.join())

    def handle_loaded(self, took_ms: int) -> None:
        """Record how long loading a cell took; the next renewal is no longer for a loading host."""
        self._duration.handle_work_done(took_ms)

    def _log_late_join(self, gap_ms: int) -> None:
        if gap_ms >= LATE_JOIN_MS:
            _LOGGER.warning("membership is renewed late", extra={"after_ms": gap_ms})

    def stop(self) -> None:
        """Stop joining."""
        self.is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    async def leave(self) -> None:
        """Leave the group; waits for a join call in flight, which would undo it."""
        while self._is_joining:
            await sleep(self._reactor, LEAVE_POLL_INTERVAL_MS)
        try:
            await self._store.leave(self._member)
        except StoreUnavailableError as error:
            _LOGGER.warning("leaving the group failed", extra={"error": str(error)})


class OwnersTask:
    """Reads and caches which member owns which cell."""

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
        """Read now, and repeat this at an interval."""
        self._reactor.callLater(OWNERS_READ_INTERVAL_MS / 1_000, self.start)
        self.refresh()

    def refresh(self) -> None:
        """Read now, unless a read is in flight or was started within the minimum interval."""
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
            _LOGGER.debug("cannot read the owners: %s", error)
            self._contact.record_failure(str(error))
            if not isinstance(error, StoreRefusedError):
                self._reactor.callLater(STORE_RETRY_PAUSE_MS / 1_000, self.refresh)
            return
        finally:
            self._is_reading = False
        self._contact.record_answer()
        if owners == self._owners:
            return
        _LOGGER.info("owners changed", extra={"owners": {str(c): m for c, m in owners.items()}})
        self._owners = owners
        members = {cell: parse_member_name(name) for cell, name in owners.items()}
        self._members = {cell: member for cell, member in members.items() if member is not None}

    def find_address(self, cell: int) -> str | None:
        """Return the peer address of the owner of `cell`, or None."""
        member = self._members.get(cell)
        return None if member is None else member.address

    def list_addresses(self) -> list[str]:
        """Return the peer addresses of the members that own something."""
        return [member.address for member in set(self._members.values())]

    def list_candidates(self) -> list[Candidate]:
        """Return the members that own a cell."""
        return [member.candidate for member in set(self._members.values())]


@dataclass(frozen=True, slots=True)
class Member:
    """A process as a member of the group; its name there encodes these fields.

    Attributes:
        candidate: The host and its processor.
        address: `ip:port` for other hosts.
        incarnation: Random number that distinguishes this process from earlier ones of the host.
    """

    candidate: Candidate
    address: str
    incarnation: int

    def format_name(self) -> str:
        """Return the name under which the process joins."""
        return f"{self.candidate.host}|{self.address}|{self.incarnation:x}|{self.candidate.power}"


def parse_member_name(name: str) -> Member | None:
    """Return the member that a name encodes, or None for another name."""
    parts = name.split("|")
    try:
        host, address, incarnation, power = parts
        return Member(Candidate(int(power), host), address, int(incarnation, 16))
    except ValueError:
        return None
