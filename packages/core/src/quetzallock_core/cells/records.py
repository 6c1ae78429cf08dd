"""Records in the journal of a cell."""

from dataclasses import dataclass

from ..codec import message
from .models import Boot, JobSpec, QueuePolicy


@message(214)
@dataclass(frozen=True, slots=True)
class JobRecord:
    """Journal record of an accepted job; `accepted_ms` is Unix time."""

    spec: JobSpec
    policy: QueuePolicy
    accepted_ms: int


@message(231)
@dataclass(frozen=True, slots=True)
class EarlyCancelRecord:
    """Journal record of the cancel of a job whose submission had not arrived.

    Attributes:
        cancelled_ms: Unix time of the cancel, by the clock of the owner's host.
    """

    cancelled_ms: int


@message(230)
@dataclass(frozen=True, slots=True)
class CrashRecord:
    """A crash of a worker under a task.

    Attributes:
        boot_ms: Boot that crashed.
        age_ms: How long the run had been going on, as far as the worker has answered.
        is_only_suspect: All other runs there had worked for some time.
        is_bystander: The run itself had, and another run there had not.
        is_confirmed: The boot had answered that the run had begun.
        run: Number of the run; 0 if only the record of its start is known.
        had_worked: The run had worked past the time in which it may be expected to crash a worker.
    """

    worker: str
    boot_ms: int
    age_ms: int = 0
    is_only_suspect: bool = False
    is_bystander: bool = False
    is_confirmed: bool = False
    run: int = 0
    had_worked: bool = False


@message(215)
@dataclass(frozen=True, slots=True)
class TaskRecord:
    """Durable state of one task, which (occurrence, step, index) identifies within its job.

    Attributes:
        failed_runs: Numbers of the runs that ended as failed. They are numbers rather than a count
            so that an end that is reported twice counts once.
        crashes: Crashes of workers under it, of which it is suspected.
        exposures: Boots on which it may be running. If one of them has crashed, it is a suspect.
        excused_crashes: Number of further crashes, put down to another task that was given up.
        failed_on: Run, worker and its boot of each end as failed, to explain a failed job.
        worked_on: Those of `exposures` on which its run has worked past its risky time.
    """

    occurrence: int
    step: int
    index: int
    is_done: bool
    failed_runs: tuple[int, ...]
    checkpoint: str
    crashes: tuple[CrashRecord, ...] = ()
    exposures: tuple[Boot, ...] = ()
    excused_crashes: int = 0
    failed_on: tuple[tuple[int, str, int], ...] = ()
    worked_on: tuple[Boot, ...] = ()


@message(216)
@dataclass(frozen=True, slots=True)
class ProgressRecord:
    """Journal record of the progress of a job.

    Attributes:
        state: State of the job chart.
        has_started: A task of the job has started.
        ended_ms: Unix time of its end, or 0.
        tasks: The tasks that differ from tasks that have never run.
        started: Occurrence, number and a count of tasks, the first ones, of each long-running step:
            none of the others has been started.
    """

    state: str
    has_started: bool
    ended_ms: int
    tasks: tuple[TaskRecord, ...]
    started: tuple[tuple[int, int, int], ...] = ()


@message(219)
@dataclass(frozen=True, slots=True)
class ClockReference:
    """A point in time on the monotonic clock of another worker's boot.

    Attributes:
        worker: Id of the worker whose clock is read.
        boot_ms: Boot of that worker; its clock starts anew with each boot.
        clock_ms: Reading of that clock.
    """

    worker: str
    boot_ms: int
    clock_ms: int


@message(217)
@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """Journal record of a worker's boot that may have received orders.

    Attributes:
        boot_ms: Unix time in ms of its start, which identifies the boot.
        lapsed_by: Empty while its lease is renewed. Otherwise the lease is not renewed before this
            record is rewritten, and has lapsed once any of these clock references is passed.
        lapses_in_ms: The ms, from the writing of the record, after which it has lapsed at the
            latest, for owners that can read none of these clocks; -1 while it is renewed.
        epoch: Epoch of the owner that has written the record; no later one has renewed the lease.
        may_hold_longest_lease: Calls that were meant for an earlier boot may have reached this one,
            and have extended its lease as far as a worker grants it.
    """

    worker: str
    address: str
    boot_ms: int
    lapsed_by: tuple[ClockReference, ...] = ()
    lapses_in_ms: int = -1
    epoch: int = 0
    may_hold_longest_lease: bool = False

    @property
    def is_suspended(self) -> bool:
        """Whether the lease is not renewed before this record is rewritten."""
        return bool(self.lapsed_by) or self.lapses_in_ms >= 0


@message(232)
@dataclass(frozen=True, slots=True)
class OwnerRecord:
    """Journal record of the process that owns the cell, once earlier owners may not order any more.

    Attributes:
        epoch: Epoch of the ownership.
        host: Name of the host.
        address: `ip:port` of the process for other hosts.
        incarnation: Random number that distinguishes the process from others of the host.
    """

    epoch: int
    host: str
    address: str
    incarnation: int


@message(234)
@dataclass(frozen=True, slots=True)
class FencesRecord:
    """Journal record of how many fencing tokens an epoch has; without it, it has one."""

    tokens_per_epoch: int


@message(235)
@dataclass(frozen=True, slots=True)
class RunNumbersRecord:
    """Journal record of the highest run number that an owner may use beyond those of its epoch."""

    reserved_until: int


@message(218)
@dataclass(frozen=True, slots=True)
class LearnedRecord:
    """Journal record of learned estimates, with which the next owner starts.

    Attributes:
        coefficients: Serving image, best-effort image and the coefficient of the interference of
            the second with the first.
        peak_tails: Serving image and its tail latency in ms at peak load without interference.
        durations: Queue and the mean duration in ms of its tasks.
        services: Queue, whether for its long-running tasks, and the decayed service in core-ms that
            it has received.
    """

    coefficients: tuple[tuple[str, str, float], ...]
    peak_tails: tuple[tuple[str, float], ...]
    durations: tuple[tuple[str, float], ...]
    services: tuple[tuple[str, bool, float], ...] = ()


@message(226)
@dataclass(frozen=True, slots=True)
class HandOverRecord:
    """Journal record that an owner writes last when it hands its cell over.

    While the journal holds it, no task has been started since, and `runs` names all runs that may
    still be going on.

    Attributes:
        runs: Task, worker and that worker's boot.
        leases: Worker, its boot and the ms, from the writing of the record, after which its lease
            has lapsed at the latest. The owner renews no lease after it has written the record.
        unbegun: Those of the runs that had not begun, as far as the workers had answered.
        worked: Those that had worked past the time in which they may be expected to crash a worker.
        interrupted: Long-running tasks that have run before and wait for their next run.
        leaving: Worker, its boot and the address at which it has last answered, of those that have
            announced to leave.
    """

    runs: tuple[tuple[str, str, int], ...]
    leases: tuple[tuple[str, int, int], ...] = ()
    unbegun: tuple[tuple[str, str, int], ...] = ()
    worked: tuple[tuple[str, str, int], ...] = ()
    interrupted: tuple[str, ...] = ()
    leaving: tuple[tuple[str, int, str], ...] = ()


@message(229)
@dataclass(frozen=True, slots=True)
class LeasesRecord:
    """Journal record that an owner writes, instead of a `HandOverRecord`, if it knows not all runs.

    Attributes:
        leases: As in `HandOverRecord`.
        leaving: As in `HandOverRecord`.
    """

    leases: tuple[tuple[str, int, int], ...]
    leaving: tuple[tuple[str, int, str], ...] = ()
