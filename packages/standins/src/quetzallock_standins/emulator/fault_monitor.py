"""Tells when an emulated cell last had an injected fault."""

from collections.abc import Mapping, Sequence
from typing import Final, Protocol

from quetzallock_core.clock import Clock

from .operator import EmulatedOperator
from .owners import Owner
from .workers import EmulatedWorker

CONTACT_MS: Final = 3_000
"""How long after the last fault owners and workers may still be out of touch."""


class MonitoredCluster(Protocol):
    """What the monitors need of the emulated cell."""

    is_store_up: bool
    order_loss_rate: float
    order_delay_rate: float
    pace_loss_rate: float
    busy_rate: float
    holds_orders: bool
    planned_hand_overs: int
    operator: EmulatedOperator
    unlisted_workers: set[str]

    @property
    def clock(self) -> Clock:
        """The clock of the emulation."""

    @property
    def workers(self) -> Mapping[str, EmulatedWorker]:
        """The workers by their ids."""

    @property
    def owners(self) -> Sequence[Owner]:
        """All owners, the newest one last."""


class FaultMonitor:
    """Remembers when a fault was last seen active.

    Late answers, draining workers and their leave, evacuations and changes of capacity are no
    faults: they delay no order. Nor is an order that is carried out late once the rate of late
    orders is 0 again.

    Attributes:
        last_fault_at: Time in ms of the last observation with an active fault, a new owner or a new
            boot of a worker.
    """

    def __init__(self, cluster: MonitoredCluster) -> None:
        self._cluster = cluster
        self.last_fault_at = cluster.clock.now()
        self._lives = self._list_lives()

    @property
    def stable_from(self) -> int:
        """Time in ms from which on the cell is stable, if no further fault is seen."""
        return self.last_fault_at + CONTACT_MS

    def observe(self) -> None:
        """Look for active faults, and for owners and workers that have changed."""
        lives = self._list_lives()
        if lives != self._lives or self._has_active_fault():
            self._lives = lives
            self.last_fault_at = self._cluster.clock.now()

    def _list_lives(self) -> list[int]:
        """Return the number of owners and the boots of the workers."""
        cluster = self._cluster
        boots = [worker.entry.boot_ms for worker in cluster.workers.values()]
        return [len(cluster.owners), *boots]

    def _has_active_fault(self) -> bool:
        cluster = self._cluster
        return bool(
            not cluster.is_store_up
            or cluster.order_loss_rate
            or cluster.order_delay_rate
            or cluster.pace_loss_rate
            or cluster.busy_rate
            or cluster.unlisted_workers
            or not cluster.owners[-1].is_running
            or any(map(_is_faulty, cluster.workers.values()))
        )


class UnplannedFaultMonitor(FaultMonitor):
    """The same without planned work: hand-overs and workers that join are no faults either.

    Faults that keep an owner from sending orders count as well.
    """

    def _list_lives(self) -> list[int]:
        """Return the number of owners that took over unplanned, and of crashes."""
        cluster = self._cluster
        crashes = sum(worker.crashes for worker in cluster.workers.values())
        return [len(cluster.owners) - cluster.planned_hand_overs, crashes]

    def _has_active_fault(self) -> bool:
        cluster = self._cluster
        return (
            super()._has_active_fault() or cluster.holds_orders or not cluster.operator.is_readable
        )


def _is_faulty(worker: EmulatedWorker) -> bool:
    if worker.has_left:
        return False
    is_cut_off = worker.is_isolated or worker.is_listener_closed
    return not worker.is_up or is_cut_off or worker.is_replaced or worker.mode != "sound"
