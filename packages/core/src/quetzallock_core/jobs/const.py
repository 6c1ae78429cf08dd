"""Settings of the job shards."""

from dataclasses import dataclass
from typing import Final

ACCEPTED: Final = "accepted"
NOT_RUN: Final = "not_run"
UNKNOWN: Final = "unknown"
CONFLICT: Final = "conflict"
UNKNOWN_JOB: Final = "unknown_job"
CANCELLED: Final = "cancelled"
FOUND: Final = "found"


@dataclass(frozen=True, slots=True)
class JobSettings:
    """Times in ms.

    Attributes:
        shards: Number of shards; the same on all hosts, for good.
        flush_ms: Least interval between two appends of one shard.
        read_ms: Interval of reads of an owned shard's stream.
        append_retry_ms: Time after which an append in doubt is made again.
        claim_retry_ms: Least time between two claims of one shard by one host.
        task_lease_ms: Time to live of a task lease.
        trust_ms: How long an owner that cannot read the log goes on renewing task leases.
        margin_ms: Safety for clocks that run apart.
        reserve_ms: Time after which room is asked for again.
        start_ms: Time after which a start without news is asked about.
        news_ms: Time after which a running attempt without news is asked about.
        snapshot_records: Records after which a snapshot is written.
        snapshot_ms: Age at which a snapshot is written, well below the log's retention.
        keep_ms: How long a finished job can still be shown.
        failures: Workers on which a task must have failed before it is parked.
        tasks_per_ask: Most attempts that one message asks room for.
    """

    shards: int = 16
    flush_ms: int = 200
    read_ms: int = 3_000
    append_retry_ms: int = 1_000
    claim_retry_ms: int = 3_000
    task_lease_ms: int = 60_000
    trust_ms: int = 900_000
    margin_ms: int = 1_000
    reserve_ms: int = 2_000
    start_ms: int = 3_000
    news_ms: int = 15_000
    snapshot_records: int = 1_000
    snapshot_ms: int = 600_000
    keep_ms: int = 600_000
    failures: int = 4
    tasks_per_ask: int = 32
