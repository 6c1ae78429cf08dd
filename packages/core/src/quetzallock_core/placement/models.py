"""Messages to and from the host that holds a worker's lease."""

from dataclasses import dataclass

from ..codec import message
from ..workers.models import AttemptRef, Resources, TaskLease, TaskStatus, WorkerInfo


@message(60)
@dataclass(frozen=True, slots=True)
class CapacityRequest:
    """Room wanted for one attempt, on any worker but those in `avoid`."""

    task: str
    attempt: int
    demand: Resources
    avoid: tuple[str, ...] = ()


@message(61)
@dataclass(frozen=True, slots=True)
class ReserveCapacity:
    """Ask for room on the workers of `rack`."""

    rack: str
    requests: tuple[CapacityRequest, ...]


@message(62)
@dataclass(frozen=True, slots=True)
class Reservation:
    """Room on `worker` for an attempt; `clock` is the worker's newest known clock."""

    task: str
    attempt: int
    worker: str
    boot: str
    clock: int


@message(63)
@dataclass(frozen=True, slots=True)
class CapacityReserved:
    """Answer to `ReserveCapacity`: the attempts that found room.

    Attributes:
        is_holder: Whether the answering host holds workers of the rack at all.
    """

    rack: str
    reservations: tuple[Reservation, ...]
    refused: tuple[AttemptRef, ...]
    is_holder: bool


@message(64)
@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Start a recorded attempt; see `workers.models.StartTask`."""

    worker: str
    boot: str
    task: str
    attempt: int
    demand: Resources
    run_ms: int
    progress_ms: int
    until: int


@message(65)
@dataclass(frozen=True, slots=True)
class CloseAttempt:
    """Stop an attempt, or make sure that it never starts."""

    worker: str
    task: str
    attempt: int


@message(66)
@dataclass(frozen=True, slots=True)
class RenewTaskLeases:
    """Let attempts on `worker` go on, by the worker's own clock."""

    worker: str
    boot: str
    leases: tuple[TaskLease, ...]


@message(67)
@dataclass(frozen=True, slots=True)
class AcknowledgeEnds:
    """The ends of these attempts are recorded; the worker may forget them."""

    worker: str
    boot: str
    ends: tuple[AttemptRef, ...]


@message(68)
@dataclass(frozen=True, slots=True)
class TaskReport:
    """What a worker said of tasks of one shard.

    Attributes:
        boot: Boot of the worker; attempts started under another boot are over.
        clock: The worker's clock at the time of the statement.
        absent: Attempts that were asked about and that the worker does not know.
    """

    shard: int
    worker: str
    boot: str
    clock: int
    statuses: tuple[TaskStatus, ...]
    absent: tuple[AttemptRef, ...] = ()


@message(72)
@dataclass(frozen=True, slots=True)
class QueryAttempts:
    """Ask what the worker says of attempts of one shard."""

    shard: int
    worker: str
    attempts: tuple[AttemptRef, ...]


@message(69)
@dataclass(frozen=True, slots=True)
class SlotUsage:
    """Slots of one worker that a router could use when it asked, and how many are in use."""

    worker: str
    slots: int
    busy: int


@message(70)
@dataclass(frozen=True, slots=True)
class RequestSlots:
    """Renew slot leases on `rack` and ask for `wanted` slots in all."""

    rack: str
    sequence: int
    wanted: int
    usage: tuple[SlotUsage, ...]
    holder: str


@message(71)
@dataclass(frozen=True, slots=True)
class SlotLease:
    """Slots of one worker, from the time of asking on for `ttl_ms`."""

    worker: str
    slots: int
    ttl_ms: int


@message(73)
@dataclass(frozen=True, slots=True)
class SlotsLeased:
    """Answer to `RequestSlots`; it says nothing of workers that it does not name."""

    rack: str
    sequence: int
    leases: tuple[SlotLease, ...]


@dataclass(frozen=True, slots=True)
class RacksChanged:
    """Event: the workers, the racks or the hosts that racks fall to have changed."""


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """Event: the platform's host list names these workers."""

    workers: tuple[WorkerInfo, ...]
