"""Messages to and from the host that holds a worker's lease, and events of placement."""

from dataclasses import dataclass

from ..codec import message
from ..workers.models import AttemptRef, Resources, TaskLease, TaskStatus, WorkerInfo


@message(60)
@dataclass(frozen=True, slots=True)
class CapacityRequest:
    """Request for capacity for one attempt, on any worker except those in `avoid`."""

    task: str
    attempt: int
    demand: Resources
    avoid: tuple[str, ...] = ()


@message(61)
@dataclass(frozen=True, slots=True)
class ReserveCapacity:
    """Request capacity on the workers of `rack`."""

    rack: str
    requests: tuple[CapacityRequest, ...]


@message(62)
@dataclass(frozen=True, slots=True)
class Reservation:
    """Capacity reserved on `worker` for an attempt; `clock` is the worker's newest known clock."""

    task: str
    attempt: int
    worker: str
    boot: str
    clock: int


@message(63)
@dataclass(frozen=True, slots=True)
class CapacityReserved:
    """Answer to `ReserveCapacity`: the attempts with reserved capacity and those without.

    Attributes:
        is_holder: Whether the answering host can place new work on at least one worker of the rack.
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
    """Stop an attempt, or prevent it from starting."""

    worker: str
    task: str
    attempt: int


@message(66)
@dataclass(frozen=True, slots=True)
class RenewTaskLeases:
    """Extend the leases of attempts on `worker`, on the worker's own clock."""

    worker: str
    boot: str
    leases: tuple[TaskLease, ...]


@message(67)
@dataclass(frozen=True, slots=True)
class AcknowledgeEnds:
    """Acknowledge recorded ends of attempts, so that the worker may remove them."""

    worker: str
    boot: str
    ends: tuple[AttemptRef, ...]


@message(68)
@dataclass(frozen=True, slots=True)
class TaskReport:
    """Statuses that a worker reported for tasks of one shard.

    Attributes:
        boot: Boot of the worker; attempts started under another boot are over.
        clock: The worker's clock in the answer that the statuses come from.
        absent: Queried attempts that the worker does not have.
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
    """Query the worker's statuses of attempts of one shard."""

    shard: int
    worker: str
    attempts: tuple[AttemptRef, ...]


@message(69)
@dataclass(frozen=True, slots=True)
class SlotUsage:
    """Slots of one worker that a router could use when it sent its request, and those in use."""

    worker: str
    slots: int
    busy: int


@message(70)
@dataclass(frozen=True, slots=True)
class RequestSlots:
    """Renew slot leases on `rack` and request `wanted` slots in total."""

    rack: str
    sequence: int
    wanted: int
    usage: tuple[SlotUsage, ...]
    holder: str


@message(71)
@dataclass(frozen=True, slots=True)
class SlotLease:
    """Leased slots of one worker, valid for `ttl_ms` from the time of the request."""

    worker: str
    slots: int
    ttl_ms: int


@message(73)
@dataclass(frozen=True, slots=True)
class SlotsLeased:
    """Answer to `RequestSlots`; leases on workers that it does not list stay as they are."""

    rack: str
    sequence: int
    leases: tuple[SlotLease, ...]


@dataclass(frozen=True, slots=True)
class RacksChanged:
    """Event: the workers, the racks or the owners of racks have changed."""


@dataclass(frozen=True, slots=True)
class WorkersListed:
    """Event: the platform's host list was read; it lists these workers."""

    workers: tuple[WorkerInfo, ...]
