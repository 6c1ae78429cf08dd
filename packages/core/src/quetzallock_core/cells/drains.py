"""Counts what became of the long-running runs on draining workers, for one report on each worker.

It decides nothing.
"""

from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from ..clock import Clock
from .jobs import Run
from .models import PollFailure, WorkerEntry
from .unverified import UnverifiedWorkers
from .workers import Worker

DRAIN_EVENT: Final = "worker.drain_report"
POLL_EVENT: Final = "worker.poll_failed"

NO_ROOM: Final = "no_room"
UNAVAILABLE_LIMIT: Final = "max_unavailable"
UNVERIFIED: Final = "unverified"
NOT_MOVABLE: Final = "not_movable"
"""The run is not confirmed, is one of several of its task, or is one of a gang."""


class DrainingState(Protocol):
    """What the drains need of the state of a cell."""

    workers: dict[str, Worker]
    clock: Clock
    unverified: UnverifiedWorkers

    def log_decision(self, event: str, **inputs: Any) -> None:
        """Count a decision and emit it for the log."""


@dataclass(slots=True, eq=False)
class Drain:
    """What was tried for the long-running runs on a draining worker.

    Attributes:
        began_at: Local ms at which this owner has learned that the worker is draining.
        limited_ticks: The number of ticks with too many steps to search for, as counted then.
        searches: Number of searches for capacity elsewhere, for one run each.
        moves: Number of runs that were stopped to be moved.
        failures: How often a run could not be moved, by reason.
        last_failure: The last of these reasons; empty if there was none.
        is_reported: It was reported.
        poll_failures: Number of polls without an answer, by reason.
        last_poll_failure: Reason and whether the worker was listed, of the last of them.
        unlisted_at: Local ms at which its entry was found removed; -1 before.
    """

    began_at: int
    limited_ticks: int
    searches: int = 0
    moves: int = 0
    failures: Counter[str] = field(default_factory=Counter)
    last_failure: str = ""
    is_reported: bool = False
    poll_failures: Counter[str] = field(default_factory=Counter)
    last_poll_failure: tuple[PollFailure, bool] | None = None
    unlisted_at: int = -1

    def add_failure(self, reason: str) -> None:
        """Count that a run could not be moved."""
        self.failures[reason] += 1
        self.last_failure = reason


class Drains:
    """The draining workers of a cell, until they are gone.

    Attributes:
        limited_ticks: Number of ticks whose limit has left out runs of some draining worker.
    """

    def __init__(self, state: DrainingState) -> None:
        self.limited_ticks = 0
        self._state = state
        self._by_worker: dict[Worker, Drain] = {}

    def handle_entry(self, worker: Worker, entry: WorkerEntry) -> None:
        """Process an entry of a worker, by which it may be draining."""
        if entry.is_draining and worker not in self._by_worker:
            self._by_worker[worker] = Drain(self._state.clock.now(), self.limited_ticks)

    def handle_unlisted(self, worker: Worker) -> None:
        """Process that the platform's list has no entry of a worker."""
        drain = self._by_worker.get(worker)
        if drain is not None and drain.unlisted_at < 0:
            drain.unlisted_at = self._state.clock.now()

    def handle_no_answer(self, worker: Worker, failure: PollFailure) -> None:
        """Count a poll without an answer; report the first one of each reason in a row."""
        drain = self._by_worker.get(worker)
        if drain is None:
            return
        drain.poll_failures[failure] += 1
        current = failure, worker.is_listed
        if drain.last_poll_failure == current:
            return
        drain.last_poll_failure = current
        self._state.log_decision(
            POLL_EVENT,
            worker=worker.id,
            reason=failure,
            draining_ms=self._state.clock.now() - drain.began_at,
            **self._describe_end(worker, drain),
        )

    def _describe_end(self, worker: Worker, drain: Drain) -> dict[str, Any]:
        """Return what tells a worker that has left from one that is cut off."""
        now = self._state.clock.now()
        return {
            "silent_ms": now - worker.contact_at if worker.contact_at >= 0 else -1,
            "unlisted_ms": now - drain.unlisted_at if drain.unlisted_at >= 0 else -1,
            "poll_failures": dict(drain.poll_failures),
        }

    def measure_ms(self, worker: Worker) -> int:
        """Return for how long a worker has been known to be draining; -1 if it is not."""
        drain = self._by_worker.get(worker)
        return -1 if drain is None else self._state.clock.now() - drain.began_at

    def _find(self, run: Run) -> Drain | None:
        worker = self._state.workers.get(run.worker)
        return None if worker is None else self._by_worker.get(worker)

    def handle_unmovable(self, run: Run) -> None:
        """Count a long-running run for whose task no capacity is searched now."""
        drain = self._find(run)
        if drain is not None:
            is_unverified = self._state.unverified.may_be_running(run.task)
            drain.add_failure(UNVERIFIED if is_unverified else NOT_MOVABLE)

    def handle_search(self, runs: Sequence[Run], allowed: int, moved: int) -> None:
        """Count a search for the runs of one step.

        Args:
            runs: All of its runs on draining workers that could move.
            allowed: How many of them might be moved at once.
            moved: How many were moved, which were the first ones.
        """
        for number, run in enumerate(runs):
            drain = self._find(run)
            if drain is None:
                continue
            drain.searches += number <= moved and number < allowed
            if number < moved:
                drain.moves += 1
            else:
                drain.add_failure(NO_ROOM if number < allowed else UNAVAILABLE_LIMIT)

    def report(self, worker: Worker) -> None:
        """Report a draining worker once, when its runs are about to be given up."""
        drain = self._by_worker.get(worker)
        if drain is None or drain.is_reported:
            return
        if not (worker.lasting_count or drain.moves or drain.failures):
            return
        drain.is_reported = True
        now = self._state.clock.now()
        self._state.log_decision(
            DRAIN_EVENT,
            worker=worker.id,
            draining_ms=now - drain.began_at,
            left=sum(run.task.spec.lasting for run in worker.runs.values()),
            searches=drain.searches,
            moves=drain.moves,
            limited_ticks=self.limited_ticks - drain.limited_ticks,
            failures=dict(drain.failures),
            last_failure=drain.last_failure,
            **self._describe_end(worker, drain),
        )

    def handle_gone(self, worker: Worker) -> None:
        """Report a worker that is gone, and forget it."""
        self.report(worker)
        self._by_worker.pop(worker, None)
