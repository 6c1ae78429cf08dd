"""Events, effects, results and messages of request routing."""

from dataclasses import dataclass
from typing import Final

from ..codec import message

UNKNOWN_LENGTH: Final = -1


@message(100)
@dataclass(frozen=True, slots=True)
class Response:
    """A complete response of a backend server.

    Attributes:
        announced_length: Body length that the backend server announced, `UNKNOWN_LENGTH` if none.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    announced_length: int = UNKNOWN_LENGTH


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Event: a caller sent a request.

    Attributes:
        ticket: Number under which the result is returned.
        kind: Group whose past durations predict this one, such as `GET desk/stock`.
        deadline: Local time in ms by which it must be answered.
        idempotent: Whether it may be run more than once.
        key: Idempotency key, empty for none.
        repeat: Whether the caller declares that it has sent the key before.
    """

    ticket: int
    kind: str
    deadline: int
    idempotent: bool
    key: str = ""
    repeat: bool = False


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Effect: send the request to `worker` now; a `DispatchDone` follows in any case.

    Attributes:
        number: Number of the attempt, from 1.
    """

    ticket: int
    number: int
    worker: str


@dataclass(frozen=True, slots=True)
class DispatchDone:
    """Event: a dispatch ended.

    Attributes:
        outcome: `whole`, `not_sent`, `refused` before it was run, or `broken` (may have run).
    """

    ticket: int
    number: int
    worker: str
    outcome: str
    response: Response | None = None


@dataclass(frozen=True, slots=True)
class CallerDisconnected:
    """Event: the caller closed its connection before it received the result."""

    ticket: int


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Final result of a request.

    Attributes:
        outcome: `whole`, `not_run` (certain) or `unknown`.
        retry_after_ms: Time after which the caller may retry.
        reason: Explanation for the caller.
        worker: Worker that answered, if the outcome is `whole`.
    """

    outcome: str
    response: Response | None = None
    retry_after_ms: int = 0
    reason: str = ""
    worker: str = ""


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Event: a request has its final result.

    Attributes:
        took_ms: Time from arrival to the answer.
        waited_ms: Time from arrival to the last dispatch, or to the answer if never dispatched.
        in_time: Whether the outcome is `whole` and the deadline was met.
        is_long: Whether the policy treated it as long work.
    """

    outcome: str
    took_ms: int
    waited_ms: int
    in_time: bool
    is_long: bool


@message(101)
@dataclass(frozen=True, slots=True)
class ClaimKey:
    """Claim a key at its owner, which decides whether the request may run.

    Attributes:
        request: Number of the claim on the sending host.
        repeat: Whether the caller declares that it has sent the key before.
    """

    request: int
    key: str
    repeat: bool


@message(102)
@dataclass(frozen=True, slots=True)
class KeyAnswer:
    """Answer to `ClaimKey`.

    Attributes:
        decision: `run`, `done` (with the first response), `unknown` or `not_run`.
    """

    request: int
    key: str
    decision: str
    response: Response | None = None


@message(103)
@dataclass(frozen=True, slots=True)
class RecordKeyOutcome:
    """Report the outcome of the request to the key's owner."""

    key: str
    outcome: str
    response: Response | None = None


@message(104)
@dataclass(frozen=True, slots=True)
class KeyRecord:
    """A stored key; its state is `pending`, `whole` or `unknown`."""

    key: str
    state: str
    age_ms: int
    response: Response | None = None


@message(105)
@dataclass(frozen=True, slots=True)
class HandOverKeys:
    """Keys that the receiver owns from now on; `last` ends the list."""

    keys: tuple[KeyRecord, ...]
    last: bool
