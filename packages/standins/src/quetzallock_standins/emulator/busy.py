"""Emulated cell whose owner has a processor of limited speed, and polls as the daemon does."""

from functools import partial
from typing import Any, Final

from quetzallock_core.cells import Batch
from quetzallock_core.cells.load import LoadControl
from quetzallock_core.cells.models import Boot, Inventory, JobSpec, QueuePolicy

from .cluster import TICK_INTERVAL_MS, CellCluster
from .deliveries import Order
from .owners import Owner
from .processor import Processor
from .workers import Answer, EmulatedWorker

END_CHECK_INTERVAL_MS: Final = 20


class BusyCluster(CellCluster):
    """A cell whose owner takes time for each event; later events wait for earlier ones.

    Attributes:
        processor: The owner's processor.
        load_control: Chooses what the owner puts off or rejects.
        rejected: Ids of jobs rejected at once.
        are_appends_charged: Whether appending to the journal takes processor time too.
    """

    def __init__(
        self,
        share: float,
        load_control: LoadControl,
        are_appends_charged: bool = False,
        **fields: Any,
    ) -> None:
        self.processor = Processor(share)
        self.load_control = load_control
        self.rejected: set[str] = set()
        self.are_appends_charged = are_appends_charged
        super().__init__(**fields)

    def offer(self, spec: JobSpec, policy: QueuePolicy, durations: dict[int, float | None]) -> bool:
        """Submit a job, and return whether the owner accepts it or rejects it at once."""
        if self.load_control.is_overloaded:
            self.rejected.add(spec.job)
            return False
        self.processor.take("submission", self.clock.now())
        self.submit(spec, policy, durations)
        return True

    def _start_tick(self, owner: Owner) -> None:
        now = self.clock.now()
        self.load_control.record_lag(self.processor.compute_lag_ms(now))
        owner.cell.state.start_window.limit = self.load_control.best_effort_limit
        self.schedule(self.processor.take("tick", now), partial(super()._start_tick, owner))

    def _poll_inventory(self, owner: Owner, worker: EmulatedWorker) -> None:
        """Poll a worker that answers when a run ends, at the latest after the wait."""
        cell_worker = owner.cell.state.workers.get(worker.id)
        if not owner.is_running or owner.cell.state.fenced:
            return
        if cell_worker is None:
            self.schedule(TICK_INTERVAL_MS, lambda: self._poll_inventory(owner, worker))
            return
        wait_ms = self.load_control.choose_wait_ms(cell_worker)
        self._await_end(owner, worker, self.clock.now() + wait_ms)

    def _await_end(self, owner: Owner, worker: EmulatedWorker, until: int) -> None:
        now = self.clock.now()
        if not worker.ends and now < until:
            self.schedule(END_CHECK_INTERVAL_MS, lambda: self._await_end(owner, worker, until))
            return
        cell_worker = owner.cell.state.workers[worker.id]
        lease_end = cell_worker.renew_lease(self.bounds.lease_ms, now)
        boot, fence = cell_worker.boot, cell_worker.fence
        answer = worker.poll_inventory(fence, cell_worker.ack_cursor, lease_end)
        delay_ms = self.latency_ms + self.processor.take("inventory", now)
        self.schedule(delay_ms, partial(self._end_poll, owner, worker, boot, fence, answer, now))

    def _end_poll(
        self,
        owner: Owner,
        worker: EmulatedWorker,
        boot: Boot,
        fence: int,
        answer: Inventory | Answer,
        asked_at: int,
    ) -> None:
        self._handle_inventory_answer(owner, boot, fence, answer, asked_at)
        state = owner.cell.state
        cell_worker = state.workers.get(worker.id)
        pause_ms = TICK_INTERVAL_MS
        if cell_worker is not None:
            now = self.clock.now()
            pause_ms = self.load_control.choose_pause_ms(cell_worker, state.durations, now)
        self.schedule(pause_ms, lambda: self._poll_inventory(owner, worker))

    def _handle_answer(self, owner: Owner, order: Order, answer: Answer, sent_at: int) -> None:
        delay_ms = self.processor.take("order", self.clock.now())
        self.schedule(delay_ms, partial(super()._handle_answer, owner, order, answer, sent_at))

    def _append(self, owner: Owner, batch: Batch) -> None:
        if not self.are_appends_charged:
            super()._append(owner, batch)
            return
        delay_ms = self.processor.take("append", self.clock.now())
        self.schedule(delay_ms, partial(super()._append, owner, batch))
