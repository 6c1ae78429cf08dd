"""Traces and the results of playing them."""

from dataclasses import dataclass

from quetzallock_core.codec import message


@message(200)
@dataclass(frozen=True, slots=True)
class TracedCall:
    """A caller's request; times in ms, `at_ms` from the start of the trace.

    Attributes:
        work_ms: Time that the backend server takes for it.
        kind: First segment of the path.
    """

    at_ms: int
    request_id: str
    kind: str
    idempotent: bool
    work_ms: int
    deadline_ms: int


@message(201)
@dataclass(frozen=True, slots=True)
class TracedJob:
    """A job; `run_ms` is its declared run time, `cancel_at` is 0 if it is not cancelled."""

    at_ms: int
    job: str
    team: str
    tasks: int
    cpu_milli: int
    memory_mb: int
    run_ms: int
    cancel_at: int


@message(202)
@dataclass(frozen=True, slots=True)
class Trace:
    """A recorded trace; calls and jobs are ordered by time."""

    name: str
    seed: int
    duration_ms: int
    calls: tuple[TracedCall, ...]
    jobs: tuple[TracedJob, ...]


@message(203)
@dataclass(frozen=True, slots=True)
class CallResult:
    """Result of a call as its caller received it.

    Attributes:
        outcome: `whole`, `not_run`, `unknown`, or `no_answer` if the connection broke.
        took_ms: Time from when the trace schedules the call to its answer.
        sent_at: When the trace schedules the call, in ms from its start.
        is_own_answer: Whether a whole answer belonged to this request.
    """

    request_id: str
    kind: str
    outcome: str
    took_ms: float
    deadline_ms: int
    idempotent: bool
    is_own_answer: bool
    sent_at: int


@message(204)
@dataclass(frozen=True, slots=True)
class JobResult:
    """Result of a submission as the submitter received it.

    Attributes:
        outcome: `accepted`, the status of the last answer, or `no_answer`.
        cancelled: Whether the trace cancels the job.
    """

    job: str
    tasks: int
    outcome: str
    cancelled: bool
