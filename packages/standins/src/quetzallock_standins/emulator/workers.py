"""Emulated worker: a fence, a lease on its own clock, runs, unacknowledged ends, checkpoints."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from quetzallock_core.cells.models import EndRow, Inventory, Resources, RunningRow, WorkerEntry
from quetzallock_core.cells.orders import PaceRun, StartRun, StopRun
from quetzallock_core.cells.workers import compute_commitment

from .ground_truth import GroundTruth

FULL_PACE = 100
MAX_ENDS_PER_INVENTORY = 500
TAIL_SMOOTHING_MS = 250
SHRINK_TOLERANCE_MS = 600
"""How long after a shrink a start that fits into the larger capacity breaks no promise."""
CRASH_DELAY_MS = 10
"""Time from the start of a task that crashes its worker to the crash, unless it says otherwise."""


@dataclass(frozen=True, slots=True)
class Answer:
    """A worker's answer to an order: the outcome, and the worker's clock in ms.

    An empty outcome stands for no answer.
    """

    outcome: str
    clock_ms: int


@dataclass(slots=True)
class EmulatedRun:
    """One run of a task.

    Attributes:
        left_ms: Work still to do at full pace, None for a task that runs until it is stopped.
        stops_at: The worker's clock at which a stopped run ends.
        mean_tail: Smoothed tail latency, if the task has a target for it.
        crashes_at: The worker's clock at which the run crashes the worker.
    """

    order: StartRun
    needs: Resources
    is_best_effort: bool
    image: str
    target_ms: int
    left_ms: float | None
    fails: bool
    pace: int = FULL_PACE
    stops_at: int | None = None
    mean_tail: float = 0.0
    crashes_at: int | None = None


@dataclass(frozen=True, slots=True)
class TaskBehaviour:
    """How a task behaves when it runs, whatever its job declares.

    Attributes:
        duration_ms: Its duration on a worker without faults, None if it runs until it is stopped.
        fails: Whether it fails on every worker; of no effect without a duration.
        is_best_effort: Whether it uses only processor time that others leave.
        crashes_worker: Whether it crashes each worker that starts it.
        crash_delay_ms: Time from its start to that crash.
        is_gang: Whether it ends when another task of its step is lost with its worker.
    """

    needs: Resources
    duration_ms: float | None
    fails: bool = False
    is_best_effort: bool = False
    image: str = ""
    target_ms: int = 0
    crashes_worker: bool = False
    is_gang: bool = False
    crash_delay_ms: int = CRASH_DELAY_MS


def _compute_even_load(_clock_ms: float) -> float:
    return 1.0


@dataclass(slots=True)
class EmulatedWorker:
    """One worker and the faults that are injected into it.

    Attributes:
        clock_rate: Speed of its clock, as a multiple of the true one.
        stop_ms: Time from a stop order to the end of the run.
        mode: `sound`, `grey` (all runs but those without a duration fail), `hang` (runs make no
            progress) or `slow` (runs take five times as long).
        is_isolated: Whether no calls reach it; its runs go on until the lease lapses.
        guards_capacity: Whether it refuses a start that does not fit into its capacity.
        is_replaced: Whether it is down and another worker answers at its address.
        is_listener_closed: Whether it rejects connections although its runs go on.
        has_broken_connections: Whether the next call finds its connection broken by a crash.
        is_crashed_by_task: Whether a task has crashed it since its last start.
        has_left: Whether it is down since it has left as announced.
        is_silent: Whether its machine has gone too, so that it accepts and rejects no connection.
        crashes: Number of its crashes.
        interference: For a pair of images, the relative increase of the first one's tail latency
            if tasks of the second use the whole processor.
        compute_load: Returns, for a time on its clock, the factor by which the load of the serving
            tasks changes their tail latency.
        fence: Highest fencing token seen; orders with a lower one are refused.
        highest_closed_runs: For each task, the highest run that has ended or was stopped; a start
            of it or of an earlier one is refused.
        capacity: Resources that it offers, which its entry shows with a delay.
        processor_cpu: Its real processor, whatever it offers, in thousandths of a core.
    """

    entry: WorkerEntry
    ground_truth: GroundTruth
    behaviours: dict[str, TaskBehaviour]
    max_lease_ms: int = 6_000
    stop_ms: int = 200
    clock_rate: float = 1.0
    mode: str = "sound"
    guards_capacity: bool = True
    is_up: bool = True
    is_isolated: bool = False
    is_replaced: bool = False
    is_listener_closed: bool = False
    has_broken_connections: bool = False
    is_crashed_by_task: bool = False
    has_left: bool = False
    is_silent: bool = False
    crashes: int = 0
    interference: dict[tuple[str, str], float] = field(default_factory=dict)
    compute_load: Callable[[float], float] = _compute_even_load
    fence: int = 0
    lease_until: int = 0
    runs: dict[str, EmulatedRun] = field(default_factory=dict)
    ends: list[EndRow] = field(default_factory=list)
    highest_closed_runs: dict[str, int] = field(default_factory=dict)
    capacity: Resources = field(init=False)
    processor_cpu: int = field(init=False)
    _next_end: int = 1
    _lapsed_end: int = 0
    _clock: float = 1_000.0
    _former_capacities: list[tuple[int, Resources]] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Offer the whole processor."""
        self.capacity = self.entry.capacity
        self.processor_cpu = self.entry.capacity.cpu

    @property
    def id(self) -> str:
        """The id of the worker."""
        return self.entry.worker

    @property
    def clock_ms(self) -> int:
        """The worker's clock in ms."""
        return int(self._clock)

    def set_clock(self, clock_ms: int) -> None:
        """Set its clock, as if it had been up for that long."""
        self._clock = float(clock_ms)

    @property
    def committed(self) -> Resources:
        """Capacity committed to its runs, including those that are being stopped."""
        total = Resources()
        for run in self.runs.values():
            total = total + compute_commitment(run.needs, run.is_best_effort)
        return total

    def _accept_fence(self, fence: int) -> bool:
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def _extend_lease(self, until_ms: int) -> None:
        capped = min(until_ms, self.clock_ms + self.max_lease_ms)
        self.lease_until = max(self.lease_until, capped)

    def start(self, order: StartRun, fence: int) -> Answer:
        """Execute a start order."""
        if not self._accept_fence(fence):
            return Answer("fence", self.clock_ms)
        self._extend_lease(order.until_ms)
        current = self.runs.get(order.task)
        if current is not None and current.order.run == order.run:
            return Answer("ok", self.clock_ms)
        if order.run <= self.highest_closed_runs.get(order.task, 0) or current is not None:
            return Answer("old", self.clock_ms)
        if order.until_ms <= self.clock_ms:
            return Answer("late", self.clock_ms)
        behaviour = self.behaviours[order.task]
        committed = self.committed + compute_commitment(behaviour.needs, behaviour.is_best_effort)
        if self.guards_capacity and not committed.fits_in(self.capacity):
            return Answer("room", self.clock_ms)
        if not committed.fits_in(self._get_tolerated_capacity()):
            self.ground_truth.record_overload(order.task, order.run, self.id)
        self._start_run(order, behaviour)
        return Answer("ok", self.clock_ms)

    def _get_tolerated_capacity(self) -> Resources:
        """Return the largest capacity that it has offered within `SHRINK_TOLERANCE_MS`."""
        now = self.ground_truth.read_ms()
        recent = [
            capacity
            for until, capacity in self._former_capacities
            if now - until < SHRINK_TOLERANCE_MS
        ]
        recent.append(self.capacity)
        return Resources(
            max(capacity.cpu for capacity in recent),
            max(capacity.memory_mb for capacity in recent),
            max(capacity.gpus for capacity in recent),
        )

    def _start_run(self, order: StartRun, behaviour: TaskBehaviour) -> None:
        left = behaviour.duration_ms
        if left is not None and order.checkpoint:
            left = max(0.0, left - float(order.checkpoint))
        self.runs[order.task] = EmulatedRun(
            order,
            behaviour.needs,
            behaviour.is_best_effort,
            behaviour.image,
            behaviour.target_ms,
            left,
            behaviour.fails or self.mode == "grey",
            crashes_at=(
                self.clock_ms + behaviour.crash_delay_ms if behaviour.crashes_worker else None
            ),
        )
        self.ground_truth.record_start(order.task, order.run, self.id, self.entry.boot_ms)

    def stop(self, order: StopRun, fence: int) -> Answer:
        """Execute a stop order."""
        if not self._accept_fence(fence):
            return Answer("fence", self.clock_ms)
        run = self.runs.get(order.task)
        if run is not None and run.order.run <= order.run:
            run.stops_at = run.stops_at or self.clock_ms + self.stop_ms
        highest = self.highest_closed_runs.get(order.task, 0)
        self.highest_closed_runs[order.task] = max(highest, order.run)
        return Answer("ok", self.clock_ms)

    def pace(self, order: PaceRun, fence: int) -> Answer:
        """Execute a pace order."""
        if not self._accept_fence(fence):
            return Answer("fence", self.clock_ms)
        run = self.runs.get(order.task)
        if run is not None and run.order.run == order.run:
            run.pace = order.percent
        return Answer("ok", self.clock_ms)

    def poll_inventory(
        self, fence: int, ack_cursor: int, until_ms: int | None
    ) -> Inventory | Answer:
        """Renew the lease, drop acknowledged ends and return the running and ended runs."""
        if not self._accept_fence(fence):
            return Answer("fence", self.clock_ms)
        if until_ms is not None:
            self._extend_lease(until_ms)
        for end in self.ends:
            if end.number <= ack_cursor:
                has_lapsed = end.number <= self._lapsed_end
                self.ground_truth.record_acknowledged_end(end.task, end.run, end.how, has_lapsed)
        self.ends = [end for end in self.ends if end.number > ack_cursor]
        running = tuple(self._describe(run) for run in self.runs.values())
        ends = tuple(self.ends[:MAX_ENDS_PER_INVENTORY])
        is_full = len(ends) == MAX_ENDS_PER_INVENTORY
        return Inventory(self.clock_ms, running, ends, self.entry.boot_ms, is_full)

    def _describe(self, run: EmulatedRun) -> RunningRow:
        checkpoint = self._format_checkpoint(run)
        if run.target_ms:
            metric = run.mean_tail
        else:
            metric = 0.0 if self.mode == "hang" else run.needs.cpu * run.pace / FULL_PACE
        return RunningRow(run.order.task, run.order.run, checkpoint, FULL_PACE, metric)

    def _compute_tail(self, run: EmulatedRun) -> float:
        """Return the tail latency in ms: 35 % of the target, increased by the interference."""
        factor = 1.0
        for other in self.runs.values():
            share = other.needs.cpu * other.pace / FULL_PACE / self.processor_cpu
            factor += self.interference.get((run.image, other.image), 0.0) * share
        return 0.35 * run.target_ms * factor * self.compute_load(self._clock)

    def _format_checkpoint(self, run: EmulatedRun) -> str:
        behaviour = self.behaviours[run.order.task]
        if behaviour.duration_ms is None or run.left_ms is None:
            return ""
        completed_ms = behaviour.duration_ms - run.left_ms
        return str(int(completed_ms)) if completed_ms >= 1 else ""

    def advance(self, ms: int) -> None:
        """Advance the worker by `ms` milliseconds of true time."""
        self._clock += ms * self.clock_rate
        if not self.is_up:
            return
        for run in list(self.runs.values()):
            self._advance_run(run, ms)
        if any(self._is_crash_due(run) for run in self.runs.values()):
            self.crash()
            self.is_crashed_by_task = True
        if self.clock_ms > self.lease_until:
            for run in list(self.runs.values()):
                self._end_run(run, "lapsed")
            self._lapsed_end = self._next_end - 1

    def _is_crash_due(self, run: EmulatedRun) -> bool:
        return run.crashes_at is not None and self.clock_ms >= run.crashes_at

    def _advance_run(self, run: EmulatedRun, ms: int) -> None:
        if run.target_ms:
            tail = self._compute_tail(run)
            run.mean_tail += (tail - run.mean_tail) * min(1.0, ms / TAIL_SMOOTHING_MS)
        if run.stops_at is not None and self.clock_ms >= run.stops_at:
            self._end_run(run, "stopped")
            return
        if run.left_ms is None or self.mode == "hang":
            return
        if run.fails:
            self._end_run(run, "failed")
            return
        speed = 0.2 if self.mode == "slow" else 1.0
        run.left_ms -= ms * speed * run.pace / FULL_PACE
        if run.left_ms <= 0:
            self._end_run(run, "done")

    def _end_run(self, run: EmulatedRun, outcome: str) -> None:
        task = run.order.task
        del self.runs[task]
        self.highest_closed_runs[task] = max(self.highest_closed_runs.get(task, 0), run.order.run)
        checkpoint = "" if outcome == "done" else self._format_checkpoint(run)
        self.ends.append(EndRow(self._next_end, task, run.order.run, outcome, checkpoint))
        self._next_end += 1
        self.ground_truth.record_end(task, run.order.run, outcome)

    def resize(self, capacity: Resources) -> None:
        """Offer another capacity from now on; what runs goes on."""
        self._former_capacities.append((self.ground_truth.read_ms(), self.capacity))
        self.capacity = capacity

    def publish_capacity(self) -> None:
        """Show the current capacity in the entry."""
        self.entry = replace(self.entry, capacity=self.capacity)

    def break_gangs(self, gangs: set[str]) -> None:
        """End the runs of these gangs, each named by job, occurrence and step."""
        for run in list(self.runs.values()):
            if run.order.task.rpartition(".")[0] in gangs:
                self._end_run(run, "broken")

    def drain(self) -> None:
        """Announce that the worker is about to leave; it goes on until `leave`."""
        self.entry = replace(self.entry, is_draining=True)

    def set_cold(self, remaining_ms: int) -> None:
        """Announce that the worker is slow for `remaining_ms`."""
        self.entry = replace(self.entry, cold_remaining_ms=remaining_ms)

    def crash(self) -> None:
        """Lose all state; the worker does not answer until `revive`."""
        self.crashes += 1
        self._shut_down("crashed")

    def leave(self, is_silent: bool = False) -> None:
        """Leave as announced by `drain`: all runs end, the entry goes, and nothing listens.

        If `is_silent`, the machine goes too: after its connections are closed it answers nothing.
        """
        if not self.entry.is_draining:
            raise ValueError(f"{self.id} has not announced its leave")
        self.has_left = True
        self.is_silent = is_silent
        self._shut_down("left")

    def _shut_down(self, outcome: str) -> None:
        self.is_up = False
        self.has_broken_connections = True
        for run in self.runs.values():
            self.ground_truth.record_end(run.order.task, run.order.run, outcome)
        self.runs.clear()
        self.ends.clear()
        self.highest_closed_runs.clear()
        self._former_capacities.clear()
        self.fence = 0
        self._next_end = 1
        self._lapsed_end = 0
        self.lease_until = 0

    def revive(self, entry: WorkerEntry) -> None:
        """Start again as a new boot under the same id."""
        self.entry = entry
        self.capacity = entry.capacity
        self._clock = 0.0
        self.is_up = True
        self.has_left = False
        self.is_silent = False
        self.is_crashed_by_task = False
