"""Divides the slots of a rack among the hosts that ask for them.

Each asker is sure of an equal part of the rack's slots; what others do not want goes to whoever
does. A lease is cut down only by idle slots, when its holder asks next.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from ..helpers.hashing import hash_text
from .models import RequestSlots, SlotLease, SlotUsage
from .slots import SlotLedger

_ASKER_MS: Final = 5_000


@dataclass(frozen=True, slots=True)
class SlotOffer:
    """A worker whose slots can be leased, and for how many ms at most."""

    ledger: SlotLedger
    ttl_ms: int


@dataclass(frozen=True, slots=True)
class _Want:
    slots: int
    at: int


class RackSlotAllocator:
    """Remembers who wants slots of one rack."""

    def __init__(self) -> None:
        self._wants: dict[str, _Want] = {}

    def allocate(
        self, offers: Mapping[str, SlotOffer], ask: RequestSlots, now: int
    ) -> tuple[SlotLease, ...]:
        """Renew, grow or shrink the leases of one asker and return them all."""
        self._note(ask, now)
        held = {one.worker: one for one in ask.usage}
        for worker, offer in offers.items():
            one = held.get(worker, SlotUsage(worker, 0, 0))
            offer.ledger.renew(ask.holder, one.slots, one.busy, now, offer.ttl_ms)
        total = sum(offer.ledger.slots_of(ask.holder) for offer in offers.values())
        target = self._find_limit(ask.rack, offers, ask.holder)
        if total < target:
            _grow(offers, ask.holder, target - total, now)
        elif total > target:
            _shrink(offers, ask.holder, total - target)
        return tuple(
            SlotLease(worker, offer.ledger.slots_of(ask.holder), offer.ttl_ms)
            for worker, offer in offers.items()
        )

    def _note(self, ask: RequestSlots, now: int) -> None:
        self._wants[ask.holder] = _Want(ask.wanted, now)
        for holder, want in list(self._wants.items()):
            if now - want.at >= _ASKER_MS:
                del self._wants[holder]

    def _find_limit(self, rack: str, offers: Mapping[str, SlotOffer], holder: str) -> int:
        """Return the slots that `holder` may have: max-min fair, in whole slots.

        The order of holders differs from rack to rack, so that the remainder of a division does
        not always fall to the same ones.
        """
        free = sum(offer.ledger.slots for offer in offers.values())
        order = sorted(self._wants, key=lambda name: hash_text(f"{rack}/{name}"))
        shares = dict.fromkeys(order, 0)
        while free > 0:
            unmet = [name for name, share in shares.items() if share < self._wants[name].slots]
            if not unmet:
                break
            for name in unmet[:free]:
                shares[name] += 1
            free -= min(free, len(unmet))
        return shares[holder]


def _grow(offers: Mapping[str, SlotOffer], holder: str, missing: int, now: int) -> None:
    """Lease slots one by one from the workers with the most free, to spread the load."""
    while missing > 0:
        roomiest = max(
            offers.values(), key=lambda offer: offer.ledger.count_free(now), default=None
        )
        if roomiest is None or not roomiest.ledger.grow(holder, 1, now, roomiest.ttl_ms):
            return
        missing -= 1


def _shrink(offers: Mapping[str, SlotOffer], holder: str, surplus: int) -> None:
    ledgers = (offer.ledger for offer in offers.values())
    for ledger in sorted(ledgers, key=lambda ledger: -ledger.slots_of(holder)):
        surplus -= ledger.shrink(holder, surplus)
        if surplus <= 0:
            return
