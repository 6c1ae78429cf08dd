"""Makes this host join or leave the group of cell owners as `Candidacy` decides."""

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
    """Probes the owner of the first cell, and applies the decisions on this host's membership.

    Leaving is left to `leave_group`, which hands over the owned cells first. `owns_cell` returns
    whether there are any.
    """

    def __init__(
        self,
        reactor: Any,
        own: Candidate,
        owners: OwnersTask,
        membership: MembershipTask,
        contact: StoreContact,
        router: Router,
        leave_group: Callable[[], Coroutine[Any, Any, None]],
        owns_cell: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._owners = owners
        self._membership = membership
        self._contact = contact
        self._router = router
        self._leave_group = leave_group
        self._owns_cell = owns_cell
        self._clock = BootClock()
        self._candidacy = Candidacy(own, self._clock.now())
        self._probe_at = 0
        self._is_probing = False
        self._is_leaving = False
        self._is_stopped = False
        self._timer: Any = None

    def start(self) -> None:
        """Probe and decide now, and repeat this at an interval."""
        if self._is_stopped:
            return
        self._timer = self._reactor.callLater(CANDIDACY_CHECK_INTERVAL_MS / 1_000, self.start)
        if not self._is_probing and self._clock.now() >= self._probe_at:
            self._probe_at = self._clock.now() + OWNER_PROBE_INTERVAL_MS
            run_in_background(self._probe_owner())
        self._decide()

    async def _probe_owner(self) -> None:
        """Probe the owner.

        Without the store no owner can confirm its ownership, so that a failed probe does not show
        that the owner is gone.
        """
        self._is_probing = True
        try:
            has_answered = await self._router.probe_owner(0)
        finally:
            self._is_probing = False
        if has_answered or self._contact.is_lost():
            self._candidacy.handle_owner_answer(self._clock.now())
        else:
            self._probe_at = 0
            self._owners.refresh()

    def _decide(self) -> None:
        if self._is_leaving:
            return
        is_member = not self._membership.is_stopped
        members = self._owners.list_candidates()
        should_be_member = self._candidacy.should_be_member(
            members, is_member, self._clock.now(), self._owns_cell()
        )
        if should_be_member == is_member:
            return
        extra = {
            "members": [member.host for member in members],
            "owner_is_silent": self._candidacy.is_owner_unresponsive(self._clock.now()),
        }
        if should_be_member:
            _LOGGER.info("host joins the group of cell owners", extra=extra)
            self._membership.start()
        else:
            _LOGGER.info("host leaves the group of cell owners", extra=extra)
            run_in_background(self._leave())

    async def _leave(self) -> None:
        self._is_leaving = True
        try:
            await self._leave_group()
        finally:
            self._is_leaving = False

    def stop(self) -> None:
        """Stop probing and deciding."""
        self._is_stopped = True
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
