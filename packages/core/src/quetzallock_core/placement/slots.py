"""Slot leases: the slots of one worker, divided among the hosts that route requests to it.

Slots are leased in whole numbers, and the leases never add up to more than the worker has. No slot
lease outlives the worker lease of the host that granted it, so a new holder of the worker lease
only has to wait for the requests that the worker reports as in flight. A worker that has just
booted lost its lease before the lease expired: all of its slots then count as committed until
the slot leases from before the boot have expired and the requests under them have ended.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class _Lease:
    """Slots of one holder.

    Attributes:
        slots: Slots that it may use once it has received the newest answer.
        usable: Slots that it used, or could use, when it sent its last request.
        busy: Slots that it used when it sent its last request.
    """

    slots: int = 0
    usable: int = 0
    busy: int = 0
    expires_at: int = 0

    @property
    def committed(self) -> int:
        """Slots that it may be using; reclaimed ones count until it confirms the reduction."""
        return max(self.slots, self.usable)


class SlotLedger:
    """The slot leases of one worker.

    Attributes:
        slots: Slots that the worker has. Until `inherited_until`, `inherited` of them count as
            committed, for requests that were sent under leases of earlier holders.
    """

    def __init__(self, slots: int, inherited: int, inherited_until: int, request_ms: int) -> None:
        self.slots = slots
        self._request_ms = request_ms
        self._inherited = inherited
        self._inherited_until = inherited_until
        self._leases: dict[str, _Lease] = {}

    def count_free(self, now: int) -> int:
        """Return the number of slots that can be leased at `now`.

        A slot whose lease has expired stays committed for as long as a request may still run on it.
        """
        for holder, lease in list(self._leases.items()):
            if now >= lease.expires_at + self._request_ms:
                del self._leases[holder]
        committed = sum(lease.committed for lease in self._leases.values())
        inherited = self._inherited if now < self._inherited_until else 0
        return max(0, self.slots - committed - inherited)

    def renew(self, holder: str, usable: int, busy: int, now: int, ttl: int) -> None:
        """Renew the lease of `holder`, if it has one, for `ttl` ms.

        The holder may send requests to the worker between its renewal and the answer. `usable` is
        therefore the number of slots that it could use when it sent the renewal, and reclaimed
        slots become free only after a renewal with fewer usable slots.
        """
        lease = self._leases.get(holder)
        if lease is None:
            return
        lease.usable, lease.busy = max(usable, busy), busy
        lease.expires_at = max(lease.expires_at, now + ttl)
        if not lease.committed:
            del self._leases[holder]

    def grow(self, holder: str, extra: int, now: int, ttl: int) -> int:
        """Lease up to `extra` more slots to `holder` and return the number leased."""
        extra = max(0, min(extra, self.count_free(now)))
        if extra:
            lease = self._leases.setdefault(holder, _Lease())
            lease.slots += extra
            lease.expires_at = max(lease.expires_at, now + ttl)
        return extra

    def shrink(self, holder: str, surplus: int) -> int:
        """Reclaim up to `surplus` idle slots of `holder` and return the number reclaimed."""
        lease = self._leases.get(holder)
        if lease is None:
            return 0
        reclaimed = max(0, min(surplus, lease.slots - lease.busy))
        lease.slots -= reclaimed
        return reclaimed

    def slots_of(self, holder: str) -> int:
        """Return the number of slots leased to `holder`."""
        lease = self._leases.get(holder)
        return lease.slots if lease else 0

    def has_live_leases(self, now: int) -> bool:
        """Return whether any slot lease has not expired."""
        return any(now < lease.expires_at for lease in self._leases.values())
