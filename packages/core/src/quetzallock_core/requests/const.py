"""Settings of requests and names of outcomes."""

from dataclasses import dataclass
from typing import Final

WHOLE: Final = "whole"
NOT_RUN: Final = "not_run"
UNKNOWN: Final = "unknown"

NOT_SENT: Final = "not_sent"
REFUSED: Final = "refused"
BROKEN: Final = "broken"


@dataclass(frozen=True, slots=True)
class RequestSettings:
    """Times in ms.

    Attributes:
        slots_ask_ms: Interval of renewals of slot leases while nothing waits.
        slots_hurry_ms: The same while requests wait for a slot.
        slots_margin_ms: Safety taken off a slot lease on this host's clock.
        spare_slots: Slots of each rack kept beyond what is in use.
        racks: Most racks that one host leases slots of.
        request_ms: Longest deadline that a caller may ask for.
        key_ms: How long an idempotency key is remembered.
        key_wait_ms: How long a key's host may take to answer.
        key_body_bytes: Largest answer that is kept for a repeated key.
        queue_limit: Most requests that wait in one host.
    """

    slots_ask_ms: int = 1_000
    slots_hurry_ms: int = 250
    slots_margin_ms: int = 100
    spare_slots: int = 4
    racks: int = 8
    request_ms: int = 5_000
    key_ms: int = 600_000
    key_wait_ms: int = 400
    key_handover_ms: int = 2_000
    key_body_bytes: int = 16_384
    queue_limit: int = 2_000
