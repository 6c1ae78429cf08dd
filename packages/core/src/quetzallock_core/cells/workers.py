"""What a cell's owner knows of one worker: commitments, lease, contact, reliability."""

from collections import deque
from dataclasses import dataclass, field

from .const import (
    CLOCK_DRIFT,
    LEASE_MARGIN_MS,
    METRIC_WINDOW_MS,
    SERVING_LOAD,
    SUSPECT_FAILURES,
    SUSPECT_MS,
    UNREACHABLE_TIMEOUT_MS,
)
from .jobs import Run
from .models import Resources, WorkerEntry

FIRST_SPEED = 1.0
SPEED_WEIGHT = 0.2


class BestEffortHistory:
    """Which shares of a worker's processor filling images were to use, and when."""

    def __init__(self) -> None:
        self._changes: deque[tuple[int, dict[str, float]]] = deque([(0, {})])

    def record(self, now: int, shares: dict[str, float]) -> None:
        """The shares are these from now on."""
        self._changes.append((now, shares))
        while len(self._changes) > 1 and self._changes[1][0] <= now - METRIC_WINDOW_MS:
            self._changes.popleft()

    def newest(self) -> dict[str, float]:
        """Return the shares that hold now."""
        return dict(self._changes[-1][1])

    def average(self, now: int) -> dict[str, float]:
        """Return the mean shares over the time that a worker's figures cover."""
        total: dict[str, float] = {}
        until = now
        for at, shares in reversed(self._changes):
            begin = max(at, now - METRIC_WINDOW_MS)
            for image, share in shares.items():
                total[image] = total.get(image, 0.0) + share * (until - begin) / METRIC_WINDOW_MS
            until = begin
            if at <= now - METRIC_WINDOW_MS:
                break
        return total


@dataclass(slots=True, eq=False)
class Worker:
    """One life of a worker.

    Attributes:
        is_listed: Its entry stands in the platform's list.
        runs: Runs that may be on it, by task name.
        committed: What these runs take, including those being stopped.
        soft_cpu: Processor expected to be used beyond what is committed: that of filling
            tasks, less what serving tasks leave.
        clock_ms: Its clock as last read, not later than `clock_at` in local ms.
        lease_clock: Latest lease end on its clock that any order may have set.
        contact_at: Local ms of its last answer; -1 before the first.
        cursor: Highest number of an end that was taken in.
        acked: Highest number of an end that the journal holds.
        is_silent: The last inventory call got no answer, so that another life, which counts its
            ends anew, may answer the next.
        is_recorded: The journal names it as it is now.
        revision: Number of the newest change of what the journal has to say of it.
        is_released: Its lease is not renewed until the journal says otherwise.
        failed_jobs: Jobs that failed here in a row, without a success between.
        suspect_until: Local ms until which it is on probation.
        fill_history: What the filling tasks on it were to use lately.
        strained_until: Local ms until which no further filling task joins it, since a serving
            task is at its target.
        relieved_at: Local ms of the last change of pace on it.
        slowness: Learned ratio of lengths here to lengths elsewhere.
    """

    entry: WorkerEntry
    is_listed: bool = True
    runs: dict[str, Run] = field(default_factory=dict)
    committed: Resources = Resources()
    soft_cpu: int = 0
    clock_ms: int = 0
    clock_at: int = 0
    lease_clock: int = 0
    contact_at: int = -1
    cursor: int = 0
    durable_cursor: int = 0
    is_poll_unanswered: bool = True
    failed_jobs: set[str] = field(default_factory=set)
    suspect_until: int = 0
    slowness: float = FIRST_SPEED
    is_recorded: bool = False
    is_lease_suspended: bool = False
    revision: int = 0
    room_refused_until: int = 0
    serving_count: int = 0
    best_effort_count: int = 0
    relieved_at: int = 0
    strained_until: int = 0
    best_effort_history: BestEffortHistory = field(default_factory=BestEffortHistory)

    @property
    def id(self) -> str:
        """Its id."""
        return self.entry.worker

    @property
    def free(self) -> Resources:
        """What is not committed."""
        return self.entry.capacity - self.committed

    @property
    def idle_cpu(self) -> int:
        """Processor that neither committed nor filling tasks are expected to use."""
        return self.free.cpu - self.soft_cpu

    @property
    def ack_cursor(self) -> int:
        """Highest end that the next inventory call may let the worker forget."""
        return 0 if self.is_poll_unanswered else self.durable_cursor

    def is_usable(self, now: int) -> bool:
        """Tell whether it may be given a new task."""
        return (
            self.is_listed
            and self.may_renew_lease
            and not self.entry.is_draining
            and self.is_reachable(now)
            and now >= self.room_refused_until
        )

    @property
    def may_renew_lease(self) -> bool:
        """Whether its lease may be renewed."""
        return self.is_recorded and not self.is_lease_suspended

    def invalidate_record(self) -> None:
        """What the journal says of it has to be written anew."""
        self.is_recorded = False
        self.revision += 1

    def is_reachable(self, now: int) -> bool:
        """Tell whether it answered lately."""
        return self.contact_at >= 0 and now - self.contact_at < UNREACHABLE_TIMEOUT_MS

    def is_suspect(self, now: int) -> bool:
        """Tell whether it is on probation."""
        return now < self.suspect_until

    def record_contact(self, clock_ms: int, now: int) -> None:
        """Take in a reading of its clock that arrived at `now`."""
        self.contact_at = now
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_at = now

    def extend_lease(self, lease_ms: int, now: int) -> int:
        """Return the lease end on its clock that an order sent at `now` may carry."""
        until = self.clock_ms + (now - self.clock_at) + lease_ms
        self.lease_clock = max(self.lease_clock, until)
        return self.lease_clock

    def compute_lapse_at(self) -> int:
        """Return the local ms at which its lease has surely lapsed."""
        left = max(0, self.lease_clock - self.clock_ms)
        return self.clock_at + int(left / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS

    def add(self, run: Run) -> None:
        """Count a run in."""
        spec = run.task.spec
        self.runs[run.task.name] = run
        self.committed = self.committed + compute_commitment(spec.needs, spec.fills)
        if spec.fills:
            self.soft_cpu += paced_cpu(run)
            self.best_effort_count += 1
        if spec.target_ms:
            self.serving_count += 1
            self.soft_cpu -= int((1 - SERVING_LOAD) * spec.needs.cpu)

    def remove(self, run: Run) -> None:
        """Count a run out."""
        if self.runs.get(run.task.name) is not run:
            return
        del self.runs[run.task.name]
        spec = run.task.spec
        self.committed = self.committed - compute_commitment(spec.needs, spec.fills)
        if spec.fills:
            self.soft_cpu -= paced_cpu(run)
            self.best_effort_count -= 1
        if spec.target_ms:
            self.serving_count -= 1
            self.soft_cpu += int((1 - SERVING_LOAD) * spec.needs.cpu)

    def change_pace(self, run: Run, percent: int, now: int) -> None:
        """Count a filling run with another share of its speed."""
        self.soft_cpu -= paced_cpu(run)
        run.pace = percent
        self.soft_cpu += paced_cpu(run)
        self.relieved_at = now
        self.record_best_effort_shares(now)

    def record_best_effort_shares(self, now: int) -> None:
        """Keep what the filling tasks are to use from now on."""
        capacity = max(1, self.entry.capacity.cpu)
        shares: dict[str, float] = {}
        for run in self.runs.values():
            spec = run.task.spec
            if spec.fills and run.state != "stopping":
                share = spec.needs.cpu * run.pace / 100 / capacity
                shares[spec.image] = shares.get(spec.image, 0.0) + share
        self.best_effort_history.record(now, shares)

    def record_failure(self, job: str, now: int) -> bool:
        """Take in a failed run of `job`; return whether the worker has become suspect."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < SUSPECT_FAILURES:
            return False
        was_suspect = self.is_suspect(now)
        self.suspect_until = now + SUSPECT_MS
        return not was_suspect

    def record_success(self) -> None:
        """Take in a run that ended as done."""
        self.failed_jobs.clear()
        self.suspect_until = 0

    def record_duration_ratio(self, ratio: float) -> None:
        """Take in how long a task took here, as a multiple of the learned length."""
        bounded = min(max(ratio, 0.2), 10.0)
        self.slowness += SPEED_WEIGHT * (bounded - self.slowness)


def paced_cpu(run: Run) -> int:
    """Return the processor that a filling run is to use at its pace."""
    return run.task.spec.needs.cpu * run.pace // 100


def compute_commitment(needs: Resources, fills: bool) -> Resources:
    """Return what of a task's needs is counted against a worker's room."""
    return Resources(0, needs.memory_mb, needs.gpus) if fills else needs
