"""Settings of requests, outcomes of requests and outcomes of dispatches."""

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
    """Settings of request routing; times are in ms.

    Attributes:
        slots_ask_ms: Renewal interval of slot leases while enough slots are free.
        slots_hurry_ms: Minimum renewal interval while slots are short.
        slots_margin_ms: Safety margin subtracted from a slot lease on this host's clock.
        spare_slots: Slots requested from each rack beyond those in use or waited for.
        racks: Maximum number of racks that one host leases slots from.
        request_ms: Longest deadline that a caller may set.
        key_ms: Retention time of an idempotency key.
        key_wait_ms: Time limit for the answer of a key's owner.
        key_handover_ms: Time limit for previous owners to hand their keys over.
        key_body_bytes: Largest response body that is stored for a repeated key.
        queue_limit: Maximum number of requests that wait on one host.
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
