"""Runs one owned cell: loads its state, writes its journal and calls its workers."""

import logging
from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from quetzallock_core.cells import Cell
from quetzallock_core.cells.cancellations import FINISHED_EVENT, OVERDUE_EVENT
from quetzallock_core.cells.const import OWNERSHIP_VALID_MS
from quetzallock_core.cells.contents import read_contents
from quetzallock_core.cells.interruptions import RESUMED_EVENT
from quetzallock_core.cells.load import LoadControl
from quetzallock_core.cells.models import Bounds, WorkerEntry
from quetzallock_core.cells.orders import Decision, PaceRun, StartRun, StopRun, TicketOutcome
from quetzallock_core.cells.records import JobRecord
from quetzallock_core.cells.scheduler import STARTED_EVENT
from quetzallock_core.cells.waiting import count_startable_steps

from ..helpers import run_in_background, sleep
from .clocks import BootClock, read_unix_ms
from .const import (
    HAND_OVER_TIMEOUT_MS,
    STORE_RETRY_PAUSE_MS,
    TICK_INTERVAL_MS,
)
from .inventory import InventoryPoller
from .journal import JournalId, JournalWriter
from .load_meter import (
    ENTRIES,
    REQUEST,
    START_ANSWER,
    STOP_ANSWER,
    TICK,
    LoadMeter,
)
from .messages import (
    CancelJobRequest,
    JobStateRequest,
    OwnerAnswer,
    OwnerProbe,
    OwnerRequest,
    SubmitJobRequest,
)
from .placement import PlacementRounds
from .ports import (
    FencedError,
    OrderAnswer,
    Store,
    StoreUnavailableError,
    Workers,
)

_LOGGER = logging.getLogger(__name__)

Reply = Callable[[OwnerAnswer], None]


class CellOwner:
    """Owns one cell from the takeover until it is given up or lost.

    Attributes:
        number: Number of the cell.
        epoch: Epoch of the ownership; the store rejects calls with an older one.
        clock: Clock of all times named `_at`.
        load_control: Chooses when the workers are polled, by the lag of the owner's ticks.
        meter: Adds up what the owner's time is spent on.
        cell: State and decisions of the cell; their effects are run by `run_effects`.
        ownership_confirmed_at: When the last call by which the store confirmed the ownership was
            sent.
        is_active: The cell is loaded.
        is_stopped: The cell was given up or lost; nothing more is sent or written.
        is_handing_over: The last records are being written; no more orders are sent.
    """

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
        self.load_control = LoadControl()
        self.meter = LoadMeter(number, counters)
        self._inventory_poller = InventoryPoller(reactor, self, workers, bounds)
        self._journal = JournalWriter(
            reactor,
            JournalId(number, epoch),
            store,
            self.cell.batches,
            self.run_effects,
            self._handle_ownership_lost,
            observe,
            self.meter,
        )
        self._tick_timer: Any = None
        self._tick_due_at = 0
        self._placement = PlacementRounds(reactor, self.cell, self.run_effects, self.meter)
        self._tickets: dict[int, tuple[Reply, int, int]] = {}
        self._last_ticket = 0
        self.ownership_confirmed_at = 0
        self.is_active = False
        self.is_stopped = False
        self.is_handing_over = False

    @property
    def may_order(self) -> bool:
        """Whether ownership was confirmed recently enough to send orders to workers."""
        if self.is_stopped or self.is_handing_over:
            return False
        return self.is_ownership_confirmed(OWNERSHIP_VALID_MS)

    def is_ownership_confirmed(self, within_ms: int) -> bool:
        """Return whether the store confirmed the ownership within the last `within_ms`."""
        return self.clock.now() - self.ownership_confirmed_at < within_ms

    async def take_over(self) -> None:
        """Fence out earlier owners and load the cell; retry until done or stopped."""
        started_at = self.clock.now()
        while not self.is_stopped:
            try:
                await self._store.fence(self.number, self.epoch)
                records = await self._store.load(self.number)
                break
            except FencedError:
                self._handle_ownership_lost("a newer owner has fenced the journal")
                return
            except StoreUnavailableError as error:
                _LOGGER.info("takeover is delayed: %s", error, extra={"cell": self.number})
                await self.pause(STORE_RETRY_PAUSE_MS)
        if self.is_stopped:
            return
        read_at = self.clock.now()
        self._restore(records)
        self.is_active = True
        _LOGGER.info(
            "cell is owned",
            extra={
                "cell": self.number,
                "epoch": self.epoch,
                "records": len(records),
                "after_ms": self.clock.now() - started_at,
                "reading_ms": read_at - started_at,
            },
        )
        self._tick()

    def _restore(self, records: dict[str, bytes]) -> None:
        contents = read_contents(records)
        for key in contents.unreadable:
            _LOGGER.error("unreadable record is skipped", extra={"cell": self.number, "key": key})
        self.cell.restore(contents)
        self.run_effects()

    def has_job(self, job: str) -> bool:
        """Return whether a job of this id is known."""
        return job in self.cell.state.jobs

    def find_newest_version(self) -> int:
        """Return the newest version of the configuration under which a known job was submitted."""
        return max((job.policy.version for job in self.cell.state.jobs.values()), default=0)

    def pause(self, ms: int) -> "Deferred[None]":
        """Return a deferred that fires after `ms` milliseconds."""
        return sleep(self._reactor, ms)

    def handle_entries(self, entries: dict[str, WorkerEntry]) -> None:
        """Process the entries of the cell's workers."""
        if not self.is_active or self.is_stopped:
            return
        with self.meter.measure(ENTRIES):
            self.cell.handle_entries(entries)
            self._inventory_poller.poll_new_workers()
            self.run_effects()

    def handle_evacuations(self, data_centres: frozenset[str], confirmed_at: int) -> None:
        """Process the evacuated data centres; a cell that is not loaded yet gets them too.

        Args:
            data_centres: All data centres that are evacuated.
            confirmed_at: When the read that confirms them was sent.
        """
        if self.is_stopped:
            return
        with self.meter.measure(ENTRIES):
            self.cell.handle_evacuations(data_centres, confirmed_at)
            if self.is_active:
                self.run_effects()

    def handle_request(self, request: OwnerRequest, reply: Reply) -> None:
        """Answer a router's request, at once or when the outcome is durable."""
        with self.meter.measure(REQUEST):
            self._handle_request(request, reply)

    def _handle_request(self, request: OwnerRequest, reply: Reply) -> None:
        if self.is_stopped or not self.is_active:
            _send_answer(reply, request, "not_owner")
            return
        if isinstance(request, OwnerProbe):
            _send_answer(reply, request, "alive" if self._can_confirm_absence() else "unproved")
            return
        self.cell.may_order = self.may_order
        if isinstance(request, SubmitJobRequest):
            refusal = self._find_refusal(request)
            if refusal:
                self._counters[f"submissions.{refusal}"] += 1
                _send_answer(reply, request, refusal)
                return
            record = JobRecord(request.spec, request.policy, read_unix_ms())
            self.cell.submit(record, self._register_ticket(request, reply))
        elif isinstance(request, CancelJobRequest):
            if request.job not in self.cell.state.jobs and not self._can_confirm_absence():
                _send_answer(reply, request, "unproved")
                return
            self.cell.cancel(request.job, self._register_ticket(request, reply))
        elif isinstance(request, JobStateRequest):
            state = self.cell.find_state(request.job)
            if state is None:
                is_uncertain = (
                    request.job in self.cell.state.jobs or not self._can_confirm_absence()
                )
                state = "unproved" if is_uncertain else "unknown"
            _send_answer(reply, request, state)
        else:
            count = self.cell.count_pending(request.queue)
            outcome = "counted" if self._can_confirm_absence() else "unproved"
            reply(OwnerAnswer(request.ticket, outcome, count))
        self.run_effects()

    def _find_refusal(self, request: SubmitJobRequest) -> str:
        """Return why a new job is rejected at once, or an empty string if it is accepted."""
        if request.spec.job in self.cell.state.jobs:
            return ""
        if self._journal.is_append_stuck:
            return "refused"
        return "overloaded" if self.load_control.is_overloaded else ""

    def _can_confirm_absence(self) -> bool:
        """Return whether ownership was confirmed recently enough to deny that a job exists.

        Probes and counts need the same. The limit is a third of the one for orders.
        """
        return self.is_ownership_confirmed(OWNERSHIP_VALID_MS // 3)

    def _register_ticket(self, request: OwnerRequest, reply: Reply) -> int:
        self._last_ticket += 1
        self._tickets[self._last_ticket] = (reply, request.ticket, self.clock.now())
        return self._last_ticket

    def run_effects(self) -> None:
        """Run the cell's effects, and schedule placement and the next append where they are due."""
        for effect in self.cell.pop_effects():
            self._run_effect(effect)
        if self.cell.state.fenced:
            self._handle_ownership_lost("a worker has received calls of a newer owner")
            return
        if self.cell.state.is_start_due and self.is_active and not self.is_stopped:
            self._placement.schedule()
        if self.is_active and not self.is_handing_over:
            self._journal.schedule_append()

    def _run_effect(self, effect: object) -> None:
        if isinstance(effect, Decision):
            self._counters[effect.event] += 1
            level = logging.WARNING if effect.event == OVERDUE_EVENT else logging.INFO
            _LOGGER.log(level, effect.event, extra={"cell": self.number, **effect.inputs})
            self._observe_decision(effect.event, effect.inputs)
        elif isinstance(effect, TicketOutcome):
            self._settle_ticket(effect)
        elif not self._may_send(effect):
            self._counters["orders.held_back"] += 1
        elif isinstance(effect, StartRun):
            self.meter.starts += 1
            run_in_background(self._send_start(effect))
        elif isinstance(effect, StopRun):
            self.meter.stops += 1
            self.cell.handle_stop_sent(effect)
            run_in_background(self._send_stop(effect))
        elif isinstance(effect, PaceRun):
            self.meter.paces += 1
            run_in_background(self._workers.pace(effect))

    def _settle_ticket(self, outcome: TicketOutcome) -> None:
        """Answer the router that waits for `outcome`."""
        registered = self._tickets.pop(outcome.ticket, None)
        if registered is None:
            return
        reply, ticket, registered_at = registered
        if outcome.outcome == "accepted":
            self._observe("job.accept", self.clock.now() - registered_at)
        reply(OwnerAnswer(ticket, outcome.outcome, state=outcome.state))

    def _observe_decision(self, event: str, inputs: dict[str, Any]) -> None:
        """Record the latencies that the decision on an event tells."""
        if event == STARTED_EVENT:
            self._observe_start(inputs)
        elif event == FINISHED_EVENT:
            self._observe(f"cancel.end.{inputs['longest']}", inputs["after_ms"])
        elif event == RESUMED_EVENT:
            self._observe(f"lasting.away.{inputs['longest']}", inputs["after_ms"])

    def _observe_start(self, inputs: dict[str, Any]) -> None:
        """Record how long a step had waited for a start, unless all its tasks had run before."""
        if not inputs["again"]:
            self._observe(f"start.wait.{inputs['kind']}", inputs["waited_ms"])

    def _may_send(self, order: object) -> bool:
        """Return whether an order may be sent now, which may be later than it was decided."""
        if isinstance(order, StartRun) and not self.cell.may_send_start(order):
            return False
        return self.may_order

    async def _send_start(self, order: StartRun) -> None:
        started_at = self.clock.now()
        answer = await self._workers.start(order)
        self._observe("worker.start", self.clock.now() - started_at)
        if not self.is_stopped:
            with self.meter.measure(START_ANSWER):
                self.cell.answers.handle_start_answer(
                    order, answer.outcome, answer.clock_ms, started_at
                )
                self.run_effects()

    async def _send_stop(self, order: StopRun) -> None:
        started_at = self.clock.now()
        answer: OrderAnswer = await self._workers.stop(order)
        if not self.is_stopped:
            with self.meter.measure(STOP_ANSWER):
                self.cell.answers.handle_stop_answer(
                    order, answer.outcome, answer.clock_ms, started_at
                )
                self.run_effects()

    async def hand_over(self) -> None:
        """Stop sending orders, and write the last records within `HAND_OVER_TIMEOUT_MS`."""
        self.is_handing_over = True
        if self.is_active and not self.is_stopped:
            await self._journal.write_hand_over(HAND_OVER_TIMEOUT_MS)

    def _tick(self) -> None:
        if self.is_stopped or self.is_handing_over:
            return
        with self.meter.measure(TICK):
            self._process_tick()
        if self.meter.is_report_due and not self.is_stopped:
            waiting = count_startable_steps(self.cell.state, self.clock.now())
            self.meter.report(self.load_control.lag_ms, waiting)

    def _process_tick(self) -> None:
        now = self.clock.now()
        if self._tick_due_at:
            self._record_lag(now - self._tick_due_at)
        self.cell.state.start_window.limit = self.load_control.best_effort_limit
        self._tick_due_at = now + TICK_INTERVAL_MS
        self._tick_timer = self._reactor.callLater(TICK_INTERVAL_MS / 1_000, self._tick)
        self.cell.may_order = self.may_order
        self.cell.tick()
        self._inventory_poller.poll_new_workers()
        self.run_effects()

    def _record_lag(self, lag_ms: int) -> None:
        """Record how late a tick was."""
        self.load_control.record_lag(lag_ms)
        self.meter.record_lag(lag_ms)
        self._observe("owner.lag", self.load_control.lag_ms)

    def _handle_ownership_lost(self, reason: str) -> None:
        if self.is_stopped:
            return
        _LOGGER.warning("cell is lost", extra={"cell": self.number, "reason": reason})
        self.stop()
        self._on_lost(self.number)

    def stop(self) -> None:
        """Stop sending orders and appending.

        Pending requests are answered as `unsettled`, so that routers repeat them at the next owner.
        """
        self.is_stopped = True
        self._log_last_runs()
        self._journal.stop()
        self._placement.stop()
        if self._tick_timer is not None and self._tick_timer.active():
            self._tick_timer.cancel()
        self.meter.publish()
        for reply, ticket, _ in self._tickets.values():
            reply(OwnerAnswer(ticket, "unsettled"))
        self._tickets.clear()

    def _log_last_runs(self) -> None:
        """Log the starts and ends since the last tick."""
        self.cell.state.run_log.flush()
        for effect in self.cell.pop_effects():
            if isinstance(effect, Decision):
                self._run_effect(effect)


def _send_answer(reply: Reply, request: OwnerRequest, outcome: str) -> None:
    reply(OwnerAnswer(request.ticket, outcome))
