"""What routers and owners say to each other."""

from dataclasses import dataclass

from quetzallock_core.cells.models import JobSpec, QueuePolicy
from quetzallock_core.codec import message


@message(220)
@dataclass(frozen=True, slots=True)
class SubmitJobRequest:
    """Accept a job."""

    ticket: int
    cell: int
    spec: JobSpec
    policy: QueuePolicy


@message(221)
@dataclass(frozen=True, slots=True)
class CancelJobRequest:
    """Cancel a job."""

    ticket: int
    cell: int
    job: str


@message(222)
@dataclass(frozen=True, slots=True)
class JobStateRequest:
    """Tell a job's state."""

    ticket: int
    cell: int
    job: str


@message(223)
@dataclass(frozen=True, slots=True)
class CountPendingRequest:
    """Count the jobs of a queue of which no task has begun."""

    ticket: int
    cell: int
    queue: str


@message(227)
@dataclass(frozen=True, slots=True)
class OwnerProbe:
    """Tell whether this is the owner of a cell and can prove it."""

    ticket: int
    cell: int


@message(224)
@dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """The owner's answer.

    Attributes:
        outcome: `accepted`, a job's state, `counted`, `alive` or `unknown`; `not_owner` where
            nothing was taken in; `refused` where the store is away, so that nothing can be;
            `unsettled` where that is not known; `unproved` where the owner cannot tell now.
        count: The number of pending jobs, where that was asked.
    """

    ticket: int
    outcome: str
    count: int = 0


OwnerRequest = (
    SubmitJobRequest | CancelJobRequest | JobStateRequest | CountPendingRequest | OwnerProbe
)
