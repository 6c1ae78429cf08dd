"""Jobs, workers and inventories of a cell."""

from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from ..codec import message
from .const import CLOCK_DRIFT, LEASE_MARGIN_MS, MAX_LEASE_MS

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
        checkpoint: Its newest checkpoint; None or empty if there is none.
        percent: Current pace in percent of full speed, or progress of the startup.
        metric: Tail latency in ms of a serving task; processor use of any other, in thousandths of
            a core.
    """

    task: str
    run: int
    checkpoint: str | None
    percent: int
    metric: float = 0


class EndRow(NamedTuple):
    """One ended run in a worker's inventory.

    Attributes:
        number: Sequence number of the end within the worker's boot.
        how: How it ended: `done`, `failed` or another reason.
        checkpoint: Its newest checkpoint; None or empty if there is none.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str | None


@dataclass(frozen=True, slots=True)
class Inventory:
    """Running and ended runs of a worker.

    Attributes:
        clock_ms: The worker's monotonic clock.
        boot_ms: The worker's boot, or 0 where the worker does not report it.
        has_more_ends: The worker may have ended further runs, which it lists once these are
            acknowledged.
    """

    clock_ms: int
    running: tuple[RunningRow, ...]
    ended: tuple[EndRow, ...]
    boot_ms: int = 0
    has_more_ends: bool = False


class PollFailure(StrEnum):
    """Why an inventory poll got no answer.

    Attributes:
        REJECTED: The machine at the address has answered that no process listens there.
        UNANSWERED: The machine at the address has not answered to a new connection in time.
        NOT_CONNECTED: There was no connection, for another reason, as a fault of the owner's host.
        CONNECTION_LOST: The connection was closed or reset after the poll was sent.
        TIMED_OUT: There was no answer in time.
        UNUSABLE: The answer could not be used.
    """

    REJECTED = "rejected"
    UNANSWERED = "unanswered"
    NOT_CONNECTED = "not_connected"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    UNUSABLE = "unusable"


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
        max_granted_lease_ms: Longest lease that a worker grants, however long an order asks for.
        config_apply_ms: Time after which no request is handled by an older version of the
            configuration than the newest confirmed one.
    """

    lease_ms: int = 6_000
    stop_ms: int = 400
    gang_ms: int = 3_000
    status_ms: int = 120_000
    harm_ms: int = 4_000
    remote_factor: float = 1.5
    evacuation_ms: int = 0
    max_granted_lease_ms: int = MAX_LEASE_MS
    config_apply_ms: int = 2_000

    @property
    def longest_granted_ms(self) -> int:
        """Time in which the longest lease lapses, by a local clock that is not the worker's."""
        return int(self.max_granted_lease_ms / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
