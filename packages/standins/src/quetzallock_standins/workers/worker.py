"""Model of one worker without sockets: leases with epochs, tasks, checkpoints and lagging usage.

The worker never refuses a task for lack of capacity. It runs the task and counts the
over-commitment: a refusal would hide mistakes of the scheduler from the checks.
"""

from dataclasses import dataclass, field, replace

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

from .const import MAX_TICK_GAP_MS, USAGE_REPORT_INTERVAL_MS
from .models import RunRecord, WorkerCounters, WorkerShape
from .tasks import ClosedAttempts, Task, make_task


@dataclass(slots=True)
class WorkerModel:
    """State of one worker; all times are of its own clock.

    Attributes:
        holder: Host that has the lease of the worker.
        service_reserve: Part of the capacity that the backend server uses.
        history: Attempts that have ended.
    """

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
    _advanced_at: int = 0
    _usage_due_at: int = 0
    _tasks: dict[str, Task] = field(default_factory=dict)
    _closed: ClosedAttempts = field(default_factory=ClosedAttempts)

    def handle(self, command: WorkerCommand, now: int) -> WorkerAnswer:
        """Execute a command."""
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
        """Advance tasks to `now`; a long gap counts as a pause of the worker, without progress."""
        was_paused = now - self._advanced_at > MAX_TICK_GAP_MS
        for task in self._tasks.values():
            if task.state != RUNNING:
                continue
            if not was_paused:
                elapsed_ms = min(now, task.until) - self._advanced_at
                task.advance(elapsed_ms, self.shape.slowdown_percent)
            self._end_if_over(task, now)
        if now >= self._usage_due_at:
            self._publish_usage(now)
        self._advanced_at = max(self._advanced_at, now)

    def _publish_usage(self, now: int) -> None:
        """Mark running tasks as changed, so that the next sync reports their checkpoints and usage.

        Thus both are reported with a lag.
        """
        self._usage_due_at = now + USAGE_REPORT_INTERVAL_MS
        for task in self._tasks.values():
            if task.state == RUNNING:
                self._mark_changed(task)

    def count_running(self) -> int:
        """Return the number of running tasks."""
        return sum(task.state == RUNNING for task in self._tasks.values())

    def crash(self, now: int, boot: str) -> None:
        """Lose all state and start again under another boot id."""
        for task in self._tasks.values():
            if task.state == RUNNING:
                self._record_run(task, now, "crashed")
            elif task.state == FINISHED:
                self._mark_result_lost(task)
        self.boot, self.epoch, self.holder, self.lease_until = boot, 0, "", 0
        self.booted_at = now
        self._tasks.clear()
        self._closed.clear()
        self.busy_slots = 0

    def _mark_result_lost(self, task: Task) -> None:
        """Record that the crash lost a result before it was acknowledged."""
        for index, run in enumerate(self.history):
            if (run.task, run.attempt, run.ending) == (task.name, task.attempt, FINISHED):
                self.history[index] = replace(run, ending="result lost")

    def _end_if_over(self, task: Task, now: int) -> None:
        if task.progress_ms >= task.run_ms:
            task.progress_ms = task.checkpoint_ms = task.run_ms
            self._end_attempt(task, FINISHED, min(now, task.until))
            return
        task.save_checkpoint()
        if now >= task.until:
            task.checkpoint_ms = task.progress_ms
            self._end_attempt(task, LAPSED, task.until)

    def _end_attempt(self, task: Task, state: str, at: int) -> None:
        task.state = state
        self._mark_changed(task)
        self._record_run(task, at, state)

    def list_open_runs(self, now: int) -> list[RunRecord]:
        """Return the running attempts, ended at the latest when their task lease expires."""
        return [
            task.make_run_record(self.name, max(task.started_at, min(now, task.until)), RUNNING)
            for task in self._tasks.values()
            if task.state == RUNNING
        ]

    def _record_run(self, task: Task, at: int, ending: str) -> None:
        self.history.append(task.make_run_record(self.name, at, ending))

    def _mark_changed(self, task: Task) -> None:
        self._version += 1
        task.version = self._version

    def _sync(self, sync: SyncWorker, now: int) -> WorkerState:
        is_leased = now < self.lease_until
        is_same_holder = (sync.holder, sync.boot, sync.epoch) == (
            self.holder,
            self.boot,
            self.epoch,
        )
        if is_leased and not is_same_holder:
            return self._make_state(False, now, ())
        since = sync.since
        if not (is_leased and is_same_holder):
            self.epoch += 1
            self.holder = sync.holder
            since = 0
        self.lease_until = now + sync.ttl_ms
        if sync.boot == self.boot:
            self._renew(sync.leases)
            self._acknowledge(sync)
        tasks = tuple(
            task.make_status(self.shape)
            for task in self._tasks.values()
            if since == 0 or task.version >= since
        )
        return self._make_state(True, now, tasks, since == 0)

    def _make_state(
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
                self._closed.add(end.task, end.attempt, self._advanced_at)

    def _start(self, start: StartTask, now: int) -> CommandResult:
        task = self._tasks.get(start.task)
        if task is not None and task.attempt == start.attempt:
            return CommandResult(True, "", task.make_status(self.shape))
        if self._closed.includes(start.task, start.attempt):
            return CommandResult(False, REFUSED_CLOSED, _make_closed_status(start))
        if now >= start.until:
            self._closed.add(start.task, start.attempt, now)
            return CommandResult(False, REFUSED_LATE, _make_closed_status(start))
        if task is not None and task.state == RUNNING:
            self.counters.two_attempts += 1
            return CommandResult(False, REFUSED_BUSY)
        return CommandResult(True, "", self._start_attempt(start, now))

    def _start_attempt(self, start: StartTask, now: int) -> TaskStatus:
        task = make_task(start, now)
        self._tasks[start.task] = task
        self._mark_changed(task)
        if self.shape.fails_all:
            self._end_attempt(task, FAILED, now)
        self._count_over_commitment()
        return task.make_status(self.shape)

    def _count_over_commitment(self) -> None:
        """Count a violation if the declared demands exceed the capacity."""
        committed = self.service_reserve
        for task in self._tasks.values():
            if task.state == RUNNING:
                committed += task.demand
        self.counters.peak = self.counters.peak.max_with(committed)
        if not committed.fits(self.shape.capacity):
            self.counters.over_committed += 1

    def _stop(self, stop: StopTask, now: int) -> CommandResult:
        task = self._tasks.get(stop.task)
        if task is None or task.attempt < stop.attempt:
            self._closed.add(stop.task, stop.attempt, now)
            status = TaskStatus(stop.task, stop.attempt, CLOSED, NOTHING)
            return CommandResult(True, "", status)
        if task.attempt == stop.attempt and task.state == RUNNING:
            task.checkpoint_ms = task.progress_ms
            self._end_attempt(task, STOPPED, now)
            self._closed.add(stop.task, stop.attempt, now)
        return CommandResult(True, "", task.make_status(self.shape))

    def _throttle(self, command: ThrottleTask) -> CommandResult:
        task = self._tasks.get(command.task)
        if task is None or task.attempt != command.attempt:
            return CommandResult(False, REFUSED_CLOSED)
        task.throttle_percent = command.percent
        return CommandResult(True, "", task.make_status(self.shape))


def _make_closed_status(start: StartTask) -> TaskStatus:
    return TaskStatus(start.task, start.attempt, CLOSED, NOTHING)
