"""Emulated cell: owners, workers and the journal on a manual clock, with faults to inject."""

import heapq
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random

from quetzallock_core.cells import Batch, Cell
from quetzallock_core.cells.const import ORDER_TIMEOUT_MS
from quetzallock_core.cells.contents import read_contents
from quetzallock_core.cells.models import (
    Boot,
    Bounds,
    Inventory,
    JobSpec,
    PollFailure,
    QueuePolicy,
    Resources,
    StepSpec,
    WorkerEntry,
)
from quetzallock_core.cells.orders import PaceRun, StartRun, StopRun, TicketOutcome
from quetzallock_core.cells.records import JobRecord
from quetzallock_core.cells.workers import Worker
from quetzallock_core.clock import ManualClock
from quetzallock_core.codec import encode

from .behaviours import declare_tasks, make_behaviours
from .cancellations import CHECK_INTERVAL_MS, CancellationCheck
from .deliveries import Delivery, Order, draw_delivery
from .fault_monitor import FaultMonitor, UnplannedFaultMonitor
from .ground_truth import GroundTruth
from .long_running import LongRunningCheck
from .operator import EmulatedOperator
from .owners import Owner
from .workers import Answer, EmulatedWorker, TaskBehaviour

STEP_MS = 5
INVENTORY_POLL_INTERVAL_MS = 60
CONNECT_TIMEOUT_MS = 1_000
"""Time limit for a connection to a machine that does not answer."""
REVIVE_DELAY_MS = 3_000
"""Time from a crash that a task has caused to the worker's next boot."""
TICK_INTERVAL_MS = 100
UNIX_START_MS = 1_700_000_000_000


class CellCluster:
    """One cell with its current owner, former owners, workers and journal.

    Attributes:
        ground_truth: What the workers really ran.
        cancellations: Checks the runs of cancelled jobs.
        long_running: Checks that tasks which ran before and are to last run again in time.
        planned_hand_overs: Number of owners that have taken over as planned.
        behaviours: Behaviour of each task when it runs.
        is_store_up: Whether appends succeed; while the store is down they are repeated.
        append_delay_ms: Time until an append is durable.
        latency_ms: One-way delay of a message between owner and worker.
        order_loss_rate: Share of orders that a worker executes and whose answer is lost.
        order_delay_rate: Share of orders that reach a worker seconds late, unanswered.
        holds_orders: Whether owners drop orders unsent, as while their ownership is not confirmed.
        pace_loss_rate: Share of pace orders that never arrive.
        answer_delay_rate: Share of orders that a worker executes at once, and answers late.
        busy_rate: Share of start and stop orders that a worker rejects as an unhealthy one does.
        unlisted_workers: Running workers that the store does not list.
        counters: Number of orders sent, by their class.
        operator: Requests evacuations, which the owners read.
        has_boot_fences: Whether the fencing tokens of the owners rise with the boots of workers.
    """

    def __init__(
        self,
        workers: int = 4,
        capacity: Resources | None = None,
        seed: int = 1,
        bounds: Bounds | None = None,
        data_centres: tuple[str, ...] = ("dc",),
        has_boot_fences: bool = False,
    ) -> None:
        self.clock = ManualClock()
        self.rng = Random(seed)
        self.ground_truth = GroundTruth(self.clock.now)
        self.behaviours: dict[str, TaskBehaviour] = {}
        self.bounds = bounds or Bounds()
        self.has_boot_fences = has_boot_fences
        self.journal: dict[str, bytes] = {}
        self.journal_epoch = 0
        self.is_store_up = True
        self.append_delay_ms = 8
        self.latency_ms = 2
        self.order_loss_rate = 0.0
        self.order_delay_rate = 0.0
        self.holds_orders = False
        self.pace_loss_rate = 0.0
        self.answer_delay_rate = 0.0
        self.busy_rate = 0.0
        self.unlisted_workers: set[str] = set()
        self.counters: Counter[str] = Counter()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._event_number = 0
        self._ticket = 0
        self._cancelled_jobs: dict[int, str] = {}
        self._inventories_until: dict[tuple[int, Boot], int] = {}
        self._capacity = capacity or Resources(16_000, 64_000, 0)
        self._data_centres = data_centres
        self.planned_hand_overs = 0
        self.workers: dict[str, EmulatedWorker] = {}
        for number in range(workers):
            self._add_worker(number, boot_ms=1)
        self.operator = EmulatedOperator(self.clock, self.schedule)
        self.owners: list[Owner] = []
        self.take_over()
        monitor = FaultMonitor(self)
        self.cancellations = CancellationCheck(self.ground_truth, monitor, self.bounds.stop_ms)
        self.long_running = LongRunningCheck(self, UnplannedFaultMonitor(self))

    @property
    def owner(self) -> Owner:
        """The newest owner."""
        return self.owners[-1]

    @property
    def cell(self) -> Cell:
        """The newest owner's cell."""
        return self.owner.cell

    def _add_worker(
        self, number: int, boot_ms: int, capacity: Resources | None = None
    ) -> EmulatedWorker:
        data_centre = self._data_centres[number % len(self._data_centres)]
        offered = capacity or self._capacity
        entry = make_entry(f"w{number}", offered, f"rack{number % 2}", boot_ms, data_centre)
        worker = EmulatedWorker(
            entry,
            self.ground_truth,
            self.behaviours,
            max_lease_ms=self.bounds.max_granted_lease_ms,
            stop_ms=self.bounds.stop_ms,
        )
        self.workers[worker.id] = worker
        return worker

    def join_worker(self, capacity: Resources | None = None) -> EmulatedWorker:
        """Let another worker join the cell, by default with the capacity of the first ones."""
        worker = self._add_worker(len(self.workers), self.clock.now() + 1, capacity)
        self.schedule(self.latency_ms, lambda: self._poll_inventory(self.owner, worker))
        return worker

    def read_unix_ms(self) -> int:
        """Return the Unix time in ms."""
        return UNIX_START_MS + self.clock.now()

    def schedule(self, ms: int, action: Callable[[], None]) -> None:
        """Call `action` after `ms` milliseconds."""
        self._event_number += 1
        heapq.heappush(self._events, (self.clock.now() + ms, self._event_number, action))

    def _check(self) -> None:
        self.cancellations.check()
        self.long_running.check()

    def run(self, ms: int) -> None:
        """Advance the emulation by `ms` milliseconds."""
        self._check()
        until = self.clock.now() + ms
        while self.clock.now() < until:
            self.clock.advance(STEP_MS)
            for worker in self.workers.values():
                self._advance_worker(worker)
            while self._events and self._events[0][0] <= self.clock.now():
                heapq.heappop(self._events)[2]()
            if self.clock.now() % CHECK_INTERVAL_MS < STEP_MS:
                self._check()
        self._check()

    def _advance_worker(self, worker: EmulatedWorker) -> None:
        was_up = worker.is_up
        tasks = list(worker.runs)
        worker.advance(STEP_MS)
        if was_up and worker.is_crashed_by_task:
            self._break_gangs(tasks)
            self.schedule(REVIVE_DELAY_MS, lambda: self._revive_if_down(worker))

    def _break_gangs(self, lost_tasks: list[str]) -> None:
        """End the other members of the gangs to which lost tasks belong."""
        gangs = {name.rpartition(".")[0] for name in lost_tasks if self.behaviours[name].is_gang}
        for worker in self.workers.values():
            worker.break_gangs(gangs)

    def take_over(self) -> Owner:
        """Start a new owner from the journal; former ones run until their epoch is refused."""
        epoch = len(self.owners) + 1
        cell = Cell(0, epoch, self.bounds, self.clock, self.read_unix_ms)
        owner = Owner(cell, epoch)
        self.journal_epoch = epoch
        cell.batches.must_raise_fences = self.has_boot_fences
        cell.restore(read_contents(self.journal))
        self.owners.append(owner)
        self.operator.follow(owner)
        self._start_tick(owner)
        for worker in self.workers.values():
            self.schedule(self.latency_ms, lambda w=worker: self._poll_inventory(owner, w))  # type: ignore[misc]
        return owner

    def kill_owner(self) -> None:
        """Stop the newest owner at once, as a crash does."""
        self.owner.is_running = False

    def hand_over(self) -> Owner:
        """Let the newest owner hand the cell over, and start another one."""
        owner = self.owner
        self.planned_hand_overs += owner.is_running
        owner.cell.may_order = False
        for _ in range(20):
            if not owner.is_writing:
                break
            self.run(STEP_MS)
        self._append(owner, owner.cell.batches.pop_hand_over_batch())
        owner.is_running = False
        return self.take_over()

    def _tick(self, owner: Owner) -> None:
        if not owner.is_running or owner.cell.state.fenced:
            return
        owner.cell.handle_entries(self._list_entries())
        owner.cell.tick()
        self.run_effects(owner)
        self.schedule(TICK_INTERVAL_MS, lambda: self._start_tick(owner))

    def _start_tick(self, owner: Owner) -> None:
        """Process a tick that is due."""
        self._tick(owner)

    def _list_entries(self) -> dict[str, WorkerEntry]:
        return {
            worker.id: worker.entry
            for worker in self.workers.values()
            if worker.is_up and worker.id not in self.unlisted_workers
        }

    def _poll_inventory(self, owner: Owner, worker: EmulatedWorker) -> None:
        if not owner.is_running or owner.cell.state.fenced:
            return
        self.schedule(INVENTORY_POLL_INTERVAL_MS, lambda: self._poll_inventory(owner, worker))
        cell_worker = owner.cell.state.workers.get(worker.id)
        if cell_worker is None:
            return
        if worker.has_broken_connections:
            worker.has_broken_connections = False
            owner.cell.handle_no_answer(cell_worker.boot, PollFailure.CONNECTION_LOST)
            return
        boot, fence = cell_worker.boot, cell_worker.fence
        now = self.clock.now()
        if cell_worker.must_ask_next_boot:
            self._ask_next_boot(owner, cell_worker)
        until = cell_worker.renew_lease(self.bounds.lease_ms, now)
        if self._is_misdirected(worker, cell_worker.entry.address):
            misdirected = Answer("other boot", 0)
            self.schedule(
                self.latency_ms,
                lambda: self._handle_inventory_answer(owner, boot, fence, misdirected, now),
            )
            return
        if _rejects_connections(worker, cell_worker.entry.address):
            rejected = PollFailure.REJECTED
            self.schedule(self.latency_ms, lambda: self._handle_failure(owner, boot, rejected))
            return
        if worker.is_silent:
            failure = PollFailure.UNANSWERED
            self.schedule(CONNECT_TIMEOUT_MS, lambda: self._handle_failure(owner, boot, failure))
            return
        if not worker.is_up or worker.is_isolated:
            return
        answer = worker.poll_inventory(fence, cell_worker.ack_cursor, until)
        self._schedule_inventory(
            owner,
            boot,
            self.latency_ms,
            lambda: self._handle_inventory_answer(owner, boot, fence, answer, now),
        )

    def _schedule_inventory(
        self, owner: Owner, boot: Boot, delay_ms: int, action: Callable[[], None]
    ) -> None:
        """Deliver an inventory, but not before earlier ones of the boot.

        The daemon has one poll of a boot open at a time, so that none overtakes another.
        """
        now = self.clock.now()
        at = max(now + delay_ms, self._inventories_until.get((owner.epoch, boot), 0))
        self._inventories_until[owner.epoch, boot] = at
        self.schedule(at - now, action)

    def _ask_next_boot(self, owner: Owner, known: Worker) -> None:
        """Poll the worker at the address in the list's entry of another boot of it."""
        worker, entry = self.workers[known.id], known.next_entry
        if entry is None or entry.address != worker.entry.address:
            return
        if not worker.is_up or worker.is_isolated:
            return
        answer = worker.poll_inventory(known.fence, 0, None)
        if isinstance(answer, Inventory):
            owner.cell.handle_next_boot_inventory(known.boot, entry, answer)
            self.run_effects(owner)

    def _handle_failure(self, owner: Owner, boot: Boot, failure: PollFailure) -> None:
        if owner.is_running:
            owner.cell.handle_no_answer(boot, failure)
            self.run_effects(owner)

    def _is_misdirected(self, worker: EmulatedWorker, address: str) -> bool:
        """Return whether a call to `worker` at `address` reaches another worker."""
        others = (other for other in self.workers.values() if other is not worker)
        return worker.is_replaced or any(other.entry.address == address for other in others)

    def _handle_inventory_answer(
        self, owner: Owner, boot: Boot, fence: int, answer: Inventory | Answer, asked_at: int
    ) -> None:
        if not owner.is_running:
            return
        if isinstance(answer, Inventory):
            owner.cell.handle_inventory(boot, answer, asked_at)
        else:
            owner.cell.answers.handle_inventory_refusal(boot, fence, answer.outcome)
        self.run_effects(owner)

    def run_effects(self, owner: Owner) -> None:
        """Send the orders, return the outcomes and write the records that a cell has produced."""
        if owner.cell.state.is_start_due:
            owner.cell.start_waiting_tasks()
        for effect in owner.cell.pop_effects():
            if isinstance(effect, TicketOutcome):
                self._handle_outcome(owner, effect)
            elif isinstance(effect, StartRun | StopRun | PaceRun):
                self._send(owner, effect)
        if not owner.is_writing and owner.cell.batches.has_records():
            owner.is_writing = True
            batch = owner.cell.batches.pop_batch()
            self.schedule(self.append_delay_ms, lambda: self._append(owner, batch))

    def _handle_outcome(self, owner: Owner, outcome: TicketOutcome) -> None:
        owner.outcomes[outcome.ticket] = outcome.outcome
        job = self._cancelled_jobs.get(outcome.ticket)
        if job is not None and outcome.outcome != "unknown" and owner.is_running:
            self.cancellations.record_acknowledgement(job)

    def _append(self, owner: Owner, batch: Batch) -> None:
        if not owner.is_running:
            return
        if not self.is_store_up:
            self.schedule(TICK_INTERVAL_MS, lambda: self._append(owner, batch))
            return
        if owner.epoch < self.journal_epoch:
            owner.is_running = False
            return
        for record in batch.records:
            if record.value is None:
                self.journal.pop(record.key, None)
            else:
                self.journal[record.key] = encode(record.value)
        owner.is_writing = False
        owner.cell.batches.handle_durable(batch)
        self.run_effects(owner)

    def _send(self, owner: Owner, order: Order) -> None:
        """Send an order, subject to the injected faults; a call times out after 700 ms."""
        if self.holds_orders:
            return
        if isinstance(order, StopRun):
            owner.cell.handle_stop_sent(order)
        self.counters[type(order).__name__] += 1
        sent_at = self.clock.now()
        delivery = draw_delivery(self, order)
        if delivery is None:
            return
        self.schedule(delivery.delay_ms, lambda: self._execute(owner, order, sent_at, delivery))
        if not delivery.may_answer:
            self._time_out(owner, order, sent_at)

    def _time_out(self, owner: Owner, order: Order, sent_at: int) -> None:
        """End a call that gets no answer."""
        answer = Answer("", 0)
        self.schedule(ORDER_TIMEOUT_MS, partial(self._handle_answer, owner, order, answer, sent_at))

    def _execute(
        self,
        owner: Owner,
        order: Order,
        sent_at: int,
        delivery: Delivery,
    ) -> None:
        worker = self.workers[order.worker]
        if self._is_misdirected(worker, order.address):
            self._handle_answer(owner, order, Answer("other boot", 0), sent_at)
            return
        if not worker.is_up or worker.is_isolated or worker.is_listener_closed:
            if delivery.may_answer:
                self._time_out(owner, order, sent_at)
            return
        if delivery.is_rejected:
            answer = Answer("busy", worker.clock_ms)
        elif isinstance(order, StartRun):
            if delivery.is_late:
                self.cancellations.record_late_start(order.task, order.run)
            answer = worker.start(order, order.fence)
        elif isinstance(order, StopRun):
            answer = worker.stop(order, order.fence)
        else:
            answer = worker.pace(order, order.fence)
        if delivery.answer_delay_ms is not None:
            handle_answer = partial(self._handle_answer, owner, order, answer, sent_at)
            self.schedule(delivery.answer_delay_ms, handle_answer)

    def _handle_answer(self, owner: Owner, order: Order, answer: Answer, sent_at: int) -> None:
        if not owner.is_running:
            return
        cell = owner.cell
        if isinstance(order, StartRun):
            cell.answers.handle_start_answer(order, answer.outcome, answer.clock_ms, sent_at)
        elif isinstance(order, StopRun):
            cell.answers.handle_stop_answer(order, answer.outcome, answer.clock_ms, sent_at)
        self.run_effects(owner)

    def submit(
        self,
        spec: JobSpec,
        policy: QueuePolicy,
        durations: dict[int, float | None],
        **behaviour: bool,
    ) -> int:
        """Submit a job to the newest owner and return the ticket.

        Args:
            spec: The job.
            policy: The policy of its queue.
            durations: Real duration in ms of the tasks by step, None if they run until stopped.
            behaviour: Further fields of the tasks' `TaskBehaviour`.
        """
        self.behaviours.update(make_behaviours(spec, durations, behaviour))
        declare_tasks(self.ground_truth, spec, policy.max_attempts)
        self.long_running.record_submission(spec, policy.service)
        self._ticket += 1
        record = JobRecord(spec, policy, self.read_unix_ms())
        self.cell.submit(record, self._ticket)
        self.run_effects(self.owner)
        return self._ticket

    def cancel(self, job: str) -> int:
        """Cancel a job at the newest owner and return the ticket."""
        self._ticket += 1
        self._cancelled_jobs[self._ticket] = job
        self.long_running.record_cancellation(job)
        self.cell.cancel(job, self._ticket)
        self.run_effects(self.owner)
        return self._ticket

    def resize(self, worker: str, capacity: Resources, entry_delay_ms: int = 0) -> None:
        """Let a worker offer another capacity, which its entry shows after a delay."""
        resized = self.workers[worker]
        resized.resize(capacity)
        self.schedule(entry_delay_ms, resized.publish_capacity)

    def _revive_if_down(self, worker: EmulatedWorker) -> None:
        """Start a crashed worker again, unless that has happened meanwhile."""
        if not worker.is_up:
            self.revive(worker.id)

    def revive(self, worker: str, address: str = "") -> None:
        """Start a crashed worker again, as a new boot, at the same address unless one is given."""
        old = self.workers[worker]
        boot_ms = old.entry.boot_ms + self.clock.now() + 1
        address = address or old.entry.address
        old.revive(replace(old.entry, boot_ms=boot_ms, address=address, is_draining=False))


def _rejects_connections(worker: EmulatedWorker, address: str) -> bool:
    """Return whether nothing listens at an address, which may be a false one of a worker."""
    if address != worker.entry.address:
        return True
    has_left = worker.has_left and not worker.is_silent
    return not worker.is_isolated and (has_left or worker.is_listener_closed)


def make_entry(
    worker: str, capacity: Resources, rack: str, boot_ms: int, data_centre: str = "dc"
) -> WorkerEntry:
    """Return the entry under which an emulated worker is listed."""
    return WorkerEntry(
        worker, boot_ms, "pool", f"{worker}:1", data_centre, False, capacity, ("a", rack), rack
    )


def make_spec(job: str, *steps: StepSpec, **fields: int) -> JobSpec:
    """Return a job whose payload differs from that of every other job."""
    return JobSpec(job, f"payload of {job}", steps, **fields)
