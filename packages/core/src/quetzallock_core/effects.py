"""Effects that the domains request, and events that report their results.

Domains emit effects; the process (or a test) executes them and fires the events.
"""

from dataclasses import dataclass

from .workers.models import WorkerAnswer, WorkerCommand


@dataclass(frozen=True, slots=True)
class Send:
    """Send `message` to the entry host `to`; it may be lost, never reordered."""

    to: str
    message: object


@dataclass(frozen=True, slots=True)
class CallWorker:
    """Send `command` to `worker`; a `WorkerAnswered` always follows."""

    worker: str
    command: WorkerCommand


@dataclass(frozen=True, slots=True)
class Append:
    """Append `record` to `stream`; an `Appended` always follows."""

    stream: str
    record: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """Read `stream` from `offset` on; a `ReadDone` always follows."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Send `body` as the final answer to the local caller that waits under `ticket`."""

    ticket: int
    body: object


Effect = Send | CallWorker | Append | Read | Answer


@dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """Result of a call to a worker; `answer` is None if the outcome of `command` is unknown.

    Attributes:
        sent_at: Local time in ms at which the command was sent.
    """

    worker: str
    command: WorkerCommand
    answer: WorkerAnswer | None
    sent_at: int


@dataclass(frozen=True, slots=True)
class Appended:
    """Result of an append: it succeeded (`ok`), or its outcome is unknown."""

    stream: str
    ok: bool


@dataclass(frozen=True, slots=True)
class ReadDone:
    """Result of a read; `ok` is false if the log did not answer.

    Attributes:
        offset: Requested offset.
        sent_at: Local time in ms at which the read was sent.
        first: Lowest offset that the log still stores.
        next_offset: Offset that the next append gets.
        records: Offsets and bytes of the records from the requested offset on, ascending.
    """

    stream: str
    ok: bool
    offset: int
    sent_at: int
    first: int = 0
    next_offset: int = 0
    records: tuple[tuple[int, bytes], ...] = ()
