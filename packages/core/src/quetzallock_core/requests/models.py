"""What the router is told, decides and answers."""

from dataclasses import dataclass
from typing import Final

from ..codec import message

UNKNOWN_LENGTH: Final = -1


@message(100)
@dataclass(frozen=True, slots=True)
class Response:
    """A backend server's whole answer.

    Attributes:
        length: Length of the body that the backend server announced, if it did.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    length: int = UNKNOWN_LENGTH


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request of a caller.

    Attributes:
        ticket: Number under which the answer is given.
        kind: What its length is learned by, such as `GET desk/stock`.
        deadline: Local time in ms by which it must be answered.
        idempotent: Whether it may be run more than once.
        key: Idempotency key, empty for none.
        repeat: Whether the caller says that it has sent the key before.
    """

    ticket: int
    kind: str
    deadline: int
    idempotent: bool
    key: str = ""
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Effect: send the request to `worker` now; a `DispatchDone` follows in any case."""

    ticket: int
    number: int
    worker: str


@dataclass(frozen=True, slots=True)
class DispatchDone:
    """A try ended.

    Attributes:
        outcome: `whole`, `not_sent`, `refused` before it was run, or `broken`.
    """

    ticket: int
    number: int
    worker: str
    outcome: str
    response: Response | None = None


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """The caller has closed its connection."""

    ticket: int


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Final answer to a request.

    Attributes:
        outcome: `whole`, `not_run` (certain) or `unknown`.
        retry_after_ms: When to come back.
        reason: Cause in words.
        worker: Worker that answered, if whole.
    """

    outcome: str
    response: Response | None = None
    retry_after_ms: int = 0
    reason: str = ""
    worker: str = ""


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Event: a caller got its final answer.

    Attributes:
        took_ms: Time from arrival to the answer.
        waited_ms: Time from arrival to the last sending, or to the answer if never sent.
        in_time: Whether it is whole and within its deadline.
        is_long: Whether it counted as long work.
    """

    outcome: str
    took_ms: int
    waited_ms: int
    in_time: bool
    is_long: bool


@message(101)
@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Ask the key's host whether the request may run."""

    request: int
    key: str
    repeat: bool


@message(102)
@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """Answer to `ClaimKey`.

    Attributes:
        verdict: `run`, `done` (with the first outcome), `unknown` or `not_run`.
    """

    request: int
    key: str
    verdict: str
    response: Response | None = None


@message(103)
@dataclass(frozen=True, slots=True)
class RecordKeyOutcome:
    """Tell the key's host how the request ended."""

    key: str
    outcome: str
    response: Response | None = None


@message(104)
@dataclass(frozen=True, slots=True)
class KeyRecord:
    """What is remembered of a key: `pending`, `whole` or `unknown`."""

    key: str
    state: str
    age_ms: int
    response: Response | None = None


@message(105)
@dataclass(frozen=True, slots=True)
class HandOverKeys:
    """Keys that fall to the receiver now; `last` ends the list."""

    keys: tuple[KeyRecord, ...]
    last: bool
