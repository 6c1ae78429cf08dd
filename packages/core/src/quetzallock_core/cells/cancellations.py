"""Follows the runs of cancelled jobs to their ends, to name what has taken longest.

It decides nothing. The time from the decision on a cancel to the end of its last run has four
parts: the journal write that lets the caller have an answer, the wait until a stop is sent, the
wait until a stop is answered, and the wait until the end of the run is seen.
"""

from collections import Counter
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from ..clock import Clock
from .const import CANCEL_OVERDUE_MS, MAX_FOLLOWED_RUNS
from .jobs import Job, Run
from .models import Bounds
from .orders import StopRun
from .workers import Worker

FINISHED_EVENT: Final = "cancel.finished"
OVERDUE_EVENT: Final = "cancel.overdue"

_CANCELLED: Final = "cancelled"
_RunKey = tuple[str, int]


class CancellingState(Protocol):
    """What the cancellations need of the state of a cell."""

    workers: dict[str, Worker]
    clock: Clock
    bounds: Bounds

    def log_decision(self, event: str, **inputs: Any) -> None:
        """Count a decision and emit it for the log."""


@dataclass(slots=True, eq=False)
class FollowedRun:
    """A run of a cancelled job.

    Attributes:
        decided_at: Local ms of the decision to cancel, or of the run's adoption.
        is_adopted: It was found on a worker after the decision.
        had_unanswered_start: A start order of it was without an answer at the decision.
        boot_ms: Boot of its worker that the last stop was sent to.
        sent_at: Local ms at which the first stop was handed to the transport; -1 before it.
        stops: Number of stops that were handed to the transport since the decision.
        answered_at: Local ms at which that boot answered a stop first; -1 before it.
        over_by_clock_ms: The worker's clock after which no inventory may list it as running.
        is_listed_late: An inventory that was taken later has listed it as running.
        is_reported: It was reported as overdue.
        ended_at: Local ms at which its end was seen; -1 before it.
        how: How its end was seen.
    """

    cancellation: "Cancellation"
    run: Run
    decided_at: int
    is_adopted: bool
    had_unanswered_start: bool
    boot_ms: int
    sent_at: int = -1
    stops: int = 0
    answered_at: int = -1
    over_by_clock_ms: int = -1
    is_listed_late: bool = False
    is_reported: bool = False
    ended_at: int = -1
    how: str = ""

    @property
    def key(self) -> _RunKey:
        """The name of its task, and its number."""
        return self.run.task.name, self.run.number

    @property
    def due_from(self) -> int:
        """Local ms from which its end is waited for: that of the cancel's answer, or later."""
        return max(self.cancellation.answered_at, self.decided_at)

    def measure_parts(self, now: int) -> dict[str, int]:
        """Return how long each part has taken, in ms, up to its end or to `now`."""
        until = now if self.ended_at < 0 else self.ended_at
        is_unanswered = self.cancellation.answered_at < 0
        sent_at = until if self.sent_at < 0 else self.sent_at
        answered_at = until if self.answered_at < 0 else self.answered_at
        return {
            "journal": (now if is_unanswered else self.due_from) - self.decided_at,
            "stop_held": sent_at - self.decided_at,
            "stop_unanswered": answered_at - sent_at,
            "end_unlisted": until - answered_at,
        }

    def describe(self, now: int) -> dict[str, object]:
        """Return the fields that log lines have of it."""
        parts_ms = self.measure_parts(now)
        return {
            "task": self.run.task.name,
            "run": self.run.number,
            "worker": self.run.worker,
            "adopted": self.is_adopted,
            "start_unanswered": self.had_unanswered_start,
            "stops": self.stops,
            "listed_after_stop": self.is_listed_late,
            "parts_ms": parts_ms,
            "longest": max(parts_ms, key=lambda part: parts_ms[part]),
        }


@dataclass(slots=True, eq=False)
class Cancellation:
    """A cancelled job that had runs, or of which a run was adopted.

    Attributes:
        job: Id of the job.
        answered_at: Local ms at which the cancel was durable and answered; -1 before it.
        run_count: Number of its runs that were followed.
        going_on: Those of them whose end was not seen yet.
        last_run: The run that has ended last, if any.
    """

    job: str
    answered_at: int = -1
    run_count: int = 0
    going_on: dict[_RunKey, FollowedRun] = field(default_factory=dict)
    last_run: FollowedRun | None = None


class Cancellations:
    """The cancelled jobs of a cell until their runs are over, oldest first."""

    def __init__(self, state: CancellingState) -> None:
        self._state = state
        self._by_job: dict[str, Cancellation] = {}
        self._runs: dict[_RunKey, FollowedRun] = {}
        self._by_worker: dict[str, dict[_RunKey, FollowedRun]] = {}

    def follow(self, job: Job) -> None:
        """Follow the runs of a job that is over, if it was cancelled."""
        if job.state != _CANCELLED:
            return
        runs = [run for task in job.list_tasks() for run in task.runs.values()]
        if not runs:
            return
        cancellation = self._by_job.setdefault(job.id, Cancellation(job.id))
        for run in runs:
            self._add(cancellation, run, is_adopted=False)
        self._drop_oldest()

    def adopt(self, run: Run) -> None:
        """Follow a run that was found on a worker, if its job was cancelled before."""
        job = run.task.job
        if job.state != _CANCELLED:
            return
        known = self._by_job.get(job.id)
        cancellation = known or Cancellation(job.id, answered_at=self._state.clock.now())
        self._by_job[job.id] = cancellation
        self._add(cancellation, run, is_adopted=True)
        self._drop_oldest()

    def _add(self, cancellation: Cancellation, run: Run, is_adopted: bool) -> None:
        worker = self._state.workers.get(run.worker)
        now = self._state.clock.now()
        followed = FollowedRun(
            cancellation,
            run,
            decided_at=now,
            is_adopted=is_adopted,
            had_unanswered_start=run.unanswered > 0,
            boot_ms=0 if worker is None else worker.entry.boot_ms,
        )
        if run.state == "stopping" and run.answered_clock_ms >= 0:
            followed.sent_at = followed.answered_at = now
            followed.over_by_clock_ms = run.answered_clock_ms
        known = self._runs.get(followed.key)
        if known is not None:
            self._remove(known)
        cancellation.run_count += 1
        cancellation.going_on[followed.key] = followed
        self._runs[followed.key] = followed
        self._by_worker.setdefault(run.worker, {})[followed.key] = followed

    def _remove(self, followed: FollowedRun) -> None:
        del followed.cancellation.going_on[followed.key]
        del self._runs[followed.key]
        on_worker = self._by_worker[followed.run.worker]
        del on_worker[followed.key]
        if not on_worker:
            del self._by_worker[followed.run.worker]

    def _drop_oldest(self) -> None:
        """Forget the oldest runs and jobs beyond `MAX_FOLLOWED_RUNS`."""
        dropped: Counter[str] = Counter()
        while len(self._runs) > MAX_FOLLOWED_RUNS:
            followed = next(iter(self._runs.values()))
            self._remove(followed)
            dropped[followed.cancellation.job] += 1
            if not followed.cancellation.going_on:
                del self._by_job[followed.cancellation.job]
        while len(self._by_job) > MAX_FOLLOWED_RUNS:
            oldest = self._by_job.pop(next(iter(self._by_job)))
            dropped[oldest.job] += len(oldest.going_on)
            for followed in list(oldest.going_on.values()):
                self._remove(followed)
        for job, run_count in dropped.items():
            self._state.log_decision("cancel.dropped", job=job, runs=run_count)

    def handle_answer(self, job: Job, outcome: str) -> None:
        """Process the outcome that a call on `job` gets, whose records are durable."""
        cancellation = self._by_job.get(job.id)
        if outcome != _CANCELLED or cancellation is None or cancellation.answered_at >= 0:
            return
        cancellation.answered_at = self._state.clock.now()
        self._finish_if_over(cancellation)

    def handle_stop_sent(self, order: StopRun) -> None:
        """Process a stop order that was handed to the transport."""
        followed = self._runs.get((order.task, order.run))
        if followed is None:
            return
        followed.stops += 1
        if followed.sent_at < 0:
            followed.sent_at = self._state.clock.now()
        if order.boot_ms != followed.boot_ms:
            followed.boot_ms = order.boot_ms
            followed.answered_at = followed.over_by_clock_ms = -1

    def handle_stop_answer(self, run: Run, clock_ms: int) -> None:
        """Process a worker's answer, at its clock `clock_ms`, that it carries a stop out."""
        followed = self._runs.get((run.task.name, run.number))
        if followed is None or followed.answered_at >= 0:
            return
        if followed.sent_at < 0:
            followed.sent_at = followed.decided_at
        followed.answered_at = self._state.clock.now()
        followed.over_by_clock_ms = clock_ms + self._state.bounds.stop_ms

    def handle_inventory(
        self, worker: Worker, listed: AbstractSet[Run | None], clock_ms: int
    ) -> None:
        """Process the runs that an inventory, taken at the worker's `clock_ms`, has as running."""
        on_worker = self._by_worker.get(worker.id)
        if on_worker is None:
            return
        for followed in on_worker.values():
            if followed.is_listed_late or not 0 <= followed.over_by_clock_ms < clock_ms:
                continue
            if followed.run in listed:
                followed.is_listed_late = True
                self._state.log_decision(
                    "run.listed_after_stop",
                    task=followed.run.task.name,
                    run=followed.run.number,
                    worker=worker.id,
                    late_ms=clock_ms - followed.over_by_clock_ms,
                )

    def handle_end(self, run: Run, how: str) -> None:
        """Process the end of a run of any job, which was seen as `how` says."""
        followed = self._runs.get((run.task.name, run.number))
        if followed is None:
            return
        followed.ended_at = self._state.clock.now()
        followed.how = how
        followed.cancellation.last_run = followed
        self._remove(followed)
        self._finish_if_over(followed.cancellation)

    def _finish_if_over(self, cancellation: Cancellation) -> None:
        """Report a job whose runs are over and whose cancel is answered, and forget it."""
        last_run = cancellation.last_run
        if cancellation.answered_at < 0 or cancellation.going_on or last_run is None:
            return
        del self._by_job[cancellation.job]
        self._state.log_decision(
            FINISHED_EVENT,
            job=cancellation.job,
            runs=cancellation.run_count,
            after_ms=max(0, last_run.ended_at - last_run.due_from),
            how=last_run.how,
            **last_run.describe(self._state.clock.now()),
        )

    def report_overdue(self) -> None:
        """Report each run that goes on `CANCEL_OVERDUE_MS` and the stop time after the answer."""
        limit_ms = CANCEL_OVERDUE_MS + self._state.bounds.stop_ms
        now = self._state.clock.now()
        for cancellation in self._by_job.values():
            if cancellation.answered_at < 0 or now < cancellation.answered_at + limit_ms:
                continue
            for followed in cancellation.going_on.values():
                if not followed.is_reported and now >= followed.due_from + limit_ms:
                    followed.is_reported = True
                    self._report_overdue(followed, now)

    def _report_overdue(self, followed: FollowedRun, now: int) -> None:
        worker = self._state.workers.get(followed.run.worker)
        has_inventory = worker is not None and worker.inventory_at >= 0
        self._state.log_decision(
            OVERDUE_EVENT,
            job=followed.cancellation.job,
            after_ms=now - followed.due_from,
            run_state=followed.run.state,
            worker_reachable=worker is not None and worker.is_reachable(now),
            worker_listed=worker is not None and worker.is_listed,
            inventory_age_ms=now - worker.inventory_at if worker and has_inventory else -1,
            **followed.describe(now),
        )
