"""Holds the leases of the workers this host is responsible for and acts for them."""

import logging

from ..chart import load_chart
from ..core import Core
from ..effects import CallWorker, WorkerAnswered
from ..helpers.ejection import Ejector
from ..helpers.hashing import choose_owner, hash_to_range
from ..members import Members
from ..members.models import MembersChanged
from ..presets.models import PresetChanged
from ..presets.schema import BatchRules
from ..workers.const import FAILED, FINISHED
from ..workers.models import (
    NOTHING,
    AttemptRef,
    CommandResult,
    ReleaseWorker,
    Resources,
    StartTask,
    StopTask,
    SyncWorker,
    TaskStatus,
    WorkerInfo,
    WorkerState,
)
from .const import LEASE_CHART, PlacementSettings
from .held import HeldWorker
from .models import (
    AcknowledgeEnds,
    AskAttempts,
    AskSlots,
    CloseAttempt,
    RenewTaskLeases,
    Reservation,
    ReserveRoom,
    RoomReserved,
    RoomWanted,
    SlotsLeased,
    StartAttempt,
    TaskReport,
    WorkersListed,
)
from .sharing import RackSharing, SlotOffer

_LOGGER = logging.getLogger(__name__)
_CHART = load_chart(__package__, LEASE_CHART)


class Placer:
    """Acts for the workers of the racks that fall to this host."""

    def __init__(self, core: Core, members: Members, settings: PlacementSettings) -> None:
        self._core = core
        self._members = members
        self._settings = settings
        self._infos: dict[str, WorkerInfo] = {}
        self._racks: tuple[str, ...] = ()
        self._data_centres: dict[str, str] = {}
        self._owners: dict[str, str | None] = {}
        self._shard_owners: dict[int, str | None] = {}
        self._held: dict[str, HeldWorker] = {}
        self._ejector = Ejector()
        self._sharing: dict[str, RackSharing] = {}
        self.shards = 1
        self.batch = BatchRules()
        core.listen(PresetChanged, self._on_preset)
        core.listen(WorkersListed, self._on_listed)
        core.listen(MembersChanged, self._on_members)
        core.listen(WorkerAnswered, self._on_answered)
        core.listen(ReserveRoom, self._on_reserve)
        core.listen(StartAttempt, self._on_start)
        core.listen(CloseAttempt, self._on_close)
        core.listen(RenewTaskLeases, self._on_renew)
        core.listen(AcknowledgeEnds, self._on_acknowledge)
        core.listen(AskAttempts, self._on_ask_attempts)
        core.listen(AskSlots, self._on_ask_slots)
        core.every_tick(self._tick)

    @property
    def held(self) -> tuple[HeldWorker, ...]:
        """Workers that this host holds or asks for."""
        return tuple(self._held.values())

    def find_rack(self, worker: str) -> str | None:
        """Return the rack of `worker`, or None."""
        info = self._infos.get(worker)
        return info.rack if info else None

    def may_be_alive(self, worker: str) -> bool:
        """Tell whether the platform lists `worker`, or the list has not been read yet."""
        return worker in self._infos or not self._infos

    def list_workers(self) -> tuple[WorkerInfo, ...]:
        """Return the workers that the platform last listed."""
        return tuple(self._infos.values())

    def list_racks(self) -> tuple[str, ...]:
        """Return the racks that the platform last listed, in order of name."""
        return self._racks

    def could_hold(self, demand: Resources) -> bool:
        """Tell whether some listed worker is large enough, or may be for all that is known."""
        capacities = [info.capacity for info in self._infos.values()]
        if NOTHING in capacities or not capacities:
            return True
        return any(demand.fits(capacity) for capacity in capacities)

    def find_owner(self, rack: str) -> str | None:
        """Return the host that `rack` falls to."""
        if rack not in self._owners:
            candidates = self._list_candidates(rack)
            self._owners[rack] = choose_owner(f"rack/{rack}", candidates)
        return self._owners[rack]

    def find_data_centre(self, rack: str) -> str | None:
        """Return the data centre that `rack` stands in, if listed."""
        return self._data_centres.get(rack)

    def _list_candidates(self, rack: str) -> tuple[str, ...]:
        """Return the hosts in the rack's data centre, or all hosts where it has none."""
        data_centre = self.find_data_centre(rack)
        hosts = self._members.usable
        near = tuple(host for host in hosts if self._members.data_centre_of(host) == data_centre)
        return near or hosts

    def _on_preset(self, event: PresetChanged, _source: str) -> None:
        self.batch = event.preset.batch
        for held in self._held.values():
            held.commitment.set_aside = self._find_set_aside(held.commitment.capacity)

    def _on_listed(self, event: WorkersListed, _source: str) -> None:
        infos = {info.worker: info for info in event.workers}
        if infos == self._infos:
            return
        self._infos = infos
        self._data_centres = {info.rack: info.data_centre for info in event.workers}
        self._racks = tuple(sorted(self._data_centres))
        self._owners.clear()
        self._review_racks()

    def _on_members(self, _event: MembersChanged, _source: str) -> None:
        self._owners.clear()
        self._shard_owners.clear()
        self._review_racks()

    def _review_racks(self) -> None:
        me = self._core.identity.host
        mine = {rack for rack in self.list_racks() if self.find_owner(rack) == me}
        for info in self._infos.values():
            held = self._held.get(info.worker)
            if held is not None:
                held.info = info
            elif info.rack in mine:
                lease_state = _CHART.next_state(_CHART.initial, "want")
                self._held[info.worker] = HeldWorker(info, lease_state, self._settings)
        for held in list(self._held.values()):
            held.is_draining = held.info.rack not in mine
            if self._infos.get(held.info.worker) is None:
                self._drop(held)

    def _drop(self, held: HeldWorker) -> None:
        del self._held[held.info.worker]
        self._move(held, "drop")
        if held.epoch:
            self._call(held, ReleaseWorker(held.boot, held.epoch))

    def _move(self, held: HeldWorker, event: str) -> None:
        before = held.lease_state
        held.lease_state = _CHART.next_state(before, event)
        if held.lease_state == before:
            return
        self._core.counters[f"leases.{event}"] += 1
        _LOGGER.info("lease of worker %s: %s", held.info.worker, held.lease_state)

    def _call(self, held: HeldWorker, command: object) -> None:
        self._core.emit(CallWorker(held.info.worker, command))  # type: ignore[arg-type]

    def _tick(self, now: int) -> None:
        for held in list(self._held.values()):
            if held.lease_state == "held" and now >= held.held_until:
                self._move(held, "lapse")
            if held.is_drained(now):
                self._drop(held)
                continue
            if now >= held.next_sync and not held.syncing:
                self._sync(held, now)
            self._retry_closes(held, now)

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
        self._call(held, sync)

    def _on_answered(self, event: WorkerAnswered, _source: str) -> None:
        held = self._held.get(event.worker)
        if held is None:
            return
        if isinstance(event.command, SyncWorker):
            held.syncing = False
            self._on_synced(held, event)
        elif isinstance(event.command, StartTask | StopTask):
            self._on_commanded(held, event)

    def _on_synced(self, held: HeldWorker, event: WorkerAnswered) -> None:
        state = event.answer
        if not isinstance(state, WorkerState):
            self._move(held, "silent")
            return
        if not state.granted:
            self._move(held, "refused")
            held.forget()
            return
        assert isinstance(event.command, SyncWorker)
        fresh = (held.boot, held.epoch) != (state.boot, state.epoch)
        held.take_state(state, event.command, self._settings, event.asked_at)
        self._move(held, "granted")
        now = self._core.clock.now()
        self._note_health(held, state.tasks, now)
        if fresh:
            held.take_slots(state, now, self._settings)
        held.commitment.set_aside = self._find_set_aside(state.capacity)
        self._core.counters["placement.over_room"] += held.commitment.is_over_capacity
        self._report(held, state.tasks, state.complete, now)
        self._relieve(held, now)

    def _note_health(self, held: HeldWorker, changed: tuple[TaskStatus, ...], now: int) -> None:
        """Pass over a worker for some time that fails one task after another."""
        for status in changed:
            if status.state not in (FAILED, FINISHED):
                continue
            if self._ejector.note(held.info.worker, status.state == FINISHED, now):
                self._core.counters["placement.workers_ejected"] += 1
                _LOGGER.warning("worker %s fails all that it starts", held.info.worker)

    def _find_set_aside(self, capacity: Resources) -> Resources:
        share = self.batch.reserve_percent
        return Resources(capacity.cpu_milli * share // 100, capacity.memory_mb * share // 100, 0)

    def _report(
        self, held: HeldWorker, changed: tuple[TaskStatus, ...], complete: bool, now: int
    ) -> None:
        """Pass on what changed, and from time to time all there is."""
        statuses = changed
        if complete or now >= held.next_report:
            held.next_report = now + self._settings.report_ms
            statuses = tuple(held.commitment.tasks.values())
        by_shard: dict[int, list[TaskStatus]] = {}
        for status in statuses:
            by_shard.setdefault(self._find_shard(status.task), []).append(status)
        for shard, group in by_shard.items():
            owner = self._find_shard_owner(shard)
            if owner is not None:
                name = held.info.worker
                report = TaskReport(shard, name, held.boot, held.clock, tuple(group))
                self._core.send(owner, report)

    def _find_shard_owner(self, shard: int) -> str | None:
        if shard not in self._shard_owners:
            owner = choose_owner(f"shard/{shard}", self._members.usable)
            self._shard_owners[shard] = owner
        return self._shard_owners[shard]

    def _find_shard(self, task: str) -> int:
        return hash_to_range(task.rpartition("/")[0], self.shards)

    def _relieve(self, held: HeldWorker, now: int) -> None:
        """Evict one task where the worker is leaving or over its room for some time."""
        if held.is_leaving:
            for status in held.commitment.tasks.values():
                if status.state == "running":
                    self._stop(held, status.task, status.attempt, now)
            return
        room = held.commitment.find_room(now)
        if Resources().fits(room):
            held.over_since = None
            return
        if held.over_since is None:
            held.over_since = now
        patient = now - held.over_since < self._settings.overload_ms
        if patient or now < held.next_eviction:
            return
        victim = held.commitment.pick_victim()
        if victim is not None:
            held.next_eviction = now + self.batch.eviction_pause_ms
            self._core.counters["placement.evictions"] += 1
            self._stop(held, victim.task, victim.attempt, now)

    def _on_commanded(self, held: HeldWorker, event: WorkerAnswered) -> None:
        result = event.answer
        command = event.command
        assert isinstance(command, StartTask | StopTask)
        if not isinstance(result, CommandResult):
            return
        current = (command.boot, command.epoch) == (held.boot, held.epoch)
        if result.status is None or not current:
            return
        if isinstance(command, StartTask) and held.is_past_grace(self._core.clock.now()):
            self._core.counters["placement.leaving_started"] += result.ok
        held.closes.pop(command.task, None)
        held.commitment.merge_tasks((result.status,))
        self._report(held, (result.status,), False, self._core.clock.now())

    def _on_reserve(self, ask: ReserveRoom, source: str) -> None:
        now = self._core.clock.now()
        usable = [
            held
            for held in self._held.values()
            if held.info.rack == ask.rack
            and held.may_grant(now)
            and not self._ejector.is_ejected(held.info.worker, now)
        ]
        reservations, refused = [], []
        for wanted in ask.wanted:
            reservation = self._reserve_one(usable, wanted)
            if reservation is None:
                refused.append(AttemptRef(wanted.task, wanted.attempt))
            else:
                reservations.append(reservation)
        answer = RoomReserved(ask.rack, tuple(reservations), tuple(refused), bool(usable))
        self._core.send(source, answer)

    def _reserve_one(self, usable: list[HeldWorker], wanted: RoomWanted) -> Reservation | None:
        """Reserve on the roomier of two workers picked at random, or on any that has room."""
        now = self._core.clock.now()
        allowed = [held for held in usable if held.info.worker not in wanted.avoid]
        order = self._core.rng.sample(allowed, len(allowed))
        first = sorted(order[:2], key=lambda held: -held.commitment.find_room(now).cpu_milli)
        for held in first + order[2:]:
            ttl = self._settings.reservation_ms
            if held.commitment.reserve(wanted.task, wanted.demand, now, ttl):
                worker = held.info.worker
                return Reservation(wanted.task, wanted.attempt, worker, held.boot, held.clock)
        return None

    def _on_start(self, start: StartAttempt, _source: str) -> None:
        now = self._core.clock.now()
        held = self._held.get(start.worker)
        if held is None or not held.may_act(now) or held.boot != start.boot:
            return
        if held.commitment.is_running(start.task, start.attempt):
            self._report(held, (held.commitment.tasks[start.task],), False, now)
            return
        room = held.commitment.commit(start.task, start.demand, now, start.until)
        if held.is_leaving or not room:
            self._stop(held, start.task, start.attempt, now)
            return
        self._core.counters["placement.starts"] += 1
        self._call(
            held,
            StartTask(
                held.boot,
                held.epoch,
                start.task,
                start.attempt,
                start.demand,
                start.run_ms,
                start.progress_ms,
                start.until,
            ),
        )

    def _on_close(self, close: CloseAttempt, _source: str) -> None:
        held = self._held.get(close.worker)
        if held is not None:
            self._stop(held, close.task, close.attempt, self._core.clock.now())

    def _stop(self, held: HeldWorker, task: str, attempt: int, now: int) -> None:
        held.closes[task] = (attempt, now + self._settings.sync_ms)
        if held.may_act(now):
            self._call(held, StopTask(held.boot, held.epoch, task, attempt))

    def _retry_closes(self, held: HeldWorker, now: int) -> None:
        for task, (attempt, retry_at) in list(held.closes.items()):
            if now >= retry_at:
                self._stop(held, task, attempt, now)

    def _on_ask_attempts(self, ask: AskAttempts, source: str) -> None:
        held = self._held.get(ask.worker)
        if held is None or not held.may_act(self._core.clock.now()):
            return
        known, absent = [], []
        for ref in ask.attempts:
            status = held.commitment.tasks.get(ref.task)
            if status is None:
                absent.append(ref)
            else:
                known.append(status)
        report = TaskReport(
            ask.shard, ask.worker, held.boot, held.clock, tuple(known), tuple(absent)
        )
        self._core.send(source, report)

    def _on_renew(self, renew: RenewTaskLeases, _source: str) -> None:
        held = self._held.get(renew.worker)
        if held is None or held.boot != renew.boot:
            return
        for lease in renew.leases:
            held.renewals[lease.task] = lease

    def _on_acknowledge(self, ends: AcknowledgeEnds, _source: str) -> None:
        held = self._held.get(ends.worker)
        if held is not None and held.boot == ends.boot:
            held.acks.extend(end for end in ends.ends if end not in held.acks)

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
