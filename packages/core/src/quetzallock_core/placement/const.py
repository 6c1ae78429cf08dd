"""Settings of placement."""

from dataclasses import dataclass
from typing import Final

LEAVING_GRACE_MS: Final = 3_000
LEASE_CHART: Final = "worker_lease"


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Times in ms.

    Attributes:
        lease_ms: Time to live of a worker lease.
        sync_ms: Interval of syncs with a worker whose lease is held.
        lease_margin_ms: Safety taken off a lease on the holder's own clock.
        reservation_ms: Time that room stays reserved for a task not started yet.
        report_ms: Interval of reports on tasks that only go on.
        slot_lease_ms: Time to live of a slot lease.
        request_ms: Longest time that one request may take at a backend server.
        overload_ms: Time a worker must be over its room before a task is evicted.
    """

    lease_ms: int = 4_000
    sync_ms: int = 1_000
    lease_margin_ms: int = 200
    reservation_ms: int = 6_000
    report_ms: int = 10_000
    slot_lease_ms: int = 2_500
    request_ms: int = 5_000
    overload_ms: int = 3_000
