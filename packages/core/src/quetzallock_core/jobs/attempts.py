"""Starts, monitors and ends the attempts of one shard's tasks.

Each task finishes exactly once: an attempt is recorded before it may start, and the next attempt
is recorded only after the worker has reported the end of the earlier one, or after the platform
has removed the worker from its list and the task lease has certainly lapsed.
"""

from ..core import Core
from ..placement.models import (
    AcknowledgeEnds,
    CapacityReserved,
    CloseAttempt,
    QueryAttempts,
    RenewTaskLeases,
    StartAttempt,
    TaskReport,
)
from ..placement.racks import Racks
from ..workers.const import ENDED_UNFINISHED_STATES, FINISHED, RUNNING
from ..workers.models import AttemptRef, TaskLease, TaskStatus
from .const import JobSettings
from .journal import Journal
from .models import AttemptEnded, AttemptRecorded, TaskFinished, TaskRow, find_job
from .state import ShardState
from .tracker import TaskTracker

ACTIVE_STATES = ("assigned", "cancelling")


class TaskAttempts:
    """The attempts of one shard, managed by its owner."""

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
        self._unknown_since: dict[str, int] = {}
        self.being_cancelled: set[str] = set()

    @property
    def _state(self) -> ShardState:
        return self._journal.replay.state

    def clear(self) -> None:
        """Discard all state: the shard has moved to another host."""
        self._tracker.clear()
        self._unknown_since.clear()
        self.being_cancelled.clear()

    def adopt(self, task: str, now: int) -> None:
        """Track an attempt that an earlier owner recorded.

        Earlier owners may have renewed its lease for up to `trust_ms` after their last successful
        read, so the lease has certainly lapsed only a lease duration after that.
        """
        self._tracker.track(task).lapses_at = self._compute_lapse(now + self._settings.trust_ms)

    def start(self, task: str, now: int) -> None:
        """Start a recorded attempt, or close it if the task was cancelled meanwhile."""
        row = self._state.rows[task]
        tracked = self._tracker.track(task)
        tracked.queried_at = now
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
            tracked.start_until_clock_ms,
        )
        self._send(row.worker, start)

    def close(self, task: str, row: TaskRow) -> None:
        """Stop the newest attempt of a task; its worker also refuses delayed starts of it."""
        self._send(row.worker, CloseAttempt(row.worker, task, row.attempt))

    def acknowledge(self, task: str, row: TaskRow) -> None:
        """Acknowledge a recorded end, so that the worker can discard the attempt."""
        ends = (AttemptRef(task, row.attempt),)
        self._send(row.worker, AcknowledgeEnds(row.worker, row.boot, ends))

    def check(self, now: int) -> None:
        """Query attempts without recent reports; end lapsed attempts on removed workers."""
        queries: dict[str, list[AttemptRef]] = {}
        for task, tracked in self._tracker.list_overdue(now):
            row = self._state.rows.get(task)
            if row is None or row.state not in ACTIVE_STATES or tracked.is_pending:
                continue
            if tracked.lapses_at is None:
                self.adopt(task, now)
                continue
            if now >= tracked.lapses_at and self._is_removed(row.worker):
                self._add_end(task, row, "lapsed", tracked.progress_ms)
                continue
            tracked.queried_at = now
            queries.setdefault(row.worker, []).append(AttemptRef(task, row.attempt))
        for worker, refs in queries.items():
            self._send(worker, QueryAttempts(self._shard, worker, tuple(refs)))

    def on_reserved(self, answer: CapacityReserved) -> None:
        """Record the attempts for which capacity was reserved."""
        now = self._core.clock.now()
        self._tracker.handle_reservations(answer, now)
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
            tracked.start_until_clock_ms = reservation.clock + self._settings.task_lease_ms
            tracked.lapses_at = self._compute_lapse(now)
            worker, boot = reservation.worker, reservation.boot
            self._add(task, AttemptRecorded(task, reservation.attempt, worker, boot))

    def on_report(self, report: TaskReport) -> None:
        """Process a worker's report on tasks of this shard."""
        now = self._core.clock.now()
        renewals: list[TaskLease] = []
        ends: list[AttemptRef] = []
        for status in report.statuses:
            row = self._state.rows.get(status.task)
            ref = AttemptRef(status.task, status.attempt)
            if row is None and not self._is_confirmed_unknown(status.task, now):
                continue
            if row is not None and row.attempt < status.attempt:
                continue
            if row is None or not _is_current(row, report, status):
                self._handle_outdated(report, status, ref, ends)
            else:
                self._handle_status(report, status, row, now, renewals)
        for absent in report.absent:
            self._handle_absent(report, absent, now)
        if renewals:
            renew = RenewTaskLeases(report.worker, report.boot, tuple(renewals))
            self._send(report.worker, renew)
        if ends:
            self._send(report.worker, AcknowledgeEnds(report.worker, report.boot, tuple(ends)))

    def _handle_status(
        self,
        report: TaskReport,
        status: TaskStatus,
        row: TaskRow,
        now: int,
        renewals: list[TaskLease],
    ) -> None:
        tracked = self._tracker.track(status.task)
        tracked.reported_at = now
        tracked.is_started = True
        tracked.progress_ms = max(tracked.progress_ms, status.progress_ms)
        if status.state == FINISHED:
            self._add(status.task, TaskFinished(status.task, status.attempt))
        elif status.state in ENDED_UNFINISHED_STATES:
            self._add_end(status.task, row, status.state, status.progress_ms)
        elif row.state == "cancelling":
            self.close(status.task, row)
        elif self._journal.is_ownership_confirmed(now):
            until = report.clock + self._settings.task_lease_ms
            renewals.append(TaskLease(status.task, status.attempt, until))
            tracked.lapses_at = self._compute_lapse(now)

    def _handle_outdated(
        self, report: TaskReport, status: TaskStatus, ref: AttemptRef, ends: list[AttemptRef]
    ) -> None:
        """Acknowledge the end of an attempt that is not current, or stop it if it still runs."""
        if status.state != RUNNING:
            ends.append(ref)
            return
        self._core.counters["jobs.outdated_attempts"] += 1
        self._send(report.worker, CloseAttempt(report.worker, ref.task, ref.attempt))

    def _is_confirmed_unknown(self, task: str, now: int) -> bool:
        """Return whether ownership was confirmed after an unknown task was first reported.

        A former owner that has not read the newer claim yet does not have the newer jobs, and
        must not stop their tasks.
        """
        first_reported_at = self._unknown_since.setdefault(task, now)
        if self._journal.confirmed_at <= first_reported_at:
            return False
        del self._unknown_since[task]
        return True

    def _handle_absent(self, report: TaskReport, ref: AttemptRef, now: int) -> None:
        """Handle an attempt that its worker does not have.

        A reboot of the worker ended it. Otherwise it is started again while its start is valid,
        or else closed, so that the worker refuses a delayed start and reports the end.
        """
        row = self._state.rows.get(ref.task)
        if row is None or row.state not in ACTIVE_STATES or row.attempt != ref.attempt:
            return
        if row.worker != report.worker:
            return
        tracked = self._tracker.track(ref.task)
        if report.boot != row.boot:
            self._add_end(ref.task, row, "restarted", row.progress_ms)
        elif (
            report.clock < tracked.start_until_clock_ms
            and row.state == "assigned"
            and not tracked.is_started
        ):
            self.start(ref.task, now)
        else:
            self.close(ref.task, row)

    def _compute_lapse(self, now: int) -> int:
        """Return when a lease based on a clock reading received just now has certainly lapsed."""
        return now + self._settings.task_lease_ms + self._settings.margin_ms

    def _is_removed(self, worker: str) -> bool:
        """Return whether `worker` has been removed, so that it will not report any more.

        A lapsed lease guarantees that an attempt is not running, not that it has not finished:
        while the platform lists the worker, the owner waits for the attempt's end.
        """
        return self._journal.log_ok and not self._racks.may_exist(worker)

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
    """Return whether a status describes the newest attempt and that has not ended."""
    recorded = (row.attempt, row.worker, row.boot)
    return row.state in ACTIVE_STATES and recorded == (status.attempt, report.worker, report.boot)
