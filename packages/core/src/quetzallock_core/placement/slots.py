"""Slot leases: how the slots of one worker are divided among the hosts that route to it.

Slots are leased in whole numbers and never add up to more than the worker has. No slot lease
outlives the worker lease of the host that gave it, so a new holder of the worker only has to
wait for the requests that the worker says are under way. A worker that has just booted has
forgotten its lease too early: then all slots count as taken until earlier slot leases are over.
"""

from dataclasses import dataclass


@dataclass(slots=True)
class _Lease:
    """Slots of one holder.

    Attributes:
        slots: Slots that it may use from its next answer on.
        held: Slots that it used, or could use, when it last asked.
    """

    slots: int = 0
    held: int = 0
    busy: int = 0
    expires: int = 0

    @property
    def taken(self) -> int:
        """Slots that it may be using: what was taken back counts until it says that it knows."""
        return max(self.slots, self.held)


class SlotLedger:
    """The slot leases of one worker.

    Attributes:
        slots: Slots that the worker has; `inherited` of them are taken up to `inherited_until`.
    """

    def __init__(self, slots: int, inherited: int, inherited_until: int, request_ms: int) -> None:
        self.slots = slots
        self._request_ms = request_ms
        self._inherited = inherited
        self._inherited_until = inherited_until
        self._leases: dict[str, _Lease] = {}

    def count_free(self, now: int) -> int:
        """Return how many slots can be leased at `now`.

        A slot whose lease ran out stays taken for as long as a request may still run on it.
        """
        for holder, lease in list(self._leases.items()):
            if now >= lease.expires + self._request_ms:
                del self._leases[holder]
        taken = sum(lease.taken for lease in self._leases.values())
        inherited = self._inherited if now < self._inherited_until else 0
        return max(0, self.slots - taken - inherited)

    def renew(self, holder: str, held: int, busy: int, now: int, ttl: int) -> None:
        """Renew the lease of `holder`, if it has one, for `ttl` ms.

        Requests may be sent between the asking and the answer, so `held` is what the holder
        could use when it asked, and slots taken back are free only once it has less.
        """
        lease = self._leases.get(holder)
        if lease is None:
            return
        lease.held, lease.busy = max(held, busy), busy
        lease.expires = max(lease.expires, now + ttl)
        if not lease.taken:
            del self._leases[holder]

    def grow(self, holder: str, extra: int, now: int, ttl: int) -> int:
        """Lease up to `extra` more slots to `holder` and return how many."""
        extra = max(0, min(extra, self.count_free(now)))
        if extra:
            lease = self._leases.setdefault(holder, _Lease())
            lease.slots += extra
            lease.expires = max(lease.expires, now + ttl)
        return extra

    def shrink(self, holder: str, surplus: int) -> int:
        """Take up to `surplus` idle slots back from `holder` and return how many."""
        lease = self._leases.get(holder)
        if lease is None:
            return 0
        taken = max(0, min(surplus, lease.slots - lease.busy))
        lease.slots -= taken
        return taken

    def slots_of(self, holder: str) -> int:
        """Return the slots leased to `holder`."""
        lease = self._leases.get(holder)
        return lease.slots if lease else 0

    def has_live_leases(self, now: int) -> bool:
        """Tell whether a lease that was given out has not run out."""
        return any(now < lease.expires for lease in self._leases.values())
