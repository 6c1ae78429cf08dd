"""State of one worker in its cell: commitments, lease, contact and reliability."""

from collections import deque
from dataclasses import dataclass, field, replace

from .const import (
    CLOCK_DRIFT,
    DRAINING_LEASE_MS,
    LEASE_MARGIN_MS,
    METRIC_WINDOW_MS,
    SERVING_PEAK_LOAD,
    SUSPECT_DURATION_MS,
    SUSPECT_FAILURES,
    UNREACHABLE_TIMEOUT_MS,
)
from .jobs import Run, StepRun, Task
from .models import Boot, Bounds, Resources, StepSpec, WorkerEntry

INITIAL_SLOWNESS = 1.0
SLOWNESS_WEIGHT = 0.2
"""Weight of a new sample in the moving average of a worker's slowness."""


class BestEffortHistory:
    """Shares of a worker's processor that best-effort images were allowed to use over time."""

    def __init__(self) -> None:
        self._changes: deque[tuple[int, dict[str, float]]] = deque([(0, {})])

    def record(self, now: int, shares: dict[str, float]) -> None:
        """Record the shares that apply from now on."""
        self._changes.append((now, shares))
        while len(self._changes) > 1 and self._changes[1][0] <= now - METRIC_WINDOW_MS:
            self._changes.popleft()

    def newest(self) -> dict[str, float]:
        """Return the shares that apply now."""
        return dict(self._changes[-1][1])

    def average(self, now: int) -> dict[str, float]:
        """Return the mean shares over the time that a worker's metrics cover."""
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
class Reservation:
    """Capacity that a worker keeps for a task that is about to start there.

    Attributes:
        task: The task.
        worker: The worker.
        moved_run: Run on another worker that is being stopped to move the task here; None if the
            task waits.
        awaited: Runs on the worker whose ends free what is missing.
        expires_at: Local ms at which the capacity is released once the task waits; 0 if it is
            released with the end of `moved_run`.
        held: What is committed for it by now: the commitment of the task, less that of `awaited`.
    """

    task: Task
    worker: "Worker"
    moved_run: Run | None = None
    awaited: dict[Run, None] = field(default_factory=dict)
    expires_at: int = 0
    held: Resources = Resources()

    @property
    def is_free(self) -> bool:
        """Whether all of the capacity is free, and the task has not begun to move there."""
        return self.moved_run is None and not self.awaited

    def compute_held(self) -> Resources:
        """Return what must be committed while `awaited` still commit their resources."""
        spec = self.task.spec
        held = compute_commitment(spec.needs, spec.fills)
        for run in self.awaited:
            held = held - compute_commitment(run.task.spec.needs, run.task.spec.fills)
        return Resources(max(0, held.cpu), max(0, held.memory_mb), max(0, held.gpus))


@dataclass(slots=True, eq=False)
class Worker:
    """One boot of a worker.

    Attributes:
        is_listed: The platform's list has an entry of this boot.
        runs: Runs that may be going on there, by task name.
        committed: Resources of these runs, including those being stopped, and of the reservations.
        lasting_cpu: CPU that long-running tasks hold of what is committed.
        lasting_count: Number of these tasks.
        reservations: Capacity kept for tasks that are about to start here, by task name.
        crash_suspects: Those of the runs that were suspects of a crash at their start.
        expected_extra_cpu: CPU use expected in addition to the commitments: that of the
            best-effort tasks, less what the serving tasks leave unused. In thousandths of a core.
        clock_ms: Last reading of the worker's clock.
        clock_read_at: Local ms at which that reading arrived; it was taken no later.
        clock_asked_at: Local ms at which its call was sent; it was taken no earlier.
        lease_end_clock_ms: Latest lease end, on the worker's clock, that any order may have set.
        contact_at: Local ms of its last answer; -1 before the first.
        inventory_at: Local ms of its last inventory; -1 before the first.
        inventory_asked_at: Local ms at which the last inventory was asked for; -1 before the first.
        unanswered_since: Local ms at which a poll got no answer, if nothing was answered since; -1
            otherwise.
        next_entry: Entry of another boot that the platform's list has instead of that of this one.
        next_boot_ms: The boot that has answered a poll instead of this one, which is over; -1 while
            none has.
        cursor: Highest number of an end that was processed.
        durable_cursor: Highest number of an end that the journal holds.
        is_poll_unanswered: The last inventory poll got no answer. The next answer may come from
            another boot, which numbers its ends anew.
        failed_jobs: Jobs that failed here in a row, without a success in between.
        suspect_until: Local ms until which it gets only one task at a time.
        slowness: Learned ratio of the durations of tasks here to the expected durations.
        is_recorded: The journal holds the current record of the worker.
        is_lease_suspended: The lease is not renewed until a new record of the worker is durable.
        record_revision: Number of changes of the record, to detect one during an append.
        blocked_until: Local ms until which it gets no task, after it has refused one.
        serving_count: Number of serving tasks on it.
        best_effort_count: Number of best-effort tasks on it.
        pace_changed_at: Local ms of the last pace change on it.
        best_effort_blocked_until: Local ms until which no further best-effort task joins, since a
            serving task is over its target.
        best_effort_history: Processor shares that its best-effort tasks were allowed to use.
        is_evacuated: Its data centre is evacuated, so that it gets no new tasks.
        cold_until: Local ms until which it is slow after its start; None before that is known.
        polled_address: Address that the last poll was sent to.
        answered_address: Address at which the boot has last listed its runs, to this owner or to
            the one that handed the cell over; empty if none is known.
        fence: Fencing token of the calls to it.
        may_hold_longest_lease: Calls that were meant for an earlier boot may have reached this one,
            and have extended its lease as far as it grants one.
        longest_lease_until: Local ms at which such a lease has lapsed; -1 while such calls may
            still be carried out.
        is_record_outdated: The journal is to learn that there is no such lease any more.
        next_boot_seen_at: Local ms at which an answer showed that the next boot has received a call
            that was meant for this one; -1 if none did.
        id: Its id.
    """

    entry: WorkerEntry
    is_listed: bool = True
    runs: dict[str, Run] = field(default_factory=dict)
    committed: Resources = Resources()
    lasting_cpu: int = 0
    lasting_count: int = 0
    reservations: dict[str, Reservation] = field(default_factory=dict)
    crash_suspects: dict[str, Run] = field(default_factory=dict)
    expected_extra_cpu: int = 0
    clock_ms: int = 0
    clock_read_at: int = 0
    clock_asked_at: int = 0
    lease_end_clock_ms: int = 0
    contact_at: int = -1
    inventory_at: int = -1
    inventory_asked_at: int = -1
    unanswered_since: int = -1
    next_entry: WorkerEntry | None = None
    next_boot_ms: int = -1
    cursor: int = 0
    durable_cursor: int = 0
    is_poll_unanswered: bool = True
    failed_jobs: set[str] = field(default_factory=set)
    suspect_until: int = 0
    slowness: float = INITIAL_SLOWNESS
    is_recorded: bool = False
    is_lease_suspended: bool = False
    record_revision: int = 0
    blocked_until: int = 0
    serving_count: int = 0
    best_effort_count: int = 0
    pace_changed_at: int = 0
    best_effort_blocked_until: int = 0
    best_effort_history: BestEffortHistory = field(default_factory=BestEffortHistory)
    is_evacuated: bool = False
    cold_until: int | None = None
    polled_address: str = ""
    answered_address: str = ""
    fence: int = 0
    may_hold_longest_lease: bool = False
    longest_lease_until: int = -1
    is_record_outdated: bool = False
    next_boot_seen_at: int = -1
    id: str = field(init=False)

    def __post_init__(self) -> None:
        """Store the id, which is read most often of its entry."""
        self.id = self.entry.worker

    @property
    def boot(self) -> Boot:
        """Its id and boot."""
        return self.id, self.entry.boot_ms

    @property
    def free(self) -> Resources:
        """Resources that are not committed."""
        return self.entry.capacity - self.committed

    @property
    def is_overcommitted(self) -> bool:
        """Whether more is committed than it offers, since its capacity has shrunk."""
        return not self.committed.fits_in(self.entry.capacity)

    @property
    def idle_cpu(self) -> int:
        """Processor that no task is expected to use, in thousandths of a core."""
        return self.entry.capacity.cpu - self.committed.cpu - self.expected_extra_cpu

    @property
    def fits_another_long_running(self) -> bool:
        """Whether the room beside its long-running tasks would do for another one of their size."""
        piece = self.entry.capacity.cpu - self.lasting_cpu
        return piece * self.lasting_count >= self.lasting_cpu

    def has_capacity_for(self, commitment: Resources) -> bool:
        """Return whether all of `commitment` is free; nothing is while it is overcommitted."""
        capacity = self.entry.capacity
        committed = self.committed
        if committed.cpu + commitment.cpu > capacity.cpu:
            return False
        if committed.memory_mb + commitment.memory_mb > capacity.memory_mb:
            return False
        return committed.gpus + commitment.gpus <= capacity.gpus

    @property
    def ack_cursor(self) -> int:
        """Highest number of an end that the next inventory poll may acknowledge.

        0 if another boot may receive it, which would delete ends of its own under that number.
        """
        if self.is_poll_unanswered or self.has_seen_next_boot:
            return 0
        return self.durable_cursor

    @property
    def has_seen_next_boot(self) -> bool:
        """Whether the next boot has answered a call, so that this one gets no more orders."""
        return self.next_boot_seen_at >= 0

    def can_accept_task(self, now: int) -> bool:
        """Return whether it may get a new task."""
        return (
            self.is_listed
            and not self.has_seen_next_boot
            and self.inventory_at >= 0
            and self.may_renew_lease
            and not self.entry.is_draining
            and not self.is_evacuated
            and self.is_reachable(now)
            and now >= self.blocked_until
        )

    @property
    def may_renew_lease(self) -> bool:
        """Whether its lease may be renewed."""
        return self.is_recorded and not self.is_lease_suspended

    def invalidate_record(self) -> None:
        """Mark its record in the journal as outdated, so that it is written again."""
        self.is_recorded = False
        self.record_revision += 1

    def is_reachable(self, now: int) -> bool:
        """Return whether it has answered within `UNREACHABLE_TIMEOUT_MS`."""
        return self.contact_at >= 0 and now - self.contact_at < UNREACHABLE_TIMEOUT_MS

    def is_replaced_by(self, entry: WorkerEntry, now: int) -> bool:
        """Return whether the boot that `entry` names takes the place of this one.

        Others may write to the list, so the runs of this boot end only by the answer of the next
        one, or by the lease. A boot that has never answered has begun no run, and one without runs
        is dropped when it is silent.
        """
        if entry.boot_ms == self.next_boot_ms or self.contact_at < 0:
            return True
        return not self.runs and (self.unanswered_since >= 0 or not self.is_reachable(now))

    def is_next_boot(self, boot_ms: int, address: str) -> bool:
        """Return whether an answer of another boot at an address proves that this one is over.

        A worker answers only calls that name its id. At the address at which this boot has answered
        no other one can; elsewhere an earlier boot might.
        """
        if not boot_ms or boot_ms == self.entry.boot_ms:
            return False
        return self.has_answered_at(address) or boot_ms > self.entry.boot_ms

    def has_answered_at(self, address: str) -> bool:
        """Return whether this boot is known to have answered at an address.

        Neither address is known of a boot that was dropped and listed again before its next poll.
        """
        return bool(address) and address == self.answered_address

    @property
    def must_ask_next_boot(self) -> bool:
        """Whether it is silent, and the list has another boot of it at another address."""
        entry = self.next_entry
        if entry is None or self.unanswered_since < 0:
            return False
        return entry.address != self.entry.address

    def keep_address(self, entry: WorkerEntry, now: int) -> WorkerEntry:
        """Return a new entry of this boot, with the known address while the boot answers there.

        The list alone does not tell, since others may write to it; another worker would refuse the
        calls at a wrong address.
        """
        if entry.address == self.entry.address or not self.is_reachable(now):
            return entry
        return replace(entry, address=self.entry.address)

    def is_suspect(self, now: int) -> bool:
        """Return whether it gets only one task at a time after failures of several jobs."""
        return now < self.suspect_until

    def is_answer_of_next_boot(self, clock_ms: int, asked_at: int) -> bool:
        """Return whether the clock in the answer to a call, sent at `asked_at`, has begun anew.

        It is then behind a reading that had arrived before.
        """
        return clock_ms < self.clock_ms and self.clock_read_at <= asked_at

    def record_contact(self, clock_ms: int, asked_at: int, now: int) -> None:
        """Record an answer, which arrives at `now`, to a call that was sent at `asked_at`."""
        self.contact_at = now
        self.unanswered_since = -1
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.clock_read_at = now
            self.clock_asked_at = asked_at

    def record_no_answer(self, now: int) -> None:
        """Record that an inventory poll got no answer."""
        self.is_poll_unanswered = True
        if self.unanswered_since < 0:
            self.unanswered_since = now

    def renew_lease(self, lease_ms: int, now: int) -> int | None:
        """Extend the lease with a poll that is sent at `now`, if it may be extended.

        A worker that drains gets a shorter one, as its tasks wait for the lease once it is gone. A
        poll after an unanswered one extends nothing: each renewal counts as received, and a worker
        that is gone would be waited for as long as it was asked.

        Returns:
            The end on the worker's clock, or None.
        """
        self.polled_address = self.entry.address
        if not self.is_reachable(now) or not self.may_renew_lease or self.unanswered_since >= 0:
            return None
        if self.has_seen_next_boot:
            return None
        if self.entry.is_draining:
            lease_ms = min(lease_ms, DRAINING_LEASE_MS)
        return self.extend_lease(lease_ms, now)

    def extend_lease(self, lease_ms: int, now: int) -> int:
        """Extend the lease and return its end on the worker's clock for an order sent at `now`."""
        until = self.clock_ms + (now - self.clock_read_at) + lease_ms
        self.lease_end_clock_ms = max(self.lease_end_clock_ms, until)
        return self.lease_end_clock_ms

    def compute_lapse_at(self) -> int:
        """Return the local ms at which its lease has lapsed, even if its clock runs slow."""
        remaining_ms = max(0, self.lease_end_clock_ms - self.clock_ms)
        return self.clock_read_at + int(remaining_ms / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS

    def compute_last_lapse_at(self, bounds: Bounds) -> int:
        """Return the same for its next boot too, if an answer has shown that one.

        Orders that were meant for this boot may have begun runs there, under the longest lease.
        """
        lapse_at = self.compute_lapse_at()
        if self.has_seen_next_boot:
            lapse_at = max(lapse_at, self.next_boot_seen_at + bounds.longest_granted_ms)
        return lapse_at

    def add(self, run: Run) -> None:
        """Add a run and commit its resources."""
        self.runs[run.task.name] = run
        if run.task.is_crash_suspect:
            self.crash_suspects[run.task.name] = run
        spec = run.task.spec
        commitment = compute_commitment(spec.needs, spec.fills)
        self._add_load(spec, commitment, compute_paced_cpu(run))

    def remove(self, run: Run) -> None:
        """Remove a run and free its resources."""
        if self.runs.get(run.task.name) is not run:
            return
        del self.runs[run.task.name]
        self.crash_suspects.pop(run.task.name, None)
        spec = run.task.spec
        commitment = compute_commitment(spec.needs, spec.fills)
        self._remove_load(spec, commitment, compute_paced_cpu(run))

    def _add_load(self, spec: StepSpec, commitment: Resources, paced_cpu: int) -> None:
        """Commit resources for a task; `paced_cpu` is the processor of a best-effort one."""
        self.committed = self.committed + commitment
        if spec.lasting:
            self.lasting_cpu += commitment.cpu
            self.lasting_count += 1
        if spec.fills:
            self.expected_extra_cpu += paced_cpu
            self.best_effort_count += 1
        if spec.target_ms:
            self.serving_count += 1
            self.expected_extra_cpu -= int((1 - SERVING_PEAK_LOAD) * spec.needs.cpu)

    def _remove_load(self, spec: StepSpec, commitment: Resources, paced_cpu: int) -> None:
        """Free what `_add_load` has committed."""
        self.committed = self.committed - commitment
        if spec.lasting:
            self.lasting_cpu -= commitment.cpu
            self.lasting_count -= 1
        if spec.fills:
            self.expected_extra_cpu -= paced_cpu
            self.best_effort_count -= 1
        if spec.target_ms:
            self.serving_count -= 1
            self.expected_extra_cpu += int((1 - SERVING_PEAK_LOAD) * spec.needs.cpu)

    def reserve(self, reservation: Reservation) -> None:
        """Keep capacity for a task that is about to start here."""
        self.reservations[reservation.task.name] = reservation
        reservation.held = reservation.compute_held()
        spec = reservation.task.spec
        self._add_load(spec, reservation.held, spec.needs.cpu)

    def update_reservation(self, reservation: Reservation) -> None:
        """Commit what an awaited run has freed to the task that it was awaited for."""
        held = reservation.compute_held()
        self.committed = self.committed + held - reservation.held
        if reservation.task.spec.lasting:
            self.lasting_cpu += held.cpu - reservation.held.cpu
        reservation.held = held

    def release(self, reservation: Reservation) -> None:
        """Free the capacity that was kept for a task."""
        if self.reservations.get(reservation.task.name) is not reservation:
            return
        del self.reservations[reservation.task.name]
        spec = reservation.task.spec
        self._remove_load(spec, reservation.held, spec.needs.cpu)

    @property
    def is_idle(self) -> bool:
        """Whether nothing runs there, and no task is about to start there."""
        return not self.runs and not self.reservations

    def count_tasks(self, step: StepRun) -> int:
        """Return the number of tasks of `step` that may be running or are about to start there."""
        running = sum(run.task.step is step for run in self.runs.values())
        return running + sum(kept.task.step is step for kept in self.reservations.values())

    def change_pace(self, run: Run, percent: int, now: int) -> None:
        """Record that a best-effort run was ordered to another pace."""
        self.expected_extra_cpu -= compute_paced_cpu(run)
        run.pace = percent
        self.expected_extra_cpu += compute_paced_cpu(run)
        self.pace_changed_at = now
        self.record_best_effort_shares(now)

    def record_best_effort_shares(self, now: int) -> None:
        """Record the processor shares that the best-effort tasks may use from now on."""
        capacity = max(1, self.entry.capacity.cpu)
        shares: dict[str, float] = {}
        for run in self.runs.values():
            spec = run.task.spec
            if spec.fills and run.state != "stopping":
                share = spec.needs.cpu * run.pace / 100 / capacity
                shares[spec.image] = shares.get(spec.image, 0.0) + share
        self.best_effort_history.record(now, shares)

    def record_failure(self, job: str, now: int) -> bool:
        """Record a failed run of `job` and return whether the worker has become suspect."""
        self.failed_jobs.add(job)
        if len(self.failed_jobs) < SUSPECT_FAILURES:
            return False
        was_suspect = self.is_suspect(now)
        self.suspect_until = now + SUSPECT_DURATION_MS
        return not was_suspect

    def record_success(self) -> None:
        """Record a run that ended as done."""
        self.failed_jobs.clear()
        self.suspect_until = 0

    def record_duration_ratio(self, ratio: float) -> None:
        """Record the duration of a task here, as a multiple of the expected duration."""
        bounded = min(max(ratio, 0.2), 10.0)
        self.slowness += SLOWNESS_WEIGHT * (bounded - self.slowness)


def compute_paced_cpu(run: Run) -> int:
    """Return the processor that a best-effort run uses at its pace, in thousandths of a core."""
    return run.task.spec.needs.cpu * run.pace // 100


def compute_commitment(needs: Resources, is_best_effort: bool) -> Resources:
    """Return the part of a task's needs that is committed: no processor for a best-effort task."""
    return Resources(0, needs.memory_mb, needs.gpus) if is_best_effort else needs
