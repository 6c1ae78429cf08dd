"""The slots of workers that are leased to this host."""

import heapq
from dataclasses import dataclass

from ..core import Core
from ..helpers.ejection import Ejector
from ..helpers.hashing import hash_text
from ..placement.models import RequestSlots, SlotsLeased, SlotUsage
from ..placement.racks import Racks
from .const import RequestSettings

_LATENCY_WEIGHT = 0.2
_LEAST_FREE = 2


@dataclass(slots=True)
class _Leased:
    rack: str
    slots: int = 0
    busy: int = 0
    expires: int = 0
    latency_ms: float = 0.0


class SlotPool:
    """Slots by worker; asks for as many as requests need."""

    def __init__(self, core: Core, racks: Racks, settings: RequestSettings) -> None:
        self._core = core
        self._racks = racks
        self._settings = settings
        self._workers: dict[str, _Leased] = {}
        self._sequence = 0
        self._asked: dict[str, tuple[int, int]] = {}
        self._next_ask = 0
        self._last_ask = 0
        self._ejector = Ejector()
        self.queued = 0
        core.listen(SlotsLeased, self._on_leased)
        core.every_tick(self._tick)

    @property
    def slots(self) -> int:
        """Slots leased at the moment."""
        now = self._core.clock.now()
        return sum(leased.slots for leased in self._workers.values() if now < leased.expires)

    @property
    def busy(self) -> int:
        """Slots in use."""
        return sum(leased.busy for leased in self._workers.values())

    def take(self, avoid: frozenset[str]) -> str | None:
        """Take one slot of the better of two workers picked at random, or return None."""
        now = self._core.clock.now()
        free = [
            worker
            for worker, leased in self._workers.items()
            if leased.busy < leased.slots
            and now < leased.expires
            and worker not in avoid
            and not self._ejector.is_ejected(worker, now)
            and not (leased.busy and self._ejector.is_probing(worker))
        ]
        if not free:
            return None
        pair = self._core.rng.sample(free, min(2, len(free)))
        chosen = min(pair, key=self._score)
        self._workers[chosen].busy += 1
        return chosen

    def _score(self, worker: str) -> float:
        """Return the expected wait: what is under way, weighed by how slow the worker is."""
        leased = self._workers[worker]
        return (leased.busy + 1) / max(1, leased.slots) * (leased.latency_ms + 1.0)

    def give_back(self, worker: str, ok: bool, latency_ms: float | None) -> None:
        """Give a slot back, with the time a whole answer took."""
        leased = self._workers.get(worker)
        if leased is None:
            return
        leased.busy -= 1
        if latency_ms is not None:
            leased.latency_ms += _LATENCY_WEIGHT * (latency_ms - leased.latency_ms)
        if self._ejector.note(worker, ok, self._core.clock.now()):
            self._core.counters["requests.workers_ejected"] += 1

    def _tick(self, now: int) -> None:
        if now < self._next_ask and not self._is_short(now):
            return
        self._next_ask = now + self._settings.slots_ask_ms
        self._last_ask = now
        racks = self._choose_racks()
        in_use = self.busy + self.queued
        for rack in racks:
            self._ask(rack, -(-in_use // len(racks)) + self._settings.spare_slots, now)

    def _is_short(self, now: int) -> bool:
        """Tell whether requests wait for a slot, or too few are spare, since the last asking."""
        if now - self._last_ask < self._settings.slots_hurry_ms:
            return False
        return bool(self.queued) or self.slots - self.busy < _LEAST_FREE

    def _choose_racks(self) -> tuple[str, ...]:
        """Return the racks to lease slots of: near ones first, others spread by hashing."""
        racks = self._racks.names
        me = self._core.identity

        def rank(rack: str) -> tuple[bool, int]:
            is_far = self._racks.find_data_centre(rack) != me.data_centre
            return is_far, hash_text(f"{me.host}/{rack}")

        return tuple(heapq.nsmallest(self._settings.racks, racks, key=rank))

    def _ask(self, rack: str, wanted: int, now: int) -> None:
        owner = self._racks.find_owner(rack)
        if owner is None:
            return
        held = tuple(
            SlotUsage(worker, leased.slots if now < leased.expires else 0, leased.busy)
            for worker, leased in self._workers.items()
            if leased.rack == rack and (leased.slots or leased.busy)
        )
        self._sequence += 1
        self._asked[rack] = (self._sequence, now)
        holder = self._core.identity.holder
        self._core.send(owner, RequestSlots(rack, self._sequence, wanted, held, holder))

    def _on_leased(self, answer: SlotsLeased, _source: str) -> None:
        sequence, asked_at = self._asked.get(answer.rack, (0, 0))
        if answer.sequence != sequence:
            return
        for lease in answer.leases:
            leased = self._workers.setdefault(lease.worker, _Leased(answer.rack))
            leased.slots = lease.slots
            leased.expires = asked_at + lease.ttl_ms - self._settings.slots_margin_ms
            if not leased.slots and not leased.busy:
                del self._workers[lease.worker]
