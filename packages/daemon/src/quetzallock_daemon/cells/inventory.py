"""Polls the inventories of a cell's workers, which renews their leases and reports ended runs."""

import logging
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from quetzallock_core.cells import Cell
from quetzallock_core.cells.load import LoadControl
from quetzallock_core.cells.models import Bounds, Inventory, PollFailure
from quetzallock_core.cells.workers import Worker
from quetzallock_core.clock import Clock

from ..helpers import run_in_background
from .const import INVENTORY_POLL_RETRY_PAUSE_MS
from .load_meter import INVENTORY, LoadMeter
from .ports import OrderAnswer, Workers

_LOGGER = logging.getLogger(__name__)


class PollingOwner(Protocol):
    """What the polls need of the owner of a cell."""

    cell: Cell
    load_control: LoadControl
    meter: LoadMeter
    is_stopped: bool
    is_handing_over: bool

    @property
    def clock(self) -> Clock:
        """Local clock that goes on during a suspension of the host."""

    @property
    def may_order(self) -> bool:
        """Whether ownership was confirmed recently enough to send orders to workers."""

    def pause(self, ms: int) -> "Deferred[None]":
        """Return a deferred that fires after `ms` milliseconds."""

    def run_effects(self) -> None:
        """Run the cell's effects."""


class InventoryPoller:
    """Runs one loop of inventory polls for each worker of a cell."""

    def __init__(self, reactor: Any, owner: PollingOwner, workers: Workers, bounds: Bounds) -> None:
        self._reactor = reactor
        self._owner = owner
        self._workers = workers
        self._bounds = bounds
        self._polled: set[tuple[str, int]] = set()

    def poll_new_workers(self) -> None:
        """Start to poll workers that are not polled yet."""
        for worker in self._owner.cell.state.workers.values():
            key = (worker.id, worker.entry.boot_ms)
            if key not in self._polled:
                self._polled.add(key)
                run_in_background(self._poll_repeatedly(worker, key))

    async def _poll_repeatedly(self, worker: Worker, key: tuple[str, int]) -> None:
        owner = self._owner
        while not owner.is_stopped and owner.cell.state.workers.get(worker.id) is worker:
            if not owner.may_order:
                await owner.pause(INVENTORY_POLL_RETRY_PAUSE_MS)
                continue
            try:
                pause_ms = await self._poll_once(worker)
                if worker.must_ask_next_boot:
                    await self._ask_next_boot(worker)
            except Exception:
                _LOGGER.exception("inventory could not be processed", extra={"worker": worker.id})
                owner.cell.handle_no_answer(worker.boot, PollFailure.UNUSABLE)
                pause_ms = INVENTORY_POLL_RETRY_PAUSE_MS
            await owner.pause(pause_ms)
        self._polled.discard(key)

    async def _poll_once(self, worker: Worker) -> int:
        """Poll a worker once, and return the pause in ms before the next poll."""
        owner = self._owner
        now = owner.clock.now()
        is_reachable = worker.is_reachable(now)
        lease_end_clock_ms = worker.renew_lease(self._bounds.lease_ms, now)
        wait_ms = owner.load_control.choose_wait_ms(worker) if is_reachable else 0
        entry = worker.entry
        answer = await self._workers.poll_inventory(
            entry, worker.fence, worker.ack_cursor, lease_end_clock_ms, wait_ms
        )
        if owner.is_stopped or owner.is_handing_over:
            return INVENTORY_POLL_RETRY_PAUSE_MS
        with owner.meter.measure(INVENTORY):
            return self._handle_answer(worker, answer, now)

    async def _ask_next_boot(self, worker: Worker) -> None:
        """Poll the boot that the platform's list has at another address than a silent one."""
        owner, entry = self._owner, worker.next_entry
        if entry is None or not owner.may_order:
            return
        answer = await self._workers.poll_inventory(entry, worker.fence, 0, None, 0)
        if isinstance(answer, Inventory) and not owner.is_stopped:
            owner.cell.handle_next_boot_inventory(worker.boot, entry, answer)
            owner.run_effects()

    def _handle_answer(
        self, worker: Worker, answer: Inventory | OrderAnswer | PollFailure, asked_at: int
    ) -> int:
        """Process the answer to a poll, and return the pause in ms before the next poll."""
        owner = self._owner
        if isinstance(answer, Inventory):
            owner.meter.inventories += 1
            owner.cell.handle_inventory(worker.boot, answer, asked_at)
            owner.run_effects()
            if answer.boot_ms != worker.entry.boot_ms:
                return INVENTORY_POLL_RETRY_PAUSE_MS
            durations = owner.cell.state.durations
            return owner.load_control.choose_pause_ms(worker, durations, owner.clock.now())
        if isinstance(answer, OrderAnswer):
            owner.cell.handle_no_answer(worker.boot, PollFailure.UNUSABLE)
            owner.cell.answers.handle_inventory_refusal(worker.boot, worker.fence, answer.outcome)
            owner.run_effects()
        else:
            owner.cell.handle_no_answer(worker.boot, answer)
        return INVENTORY_POLL_RETRY_PAUSE_MS
