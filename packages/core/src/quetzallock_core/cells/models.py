"""Jobs and workers, and the records, inventories and orders of a cell."""

from dataclasses import dataclass
from typing import NamedTuple

from ..codec import message

Boot = tuple[str, int]
"""Id of a worker and the start time that identifies one of its boots."""


@message(210)
@dataclass(frozen=True, slots=True)
class Resources:
    """Resources that a task needs or a worker offers.

    Attributes:
        cpu: Thousandths of a core.
        memory_mb: Memory in MB.
        gpus: Number of accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits_in(self, free: "Resources") -> bool:
        """Return whether these resources fit into `free`."""
        return self.cpu <= free.cpu and self.memory_mb <= free.memory_mb and self.gpus <= free.gpus

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu + other.cpu, self.memory_mb + other.memory_mb, self.gpus + other.gpus
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu - other.cpu, self.memory_mb - other.memory_mb, self.gpus - other.gpus
        )


@message(211)
@dataclass(frozen=True, slots=True)
class StepSpec:
    """One step of a job.

    Attributes:
        count: Number of tasks.
        needs: Resources that each task needs.
        estimate_ms: The submitter's rough estimate of a task's duration.
        after: Numbers of earlier steps that must be done first.
        saves: The tasks write checkpoints.
        gang: The tasks can only run all at once.
        one_rack: The tasks are slower when spread over several racks.
        required_label: Label that the worker must carry, or empty.
        data_rack: Rack that holds the data, or empty.
        max_per_worker: Maximum number of tasks of the step on one worker, or 0 for no limit.
        speculative: Copies of a task may run in parallel.
        lasting: The tasks run until the job is cancelled.
        image: Name of the image that the tasks run, or empty.
        target_ms: Target for the tail latency of a serving task, or 0.
        fills: The tasks are best effort: they use only processor time that other tasks leave.
        max_unavailable: Maximum number of tasks that the scheduler itself may make unavailable;
            None for no limit.
    """

    count: int
    needs: Resources
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    saves: bool = False
    gang: bool = False
    one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    max_unavailable: int | None = None


@message(212)
@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted.

    Attributes:
        job: Id chosen by the caller.
        payload: Text passed to every task.
        steps: The steps, in order.
        repetitions: How often the steps run; 0 for once, without a due time.
        first_run_ms: Unix time of the first repetition.
        interval_ms: Time between the due times of two repetitions.
    """

    job: str
    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0


@message(213)
@dataclass(frozen=True, slots=True)
class QueuePolicy:
    """Settings of a job's queue.

    Attributes:
        queue: Name of the queue.
        service: Pool of workers that runs its tasks.
        priority: Priority of its jobs; 0 is the highest.
        max_attempts: Failed runs of one task that fail the job.
        slack_factor: A job should complete within this multiple of the sum of the expected
            durations of its steps, plus `target_ms`.
        target_ms: Constant term of that objective.
        version: Version of the configuration that these settings were read from.
        weight: Share of the capacity relative to that of other queues of the same priority.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_ms: int = 0
    version: int = 0
    weight: float = 1.0


@message(214)
@dataclass(frozen=True, slots=True)
class JobRecord:
    """Journal record of an accepted job; `accepted_ms` is Unix time."""

    spec: JobSpec
    policy: QueuePolicy
    accepted_ms: int


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
    """

    worker: str
    boot_ms: int
    age_ms: int = 0
    is_only_suspect: bool = False
    is_bystander: bool = False
    is_confirmed: bool = False


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


@message(216)
@dataclass(frozen=True, slots=True)
class ProgressRecord:
    """Journal record of the progress of a job.

    Attributes:
        state: State of the job chart.
        has_started: A task of the job has started.
        ended_ms: Unix time of its end, or 0.
        tasks: The tasks that differ from tasks that have never run.
    """

    state: str
    has_started: bool
    ended_ms: int
    tasks: tuple[TaskRecord, ...]


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
    """

    worker: str
    address: str
    boot_ms: int
    lapsed_by: tuple[ClockReference, ...] = ()


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
    """

    runs: tuple[tuple[str, str, int], ...]
    leases: tuple[tuple[str, int, int], ...] = ()
    unbegun: tuple[tuple[str, str, int], ...] = ()


@message(229)
@dataclass(frozen=True, slots=True)
class LeasesRecord:
    """Journal record that an owner writes, instead of a `HandOverRecord`, if it knows not all runs.

    Attributes:
        leases: As in `HandOverRecord`.
    """

    leases: tuple[tuple[str, int, int], ...]


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """Entry of a worker in the platform's list.

    Attributes:
        worker: Id of the worker.
        boot_ms: Unix time in ms of its start, which identifies the boot.
        service: Pool that the worker belongs to.
        address: `ip:port` that it accepts calls on.
        data_centre: Data centre that it runs in.
        is_draining: The worker is about to leave and takes no new tasks.
        capacity: Resources that it offers.
        labels: Its labels, which include its kind and its rack.
        rack: Its rack, or empty.
        cold_remaining_ms: For how long it will still be slow after its start.
    """

    worker: str
    boot_ms: int
    service: str
    address: str
    data_centre: str
    is_draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    rack: str
    cold_remaining_ms: int = 0


class RunningRow(NamedTuple):
    """One running task in a worker's inventory.

    A tuple, since a busy owner reads thousands of rows in a second.

    Attributes:
        percent: Current pace in percent of full speed, or progress of the startup.
        metric: Tail latency in ms of a serving task; processor use of any other, in thousandths of
            a core.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    metric: float


class EndRow(NamedTuple):
    """One ended run in a worker's inventory.

    Attributes:
        number: Sequence number of the end within the worker's boot.
        how: How it ended: `done`, `failed` or another reason.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Inventory:
    """Running and ended runs of a worker.

    Attributes:
        clock_ms: The worker's monotonic clock.
        boot_ms: The worker's boot, or 0 where the worker does not report it.
    """

    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]
    boot_ms: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the deployment sets, in ms unless named otherwise.

    Attributes:
        lease_ms: Duration of a worker's lease.
        stop_ms: Time that a worker takes to stop a run.
        status_ms: How long the state of a finished job can be queried.
        harm_ms: How long a serving task may stay above its target.
        evacuation_ms: Time after which no task starts in a data centre whose evacuation was
            requested; 0 where evacuations are not in use.
    """

    lease_ms: int = 6_000
    stop_ms: int = 400
    gang_ms: int = 3_000
    status_ms: int = 120_000
    harm_ms: int = 4_000
    remote_factor: float = 1.5
    evacuation_ms: int = 0


@dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a run of a task on a worker.

    Attributes:
        until_ms: End of the worker's lease on the worker's clock.
    """

    worker: str
    boot_ms: int
    address: str
    task: str
    run: int
    payload: str
    checkpoint: str
    until_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run."""

    worker: str
    boot_ms: int
    address: str
    task: str
    run: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Order to run at `percent` of full speed."""

    worker: str
    boot_ms: int
    address: str
    task: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class Persist:
    """Journal write: the new value of `key`, or None to delete the key."""

    key: str
    value: object | None


@dataclass(frozen=True, slots=True)
class TicketOutcome:
    """Final outcome of the submission or cancellation with this ticket."""

    ticket: int
    outcome: str


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision for the log: the event and the inputs that led to it."""

    event: str
    inputs: dict[str, object]


Effect = StartRun | StopRun | PaceRun | Persist | TicketOutcome | Decision
