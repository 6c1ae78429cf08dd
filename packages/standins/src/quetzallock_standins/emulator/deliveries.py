"""How orders reach the emulated workers, and their answers the owner, under injected faults."""

from dataclasses import dataclass
from random import Random
from typing import Final, Protocol

from quetzallock_core.cells.orders import PaceRun, StartRun, StopRun

Order = StartRun | StopRun | PaceRun

ORDER_DELAYS_MS: Final = (2_000, 12_000)
"""Shortest delay of a late order, and the limit that no delay reaches."""
ANSWER_DELAYS_MS: Final = (50, 500)
"""Shortest delay of a late answer, and the limit that no delay reaches."""


class DeliveryFaults(Protocol):
    """What the deliveries need of the emulated cell."""

    rng: Random
    latency_ms: int
    order_loss_rate: float
    order_delay_rate: float
    pace_loss_rate: float
    answer_delay_rate: float
    busy_rate: float


@dataclass(frozen=True, slots=True)
class Delivery:
    """How one order is delivered.

    Attributes:
        delay_ms: Time until the worker receives the order.
        answer_delay_ms: Time until the owner receives the answer, None if it never does.
        is_late: Whether the worker executes the order seconds late.
        is_rejected: Whether the worker answers that it is busy, and does nothing.
    """

    delay_ms: int
    answer_delay_ms: int | None
    is_late: bool = False
    is_rejected: bool = False

    @property
    def may_answer(self) -> bool:
        """Return whether the owner receives an answer."""
        return self.answer_delay_ms is not None


def draw_delivery(faults: DeliveryFaults, order: Order) -> Delivery | None:
    """Draw the delivery of an order; None for one that never arrives."""
    draw = faults.rng.random()
    latency_ms = faults.latency_ms
    if isinstance(order, PaceRun) and draw < faults.pace_loss_rate:
        return None
    limit = faults.order_delay_rate
    if draw < limit:
        return Delivery(faults.rng.randrange(*ORDER_DELAYS_MS), None, is_late=True)
    limit += faults.order_loss_rate
    if draw < limit:
        return Delivery(latency_ms, None)
    limit += faults.busy_rate
    if draw < limit and not isinstance(order, PaceRun):
        return Delivery(latency_ms, latency_ms, is_rejected=True)
    limit += faults.answer_delay_rate
    if draw < limit:
        return Delivery(latency_ms, faults.rng.randrange(*ANSWER_DELAYS_MS))
    return Delivery(latency_ms, latency_ms)
