"""Starts, watches and ends the attempts of one shard's tasks.

Exactly once: an attempt is recorded before it may start; the next attempt is recorded only when
the worker has said that the earlier one is over, or when the platform has taken the worker off
its list and the task lease has surely lapsed.
"""

from ..core import Core
from ..placement.models import (
    AcknowledgeEnds,
    AskAttempts,
    CloseAttempt,
    RenewTaskLeases,
    RoomReserved,
    StartAttempt,
    TaskReport,
)
from ..placement.racks import Racks
from ..workers.const import FINISHED, OVER_STATES, RUNNING
from ..workers.models import AttemptRef, TaskLease, TaskStatus
from .const import JobSettings
from .journal import Journal
from .models import AttemptEnded, AttemptRecorded, TaskFinished, TaskRow, find_job
from .state import ShardState
from .tracker import TaskTracker

ALIVE_STATES = ("assigned", "cancelling")


class TaskAttempts:
    """The attempts of one shard, as its owner sees them."""

    def __init__(
        self,
        core: Core,
        racks: Racks,
        settings: JobSettings,
        shard: int,
        journal: Journal,
        tracker: TaskTracker,
    ) -> None:
        self._core = core
        self._racks = racks
        self._settings = settings
        self._shard = shard
        self._journal = journal
        self._tracker = tracker
        self._unknown: dict[str, int] = {}
        self.being_cancelled: set[str] = set()

    @property
    def _state(self) -> ShardState:
        return self._journal.replay.state

    def clear(self) -> None:
        """Forget all: the shard has moved to another host."""
        self._tracker.clear()
        self._unknown.clear()
        self.being_cancelled.clear()

    def take_over(self, task: str, now: int) -> None:
        """Track an attempt that an earlier owner recorded.

        Earlier owners may have renewed leases until their trust ran out, so only after that can
        a lease be known to have lapsed.
        """
        self._tracker.track(task).lapses_at = self._find_lapse(now + self._settings.trust_ms)

    def start(self, task: str, now: int) -> None:
        """Have a recorded attempt started, or closed if it is not wanted any more."""
        row = self._state.rows[task]
        tracked = self._tracker.track(task)
        tracked.asked_at = now
        if row.state != "assigned":
            self.close(task, row)
            return
        spec = self._state.jobs[find_job(task)]
        start = StartAttempt(
            row.worker,
            row.boot,
            task,
            row.attempt,
            spec.demand,
            spec.run_ms,
            row.progress_ms,
            tracked.until,
        )
        self._send(row.worker, start)

    def close(self, task: str, row: TaskRow) -> None:
        """Have the newest attempt of a task stopped."""
        self._send(row.worker, CloseAttempt(row.worker, task, row.attempt))

    def acknowledge(self, task: str, row: TaskRow) -> None:
        """Let the worker forget an attempt whose end is recorded."""
        ends = (AttemptRef(task, row.attempt),)
        self._send(row.worker, AcknowledgeEnds(row.worker, row.boot, ends))

    def check(self, now: int) -> None:
        """Ask about attempts without news; end those of workers that are gone."""
        asks: dict[str, list[AttemptRef]] = {}
        for task, tracked in self._tracker.list_due(now):
            row = self._state.rows.get(task)
            if row is None or row.state not in ALIVE_STATES or tracked.is_pending:
                continue
            if tracked.lapses_at is None:
                self.take_over(task, now)
                continue
            if now >= tracked.lapses_at and self._is_gone(row.worker):
                self._add_end(task, row, "lapsed", tracked.progress_ms)
                continue
            tracked.asked_at = now
            asks.setdefault(row.worker, []).append(AttemptRef(task, row.attempt))
        for worker, refs in asks.items():
            self._send(worker, AskAttempts(self._shard, worker, tuple(refs)))

    def on_reserved(self, answer: RoomReserved) -> None:
        """Record attempts that found room."""
        now = self._core.clock.now()
        self._tracker.note_answer(answer, now)
        if not self._journal.is_ownership_confirmed(now):
            return
        for reservation in answer.reservations:
            task = reservation.task
            row = self._state.rows.get(task)
            if row is None or row.state != "waiting" or row.attempt + 1 != reservation.attempt:
                continue
            tracked = self._tracker.track(task)
            if tracked.is_pending or find_job(task) in self.being_cancelled:
                continue
            tracked.until = reservation.clock + self._settings.task_lease_ms
            tracked.lapses_at = self._find_lapse(now)
            worker, boot = reservation.worker, reservation.boot
            self._add(task, AttemptRecorded(task, reservation.attempt, worker, boot))

    def on_report(self, report: TaskReport) -> None:
        """Take in what a worker says of this shard's tasks."""
        now = self._core.clock.now()
        renewals: list[TaskLease] = []
        ends: list[AttemptRef] = []
        for status in report.statuses:
            row = self._state.rows.get(status.task)
            ref = AttemptRef(status.task, status.attempt)
            if row is None and not self._is_surely_unknown(status.task, now):
                continue
            if row is not None and row.attempt < status.attempt:
                continue
            if row is None or not _is_current(row, report, status):
                self._take_outdated(report, status, ref, ends)
            else:
                self._take_status(report, status, row, now, renewals)
        for absent in report.absent:
            self._take_absent(report, absent, now)
        if renewals:
            renew = RenewTaskLeases(report.worker, report.boot, tuple(renewals))
            self._send(report.worker, renew)
        if ends:
            self._send(report.worker, AcknowledgeEnds(report.worker, report.boot, tuple(ends)))

    def _take_status(
        self,
        report: TaskReport,
        status: TaskStatus,
        row: TaskRow,
        now: int,
        renewals: list[TaskLease],
    ) -> None:
        tracked = self._tracker.track(status.task)
        tracked.news_at = now
        tracked.is_started = True
        tracked.progress_ms = max(tracked.progress_ms, status.progress_ms)
        if status.state == FINISHED:
            self._add(status.task, TaskFinished(status.task, status.attempt))
        elif status.state in OVER_STATES:
            self._add_end(status.task, row, status.state, status.progress_ms)
        elif row.state == "cancelling":
            self.close(status.task, row)
        elif self._journal.is_ownership_confirmed(now):
            until = report.clock + self._settings.task_lease_ms
            renewals.append(TaskLease(status.task, status.attempt, until))
            tracked.lapses_at = self._find_lapse(now)

    def _take_outdated(
        self, report: TaskReport, status: TaskStatus, ref: AttemptRef, ends: list[AttemptRef]
    ) -> None:
        """Let the worker forget an attempt that was given up, or stop it."""
        if status.state != RUNNING:
            ends.append(ref)
            return
        self._core.counters["jobs.outdated_attempts"] += 1
        self._send(report.worker, CloseAttempt(report.worker, ref.task, ref.attempt))

    def _is_surely_unknown(self, task: str, now: int) -> bool:
        """Tell whether this host was still the owner after it first heard of an unknown task.

        A former owner that has not read the newer claim yet knows nothing of newer jobs, and
        must not stop their tasks.
        """
        first_heard = self._unknown.setdefault(task, now)
        if self._journal.confirmed_at <= first_heard:
            return False
        del self._unknown[task]
        return True

    def _take_absent(self, report: TaskReport, ref: AttemptRef, now: int) -> None:
        row = self._state.rows.get(ref.task)
        if row is None or row.state not in ALIVE_STATES or row.attempt != ref.attempt:
            return
        if row.worker != report.worker:
            return
        tracked = self._tracker.track(ref.task)
        if report.boot != row.boot:
            self._add_end(ref.task, row, "restarted", row.progress_ms)
        elif report.clock < tracked.until and row.state == "assigned" and not tracked.is_started:
            self.start(ref.task, now)
        else:
            self.close(ref.task, row)

    def _find_lapse(self, now: int) -> int:
        """Return when a lease given out on a clock reading just received surely lapses."""
        return now + self._settings.task_lease_ms + self._settings.margin_ms

    def _is_gone(self, worker: str) -> bool:
        """Tell whether nobody can hear from `worker` any more.

        A lapsed lease proves that an attempt does not run, not that it has not finished: while
        the platform lists the worker, the attempt's end is waited for.
        """
        return self._journal.log_ok and not self._racks.may_be_alive(worker)

    def _add_end(self, task: str, row: TaskRow, reason: str, progress_ms: int) -> None:
        tracked = self._tracker.track(task)
        progress_ms = max(progress_ms, tracked.progress_ms, row.progress_ms)
        self._add(task, AttemptEnded(task, row.attempt, reason, progress_ms))

    def _add(self, task: str, entry: AttemptRecorded | AttemptEnded | TaskFinished) -> None:
        tracked = self._tracker.track(task)
        if not tracked.is_pending:
            tracked.is_pending = True
            self._journal.add(entry)

    def _send(self, worker: str, message: object) -> None:
        holder = self._racks.find_holder(worker)
        if holder is not None:
            self._core.send(holder, message)


def _is_current(row: TaskRow, report: TaskReport, status: TaskStatus) -> bool:
    """Tell whether a status is of the newest attempt, and that is not over."""
    recorded = (row.attempt, row.worker, row.boot)
    return row.state in ALIVE_STATES and recorded == (status.attempt, report.worker, report.boot)
