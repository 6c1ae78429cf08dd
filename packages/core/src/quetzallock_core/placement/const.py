"""Settings of placement."""

from dataclasses import dataclass
from typing import Final

LEAVING_GRACE_MS: Final = 3_000
"""Starts that a worker accepts later than this after it began to leave count as a fault."""
LEASE_CHART: Final = "worker_lease"


@dataclass(frozen=True, slots=True)
class PlacementSettings:
    """Settings of placement; times are in ms.

    Attributes:
        lease_ms: Time to live of a worker lease.
        sync_ms: Interval of syncs with a worker, and of retries of a stop.
        lease_margin_ms: Safety margin subtracted from a worker lease on the holder's clock.
        reservation_ms: Time for which capacity stays reserved for a task that has not started.
        report_ms: Interval of full reports, which include unchanged tasks.
        slot_lease_ms: Time to live of a slot lease.
        request_ms: Maximum duration of one request at a backend server.
        overload_ms: Time for which a worker must exceed its capacity before a task is evicted.
    """

    lease_ms: int = 4_000
    sync_ms: int = 1_000
    lease_margin_ms: int = 200
    reservation_ms: int = 6_000
    report_ms: int = 10_000
    slot_lease_ms: int = 2_500
    request_ms: int = 5_000
    overload_ms: int = 3_000
