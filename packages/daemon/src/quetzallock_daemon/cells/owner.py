"""Owns one cell: loads it, writes its journal, and talks to its workers."""

import logging
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from quetzallock_core.cells import Batch, Cell
from quetzallock_core.cells.const import OWNERSHIP_VALID_MS
from quetzallock_core.cells.contents import read_contents
from quetzallock_core.cells.models import (
    Bounds,
    Decision,
    JobRecord,
    PaceRun,
    StartRun,
    StopRun,
    TicketOutcome,
    WorkerEntry,
)
from quetzallock_core.codec import encode

from ..helpers import run_in_background, sleep
from .clocks import BootClock, read_unix_ms
from .const import (
    APPEND_PAUSE_MS,
    HAND_OVER_TIMEOUT_MS,
    PLACEMENT_PAUSE_FACTOR,
    PLACEMENT_PAUSE_MS,
    STORE_RETRY_PAUSE_MS,
    STORE_UNAVAILABLE_AFTER_MS,
    TICK_INTERVAL_MS,
)
from .inventory import InventoryPoller
from .messages import (
    CancelJobRequest,
    JobStateRequest,
    OwnerAnswer,
    OwnerProbe,
    OwnerRequest,
    SubmitJobRequest,
)
from .ports import (
    FencedError,
    OrderAnswer,
    Store,
    StoreRefusedError,
    StoreUnavailableError,
    Workers,
)

_LOGGER = logging.getLogger(__name__)

Reply = Callable[[OwnerAnswer], None]


class CellOwner:
    """The task that owns one cell from its taking over to its giving up."""

    def __init__(
        self,
        reactor: Any,
        number: int,
        epoch: int,
        bounds: Bounds,
        store: Store,
        workers: Workers,
        on_lost: Callable[[int], None],
        counters: Counter[str],
        observe: Callable[[str, float], None],
    ) -> None:
        self._observe = observe
        self._reactor = reactor
        self.number = number
        self.epoch = epoch
        self._store = store
        self._workers = workers
        self._on_lost = on_lost
        self._counters = counters
        self.clock = BootClock()
        self.cell = Cell(number, epoch, bounds, self.clock, read_unix_ms)
        self._holds = InventoryPoller(reactor, self, workers, bounds)
        self._sequence = 0
        self._is_writing = False
        self._write_began = 0
        self._write_call: Any = None
        self._tick_call: Any = None
        self._start_call: Any = None
        self._start_pause_s = PLACEMENT_PAUSE_MS / 1_000
        self._tickets: dict[int, tuple[Reply, int]] = {}
        self._last_ticket = 0
        self.proved_at = 0
        self.is_active = False
        self.is_stopped = False
        self.is_handing_over = False

    @property
    def may_order(self) -> bool:
        """Whether the last proof of ownership is recent enough to give orders on."""
        if self.is_stopped or self.is_handing_over:
            return False
        return self.is_proved(OWNERSHIP_VALID_MS)

    def is_proved(self, within_ms: int) -> bool:
        """Tell whether ownership was proved within this many ms."""
        return self.clock.now() - self.proved_at < within_ms

    async def take_over(self) -> None:
        """Shut out earlier owners and load the cell; repeated until done or stopped."""
        began = self.clock.now()
        while not self.is_stopped:
            try:
                await self._store.fence(self.number, self.epoch)
                rows = await self._store.load(self.number)
                break
            except FencedError:
                self._lose("a newer owner has fenced the journal")
                return
            except StoreUnavailableError as error:
                _LOGGER.info("takeover waits: %s", error, extra={"cell": self.number})
                await self.pause(STORE_RETRY_PAUSE_MS)
        if self.is_stopped:
            return
        self._restore(rows)
        self.is_active = True
        _LOGGER.info(
            "cell is owned",
            extra={
                "cell": self.number,
                "epoch": self.epoch,
                "records": len(rows),
                "after_ms": self.clock.now() - began,
            },
        )
        self._tick()

    def _restore(self, rows: dict[str, bytes]) -> None:
        contents = read_contents(rows)
        for key in contents.unreadable:
            _LOGGER.error("record passed over", extra={"cell": self.number, "key": key})
        self.cell.restore(contents)
        self.run_effects()

    def pause(self, ms: int) -> "Deferred[None]":
        """Return a deferred that fires after `ms` ms."""
        return sleep(self._reactor, ms)

    def handle_entries(self, entries: dict[str, WorkerEntry]) -> None:
        """Take in the entries of the cell's workers."""
        if not self.is_active or self.is_stopped:
            return
        self.cell.handle_entries(entries)
        self._holds.follow()
        self.run_effects()

    def ask(self, ask: OwnerRequest, reply: Reply) -> None:
        """Answer a router, at once or when the journal holds the outcome."""
        if self.is_stopped or not self.is_active:
            _reply(reply, ask, "not_owner")
            return
        if isinstance(ask, OwnerProbe):
            _reply(reply, ask, "alive" if self._can_deny() else "unproved")
            return
        self.cell.may_order = self.may_order
        if isinstance(ask, SubmitJobRequest):
            if self._is_store_stuck and ask.spec.job not in self.cell.state.jobs:
                self._counters["submissions.refused"] += 1
                _reply(reply, ask, "refused")
                return
            record = JobRecord(ask.spec, ask.policy, read_unix_ms())
            self.cell.submit(record, self._keep(ask, reply))
        elif isinstance(ask, CancelJobRequest):
            if ask.job not in self.cell.state.jobs and not self._can_deny():
                _reply(reply, ask, "unproved")
                return
            self.cell.cancel(ask.job, self._keep(ask, reply))
        elif isinstance(ask, JobStateRequest):
            state = self.cell.find_state(ask.job)
            if state is None:
                is_pending = ask.job in self.cell.state.jobs or not self._can_deny()
                state = "unproved" if is_pending else "unknown"
            _reply(reply, ask, state)
        else:
            count = self.cell.count_pending(ask.queue)
            outcome = "counted" if self._can_deny() else "unproved"
            reply(OwnerAnswer(ask.ticket, outcome, count))
        self.run_effects()

    @property
    def _is_store_stuck(self) -> bool:
        """Whether an append has been under way for long, so that new jobs could not be kept."""
        return (
            self._is_writing and self.clock.now() - self._write_began >= STORE_UNAVAILABLE_AFTER_MS
        )

    def _can_deny(self) -> bool:
        """Whether this host may say that something does not exist."""
        return self.is_proved(OWNERSHIP_VALID_MS // 3)

    def _keep(self, ask: OwnerRequest, reply: Reply) -> int:
        self._last_ticket += 1
        self._tickets[self._last_ticket] = (reply, ask.ticket)
        return self._last_ticket

    def run_effects(self) -> None:
        """Carry out what the cell has asked for, and write what has to last."""
        for effect in self.cell.pop_effects():
            self._run_effect(effect)
        if self.cell.state.fenced:
            self._lose("a worker has seen a newer owner")
            return
        if self.cell.state.is_start_due and self._start_call is None and self.is_active:
            self._start_call = self._reactor.callLater(self._start_pause_s, self._start_waiting)
        if self._can_write and self.cell.batches.has_records():
            self._write_call = self._reactor.callLater(APPEND_PAUSE_MS / 1_000, self._write)

    @property
    def _can_write(self) -> bool:
        if not self.is_active or self.is_handing_over:
            return False
        return not self._is_writing and self._write_call is None

    def _run_effect(self, effect: object) -> None:
        if isinstance(effect, Decision):
            self._counters[effect.event] += 1
            _LOGGER.info(effect.event, extra={"cell": self.number, **effect.inputs})
        elif isinstance(effect, TicketOutcome):
            kept = self._tickets.pop(effect.ticket, None)
            if kept is not None:
                kept[0](OwnerAnswer(kept[1], effect.outcome))
        elif not self.may_order:
            self._counters["orders.held_back"] += 1
        elif isinstance(effect, StartRun):
            run_in_background(self._start(effect))
        elif isinstance(effect, StopRun):
            run_in_background(self._stop(effect))
        elif isinstance(effect, PaceRun):
            run_in_background(self._workers.pace(effect, self.epoch))

    async def _start(self, order: StartRun) -> None:
        began = self.clock.now()
        answer = await self._workers.start(order, self.epoch)
        self._observe("worker.start", self.clock.now() - began)
        if not self.is_stopped:
            self.cell.answers.handle_start_answer(order, answer.outcome, answer.clock_ms)
            self.run_effects()

    async def _stop(self, order: StopRun) -> None:
        answer: OrderAnswer = await self._workers.stop(order, self.epoch)
        if not self.is_stopped:
            self.cell.answers.handle_stop_answer(order, answer.outcome, answer.clock_ms)
            self.run_effects()

    def _start_waiting(self) -> None:
        """Start what waits; the next round comes no sooner than this one's cost allows."""
        self._start_call = None
        if self.is_stopped:
            return
        began = time.perf_counter()
        self.cell.start_waiting_tasks()
        took = time.perf_counter() - began
        self._start_pause_s = max(PLACEMENT_PAUSE_MS / 1_000, PLACEMENT_PAUSE_FACTOR * took)
        self.run_effects()

    def _write(self) -> None:
        self._write_call = None
        if self.is_stopped or self._is_writing:
            return
        run_in_background(self._append(self.cell.batches.pop_batch()))

    async def _append(self, batch: Batch) -> None:
        """Write one batch and act on what is true then."""
        self._is_writing = True
        self._write_began = self.clock.now()
        try:
            await self._write_batch(batch)
        except FencedError:
            self._lose("the journal is fenced")
            return
        finally:
            self._is_writing = False
        if self.is_stopped:
            return
        self.cell.batches.handle_durable(batch)
        self.run_effects()

    async def _write_batch(self, batch: Batch) -> None:
        """Append a batch; a lost answer is resolved by repeating it under its sequence."""
        self._sequence += 1
        may_be_written = False
        while not self.is_stopped:
            records = _encode_records(batch)
            if not records:
                self._sequence -= 1
                return
            try:
                await self._store.append(self.number, self.epoch, self._sequence, records)
                self._observe("journal.append", self.clock.now() - self._write_began)
                return
            except StoreUnavailableError as error:
                may_be_written |= not isinstance(error, StoreRefusedError)
                _LOGGER.warning("append failed", extra={"cell": self.number, "error": str(error)})
            if self._is_store_stuck and not may_be_written:
                self.cell.batches.withdraw_new_jobs(batch)
                self.run_effects()
            await self.pause(STORE_RETRY_PAUSE_MS)

    async def hand_over(self) -> None:
        """Give no more orders, and write what was decided, as far as the store takes it soon."""
        self.is_handing_over = True
        until = self.clock.now() + HAND_OVER_TIMEOUT_MS
        while self._is_writing and self.clock.now() < until:
            await self.pause(APPEND_PAUSE_MS)
        if self.is_stopped or self._is_writing or not self.is_active:
            return
        run_in_background(self._append(self.cell.batches.pop_hand_over_batch()))
        while self._is_writing and self.clock.now() < until:
            await self.pause(APPEND_PAUSE_MS)

    def _tick(self) -> None:
        if self.is_stopped or self.is_handing_over:
            return
        self._tick_call = self._reactor.callLater(TICK_INTERVAL_MS / 1_000, self._tick)
        self.cell.may_order = self.may_order
        self.cell.tick()
        self._holds.follow()
        self.run_effects()

    def _lose(self, reason: str) -> None:
        if self.is_stopped:
            return
        _LOGGER.warning("cell is lost", extra={"cell": self.number, "reason": reason})
        self.stop()
        self._on_lost(self.number)

    def stop(self) -> None:
        """Give no more orders and write nothing more; callers are sent to the next owner."""
        self.is_stopped = True
        for call in (self._tick_call, self._write_call, self._start_call):
            if call is not None and call.active():
                call.cancel()
        for reply, ticket in self._tickets.values():
            reply(OwnerAnswer(ticket, "unsettled"))
        self._tickets.clear()


def _encode_records(batch: Batch) -> list[tuple[str, bytes]]:
    return [
        (record.key, b"" if record.value is None else encode(record.value))
        for record in batch.records
    ]


def _reply(reply: Reply, ask: OwnerRequest, outcome: str) -> None:
    reply(OwnerAnswer(ask.ticket, outcome))
