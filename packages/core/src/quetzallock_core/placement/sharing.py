"""Divides the slots of a rack among the hosts that request them, by max-min fairness.

Each requesting host is guaranteed an equal share of the rack's slots; slots that others do not
request are shared by those that request more. A lease is reduced only by idle slots, at the
holder's next request.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ..helpers.hashing import hash_text
from .models import RequestSlots, SlotLease, SlotUsage
from .slots import SlotLedger

_DEMAND_TTL_MS: Final = 5_000
"""Time for which the demand of a host counts after its last request."""


@dataclass(frozen=True, slots=True)
class SlotOffer:
    """A worker whose slots can be leased, for at most `ttl_ms`."""

    ledger: SlotLedger
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class _Demand:
    slots: int
    recorded_at: int


class RackSlotAllocator:
    """Allocates the slots of one rack, according to the recent demand of each host."""

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}

    def allocate(
        self, offers: Mapping[str, SlotOffer], request: RequestSlots, now: int
    ) -> tuple[SlotLease, ...]:
        """Renew, grow or shrink the leases of the requesting host and return all of them."""
        self._record_demand(request, now)
        usage_by_worker = {usage.worker: usage for usage in request.usage}
        for worker, offer in offers.items():
            usage = usage_by_worker.get(worker, SlotUsage(worker, 0, 0))
            offer.ledger.renew(request.holder, usage.slots, usage.busy, now, offer.ttl_ms)
        total = sum(offer.ledger.slots_of(request.holder) for offer in offers.values())
        target = self._compute_fair_share(request.rack, offers, request.holder)
        if total < target:
            _grow(offers, request.holder, target - total, now)
        elif total > target:
            _shrink(offers, request.holder, total - target)
        return tuple(
            SlotLease(worker, offer.ledger.slots_of(request.holder), offer.ttl_ms)
            for worker, offer in offers.items()
        )

    def _record_demand(self, request: RequestSlots, now: int) -> None:
        self._demands[request.holder] = _Demand(request.wanted, now)
        for holder, demand in list(self._demands.items()):
            if now - demand.recorded_at >= _DEMAND_TTL_MS:
                del self._demands[holder]

    def _compute_fair_share(self, rack: str, offers: Mapping[str, SlotOffer], holder: str) -> int:
        """Return the max-min fair share of `holder`, in whole slots.

        The order of holders differs from rack to rack, so that the remainder of a division does
        not always go to the same ones.
        """
        free = sum(offer.ledger.slots for offer in offers.values())
        order = sorted(self._demands, key=lambda name: hash_text(f"{rack}/{name}"))
        shares = dict.fromkeys(order, 0)
        while free > 0:
            unmet = [name for name, share in shares.items() if share < self._demands[name].slots]
            if not unmet:
                break
            for name in unmet[:free]:
                shares[name] += 1
            free -= min(free, len(unmet))
        return shares[holder]


def _grow(offers: Mapping[str, SlotOffer], holder: str, missing: int, now: int) -> None:
    """Lease slots one by one, each from the worker with the most free ones, to spread the load."""
    while missing > 0:
        freest = max(offers.values(), key=lambda offer: offer.ledger.count_free(now), default=None)
        if freest is None or not freest.ledger.grow(holder, 1, now, freest.ttl_ms):
            return
        missing -= 1


def _shrink(offers: Mapping[str, SlotOffer], holder: str, surplus: int) -> None:
    ledgers = (offer.ledger for offer in offers.values())
    for ledger in sorted(ledgers, key=lambda ledger: -ledger.slots_of(holder)):
        surplus -= ledger.shrink(holder, surplus)
        if surplus <= 0:
            return
