"""Jobs, workers and what passes between a cell, its journal and its workers."""

from dataclasses import dataclass

from ..codec import message


@message(210)
@dataclass(frozen=True, slots=True)
class Resources:
    """What a task needs or a worker offers: thousandths of a core, MB and accelerators."""

    cpu: int = 0
    memory_mb: int = 0
    gpus: int = 0

    def fits_in(self, room: "Resources") -> bool:
        """Tell whether this much fits into `room`."""
        return self.cpu <= room.cpu and self.memory_mb <= room.memory_mb and self.gpus <= room.gpus

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
        needs: What each task needs.
        estimate_ms: The submitter's rough guess at a task's length.
        after: Numbers of earlier steps that must be done first.
        saves: The tasks write checkpoints.
        gang: The tasks work only all together.
        one_rack: The tasks are slower when spread over racks.
        required_label: Label that the worker must carry, or empty.
        data_rack: Rack that holds the data, or empty.
        max_per_worker: Most tasks of the step on one worker, or 0 for no limit.
        speculative: Copies of a task may run in parallel.
        lasting: The tasks run until the job is cancelled.
        image: Name of what the tasks run, or empty.
        target_ms: Bound for the tail latency of a serving task, or 0.
        fills: The tasks use only processor time that others leave.
        max_unavailable: Most tasks that may be away through the scheduler's own doing;
            None without such a bound.
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
        payload: Text handed to every task.
        steps: The steps, in order.
        repetitions: How often the steps run; 0 for one run without a due time.
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
    """What the configuration says of a job's queue.

    Attributes:
        queue: Name of the queue.
        service: Pool of workers that runs its tasks.
        priority: 0 goes first.
        max_attempts: Failed runs of one task that fail the job.
        slack_factor: Multiple of a job's longest chain within which it should complete.
        target_ms: Added to that.
        version: Version of the configuration that this comes from.
    """

    queue: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    slack_factor: float = 1.0
    target_ms: int = 0
    version: int = 0


@message(214)
@dataclass(frozen=True, slots=True)
class JobRecord:
    """Journal record of an accepted job; `accepted_ms` is Unix time."""

    spec: JobSpec
    policy: QueuePolicy
    accepted_ms: int


@message(215)
@dataclass(frozen=True, slots=True)
class TaskRecord:
    """What must not be forgotten of one task: (occurrence, step, index) is its place.

    Attributes:
        failed_runs: Numbers of the runs that ended as failed; a repeated end counts once.
    """

    occurrence: int
    step: int
    index: int
    is_done: bool
    failed_runs: tuple[int, ...]
    checkpoint: str


@message(216)
@dataclass(frozen=True, slots=True)
class ProgressRecord:
    """Journal record of how far a job is.

    Attributes:
        state: One of the states of the job chart.
        has_started: A task of it has begun.
        ended_ms: Unix time of its end, or 0.
        tasks: Those tasks that are done, have failed or have a checkpoint.
    """

    state: str
    has_started: bool
    ended_ms: int
    tasks: tuple[TaskRecord, ...]


@message(219)
@dataclass(frozen=True, slots=True)
class ClockReference:
    """A moment by another worker's steady clock: when that life's clock shows `clock_ms`."""

    worker: str
    boot_ms: int
    clock_ms: int


@message(217)
@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """Journal record of a worker that orders may have gone to; `born` names its life.

    Attributes:
        lapsed_by: Empty while its lease is renewed. Otherwise its lease is not renewed before
            this record is written anew, and has lapsed once any witness says so.
    """

    worker: str
    address: str
    boot_ms: int
    lapsed_by: tuple[ClockReference, ...] = ()


@message(218)
@dataclass(frozen=True, slots=True)
class LearnedRecord:
    """Journal record of what was learned, so that the next owner need not learn it again.

    Attributes:
        coefficients: Serving image, filling image and how much the second disturbs the first.
        busy_tails: Serving image and its tail in ms at its busiest, without filling neighbours.
        lengths: Queue and the mean length in ms of its tasks.
    """

    coefficients: tuple[tuple[str, str, float], ...]
    peak_tails: tuple[tuple[str, float], ...]
    lengths: tuple[tuple[str, float], ...]


@message(226)
@dataclass(frozen=True, slots=True)
class HandOverRecord:
    """Journal record of an owner that gave its cell up in good order.

    While it stands, nothing was started since, and these rows name all runs that may go on.

    Attributes:
        runs: Task, worker and that worker's life.
    """

    runs: tuple[tuple[str, str, int], ...]


@dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker says of itself.

    Attributes:
        worker: Its id.
        born: Unix time in ms of its start, which names its life.
        service: The pool it serves.
        address: `ip:port` of its calls.
        data_centre: Where it stands.
        is_draining: It will leave and takes no new tasks.
        capacity: What it offers.
        labels: Its labels, kind and rack among them.
        rack: Its rack, or empty.
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


@dataclass(frozen=True, slots=True)
class RunningRow:
    """One running task in a worker's inventory.

    Attributes:
        percent: Share at which it works, or how far its startup is.
        figure: Tail latency in ms of a serving task, processor use of any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    metric: float


@dataclass(frozen=True, slots=True)
class EndRow:
    """One ended run in a worker's inventory; `number` counts ends of one life."""

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


@dataclass(frozen=True, slots=True)
class Inventory:
    """What a worker runs and what has ended there; `clock_ms` is the worker's clock."""

    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]
    boot_ms: int = 0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds that the deployment sets, in ms unless named otherwise."""

    lease_ms: int = 6_000
    stop_ms: int = 400
    gang_ms: int = 3_000
    status_ms: int = 120_000
    harm_ms: int = 4_000
    remote_factor: float = 1.5


@dataclass(frozen=True, slots=True)
class StartRun:
    """Order: start a run of a task on a worker, on a lease until `until_ms` of its clock."""

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
    """Order: stop a run."""

    worker: str
    boot_ms: int
    address: str
    task: str
    run: int


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Order: let a run work at `percent` of its speed."""

    worker: str
    boot_ms: int
    address: str
    task: str
    run: int
    percent: int


@dataclass(frozen=True, slots=True)
class Persist:
    """Write `value` under `key` into the cell's journal; None deletes the key."""

    key: str
    value: object | None


@dataclass(frozen=True, slots=True)
class TicketOutcome:
    """A submission or cancellation under `ticket` has its final outcome."""

    ticket: int
    outcome: str


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision worth a log line: `event` and the inputs that led to it."""

    event: str
    inputs: dict[str, object]


Effect = StartRun | StopRun | PaceRun | Persist | TicketOutcome | Decision
