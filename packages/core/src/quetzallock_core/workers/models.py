"""Commands to workers and their answers; all clock values are on the worker's clock, in ms."""

from dataclasses import dataclass

from ..codec import message


@message(1)
@dataclass(frozen=True, slots=True)
class Resources:
    """An amount of a worker's resources.

    Attributes:
        cpu_milli: Thousandths of a core.
        memory_mb: Megabytes of memory.
        accelerators: Whole accelerators.
    """

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: "Resources") -> "Resources":
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, free: "Resources") -> bool:
        """Return whether this amount fits into `free`."""
        return (
            self.cpu_milli <= free.cpu_milli
            and self.memory_mb <= free.memory_mb
            and self.accelerators <= free.accelerators
        )

    def max_with(self, other: "Resources") -> "Resources":
        """Return the maximum of each resource of both amounts."""
        return Resources(
            max(self.cpu_milli, other.cpu_milli),
            max(self.memory_mb, other.memory_mb),
            max(self.accelerators, other.accelerators),
        )


NOTHING = Resources()


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """A worker in the platform's host list.

    Attributes:
        address: `ip:port` of the worker's HTTP endpoint.
        capacity: Its total resources; `NOTHING` if the list does not give them.
        leaving: Whether the platform is about to remove it.
    """

    worker: str
    rack: str
    data_centre: str
    address: str
    leaving: bool = False
    capacity: Resources = NOTHING


@message(2)
@dataclass(frozen=True, slots=True)
class TaskLease:
    """Lease under which one attempt may run until the worker's clock shows `until`."""

    task: str
    attempt: int
    until: int


@message(3)
@dataclass(frozen=True, slots=True)
class AttemptRef:
    """One attempt of one task."""

    task: str
    attempt: int


@message(4)
@dataclass(frozen=True, slots=True)
class TaskStatus:
    """Status of one attempt that a worker reports.

    Attributes:
        state: One of the states in `const`.
        progress_ms: Work that the last checkpoint contains.
        used: Measured resource usage, which lags behind.
    """

    task: str
    attempt: int
    state: str
    demand: Resources
    progress_ms: int = 0
    used: Resources = NOTHING


@message(5)
@dataclass(frozen=True, slots=True)
class SyncWorker:
    """Acquire or renew the worker's lease, renew task leases, acknowledge ends, read changes.

    Attributes:
        boot: Boot that `epoch`, `leases`, `acks` and `since` refer to; empty at first.
        epoch: Epoch of the lease held, 0 at first.
        ttl_ms: Requested time to live of the lease.
        since: Version of the task list up to which changes were received.
    """

    holder: str
    boot: str
    epoch: int
    ttl_ms: int
    since: int = 0
    leases: tuple[TaskLease, ...] = ()
    acks: tuple[AttemptRef, ...] = ()


@message(6)
@dataclass(frozen=True, slots=True)
class StartTask:
    """Start one attempt, unless the worker's clock already shows `until`."""

    boot: str
    epoch: int
    task: str
    attempt: int
    demand: Resources
    run_ms: int
    progress_ms: int
    until: int


@message(7)
@dataclass(frozen=True, slots=True)
class StopTask:
    """Checkpoint and stop the attempt, and refuse it and all earlier ones from now on."""

    boot: str
    epoch: int
    task: str
    attempt: int


@message(8)
@dataclass(frozen=True, slots=True)
class ThrottleTask:
    """Let the attempt use `percent` of its processor time."""

    boot: str
    epoch: int
    task: str
    attempt: int
    percent: int


@message(9)
@dataclass(frozen=True, slots=True)
class ReleaseWorker:
    """Release the lease."""

    boot: str
    epoch: int


@message(10)
@dataclass(frozen=True, slots=True)
class WorkerState:
    """Answer to `SyncWorker`.

    Attributes:
        granted: Whether the sender holds the lease now.
        clock: The worker's clock when it answered.
        version: Version of the task list; `tasks` are those changed after `since`.
        complete: Whether `tasks` is the whole list.
        up_ms: Time since the worker's boot; it keeps no leases from before.
    """

    granted: bool
    holder: str
    boot: str
    epoch: int
    clock: int
    leaving: bool
    capacity: Resources
    slots: int
    busy_slots: int
    version: int
    complete: bool
    tasks: tuple[TaskStatus, ...] = ()
    up_ms: int = 0


@message(11)
@dataclass(frozen=True, slots=True)
class CommandResult:
    """Answer to the other commands: carried out, or refused for the reason `code`."""

    ok: bool
    code: str = ""
    status: TaskStatus | None = None


WorkerCommand = SyncWorker | StartTask | StopTask | ThrottleTask | ReleaseWorker
WorkerAnswer = WorkerState | CommandResult
