"""What decisions ask the outside to do, and what the outside reports back.

Domains return effects; the process (or a test) carries them out and hands in the events.
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
    """Send `command` to `worker`; a `WorkerAnswered` follows in any case."""

    worker: str
    command: WorkerCommand


@dataclass(frozen=True, slots=True)
class Append:
    """Append `record` to `stream`; an `Appended` follows in any case."""

    stream: str
    record: bytes


@dataclass(frozen=True, slots=True)
class Read:
    """Read `stream` from `offset` on; a `ReadDone` follows in any case."""

    stream: str
    offset: int


@dataclass(frozen=True, slots=True)
class Answer:
    """Give the local caller waiting under `ticket` the final answer `body`."""

    ticket: int
    body: object


Effect = Send | CallWorker | Append | Read | Answer


@dataclass(frozen=True, slots=True)
class WorkerAnswered:
    """A worker answered `command`, or did not (`answer` is None: outcome unknown).

    Attributes:
        sent_at: Local time in ms at which the command was sent.
    """

    worker: str
    command: WorkerCommand
    answer: WorkerAnswer | None
    sent_at: int


@dataclass(frozen=True, slots=True)
class Appended:
    """The log took an append (`ok`), or its outcome is unknown."""

    stream: str
    ok: bool


@dataclass(frozen=True, slots=True)
class ReadDone:
    """The log answered a read, or did not (`ok` is false).

    Attributes:
        offset: Offset that was asked for.
        sent_at: Local time in ms at which the read was sent.
        first: Lowest offset that the log still keeps.
        next_offset: Offset that the next append gets.
        records: Offsets and bytes, ascending, from the offset asked for on.
    """

    stream: str
    ok: bool
    offset: int
    sent_at: int
    first: int = 0
    next_offset: int = 0
    records: tuple[tuple[int, bytes], ...] = ()
