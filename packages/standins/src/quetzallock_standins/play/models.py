"""Traces, and what came of them."""

from dataclasses import dataclass

from quetzallock_core.codec import message


@message(200)
@dataclass(frozen=True, slots=True)
class TracedCall:
    """A caller's request; times in ms, `at` from the start of the trace.

    Attributes:
        work_ms: How long the backend server works on it.
        kind: First part of the path.
    """

    at: int
    identity: str
    kind: str
    idempotent: bool
    work_ms: int
    deadline_ms: int


@message(201)
@dataclass(frozen=True, slots=True)
class TracedJob:
    """A job; `run_ms` is declared, `cancel_at` is 0 for never."""

    at: int
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
    """A recorded trace, in order of time."""

    name: str
    seed: int
    duration_ms: int
    calls: tuple[TracedCall, ...]
    jobs: tuple[TracedJob, ...]


@message(203)
@dataclass(frozen=True, slots=True)
class CallResult:
    """What a caller was told.

    Attributes:
        outcome: `whole`, `not_run`, `unknown`, or `no_answer` where the connection broke.
        took_ms: Time from the moment it should have been sent to the answer.
        is_own: Whether a whole answer belonged to this request.
    """

    identity: str
    kind: str
    outcome: str
    took_ms: float
    deadline_ms: int
    idempotent: bool
    is_own: bool
    sent_at: int


@message(204)
@dataclass(frozen=True, slots=True)
class JobResult:
    """What a submitter was told."""

    job: str
    tasks: int
    outcome: str
    cancelled: bool
