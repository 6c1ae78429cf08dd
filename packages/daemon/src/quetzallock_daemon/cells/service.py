"""An entry host: owns cells, and routes callers' requests to the owners of cells."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from random import SystemRandom
from typing import Any

from twisted.internet.defer import Deferred

from quetzallock_core.cells import choose_worker_cell
from quetzallock_core.cells.candidacy import Candidate
from quetzallock_core.cells.models import Bounds, WorkerEntry

from ..helpers import run_in_background
from ..telemetry.logs import BufferedLogHandler
from ..telemetry.metrics_page import MetricsPage
from .caller_channels import CallerChannels
from .candidacy import CandidacyTask
from .clocks import BootClock
from .configuration_follower import ConfigurationFollower
from .const import DEFAULT_LOSS_SLACK_MS, INCARNATION_BITS
from .drain import Drain, derive_drain_times
from .drain_task import DrainTask
from .followers import EntriesFollower
from .front import FrontState, ReadRequest, make_caller_factory, make_page_factory
from .membership import Member, MembershipTask, OwnersTask, StoreContact
from .messages import (
    AssignmentNotice,
    OwnerAnswer,
    OwnerRequest,
    PeerRequest,
    ProcessProbe,
    SubmitJobRequest,
)
from .open_requests import OpenRequests
from .owner import CellOwner
from .peers import Peers, make_request_factory
from .ports import Configuration, Membership, RequestLimits, Store, Workers
from .previous_owner import PreviousOwnerSearch, make_owner_record
from .read_limits import choose_read_limits
from .router import CallerAnswer, DecodeJob, Router
from .submission_gate import SubmissionGate

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HostSettings:
    """Settings of a host: its addresses, and the bounds it keeps.

    Attributes:
        host: Its name.
        front: `ip:port` for callers.
        ready: `ip:port` for readiness checks.
        peers: `ip:port` for other hosts.
        metrics: `ip:port` of the metrics page.
        metrics_path: Path of the metrics page.
        grace_ms: Time between SIGTERM and SIGKILL.
        has_boot_fences: Fencing tokens rise with the boots of workers, as all hosts must know.
        loss_slack_ms: Time after a request's last byte within which its connection may end without
            an answer.
        cells: Number of cells of the deployment.
        bounds: Bounds of the cells.
        power: Processor capacity of the host in thousandths of a core.
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
    loss_slack_ms: int = DEFAULT_LOSS_SLACK_MS
    has_boot_fences: bool = False


@dataclass(frozen=True, slots=True)
class Adapters:
    """Implementations of the ports to the platform, and its formats of requests and answers."""

    store: Store
    workers: Workers
    decode_job: DecodeJob
    read_request: ReadRequest
    encode_answer: Callable[[CallerAnswer], bytes]
    ready_path: str


class HostService:
    """Composes the tasks of an entry host."""

    def __init__(
        self,
        reactor: Any,
        settings: HostSettings,
        adapters: Adapters,
        counters: Counter[str],
        log_handler: BufferedLogHandler,
    ) -> None:
        self._reactor = reactor
        self._settings = settings
        self._adapters = adapters
        self._counters = counters
        self._log_handler = log_handler
        self._clock = BootClock()
        drain_times = derive_drain_times(settings.grace_ms, settings.loss_slack_ms)
        self._drain = Drain(self._clock, drain_times)
        self._requests = OpenRequests(self._clock, self._drain, counters)
        self._channels = CallerChannels(
            reactor, self._clock, self._drain, settings.loss_slack_ms, counters
        )
        self._drain_task = DrainTask(
            reactor, self._drain, self._requests, self._channels, lambda: bool(self._owned)
        )
        self._owned: dict[int, CellOwner] = {}
        self._lost_epochs: dict[int, int] = {}
        self._entries: dict[str, WorkerEntry] = {}
        self._generation = 0
        self._metrics_page = MetricsPage(counters)
        store = adapters.store
        own = Candidate(settings.power, settings.host)
        member = Member(own, settings.peers, SystemRandom().getrandbits(INCARNATION_BITS))
        self._member = member
        self._listening_since = 0
        contact = StoreContact()
        self._membership = MembershipTask(
            reactor, store, member.format_name(), contact, self._handle_membership
        )
        self._owners = OwnersTask(reactor, store, contact)
        self._evacuated: frozenset[str] = frozenset()
        self._evacuations_confirmed_at: int | None = None
        self._configuration_follower = ConfigurationFollower(
            reactor,
            store,
            self._handle_configuration,
            self._handle_evacuations,
            choose_read_limits(settings.bounds),
            counters,
        )
        self._metrics_page.show_configuration(
            lambda: self._configuration_follower.view, self._clock.now
        )
        self._submission_gate = SubmissionGate(
            self._clock,
            self._configuration_follower.refresh,
            settings.bounds.config_apply_ms // 2,
            self._is_configuration_confirmed_since,
        )
        self._entries_follower = EntriesFollower(reactor, store, self._handle_entries)
        self._peers = Peers(reactor, counters)
        self.router = Router(
            reactor,
            settings.cells,
            settings.peers,
            self._owners,
            self._peers,
            self._handle_owner_request,
            adapters.decode_job,
            counters,
            self._metrics_page.observe,
            contact.is_lost,
            self._is_configuration_current,
            self._drain,
        )
        self._candidacy = CandidacyTask(
            reactor,
            own,
            self._owners,
            self._membership,
            contact,
            self.router,
            self._leave_group,
            lambda: bool(self._owned),
        )
        self._front = FrontState(
            self.router,
            adapters.encode_answer,
            adapters.read_request,
            RequestLimits(),
            self._requests,
            self._channels,
            self._drain,
            reactor,
        )
        self._front_port: Any = None

    def start(self) -> None:
        """Start listening, and start the tasks."""
        settings = self._settings
        ready_pages = {self._adapters.ready_path.encode(): self._render_readiness}
        metrics_pages = {settings.metrics_path.encode(): self._metrics_page.render}
        self._listen(settings.peers, make_request_factory(self._handle_peer_request))
        self._listening_since = self._clock.now()
        self._front_port = self._listen(settings.front, make_caller_factory(self._front))
        self._listen(settings.ready, make_page_factory(ready_pages))
        self._listen(settings.metrics, make_page_factory(metrics_pages))
        self._owners.start()
        self._candidacy.start()
        self._configuration_follower.start()
        self._reactor.addSystemEventTrigger("before", "shutdown", self.drain)
        _LOGGER.info("host is up", extra={"cells": settings.cells})

    def handle_reload(self, settings: HostSettings) -> None:
        """Log a reload of the settings file; changes take effect when the process restarts."""
        _LOGGER.info("settings are reloaded", extra={"changed": settings != self._settings})

    def _listen(self, address: str, factory: Any) -> Any:
        ip, _, port = address.rpartition(":")
        return self._reactor.listenTCP(int(port), factory, backlog=512, interface=ip)

    def _render_readiness(self) -> tuple[int, bytes]:
        is_ready = self.router.configuration is not None and not self._drain.has_begun
        return (200, b"ready\n") if is_ready else (503, b"not ready\n")

    def _is_configuration_current(self) -> bool:
        """Return whether the configuration was confirmed within its bound."""
        age_ms = self._configuration_follower.view.compute_age_ms(self._clock.now())
        return age_ms is not None and age_ms <= self._settings.bounds.config_apply_ms

    def _is_configuration_confirmed_since(self, at: int) -> bool:
        """Return whether all versions that were in the store at `at` are known."""
        confirmed_at = self._configuration_follower.view.confirmed_at
        return confirmed_at is not None and confirmed_at >= at

    def _handle_configuration(self, configuration: Configuration) -> None:
        self.router.configuration = configuration
        self._submission_gate.handle_applied(configuration)
        self._front.limits = configuration.limits

    def _handle_evacuations(self, data_centres: frozenset[str], confirmed_at: int) -> None:
        """Pass the evacuated data centres on to the owned cells, and keep them for later ones."""
        self._evacuated = data_centres
        self._evacuations_confirmed_at = confirmed_at
        for owner in list(self._owned.values()):
            owner.handle_evacuations(data_centres, confirmed_at)

    def _handle_membership(
        self, membership: Membership, sent_at: int, may_have_ended: bool
    ) -> bool:
        """Take over newly assigned cells, and give up those no longer assigned.

        Returns whether all owned cells are assigned to this host. A cell being handed over still
        counts as owned. If the membership had lapsed, the cells are given up and loaded again, as
        another host may have owned them in between.
        """
        has_lapsed = membership.generation != self._generation and may_have_ended
        self._generation = membership.generation
        assigned = {cell for cell in membership.cells if cell < self._settings.cells}
        for cell in list(self._owned):
            owner = self._owned[cell]
            if cell in assigned and not has_lapsed:
                owner.ownership_confirmed_at = sent_at
            elif cell in assigned:
                self._stop_owner(owner, "membership had lapsed")
            else:
                run_in_background(self._hand_over(owner, "assigned to another host"))
        for cell in sorted(assigned - set(self._owned)):
            if membership.generation > self._lost_epochs.get(cell, -1):
                self._take_over(cell, membership.generation, sent_at)
        self._update_entries_follower()
        return all(cell in assigned for cell in self._owned)

    def _take_over(self, cell: int, epoch: int, sent_at: int) -> None:
        _LOGGER.info("cell is taken over", extra={"cell": cell, "epoch": epoch})
        self._counters["cells.taken_over"] += 1
        owner = CellOwner(
            self._reactor,
            cell,
            epoch,
            self._settings.bounds,
            self._adapters.store,
            self._adapters.workers,
            self._handle_cell_lost,
            self._counters,
            self._metrics_page.observe,
        )
        owner.ownership_confirmed_at = sent_at
        owner.cell.batches.unrecorded_owner = make_owner_record(self._member, epoch)
        owner.cell.batches.must_raise_fences = self._settings.has_boot_fences
        if self._evacuations_confirmed_at is not None:
            owner.handle_evacuations(self._evacuated, self._evacuations_confirmed_at)
        self._owned[cell] = owner
        run_in_background(self._load(owner))

    async def _load(self, owner: CellOwner) -> None:
        started_at = self._clock.now()
        self._membership.hold_for_loading()
        try:
            await owner.take_over()
        finally:
            self._membership.handle_loaded(self._clock.now() - started_at)
        run_in_background(self._membership.join())
        self._submission_gate.handle_loaded(owner.find_newest_version())
        owner.handle_entries(self._select_entries(owner.number))
        if owner.is_active:
            search = PreviousOwnerSearch(
                self._member, self._listening_since, self.router.probe_process
            )
            run_in_background(search.run(owner))

    async def _hand_over(self, owner: CellOwner, reason: str) -> None:
        """Write the last records of a cell, then give it up."""
        if owner.is_handing_over:
            return
        _LOGGER.info("cell is handed over", extra={"cell": owner.number, "reason": reason})
        await owner.hand_over()
        self._stop_owner(owner, "handed over")
        if not self._membership.is_stopped:
            await self._membership.join()
            self.router.notify_members()

    def _stop_owner(self, owner: CellOwner, reason: str) -> None:
        owner.stop()
        if self._owned.get(owner.number) is owner:
            del self._owned[owner.number]
        _LOGGER.info("cell is given up", extra={"cell": owner.number, "reason": reason})

    def _handle_cell_lost(self, cell: int) -> None:
        """Drop a lost cell; it is taken over again only with a newer epoch."""
        owner = self._owned.pop(cell, None)
        if owner is not None:
            self._lost_epochs[cell] = owner.epoch

    def _update_entries_follower(self) -> None:
        if self._owned:
            self._entries_follower.start()
        else:
            self._entries_follower.stop()

    def _handle_entries(self, entries: dict[str, WorkerEntry]) -> None:
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

    def _handle_peer_request(
        self, request: PeerRequest, reply: Callable[[OwnerAnswer], None]
    ) -> None:
        if isinstance(request, AssignmentNotice):
            run_in_background(self._membership.join_again())
            reply(OwnerAnswer(request.ticket, "noted"))
            return
        if isinstance(request, ProcessProbe):
            up_ms = self._clock.now() - self._listening_since
            reply(OwnerAnswer(request.ticket, "process", up_ms, self._member.format_name()))
            return
        self._handle_owner_request(request, reply)

    def _handle_owner_request(
        self, request: OwnerRequest, reply: Callable[[OwnerAnswer], None]
    ) -> None:
        owner = self._owned.get(request.cell)
        if owner is None or owner.is_handing_over:
            reply(OwnerAnswer(request.ticket, "not_owner"))
            return
        refusal = self._find_refusal(owner, request)
        if refusal:
            self._counters[f"submissions.{refusal}"] += 1
            reply(OwnerAnswer(request.ticket, refusal))
            return
        owner.handle_request(request, reply)

    def _find_refusal(self, owner: CellOwner, request: OwnerRequest) -> str:
        """Return why the version of a submission forbids to accept it, or an empty string.

        A job that is known stays accepted.
        """
        if not isinstance(request, SubmitJobRequest) or not owner.is_active:
            return ""
        if owner.has_job(request.spec.job):
            return ""
        refusal = self._submission_gate.find_refusal(request.policy)
        # The queue may have been added again since the last read.
        is_unsure = refusal == "removed" and not self._is_configuration_current()
        return "unproved" if is_unsure else refusal

    def drain(self) -> "Deferred[None]":
        """Report as not ready, hand over the cells, leave the group and end callers' connections.

        The deferred fires when the host may exit.
        """
        _LOGGER.info("host is draining", extra={"cells": sorted(self._owned)})
        drained = self._drain_task.run(self._front_port)
        self._candidacy.stop()
        run_in_background(self._leave_group())
        return drained.addCallback(lambda _: self._log_handler.write_buffered_lines())

    async def _leave_group(self) -> None:
        """Hand over the owned cells, then leave the group."""
        self._membership.stop()
        for owner in list(self._owned.values()):
            await self._hand_over(owner, "host leaves the group")
        self._update_entries_follower()
        await self._membership.leave()
        self.router.notify_members()
