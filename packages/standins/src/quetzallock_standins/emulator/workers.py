"""One emulated worker: fence, lease on its own clock, runs, ends, checkpoints, room."""

from dataclasses import dataclass, field

from quetzallock_core.cells.models import (
    EndRow,
    Inventory,
    PaceRun,
    Resources,
    RunningRow,
    StartRun,
    StopRun,
    WorkerEntry,
)
from quetzallock_core.cells.workers import compute_commitment

from .ground_truth import GroundTruth

FULL_PACE = 100
MAX_ENDS_PER_INVENTORY = 500
TAIL_SMOOTHING_MS = 250


@dataclass(frozen=True, slots=True)
class Answer:
    """A worker's answer to an order: the outcome, and the worker's clock in ms."""

    outcome: str
    clock_ms: int


@dataclass(slots=True)
class EmulatedRun:
    """One run; `left_ms` is the work still to do, None for a task that lasts."""

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


@dataclass(frozen=True, slots=True)
class TaskBehaviour:
    """What a task really is.

    Attributes:
        duration_ms: Its length on a sound worker, None if it lasts.
        fails: It fails wherever it runs.
    """

    needs: Resources
    duration_ms: float | None
    fails: bool = False
    is_best_effort: bool = False
    image: str = ""
    target_ms: int = 0


@dataclass(slots=True)
class EmulatedWorker:
    """One worker; `mode` is `sound`, `grey` (fails all it starts), `hang` or `slow`.

    Attributes:
        is_replaced: It is down, and another worker answers at its address.
        has_broken_connections: It has crashed, so that the next call finds its connection broken.
    """

    entry: WorkerEntry
    ground_truth: GroundTruth
    behaviours: dict[str, TaskBehaviour]
    max_lease_ms: int = 6_000
    stop_ms: int = 200
    clock_rate: float = 1.0
    mode: str = "sound"
    is_up: bool = True
    is_isolated: bool = False
    is_replaced: bool = False
    has_broken_connections: bool = False
    interference: dict[tuple[str, str], float] = field(default_factory=dict)
    fence: int = 0
    lease_until: int = 0
    runs: dict[str, EmulatedRun] = field(default_factory=dict)
    ends: list[EndRow] = field(default_factory=list)
    highest_closed_runs: dict[str, int] = field(default_factory=dict)
    _next_end: int = 1
    _clock: float = 1_000.0

    @property
    def id(self) -> str:
        """Its id."""
        return self.entry.worker

    @property
    def clock_ms(self) -> int:
        """Its clock in ms."""
        return int(self._clock)

    @property
    def committed(self) -> Resources:
        """What its runs take, including those being stopped."""
        total = Resources()
        for run in self.runs.values():
            total = total + compute_commitment(run.needs, run.is_best_effort)
        return total

    def _admits(self, epoch: int) -> bool:
        if epoch < self.fence:
            return False
        self.fence = epoch
        return True

    def _extend(self, until_ms: int) -> None:
        capped = min(until_ms, self.clock_ms + self.max_lease_ms)
        self.lease_until = max(self.lease_until, capped)

    def start(self, order: StartRun, epoch: int) -> Answer:
        """Carry out a start."""
        if not self._admits(epoch):
            return Answer("fence", self.clock_ms)
        self._extend(order.until_ms)
        known = self.runs.get(order.task)
        if known is not None and known.order.run == order.run:
            return Answer("ok", self.clock_ms)
        if order.run <= self.highest_closed_runs.get(order.task, 0) or known is not None:
            return Answer("old", self.clock_ms)
        if order.until_ms <= self.clock_ms:
            return Answer("late", self.clock_ms)
        behaviour = self.behaviours[order.task]
        after = self.committed + compute_commitment(behaviour.needs, behaviour.is_best_effort)
        if not after.fits_in(self.entry.capacity):
            return Answer("room", self.clock_ms)
        self._begin(order, behaviour)
        return Answer("ok", self.clock_ms)

    def _begin(self, order: StartRun, behaviour: TaskBehaviour) -> None:
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
        )
        self.ground_truth.record_start(order.task, order.run, self.id, self.entry.boot_ms)

    def stop(self, order: StopRun, epoch: int) -> Answer:
        """Carry out a stop."""
        if not self._admits(epoch):
            return Answer("fence", self.clock_ms)
        run = self.runs.get(order.task)
        if run is not None and run.order.run <= order.run:
            run.stops_at = run.stops_at or self.clock_ms + self.stop_ms
        highest = self.highest_closed_runs.get(order.task, 0)
        self.highest_closed_runs[order.task] = max(highest, order.run)
        return Answer("ok", self.clock_ms)

    def pace(self, order: PaceRun, epoch: int) -> Answer:
        """Carry out a change of pace."""
        if not self._admits(epoch):
            return Answer("fence", self.clock_ms)
        run = self.runs.get(order.task)
        if run is not None and run.order.run == order.run:
            run.pace = order.percent
        return Answer("ok", self.clock_ms)

    def poll_inventory(
        self, epoch: int, ack_cursor: int, until_ms: int | None
    ) -> Inventory | Answer:
        """Renew the lease, forget acknowledged ends and tell what runs and has ended."""
        if not self._admits(epoch):
            return Answer("fence", self.clock_ms)
        if until_ms is not None:
            self._extend(until_ms)
        for end in self.ends:
            if end.number <= ack_cursor:
                self.ground_truth.record_acknowledged_end(end.task, end.run, end.how)
        self.ends = [end for end in self.ends if end.number > ack_cursor]
        running = tuple(self._describe(run) for run in self.runs.values())
        ends = tuple(self.ends[:MAX_ENDS_PER_INVENTORY])
        return Inventory(self.clock_ms, running, ends, self.entry.boot_ms)

    def _describe(self, run: EmulatedRun) -> RunningRow:
        saved = self._saved(run)
        if run.target_ms:
            metric = run.mean_tail
        else:
            metric = 0.0 if self.mode == "hang" else run.needs.cpu * run.pace / FULL_PACE
        return RunningRow(run.order.task, run.order.run, saved, FULL_PACE, metric)

    def _tail(self, run: EmulatedRun) -> float:
        factor = 1.0
        for other in self.runs.values():
            share = other.needs.cpu * other.pace / FULL_PACE / self.entry.capacity.cpu
            factor += self.interference.get((run.image, other.image), 0.0) * share
        return 0.35 * run.target_ms * factor

    def _saved(self, run: EmulatedRun) -> str:
        behaviour = self.behaviours[run.order.task]
        if behaviour.duration_ms is None or run.left_ms is None:
            return ""
        done = behaviour.duration_ms - run.left_ms
        return str(int(done)) if done >= 1 else ""

    def advance(self, ms: int) -> None:
        """Let `ms` ms pass."""
        self._clock += ms * self.clock_rate
        if not self.is_up:
            return
        for run in list(self.runs.values()):
            self._work(run, ms)
        if self.runs and self.clock_ms > self.lease_until:
            for run in list(self.runs.values()):
                self._end(run, "lapsed")

    def _work(self, run: EmulatedRun, ms: int) -> None:
        if run.target_ms:
            tail = self._tail(run)
            run.mean_tail += (tail - run.mean_tail) * min(1.0, ms / TAIL_SMOOTHING_MS)
        if run.stops_at is not None and self.clock_ms >= run.stops_at:
            self._end(run, "stopped")
            return
        if run.left_ms is None or self.mode == "hang":
            return
        if run.fails:
            self._end(run, "failed")
            return
        speed = 0.2 if self.mode == "slow" else 1.0
        run.left_ms -= ms * speed * run.pace / FULL_PACE
        if run.left_ms <= 0:
            self._end(run, "done")

    def _end(self, run: EmulatedRun, how: str) -> None:
        task = run.order.task
        del self.runs[task]
        self.highest_closed_runs[task] = max(self.highest_closed_runs.get(task, 0), run.order.run)
        saved = "" if how == "done" else self._saved(run)
        self.ends.append(EndRow(self._next_end, task, run.order.run, how, saved))
        self._next_end += 1
        self.ground_truth.record_end(task, run.order.run, how)

    def crash(self) -> None:
        """Lose everything; the worker is silent until it is reborn."""
        self.is_up = False
        self.has_broken_connections = True
        for run in self.runs.values():
            self.ground_truth.record_end(run.order.task, run.order.run, "crashed")
        self.runs.clear()
        self.ends.clear()
        self.highest_closed_runs.clear()
        self.fence = 0
        self._next_end = 1
        self.lease_until = 0

    def revive(self, entry: WorkerEntry) -> None:
        """Start again as another life under the same id."""
        self.entry = entry
        self._clock = 0.0
        self.is_up = True
