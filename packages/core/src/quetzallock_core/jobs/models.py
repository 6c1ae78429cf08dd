"""Records of a shard's stream, and messages about jobs."""

from dataclasses import dataclass

from ..codec import message
from ..workers.models import Resources


@message(80)
@dataclass(frozen=True, slots=True)
class JobSpec:
    """A job as submitted.

    Attributes:
        job: Job id, from the submitter or generated.
        tasks: Number of identical tasks.
        demand: Resources that one task declares.
        run_ms: Declared run time of one task.
        urgent: Whether it is placed before work that is not urgent.
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
    """Makes `holder` the owner of the shard; its batches contain this record's offset."""

    holder: str
    nonce: int


@message(82)
@dataclass(frozen=True, slots=True)
class BatchRecord:
    """Entries under the claim at offset `claim`; each sequence number is applied once."""

    claim: int
    sequence: int
    entries: tuple["Entry", ...]


@message(83)
@dataclass(frozen=True, slots=True)
class JobAccepted:
    """The job is accepted; all its tasks are waiting."""

    spec: JobSpec


@message(84)
@dataclass(frozen=True, slots=True)
class AttemptRecorded:
    """The attempt may be started on this boot of this worker only."""

    task: str
    attempt: int
    worker: str
    boot: str


@message(85)
@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """The attempt ended without a result.

    Attributes:
        reason: Why it ended, such as `failed` or `stopped`.
        progress_ms: Progress from which the next attempt resumes.
    """

    task: str
    attempt: int
    reason: str
    progress_ms: int


@message(86)
@dataclass(frozen=True, slots=True)
class TaskFinished:
    """The attempt finished the task."""

    task: str
    attempt: int


@message(87)
@dataclass(frozen=True, slots=True)
class TaskParked:
    """The task failed on too many workers and is not attempted again."""

    task: str
    reason: str


@message(88)
@dataclass(frozen=True, slots=True)
class JobCancelled:
    """The job is cancelled; none of its tasks is started any more."""

    job: str


@message(89)
@dataclass(frozen=True, slots=True)
class JobForgotten:
    """The job ended long ago and is removed."""

    job: str


@message(90)
@dataclass(frozen=True, slots=True)
class TaskRow:
    """Recorded state of one task.

    Attributes:
        state: State in the state chart `task`.
        attempt: Number of the newest attempt, 0 before the first.
        worker: Worker that the newest attempt is assigned to.
        failed_on: Workers on which an attempt reported failure.
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
    """All jobs at this position in the stream, each with its rows in task order."""

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
    """Request to the owner of the job's shard to accept the job.

    Attributes:
        trace: W3C trace context of the submission, empty for none.
    """

    request: int
    spec: JobSpec
    trace: str = ""


@message(93)
@dataclass(frozen=True, slots=True)
class CancelJob:
    """Request to the owner of the job's shard to cancel the job."""

    request: int
    job: str


@message(94)
@dataclass(frozen=True, slots=True)
class ShowJob:
    """Request to the owner of the job's shard for the progress of the job."""

    request: int
    job: str


@message(95)
@dataclass(frozen=True, slots=True)
class TaskCount:
    """Number of tasks of a job in one state."""

    state: str
    count: int


@message(96)
@dataclass(frozen=True, slots=True)
class JobReply:
    """Answer to `SubmitJob`, `CancelJob` and `ShowJob`.

    Attributes:
        outcome: One of the outcomes in `const`.
        retry_after_ms: Delay before a retry, if the outcome is `not_run`.
        reason: Description of the cause, if there is one.
    """

    request: int
    outcome: str
    job: str
    counts: tuple[TaskCount, ...] = ()
    retry_after_ms: int = 0
    reason: str = ""


def name_task(job: str, index: int) -> str:
    """Return the id of the task with number `index` of `job`."""
    return f"{job}/{index}"


def find_job(task: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task.rpartition("/")[0]
