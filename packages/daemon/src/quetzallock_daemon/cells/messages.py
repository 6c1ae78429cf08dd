"""Messages between routers and owners of cells."""

from dataclasses import dataclass

from quetzallock_core.cells.models import JobSpec, QueuePolicy
from quetzallock_core.codec import message


@message(220)
@dataclass(frozen=True, slots=True)
class SubmitJobRequest:
    """Request to accept a job."""

    ticket: int
    cell: int
    spec: JobSpec
    policy: QueuePolicy


@message(221)
@dataclass(frozen=True, slots=True)
class CancelJobRequest:
    """Request to cancel a job."""

    ticket: int
    cell: int
    job: str


@message(222)
@dataclass(frozen=True, slots=True)
class JobStateRequest:
    """Request for the state of a job."""

    ticket: int
    cell: int
    job: str


@message(223)
@dataclass(frozen=True, slots=True)
class CountPendingRequest:
    """Request for the number of jobs of a queue of which no task has started."""

    ticket: int
    cell: int
    queue: str


@message(227)
@dataclass(frozen=True, slots=True)
class OwnerProbe:
    """Question whether the receiver owns a cell and its ownership was confirmed recently."""

    ticket: int
    cell: int


@message(228)
@dataclass(frozen=True, slots=True)
class AssignmentNotice:
    """Notice to a member of the group that cells may be assigned to it since the sender left."""

    ticket: int


@message(233)
@dataclass(frozen=True, slots=True)
class ProcessProbe:
    """Question which process of the host answers, and since when it runs."""

    ticket: int


@message(224)
@dataclass(frozen=True, slots=True)
class OwnerAnswer:
    """Answer of an owner.

    Attributes:
        outcome: `accepted`, a job's state, `counted`, `alive`, `noted` or `unknown`. `not_owner`:
            the request was not processed. `refused`: no job can be accepted, as the store is
            unavailable. `overloaded`: no job can be accepted, as the owner is late with all work.
            `removed`: the job's queue is no longer there.
            `unsettled`: the request may have been processed or not. `unproved`: the owner cannot
            answer now, as its ownership was not confirmed recently, the job is not durable yet, it
            does not apply the configuration of the submission yet, or the queue is not there in a
            configuration that was not confirmed in time.
            `process`: answer to `ProcessProbe`.
        count: Number of pending jobs, in the answer to `CountPendingRequest`; ms since the start of
            the process, in the answer `process`.
        state: The job's state, in the answer `accepted`; the process's name as a member, in the
            answer `process`.
    """

    ticket: int
    outcome: str
    count: int = 0
    state: str = ""


OwnerRequest = (
    SubmitJobRequest | CancelJobRequest | JobStateRequest | CountPendingRequest | OwnerProbe
)
PeerRequest = OwnerRequest | AssignmentNotice | ProcessProbe
