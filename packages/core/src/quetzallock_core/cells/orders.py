"""Orders to workers, and the other effects of a cell's decisions."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a run of a task on a worker.

    Attributes:
        until_ms: End of the worker's lease on the worker's clock.
        fence: Fencing token.
    """

    worker: str
    boot_ms: int
    address: str
    task: str
    run: int
    payload: str
    checkpoint: str
    until_ms: int
    fence: int = 0


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run; `fence` is the fencing token."""

    worker: str
    boot_ms: int
    address: str
    task: str
    run: int
    fence: int = 0


@dataclass(frozen=True, slots=True)
class PaceRun:
    """Order to run at `percent` of full speed; `fence` is the fencing token."""

    worker: str
    boot_ms: int
    address: str
    task: str
    run: int
    percent: int
    fence: int = 0


@dataclass(frozen=True, slots=True)
class Persist:
    """Journal write: the new value of `key`, or None to delete the key."""

    key: str
    value: object | None


@dataclass(frozen=True, slots=True)
class TicketOutcome:
    """Final outcome of the submission or cancellation with this ticket.

    Attributes:
        state: The job's state, in the outcome of an accepted submission.
    """

    ticket: int
    outcome: str
    state: str = ""


@dataclass(frozen=True, slots=True)
class Decision:
    """A decision for the log: the event and the inputs that led to it."""

    event: str
    inputs: dict[str, object]


Effect = StartRun | StopRun | PaceRun | Persist | TicketOutcome | Decision
