"""One entry host that owns cells and takes callers to them."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import SystemRandom
from typing import Any, Final

from twisted.internet.defer import Deferred

from quetzallock_core.cells import choose_worker_cell
from quetzallock_core.cells.candidacy import Candidate
from quetzallock_core.cells.models import Bounds, WorkerEntry

from ..helpers import run_in_background
from ..telemetry.logs import BufferedLogHandler
from ..telemetry.metrics_page import MetricsPage
from .candidacy import CandidacyTask
from .clocks import BootClock
from .const import INCARNATION_BITS, MEMBERSHIP_TTL_MS
from .followers import ConfigurationFollower, EntriesFollower
from .front import FrontState, ReadRequest, make_caller_factory, make_page_factory
from .membership import Member, MembershipTask, OwnersTask, StoreContact
from .messages import OwnerAnswer, OwnerRequest
from .owner import CellOwner
from .peers import Peers, make_request_factory
from .ports import Configuration, Membership, RequestLimits, Store, Workers
from .router import CallerAnswer, DecodeJob, Router

_LOGGER = logging.getLogger(__name__)
_TURN_AWAY_MS: Final = 3_000
_POLL_MS: Final = 50
_EXIT_MARGIN_MS: Final = 800


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Where a host listens, and the bounds it keeps.

    Attributes:
        host: Its name.
        front: `ip:port` for callers.
        ready: `ip:port` for readiness checks.
        peers: `ip:port` for other hosts.
        metrics: `ip:port` for metrics, and their path.
        grace_ms: Time between SIGTERM and SIGKILL.
        cells: Number of cells of the deployment.
        power: Processor that the host has, in thousandths of a core.
    """

    host: str
    front: str
    ready: str
    peers: str
    metrics: str
    metrics_path: str
    grace_ms: int
    cells: int
    bounds: Bounds
    power: int


@dataclass(frozen=True, slots=True)
class Adapters:
    """The platform's manner of speaking, behind the project's own words."""

    store: Store
    workers: Workers
    decode_job: DecodeJob
    read_request: ReadRequest
    encode_answer: Callable[[CallerAnswer], bytes]
    ready_path: str


class HostService:
    """The composition of an entry host's tasks."""

    def __init__(
        self,
        reactor: Any,
        settings: HostSettings,
        adapters: Adapters,
        counters: Counter[str],
        lines: BufferedLogHandler,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._adapters = adapters
        self._counters = counters
        self._lines = lines
        self._clock = BootClock()
        self._owned: dict[int, CellOwner] = {}
        self._lost_epochs: dict[int, int] = {}
        self._entries: dict[str, WorkerEntry] = {}
        self._proved_at = 0
        self._generation = 0
        self._is_draining = False
        self._page = MetricsPage(counters)
        store = adapters.store
        own = Candidate(settings.power, settings.host)
        member = Member(own, settings.peers, SystemRandom().getrandbits(INCARNATION_BITS))
        contact = StoreContact()
        self._members = MembershipTask(
            reactor, store, member.to_name(), contact, self._note_membership
        )
        self._owners = OwnersTask(reactor, store, contact)
        self._configuration = ConfigurationFollower(reactor, store, self._note_configuration)
        self._follower = EntriesFollower(reactor, store, self._note_entries)
        self._peers = Peers(reactor, counters)
        self.router = Router(
            reactor,
            settings.cells,
            settings.peers,
            self._owners,
            self._peers,
            self._ask,
            adapters.decode_job,
            counters,
            self._page.observe,
            contact.is_lost,
        )
        self._standing = CandidacyTask(
            reactor, own, self._owners, self._members, contact, self.router, self._withdraw
        )
        self._front = FrontState(
            self.router, adapters.encode_answer, adapters.read_request, RequestLimits()
        )
        self._ports: list[Any] = []
        self._drained: Deferred[None] = Deferred()
        self._drain_began = 0

    def start(self) -> None:
        """Listen and begin to act."""
        settings = self._settings
        ready_pages = {self._adapters.ready_path.encode(): self._tell_ready}
        metrics_pages = {settings.metrics_path.encode(): self._page.render}
        self._listen(settings.peers, make_request_factory(self._ask))
        self._listen(settings.front, make_caller_factory(self._front))
        self._listen(settings.ready, make_page_factory(ready_pages))
        self._listen(settings.metrics, make_page_factory(metrics_pages))
        self._owners.start()
        self._standing.start()
        self._configuration.start()
        self._reactor.addSystemEventTrigger("before", "shutdown", self.drain)
        _LOGGER.info("host is up", extra={"cells": settings.cells})

    def handle_reload(self, settings: HostSettings) -> None:
        """The settings file has changed; addresses stay as they are until the next start."""
        _LOGGER.info("settings are reloaded", extra={"changed": settings != self._settings})

    def _listen(self, address: str, factory: Any) -> None:
        ip, _, port = address.rpartition(":")
        self._ports.append(self._reactor.listenTCP(int(port), factory, backlog=512, interface=ip))

    def _tell_ready(self) -> tuple[int, bytes]:
        is_ready = self.router.configuration is not None and not self._is_draining
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _note_configuration(self, configuration: Configuration) -> None:
        self.router.configuration = configuration
        self._front.limits = configuration.limits

    def _note_membership(self, membership: Membership, asked_at: int) -> bool:
        """Take over and give up cells; return whether all that was lost has been given up."""
        gap_ms = asked_at - self._proved_at
        is_gap = membership.generation != self._generation and gap_ms > MEMBERSHIP_TTL_MS
        self._proved_at = asked_at
        self._generation = membership.generation
        wanted = {cell for cell in membership.cells if cell < self._settings.cells}
        for cell in list(self._owned):
            owner = self._owned[cell]
            if cell in wanted and not is_gap:
                owner.proved_at = asked_at
            elif cell in wanted:
                self._drop(owner, "membership had lapsed")
            else:
                run_in_background(self._hand_over(owner))
        for cell in sorted(wanted - set(self._owned)):
            if membership.generation > self._lost_epochs.get(cell, -1):
                self._take_over(cell, membership.generation, asked_at)
        self._follow_entries()
        return all(cell in wanted for cell in self._owned)

    def _take_over(self, cell: int, epoch: int, asked_at: int) -> None:
        _LOGGER.info("cell is taken over", extra={"cell": cell, "epoch": epoch})
        self._counters["cells.taken_over"] += 1
        owner = CellOwner(
            self._reactor,
            cell,
            epoch,
            self._settings.bounds,
            self._adapters.store,
            self._adapters.workers,
            self._note_lost,
            self._counters,
            self._page.observe,
        )
        owner.proved_at = asked_at
        self._owned[cell] = owner
        run_in_background(self._load(owner))

    async def _load(self, owner: CellOwner) -> None:
        await owner.take_over()
        owner.handle_entries(self._select_entries(owner.number))

    async def _hand_over(self, owner: CellOwner) -> None:
        """Write what was decided, then let the cell go."""
        if owner.is_handing_over:
            return
        _LOGGER.info("cell is handed over", extra={"cell": owner.number})
        await owner.hand_over()
        self._drop(owner, "handed over")
        if not self._members.is_stopped:
            await self._members.join()

    def _drop(self, owner: CellOwner, reason: str) -> None:
        owner.stop()
        if self._owned.get(owner.number) is owner:
            del self._owned[owner.number]
        _LOGGER.info("cell is given up", extra={"cell": owner.number, "reason": reason})

    def _note_lost(self, cell: int) -> None:
        owner = self._owned.pop(cell, None)
        if owner is not None:
            self._lost_epochs[cell] = owner.epoch

    def _follow_entries(self) -> None:
        if self._owned:
            self._follower.start()
        else:
            self._follower.stop()

    def _note_entries(self, entries: dict[str, WorkerEntry]) -> None:
        self._entries = entries
        for owner in list(self._owned.values()):
            owner.handle_entries(self._select_entries(owner.number))

    def _select_entries(self, cell: int) -> dict[str, WorkerEntry]:
        cells = self._settings.cells
        return {
            worker: entry
            for worker, entry in self._entries.items()
            if choose_worker_cell(entry.rack, cells) == cell
        }

    def _ask(self, ask: OwnerRequest, reply: Callable[[OwnerAnswer], None]) -> None:
        owner = self._owned.get(ask.cell)
        if owner is None or owner.is_handing_over:
            reply(OwnerAnswer(ask.ticket, "not_owner"))
            return
        owner.ask(ask, reply)

    def drain(self) -> "Deferred[None]":
        """Stop in an orderly way; the deferred fires when nothing is in flight any more."""
        _LOGGER.info("host is draining", extra={"cells": sorted(self._owned)})
        self._is_draining = True
        self._front.is_draining = True
        self._drain_began = self._clock.now()
        self._standing.stop()
        run_in_background(self._withdraw())
        self._poll_drain()
        return self._drained

    async def _withdraw(self) -> None:
        """Hand over what this host owns and leave the group."""
        self._members.stop()
        for owner in list(self._owned.values()):
            await self._hand_over(owner)
        self._follow_entries()
        await self._members.leave()

    def _poll_drain(self) -> None:
        elapsed = self._clock.now() - self._drain_began
        is_quiet = not self._front.in_flight and not self._owned
        is_late = elapsed >= self._settings.grace_ms - _EXIT_MARGIN_MS
        if (elapsed >= _TURN_AWAY_MS and is_quiet) or is_late:
            _LOGGER.info("host is stopped", extra={"in_flight": self._front.in_flight})
            self._lines.write_buffered_lines()
            self._drained.callback(None)
            return
        self._reactor.callLater(_POLL_MS / 1_000, self._poll_drain)
