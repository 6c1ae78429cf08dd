"""Holds the leases of the workers that fall to this host, and leases out their slots."""

import logging

from ..chart import load_chart
from ..core import Core
from ..effects import CallWorker, WorkerAnswered
from ..presets.models import PresetChanged
from ..presets.schema import BatchRules
from ..workers.models import ReleaseWorker, Resources, SyncWorker, WorkerState
from .attempts import Attempts
from .const import LEASE_CHART, PlacementSettings
from .held import HeldWorker, HeldWorkers
from .models import AskSlots, RacksChanged, SlotsLeased
from .racks import Racks
from .reporter import Reporter
from .sharing import RackSharing, SlotOffer

_LOGGER = logging.getLogger(__name__)
_CHART = load_chart(__package__, LEASE_CHART)


class Placer:
    """Acts for the workers of the racks that fall to this host."""

    def __init__(
        self, core: Core, racks: Racks, reporter: Reporter, settings: PlacementSettings
    ) -> None:
        self._core = core
        self._racks = racks
        self._reporter = reporter
        self._settings = settings
        self._held: HeldWorkers = {}
        self._attempts = Attempts(core, settings, self._held, reporter)
        self._sharing: dict[str, RackSharing] = {}
        self._rules = BatchRules()
        core.listen(PresetChanged, self._on_preset)
        core.listen(RacksChanged, self._on_racks)
        core.listen(WorkerAnswered, self._on_answered)
        core.listen(AskSlots, self._on_ask_slots)
        core.every_tick(self._tick)

    @property
    def held(self) -> tuple[HeldWorker, ...]:
        """Workers that this host holds or asks for."""
        return tuple(self._held.values())

    def _on_preset(self, event: PresetChanged, _source: str) -> None:
        self._rules = event.preset.batch
        for held in self._held.values():
            held.commitment.set_aside = self._find_set_aside(held.commitment.capacity)

    def _on_racks(self, _event: RacksChanged, _source: str) -> None:
        me = self._core.identity.host
        mine = {rack for rack in self._racks.names if self._racks.find_owner(rack) == me}
        for info in self._racks.workers.values():
            held = self._held.get(info.worker)
            if held is not None:
                held.info = info
            elif info.rack in mine:
                lease_state = _CHART.next_state(_CHART.initial, "want")
                self._held[info.worker] = HeldWorker(info, lease_state)
        for held in list(self._held.values()):
            held.is_draining = held.info.rack not in mine
            if held.info.worker not in self._racks.workers:
                self._drop(held)

    def _drop(self, held: HeldWorker) -> None:
        del self._held[held.info.worker]
        self._move(held, "drop")
        if held.epoch:
            release = ReleaseWorker(held.boot, held.epoch)
            self._core.emit(CallWorker(held.info.worker, release))

    def _move(self, held: HeldWorker, event: str) -> None:
        before = held.lease_state
        held.lease_state = _CHART.next_state(before, event)
        if held.lease_state == before:
            return
        self._core.counters[f"leases.{event}"] += 1
        _LOGGER.info("lease of worker %s: %s", held.info.worker, held.lease_state)

    def _tick(self, now: int) -> None:
        for held in self.held:
            if held.lease_state == "held" and now >= held.held_until:
                self._move(held, "lapse")
            if held.is_drained(now):
                self._drop(held)
                continue
            if now >= held.next_sync and not held.syncing:
                self._sync(held, now)
            self._attempts.retry_stops(held, now)

    def _sync(self, held: HeldWorker, now: int) -> None:
        held.syncing = True
        held.next_sync = now + self._settings.sync_ms
        sync = SyncWorker(
            self._core.identity.holder,
            held.boot,
            held.epoch,
            self._settings.lease_ms,
            held.version,
            tuple(held.renewals.values()),
            tuple(held.acks),
        )
        self._core.emit(CallWorker(held.info.worker, sync))

    def _on_answered(self, event: WorkerAnswered, _source: str) -> None:
        held = self._held.get(event.worker)
        if held is None or not isinstance(event.command, SyncWorker):
            return
        held.syncing = False
        state = event.answer
        if not isinstance(state, WorkerState):
            self._move(held, "silent")
        elif not state.granted:
            self._move(held, "refused")
            held.forget()
        else:
            self._take_state(held, state, event.command, event.sent_at)

    def _take_state(
        self, held: HeldWorker, state: WorkerState, sync: SyncWorker, asked_at: int
    ) -> None:
        is_fresh = (held.boot, held.epoch) != (state.boot, state.epoch)
        held.take_state(state, sync, self._settings, asked_at)
        self._move(held, "granted")
        now = self._core.clock.now()
        self._attempts.note_health(held, state.tasks, now)
        if is_fresh:
            held.take_slots(state, now, self._settings)
        held.commitment.set_aside = self._find_set_aside(state.capacity)
        self._core.counters["placement.over_room"] += held.commitment.is_over_capacity
        self._reporter.report_sync(held, state.tasks, state.complete, now)
        self._attempts.relieve(held, self._rules.eviction_pause_ms, now)

    def _find_set_aside(self, capacity: Resources) -> Resources:
        share = self._rules.reserve_percent
        return Resources(capacity.cpu_milli * share // 100, capacity.memory_mb * share // 100, 0)

    def _on_ask_slots(self, ask: AskSlots, source: str) -> None:
        now = self._core.clock.now()
        offers = {
            held.info.worker: SlotOffer(held.slots, self._find_slot_ttl(held, now))
            for held in self._held.values()
            if held.info.rack == ask.rack and held.slots is not None and held.may_grant(now)
        }
        sharing = self._sharing.setdefault(ask.rack, RackSharing())
        leases = sharing.divide(offers, ask, now)
        self._core.send(source, SlotsLeased(ask.rack, ask.sequence, leases))

    def _find_slot_ttl(self, held: HeldWorker, now: int) -> int:
        """Return a time to live that ends before the lease of the worker does."""
        return min(self._settings.slot_lease_ms, held.held_until - now)
