"""Makes this host a member of the group of owners, or lets it leave, as candidacy decides."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any

from quetzallock_core.cells.candidacy import Candidacy, Candidate

from ..helpers import run_in_background
from .clocks import BootClock
from .const import CANDIDACY_CHECK_INTERVAL_MS, OWNER_PROBE_INTERVAL_MS
from .membership import MembershipTask, OwnersTask, StoreContact
from .router import Router

_LOGGER = logging.getLogger(__name__)


class CandidacyTask:
    """The task that watches the owner of the first cell and the members of the group."""

    def __init__(
        self,
        reactor: Any,
        own: Candidate,
        owners: OwnersTask,
        members: MembershipTask,
        contact: StoreContact,
        router: Router,
        withdraw: Callable[[], Coroutine[Any, Any, None]],
    ) -> None:
        self._reactor = reactor
        self._owners = owners
        self._members = members
        self._contact = contact
        self._router = router
        self._withdraw = withdraw
        self._clock = BootClock()
        self._candidacy = Candidacy(own, self._clock.now())
        self._listen_at = 0
        self._is_asking = False
        self._is_withdrawing = False
        self._is_stopped = False
        self._call: Any = None

    def start(self) -> None:
        """Watch and decide, again and again."""
        if self._is_stopped:
            return
        self._call = self._reactor.callLater(CANDIDACY_CHECK_INTERVAL_MS / 1_000, self.start)
        if not self._is_asking and self._clock.now() >= self._listen_at:
            self._listen_at = self._clock.now() + OWNER_PROBE_INTERVAL_MS
            run_in_background(self._listen())
        self._decide()

    async def _listen(self) -> None:
        """Ask the owner for a sign of life; without the store its silence says nothing."""
        self._is_asking = True
        try:
            is_heard = await self._router.probe_owner(0)
        finally:
            self._is_asking = False
        if is_heard or self._contact.is_lost():
            self._candidacy.handle_owner_answer(self._clock.now())
        else:
            self._listen_at = 0
            self._owners.refresh()

    def _decide(self) -> None:
        if self._is_withdrawing:
            return
        is_member = not self._members.is_stopped
        members = self._owners.list_candidates()
        is_wanted = self._candidacy.should_be_member(members, is_member, self._clock.now())
        if is_wanted == is_member:
            return
        extra = {
            "members": [member.host for member in members],
            "owner_is_silent": self._candidacy.is_owner_unresponsive(self._clock.now()),
        }
        if is_wanted:
            _LOGGER.info("host stands for ownership", extra=extra)
            self._members.start()
        else:
            _LOGGER.info("host stands back", extra=extra)
            run_in_background(self._leave())

    async def _leave(self) -> None:
        self._is_withdrawing = True
        try:
            await self._withdraw()
        finally:
            self._is_withdrawing = False

    def stop(self) -> None:
        """Decide no more."""
        self._is_stopped = True
        if self._call is not None and self._call.active():
            self._call.cancel()
