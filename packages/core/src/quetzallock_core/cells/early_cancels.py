"""Cancels of jobs whose submission had not arrived.

A submission without an answer is sent again by its router and by its caller. A copy may arrive
after the caller has cancelled the job at an owner that did not know it. The owner keeps the ids of
such cancels for as long as copies may arrive, and a job that arrives meanwhile is cancelled at
once. The journal holds them as well, since the copy may arrive at the next owner.

Deleting their records waits for the next append, so a cancel costs at most one.
"""

from collections.abc import Callable, Container, Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from ..clock import Clock
from .const import EARLY_CANCEL_KEPT_MS, MAX_EARLY_CANCELS
from .orders import Effect, Persist, TicketOutcome
from .records import EarlyCancelRecord


class CancellingState(Protocol):
    """What the early cancels need of the state of a cell."""

    clock: Clock
    read_unix_ms: Callable[[], int]

    def emit(self, effect: Effect) -> None:
        """Add `effect` to those that are to be carried out."""

    def log_decision(self, event: str, **inputs: Any) -> None:
        """Count a decision and emit it for the log."""


@dataclass(slots=True, eq=False)
class EarlyCancel:
    """A cancel of a job that the owner did not know.

    Attributes:
        expires_at: Local ms from which on no copy of the submission arrives any more.
        is_durable: The journal holds it.
        may_be_written: The journal may hold a record of the id.
    """

    expires_at: int
    is_durable: bool = False
    may_be_written: bool = False


CancelCall = tuple[EarlyCancel, TicketOutcome]
"""An early cancel, and the outcome of a call that waits until it is durable."""


class EarlyCancels:
    """The early cancels of a cell by job id; the first one expires first."""

    def __init__(self, state: CancellingState) -> None:
        self._state = state
        self._cancels: dict[str, EarlyCancel] = {}
        self._unwritten: dict[str, EarlyCancelRecord | None] = {}
        self._calls: list[CancelCall] = []

    def restore(self, records: Mapping[str, EarlyCancelRecord], known_jobs: Container[str]) -> None:
        """Load the records of the journal.

        Each is kept for the whole time again, as hosts' clocks may differ. A job that an earlier
        version has accepted in spite of the cancel goes on.
        """
        expires_at = self._state.clock.now() + EARLY_CANCEL_KEPT_MS
        for job_id in sorted(records, key=lambda job_id: records[job_id].cancelled_ms):
            if job_id in known_jobs:
                self._unwritten[job_id] = None
            else:
                self._cancels[job_id] = EarlyCancel(
                    expires_at, is_durable=True, may_be_written=True
                )
        self._evict_oldest()

    def add(self, job_id: str, ticket: int) -> None:
        """Keep the cancel of an unknown job; its call gets `unknown` once it is durable."""
        cancel = self._cancels.pop(job_id, None)
        expires_at = self._state.clock.now() + EARLY_CANCEL_KEPT_MS
        if cancel is None:
            may_be_written = job_id in self._unwritten
            cancel = EarlyCancel(expires_at, may_be_written=may_be_written)
            self._unwritten[job_id] = EarlyCancelRecord(self._state.read_unix_ms())
            self._state.log_decision("cancel.early", job=job_id)
        cancel.expires_at = expires_at
        self._cancels[job_id] = cancel
        outcome = TicketOutcome(ticket, "unknown")
        if cancel.is_durable:
            self._state.emit(outcome)
        else:
            self._calls.append((cancel, outcome))
        self._evict_oldest()

    def _evict_oldest(self) -> None:
        while len(self._cancels) > MAX_EARLY_CANCELS:
            job_id = next(iter(self._cancels))
            self._state.log_decision("cancel.evicted", job=job_id)
            self._remove(job_id)

    def _remove(self, job_id: str) -> None:
        cancel = self._cancels.pop(job_id)
        if cancel.may_be_written:
            self._unwritten[job_id] = None
        else:
            del self._unwritten[job_id]

    def pop(self, job_id: str) -> bool:
        """Return whether the job was cancelled early, and forget the cancel."""
        cancel = self._cancels.get(job_id)
        if cancel is None:
            return False
        self._remove(job_id)
        return self._state.clock.now() < cancel.expires_at

    def expire(self) -> None:
        """Forget the cancels of jobs of which no copy arrives any more."""
        now = self._state.clock.now()
        while self._cancels:
            job_id, cancel = next(iter(self._cancels.items()))
            if now < cancel.expires_at:
                return
            self._remove(job_id)

    def has_calls(self) -> bool:
        """Return whether calls wait until early cancels are durable."""
        return bool(self._calls)

    def pop_records(self) -> list[Persist]:
        """Return the changes that the journal lacks."""
        unwritten, self._unwritten = self._unwritten, {}
        for job_id in unwritten.keys() & self._cancels.keys():
            self._cancels[job_id].may_be_written = True
        return [Persist(f"cancelled/{job_id}", record) for job_id, record in unwritten.items()]

    def pop_calls(self) -> list[CancelCall]:
        """Return the calls that wait for the changes which `pop_records` has returned."""
        calls, self._calls = self._calls, []
        return calls

    def handle_durable(self, calls: list[CancelCall]) -> None:
        """Answer calls whose early cancels the journal holds now."""
        for cancel, outcome in calls:
            cancel.is_durable = True
            self._state.emit(outcome)
