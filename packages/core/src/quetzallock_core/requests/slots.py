"""Slots of workers that are leased to this host for dispatching requests."""

import heapq
from dataclasses import dataclass

from ..core import Core
from ..helpers.ejection import Ejector
from ..helpers.hashing import hash_text
from ..placement.models import RequestSlots, SlotsLeased, SlotUsage
from ..placement.racks import Racks
from .const import RequestSettings

_LATENCY_WEIGHT = 0.2
_MIN_FREE_SLOTS = 2


@dataclass(slots=True)
class _WorkerSlots:
    rack: str
    slots: int = 0
    busy: int = 0
    expires_at: int = 0
    latency_ms: float = 0.0


class SlotPool:
    """Tracks leased slots by worker and renews the leases for as many slots as requests need.

    Attributes:
        queued_requests: Number of requests that wait for a slot; the router sets it.
    """

    def __init__(self, core: Core, racks: Racks, settings: RequestSettings) -> None:
        self._core = core
        self._racks = racks
        self._settings = settings
        self._workers: dict[str, _WorkerSlots] = {}
        self._sequence = 0
        self._sent_requests: dict[str, tuple[int, int]] = {}
        self._next_renewal_at = 0
        self._last_renewal_at = 0
        self._ejector = Ejector()
        self.queued_requests = 0
        core.listen(SlotsLeased, self._on_leased)
        core.every_tick(self._tick)

    @property
    def slots(self) -> int:
        """Number of slots with a valid lease."""
        now = self._core.clock.now()
        return sum(leased.slots for leased in self._workers.values() if now < leased.expires_at)

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return sum(leased.busy for leased in self._workers.values())

    def acquire(self, avoid: frozenset[str]) -> str | None:
        """Acquire a slot of the better of two random workers; return None if none is free."""
        now = self._core.clock.now()
        free = [
            worker
            for worker, leased in self._workers.items()
            if leased.busy < leased.slots
            and now < leased.expires_at
            and worker not in avoid
            and not self._ejector.is_ejected(worker, now)
            and not (leased.busy and self._ejector.is_probing(worker))
        ]
        if not free:
            return None
        pair = self._core.rng.sample(free, min(2, len(free)))
        chosen = min(pair, key=self._compute_expected_wait)
        self._workers[chosen].busy += 1
        return chosen

    def _compute_expected_wait(self, worker: str) -> float:
        """Return a score of the expected wait: the load of the worker times its mean latency."""
        leased = self._workers[worker]
        return (leased.busy + 1) / max(1, leased.slots) * (leased.latency_ms + 1.0)

    def release(self, worker: str, ok: bool, latency_ms: float | None) -> None:
        """Release a slot; `latency_ms` is None unless a complete response was received."""
        leased = self._workers.get(worker)
        if leased is None:
            return
        leased.busy -= 1
        if latency_ms is not None:
            leased.latency_ms += _LATENCY_WEIGHT * (latency_ms - leased.latency_ms)
        if self._ejector.record(worker, ok, self._core.clock.now()):
            self._core.counters["requests.workers_ejected"] += 1

    def _tick(self, now: int) -> None:
        if now < self._next_renewal_at and not self._needs_slots(now):
            return
        self._next_renewal_at = now + self._settings.slots_ask_ms
        self._last_renewal_at = now
        racks = self._choose_racks()
        in_use = self.busy + self.queued_requests
        for rack in racks:
            self._request_slots(rack, -(-in_use // len(racks)) + self._settings.spare_slots, now)

    def _needs_slots(self, now: int) -> bool:
        """Return whether slots are short and the last renewal is at least `slots_hurry_ms` ago."""
        if now - self._last_renewal_at < self._settings.slots_hurry_ms:
            return False
        return bool(self.queued_requests) or self.slots - self.busy < _MIN_FREE_SLOTS

    def _choose_racks(self) -> tuple[str, ...]:
        """Return the racks to lease slots from.

        Racks in the data centre of this host come first. Otherwise the order follows a hash that
        differs from host to host, so that the hosts spread over the racks.
        """
        racks = self._racks.names
        me = self._core.identity

        def rank(rack: str) -> tuple[bool, int]:
            is_remote = self._racks.find_data_centre(rack) != me.data_centre
            return is_remote, hash_text(f"{me.host}/{rack}")

        return tuple(heapq.nsmallest(self._settings.racks, racks, key=rank))

    def _request_slots(self, rack: str, wanted: int, now: int) -> None:
        owner = self._racks.find_owner(rack)
        if owner is None:
            return
        usage = tuple(
            SlotUsage(worker, leased.slots if now < leased.expires_at else 0, leased.busy)
            for worker, leased in self._workers.items()
            if leased.rack == rack and (leased.slots or leased.busy)
        )
        self._sequence += 1
        self._sent_requests[rack] = (self._sequence, now)
        holder = self._core.identity.holder
        self._core.send(owner, RequestSlots(rack, self._sequence, wanted, usage, holder))

    def _on_leased(self, answer: SlotsLeased, _source: str) -> None:
        sequence, sent_at = self._sent_requests.get(answer.rack, (0, 0))
        if answer.sequence != sequence:
            return
        for lease in answer.leases:
            leased = self._workers.setdefault(lease.worker, _WorkerSlots(answer.rack))
            leased.slots = lease.slots
            leased.expires_at = sent_at + lease.ttl_ms - self._settings.slots_margin_ms
            if not leased.slots and not leased.busy:
                del self._workers[lease.worker]
