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
        shards: Number of shards; the same on all hosts, and never changed.
        flush_ms: Minimum interval between two appends of one shard.
        read_ms: Interval between reads of an owned shard's stream.
        append_retry_ms: Time after which an append with an unknown outcome is repeated.
        claim_retry_ms: Minimum time between two claims of one shard by one host.
        task_lease_ms: Duration of a task lease.
        trust_ms: How long an owner that cannot read the log continues to renew task leases.
        margin_ms: Safety margin for clock drift.
        reserve_ms: Time after which an unanswered request for capacity is repeated.
        start_ms: Time after which an attempt that no worker has reported yet is queried.
        news_ms: Time without a report after which a running attempt is queried.
        snapshot_records: Number of records after which a snapshot is written.
        snapshot_ms: Time after which a snapshot is written even after fewer records, well below
            the log's retention.
        keep_ms: How long a job can still be queried after its end.
        failures: Number of workers on which a task must fail before it is parked; all workers if
            there are fewer.
        tasks_per_ask: Maximum number of attempts in one request for capacity.
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
