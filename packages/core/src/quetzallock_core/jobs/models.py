"""Records of a shard's stream, and messages about jobs."""

from dataclasses import dataclass

from ..codec import message
from ..workers.models import Resources


@message(80)
@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted.

    Attributes:
        job: Id, chosen by the submitter or for it.
        tasks: Number of equal tasks.
        demand: What one task declares to use.
        run_ms: How long one task declares to run.
        urgent: Whether it goes before work that is not.
    """

    job: str
    team: str
    tasks: int
    demand: Resources
    run_ms: int
    urgent: bool = False


@message(81)
@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """`holder` owns the shard from here on; its batches name this record's offset."""

    holder: str
    nonce: int


@message(82)
@dataclass(frozen=True, slots=True)
class BatchRecord:
    """Entries under the claim at offset `claim`; a sequence number counts once."""

    claim: int
    sequence: int
    entries: tuple["Entry", ...]


@message(83)
@dataclass(frozen=True, slots=True)
class JobAccepted:
    """The job exists; all its tasks wait."""

    spec: JobSpec


@message(84)
@dataclass(frozen=True, slots=True)
class AttemptRecorded:
    """The attempt may be started on this boot of this worker, and nowhere else."""

    task: str
    attempt: int
    worker: str
    boot: str


@message(85)
@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The attempt is over without a result.

    Attributes:
        reason: Why, such as `failed` or `stopped`.
        progress_ms: Work that the next attempt resumes from.
    """

    task: str
    attempt: int
    reason: str
    progress_ms: int


@message(86)
@dataclass(frozen=True, slots=True)
class TaskFinished:
    """The attempt delivered the task's result."""

    task: str
    attempt: int


@message(87)
@dataclass(frozen=True, slots=True)
class TaskParked:
    """The task is not tried any more."""

    task: str
    reason: str


@message(88)
@dataclass(frozen=True, slots=True)
class JobCancelled:
    """No task of the job is started any more."""

    job: str


@message(89)
@dataclass(frozen=True, slots=True)
class JobForgotten:
    """All tasks of the job ended long ago."""

    job: str


@message(90)
@dataclass(frozen=True, slots=True)
class TaskRow:
    """One task as recorded.

    Attributes:
        state: State of the chart `task`.
        attempt: Number of the newest attempt, 0 before the first.
        worker: Where it was recorded to run.
        failed_on: Workers on which attempts failed by themselves.
        reason: Why the last attempt ended, or why the task is parked.
    """

    state: str
    attempt: int = 0
    worker: str = ""
    boot: str = ""
    progress_ms: int = 0
    failed_on: tuple[str, ...] = ()
    reason: str = ""


@message(91)
@dataclass(frozen=True, slots=True)
class Snapshot:
    """All jobs and task rows as of this place in the stream, in a parallel order."""

    jobs: tuple[tuple[JobSpec, tuple[TaskRow, ...]], ...]


Entry = (
    JobAccepted
    | AttemptRecorded
    | AttemptEnded
    | TaskFinished
    | TaskParked
    | JobCancelled
    | JobForgotten
    | Snapshot
)


@message(92)
@dataclass(frozen=True, slots=True)
class SubmitJob:
    """Ask the owner of the job's shard to accept the job.

    Attributes:
        trace: W3C trace context of the submission, empty for none.
    """

    request: int
    spec: JobSpec
    trace: str = ""


@message(93)
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Ask the owner of the job's shard to cancel the job."""

    request: int
    job: str


@message(94)
@dataclass(frozen=True, slots=True)
class ShowJob:
    """Ask the owner of the job's shard how far the job is."""

    request: int
    job: str


@message(95)
@dataclass(frozen=True, slots=True)
class TaskCount:
    """How many tasks of a job are in a state."""

    state: str
    count: int


@message(96)
@dataclass(frozen=True, slots=True)
class JobReply:
    """Answer to `SubmitJob`, `CancelJob` and `ShowJob`.

    Attributes:
        outcome: One of the outcomes in `const`.
        retry_after_ms: When to come back, where the outcome is `not_run`.
        reason: Cause in words, where there is one.
    """

    request: int
    outcome: str
    job: str
    counts: tuple[TaskCount, ...] = ()
    retry_after_ms: int = 0
    reason: str = ""


def name_task(job: str, index: int) -> str:
    """Return the id of a task of `job`."""
    return f"{job}/{index}"


def find_job(task: str) -> str:
    """Return the job that a task belongs to."""
    return task.rpartition("/")[0]
