"""Holds the leases of the workers in the racks that this host owns, and leases out their slots."""

import logging

from ..chart import load_chart
from ..core import Core
from ..effects import CallWorker, WorkerAnswered
from ..presets.models import PresetChanged
from ..presets.schema import BatchRules
from ..workers.models import ReleaseWorker, Resources, SyncWorker, WorkerState
from .attempts import Attempts
from .const import LEASE_CHART, PlacementSettings
from .leased import LeasedWorker, LeasedWorkers
from .models import RacksChanged, RequestSlots, SlotsLeased
from .racks import Racks
from .reporter import Reporter
from .sharing import RackSlotAllocator, SlotOffer

_LOGGER = logging.getLogger(__name__)
_CHART = load_chart(__package__, LEASE_CHART)


class Placer:
    """Leases the workers of the racks that this host owns and keeps their states in sync."""

    def __init__(
        self, core: Core, racks: Racks, reporter: Reporter, settings: PlacementSettings
    ) -> None:
        self._core = core
        self._racks = racks
        self._reporter = reporter
        self._settings = settings
        self._workers: LeasedWorkers = {}
        self._attempts = Attempts(core, settings, self._workers, reporter)
        self._allocators: dict[str, RackSlotAllocator] = {}
        self._rules = BatchRules()
        core.listen(PresetChanged, self._on_preset)
        core.listen(RacksChanged, self._on_racks)
        core.listen(WorkerAnswered, self._on_answered)
        core.listen(RequestSlots, self._on_request_slots)
        core.every_tick(self._tick)

    @property
    def leased_workers(self) -> tuple[LeasedWorker, ...]:
        """Workers whose lease this host holds or requests."""
        return tuple(self._workers.values())

    def _on_preset(self, event: PresetChanged, _source: str) -> None:
        self._rules = event.preset.batch
        for worker in self._workers.values():
            worker.commitment.backend_reserve = self._compute_backend_reserve(
                worker.commitment.capacity
            )

    def _on_racks(self, _event: RacksChanged, _source: str) -> None:
        me = self._core.identity.host
        owned_racks = {rack for rack in self._racks.names if self._racks.find_owner(rack) == me}
        for info in self._racks.workers.values():
            worker = self._workers.get(info.worker)
            if worker is not None:
                worker.info = info
            elif info.rack in owned_racks:
                lease_state = _CHART.next_state(_CHART.initial, "want")
                self._workers[info.worker] = LeasedWorker(info, lease_state)
        for worker in list(self._workers.values()):
            worker.is_draining = worker.info.rack not in owned_racks
            if worker.info.worker not in self._racks.workers:
                self._remove_worker(worker)

    def _remove_worker(self, worker: LeasedWorker) -> None:
        del self._workers[worker.info.worker]
        self._change_lease_state(worker, "drop")
        if worker.epoch:
            release = ReleaseWorker(worker.boot, worker.epoch)
            self._core.emit(CallWorker(worker.info.worker, release))

    def _change_lease_state(self, worker: LeasedWorker, event: str) -> None:
        before = worker.lease_state
        worker.lease_state = _CHART.next_state(before, event)
        if worker.lease_state == before:
            return
        self._core.counters[f"leases.{event}"] += 1
        _LOGGER.info("lease of worker %s: %s", worker.info.worker, worker.lease_state)

    def _tick(self, now: int) -> None:
        for worker in self.leased_workers:
            if worker.lease_state == "held" and now >= worker.leased_until:
                self._change_lease_state(worker, "lapse")
            if worker.is_drained(now):
                self._remove_worker(worker)
                continue
            if now >= worker.next_sync_at and not worker.is_syncing:
                self._sync(worker, now)
            self._attempts.retry_stops(worker, now)

    def _sync(self, worker: LeasedWorker, now: int) -> None:
        worker.is_syncing = True
        worker.next_sync_at = now + self._settings.sync_ms
        sync = SyncWorker(
            self._core.identity.holder,
            worker.boot,
            worker.epoch,
            self._settings.lease_ms,
            worker.version,
            tuple(worker.renewals.values()),
            tuple(worker.acks),
        )
        self._core.emit(CallWorker(worker.info.worker, sync))

    def _on_answered(self, event: WorkerAnswered, _source: str) -> None:
        worker = self._workers.get(event.worker)
        if worker is None or not isinstance(event.command, SyncWorker):
            return
        worker.is_syncing = False
        state = event.answer
        if not isinstance(state, WorkerState):
            self._change_lease_state(worker, "silent")
        elif not state.granted:
            self._change_lease_state(worker, "refused")
            worker.reset()
        else:
            self._handle_state(worker, state, event.command, event.sent_at)

    def _handle_state(
        self, worker: LeasedWorker, state: WorkerState, sync: SyncWorker, sent_at: int
    ) -> None:
        is_new_lease = (worker.boot, worker.epoch) != (state.boot, state.epoch)
        worker.record_state(state, sync, self._settings, sent_at)
        self._change_lease_state(worker, "granted")
        now = self._core.clock.now()
        self._attempts.record_ends(worker, state.tasks, now)
        if is_new_lease:
            worker.create_slot_ledger(state, now, self._settings)
        worker.commitment.backend_reserve = self._compute_backend_reserve(state.capacity)
        self._core.counters["placement.over_room"] += worker.commitment.is_over_capacity
        self._reporter.report_sync(worker, state.tasks, state.complete, now)
        self._attempts.evict(worker, self._rules.eviction_pause_ms, now)

    def _compute_backend_reserve(self, capacity: Resources) -> Resources:
        percent = self._rules.reserve_percent
        return Resources(
            capacity.cpu_milli * percent // 100, capacity.memory_mb * percent // 100, 0
        )

    def _on_request_slots(self, request: RequestSlots, source: str) -> None:
        now = self._core.clock.now()
        offers = {
            worker.info.worker: SlotOffer(worker.slots, self._compute_slot_ttl(worker, now))
            for worker in self._workers.values()
            if worker.info.rack == request.rack
            and worker.slots is not None
            and worker.accepts_new_work(now)
        }
        allocator = self._allocators.setdefault(request.rack, RackSlotAllocator())
        leases = allocator.allocate(offers, request, now)
        self._core.send(source, SlotsLeased(request.rack, request.sequence, leases))

    def _compute_slot_ttl(self, worker: LeasedWorker, now: int) -> int:
        """Return a time to live of slot leases that ends no later than the worker lease."""
        return min(self._settings.slot_lease_ms, worker.leased_until - now)
