"""One worker without sockets: leases with epochs, tasks, checkpoints, lagging usage, guards.

The worker never refuses work for lack of room: it runs it and counts the over-commitment, so
that the scheduler's own care is what a check sees.
"""

from dataclasses import dataclass, field, replace
from typing import Final

from quetzallock_core.workers.const import (
    CLOSED,
    FAILED,
    FINISHED,
    LAPSED,
    REFUSED_BUSY,
    REFUSED_CLOSED,
    REFUSED_LATE,
    REFUSED_STALE,
    RUNNING,
    STOPPED,
)
from quetzallock_core.workers.models import (
    NOTHING,
    CommandResult,
    ReleaseWorker,
    Resources,
    StartTask,
    StopTask,
    SyncWorker,
    TaskLease,
    TaskStatus,
    ThrottleTask,
    WorkerAnswer,
    WorkerCommand,
    WorkerState,
)

CHECKPOINT_MS: Final = 1_000
USAGE_LAG_MS: Final = 10_000
PAUSE_MS: Final = 1_500
CLOSED_KEPT_MS: Final = 3_600_000


@dataclass(frozen=True, slots=True)
class WorkerShape:
    """What a worker has, and how it misbehaves.

    Attributes:
        fails_all: Whether everything that is started fails at once.
        slowdown_percent: How much longer declared run times take.
        usage_percent: What tasks use, as a share of what they declare.
    """

    capacity: Resources
    slots: int = 8
    fails_all: bool = False
    slowdown_percent: int = 0
    usage_percent: int = 100


@dataclass(frozen=True, slots=True)
class RunRecord:
    """One span of time in which an attempt really ran; the truth that checks join with."""

    worker: str
    task: str
    attempt: int
    started_at: int
    ended_at: int
    start_progress_ms: int
    end_progress_ms: int
    ending: str


@dataclass(slots=True)
class _Task:
    attempt: int
    state: str
    demand: Resources
    run_ms: int
    progress_ms: int
    checkpoint_ms: int
    until: int
    started_at: int
    start_progress_ms: int
    version: int
    throttle_percent: int = 100


@dataclass(slots=True)
class WorkerCounters:
    """Counts of what must never happen, and the highest use of the worker seen."""

    over_committed: int = 0
    two_attempts: int = 0
    over_slots: int = 0
    peak: Resources = NOTHING
    peak_slots: int = 0


@dataclass(slots=True)
class WorkerModel:
    """The state of one worker; all times are its own clock's."""

    name: str
    shape: WorkerShape
    boot: str
    epoch: int = 0
    holder: str = ""
    lease_until: int = 0
    booted_at: int = 0
    leaving: bool = False
    busy_slots: int = 0
    service_reserve: Resources = NOTHING
    counters: WorkerCounters = field(default_factory=WorkerCounters)
    history: list[RunRecord] = field(default_factory=list)
    _version: int = 0
    _seen_at: int = 0
    _usage_at: int = 0
    _tasks: dict[str, _Task] = field(default_factory=dict)
    _closed: dict[str, tuple[int, int]] = field(default_factory=dict)

    def handle(self, command: WorkerCommand, now: int) -> WorkerAnswer:
        """Carry out one command."""
        self.advance(now)
        if isinstance(command, SyncWorker):
            return self._sync(command, now)
        current = (command.boot, command.epoch) == (self.boot, self.epoch)
        if not current or now >= self.lease_until:
            return CommandResult(False, REFUSED_STALE)
        match command:
            case StartTask():
                return self._start(command, now)
            case StopTask():
                return self._stop(command, now)
            case ThrottleTask():
                return self._throttle(command)
            case ReleaseWorker():
                self.lease_until = now
                return CommandResult(True)

    def advance(self, now: int) -> None:
        """Let tasks run up to `now`; a long gap means that the worker itself was paused."""
        passed = now - self._seen_at
        paused = passed > PAUSE_MS
        for name, task in self._tasks.items():
            if task.state != RUNNING:
                continue
            work = 0 if paused else self._find_work(task, min(now, task.until) - self._seen_at)
            task.progress_ms += max(0, work)
            self._settle(name, task, now)
        if now >= self._usage_at:
            self._publish_usage(now)
        self._seen_at = max(self._seen_at, now)

    def _publish_usage(self, now: int) -> None:
        """Let checkpoints and usage of running tasks show up, which happens with a lag."""
        self._usage_at = now + USAGE_LAG_MS
        for task in self._tasks.values():
            if task.state == RUNNING:
                self._touch(task)

    def count_running(self) -> int:
        """Return how many tasks run."""
        return sum(task.state == RUNNING for task in self._tasks.values())

    def crash(self, now: int, boot: str) -> None:
        """Lose everything and start again under another boot id."""
        for name, task in self._tasks.items():
            if task.state == RUNNING:
                self._record(name, task, now, "crashed")
            elif task.state == FINISHED:
                self._mark_lost(name, task)
        self.boot, self.epoch, self.holder, self.lease_until = boot, 0, "", 0
        self.booted_at = now
        self._tasks.clear()
        self._closed.clear()
        self.busy_slots = 0

    def _mark_lost(self, name: str, task: _Task) -> None:
        """Note that a result was lost before it was acknowledged: nobody has it."""
        for at, run in enumerate(self.history):
            if (run.task, run.attempt, run.ending) == (name, task.attempt, FINISHED):
                self.history[at] = replace(run, ending="result lost")

    def _find_work(self, task: _Task, passed: int) -> int:
        return passed * task.throttle_percent // (100 + self.shape.slowdown_percent)

    def _settle(self, name: str, task: _Task, now: int) -> None:
        if task.progress_ms >= task.run_ms:
            task.progress_ms = task.checkpoint_ms = task.run_ms
            self._end(name, task, FINISHED, min(now, task.until))
            return
        task.checkpoint_ms = max(
            task.checkpoint_ms, task.progress_ms // CHECKPOINT_MS * CHECKPOINT_MS
        )
        if now >= task.until:
            task.checkpoint_ms = task.progress_ms
            self._end(name, task, LAPSED, task.until)

    def _end(self, name: str, task: _Task, state: str, at: int) -> None:
        task.state = state
        self._touch(task)
        self._record(name, task, at, state)

    def list_open_runs(self, now: int) -> list[RunRecord]:
        """Return the runs that go on, as far as their task leases allow."""
        return [
            self._describe_run(name, task, max(task.started_at, min(now, task.until)), RUNNING)
            for name, task in self._tasks.items()
            if task.state == RUNNING
        ]

    def _record(self, name: str, task: _Task, at: int, ending: str) -> None:
        self.history.append(self._describe_run(name, task, at, ending))

    def _describe_run(self, name: str, task: _Task, at: int, ending: str) -> RunRecord:
        return RunRecord(
            self.name,
            name,
            task.attempt,
            task.started_at,
            at,
            task.start_progress_ms,
            task.checkpoint_ms,
            ending,
        )

    def _touch(self, task: _Task) -> None:
        self._version += 1
        task.version = self._version

    def _sync(self, sync: SyncWorker, now: int) -> WorkerState:
        held = now < self.lease_until
        same = (sync.holder, sync.boot, sync.epoch) == (self.holder, self.boot, self.epoch)
        if held and not same:
            return self._describe(False, now, ())
        since = sync.since
        if not (held and same):
            self.epoch += 1
            self.holder = sync.holder
            since = 0
        self.lease_until = now + sync.ttl_ms
        if sync.boot == self.boot:
            self._renew(sync.leases)
            self._acknowledge(sync)
        tasks = tuple(
            self._status(name, task)
            for name, task in self._tasks.items()
            if since == 0 or task.version >= since
        )
        return self._describe(True, now, tasks, since == 0)

    def _describe(
        self, granted: bool, now: int, tasks: tuple[TaskStatus, ...], complete: bool = False
    ) -> WorkerState:
        return WorkerState(
            granted,
            self.holder,
            self.boot,
            self.epoch if granted else 0,
            now,
            self.leaving,
            self.shape.capacity,
            self.shape.slots,
            self.busy_slots,
            self._version + 1 if granted else 0,
            complete,
            tasks,
            now - self.booted_at,
        )

    def _renew(self, leases: tuple[TaskLease, ...]) -> None:
        for lease in leases:
            task = self._tasks.get(lease.task)
            if task is not None and task.attempt == lease.attempt and task.state == RUNNING:
                task.until = max(task.until, lease.until)

    def _acknowledge(self, sync: SyncWorker) -> None:
        for end in sync.acks:
            task = self._tasks.get(end.task)
            if task is not None and task.attempt == end.attempt and task.state != RUNNING:
                del self._tasks[end.task]
                self._close(end.task, end.attempt, self._seen_at)

    def _close(self, task: str, attempt: int, now: int) -> None:
        newest = max(attempt, self._closed.get(task, (0, 0))[0])
        self._closed[task] = (newest, now)
        for name, (_, at) in list(self._closed.items())[:2]:
            if now - at >= CLOSED_KEPT_MS:
                del self._closed[name]

    def _start(self, start: StartTask, now: int) -> CommandResult:
        task = self._tasks.get(start.task)
        if task is not None and task.attempt == start.attempt:
            return CommandResult(True, "", self._status(start.task, task))
        if start.attempt <= self._closed.get(start.task, (0, 0))[0]:
            return CommandResult(False, REFUSED_CLOSED, _closed_status(start))
        if now >= start.until:
            self._close(start.task, start.attempt, now)
            return CommandResult(False, REFUSED_LATE, _closed_status(start))
        if task is not None and task.state == RUNNING:
            self.counters.two_attempts += 1
            return CommandResult(False, REFUSED_BUSY)
        return CommandResult(True, "", self._launch(start, now))

    def _launch(self, start: StartTask, now: int) -> TaskStatus:
        task = _Task(
            start.attempt,
            RUNNING,
            start.demand,
            start.run_ms,
            start.progress_ms,
            start.progress_ms,
            start.until,
            now,
            start.progress_ms,
            0,
        )
        self._tasks[start.task] = task
        self._touch(task)
        if self.shape.fails_all:
            self._end(start.task, task, FAILED, now)
        self.check_room()
        return self._status(start.task, task)

    def check_room(self) -> None:
        """Count an over-commitment of declared resources."""
        committed = self.service_reserve
        for task in self._tasks.values():
            if task.state == RUNNING:
                committed += task.demand
        self.counters.peak = self.counters.peak.cover(committed)
        if not committed.fits(self.shape.capacity):
            self.counters.over_committed += 1

    def _stop(self, stop: StopTask, now: int) -> CommandResult:
        task = self._tasks.get(stop.task)
        if task is None or task.attempt < stop.attempt:
            self._close(stop.task, stop.attempt, now)
            status = TaskStatus(stop.task, stop.attempt, CLOSED, NOTHING)
            return CommandResult(True, "", status)
        if task.attempt == stop.attempt and task.state == RUNNING:
            task.checkpoint_ms = task.progress_ms
            self._end(stop.task, task, STOPPED, now)
            self._close(stop.task, stop.attempt, now)
        return CommandResult(True, "", self._status(stop.task, task))

    def _throttle(self, command: ThrottleTask) -> CommandResult:
        task = self._tasks.get(command.task)
        if task is None or task.attempt != command.attempt:
            return CommandResult(False, REFUSED_CLOSED)
        task.throttle_percent = command.percent
        return CommandResult(True, "", self._status(command.task, task))

    def _measure(self, task: _Task) -> Resources:
        share = self.shape.usage_percent
        return Resources(
            task.demand.cpu_milli * share * task.throttle_percent // 10_000,
            task.demand.memory_mb * share // 100,
            task.demand.accelerators,
        )

    def _status(self, name: str, task: _Task) -> TaskStatus:
        return TaskStatus(
            name,
            task.attempt,
            task.state,
            task.demand,
            task.checkpoint_ms,
            self._measure(task) if task.state == RUNNING else NOTHING,
        )


def _closed_status(start: StartTask) -> TaskStatus:
    return TaskStatus(start.task, start.attempt, CLOSED, NOTHING)
