"""Owns one shard of the jobs: accepts, places, watches and ends their tasks.

Exactly once: an attempt is recorded before it may start; the next attempt is recorded only when
the worker has said that the earlier one is over, or when the platform has taken the worker off
its list and the task lease has surely lapsed.
"""

from ..core import Core
from ..effects import Appended, ReadDone
from ..helpers.hashing import hash_to_range
from ..members import Members
from ..placement.models import (
    AcknowledgeEnds,
    AskAttempts,
    CloseAttempt,
    RenewTaskLeases,
    RoomReserved,
    StartAttempt,
    TaskReport,
)
from ..placement.placer import Placer
from ..workers.const import FINISHED, OVER_STATES, RUNNING
from ..workers.models import AttemptRef, TaskLease, TaskStatus
from .book import TASK_CHART, Book
from .const import (
    ACCEPTED,
    CANCELLED,
    CONFLICT,
    FOUND,
    NOT_RUN,
    UNKNOWN_JOB,
    JobSettings,
)
from .journal import Journal, JournalNews, Pending, Waiter
from .models import (
    AttemptEnded,
    AttemptRecorded,
    CancelJob,
    JobAccepted,
    JobCancelled,
    JobForgotten,
    JobReply,
    JobSpec,
    ShowJob,
    SubmitJob,
    TaskFinished,
    TaskParked,
    TaskRow,
    find_job,
)
from .watch import Watch, Watches

RETRY_MS = 1_000
_ALIVE_STATES = ("assigned", "cancelling")


def find_shard(job: str, shards: int) -> int:
    """Return the shard of `job`."""
    return hash_to_range(job, shards)


class ShardOwner:
    """One host's part in one shard."""

    def __init__(
        self, core: Core, members: Members, placer: Placer, settings: JobSettings, shard: int
    ) -> None:
        self._core = core
        self._members = members
        self._placer = placer
        self._settings = settings
        self.shard = shard
        self.journal = Journal(core, settings, shard)
        self._watches = Watches(core, placer, settings)
        self._ended_at: dict[str, int] = {}
        self._being_cancelled: set[str] = set()
        self._unknown: dict[str, int] = {}

    @property
    def book(self) -> Book:
        """The shard's jobs as recorded."""
        return self.journal.replay.book

    def tick(self, now: int, wanted: bool) -> None:
        """Act on the passing of time; `wanted` tells whether the shard falls to this host."""
        if wanted:
            self.journal.want(now)
        self.journal.tick(now)
        if not self.journal.is_trusted(now):
            return
        if self.journal.log_ok:
            self._watches.ask_room(self.book, now)
        self._check_attempts(now)
        self._forget_jobs(now)

    def leave(self) -> None:
        """Give the shard up: this host is stopping."""
        self._take_news(self.journal.unwant())

    def on_appended(self, event: Appended) -> None:
        """Take in the outcome of an append."""
        self.journal.on_appended(event)
        if not event.ok:
            self._refuse(self.journal.drop_waiting(), "the log does not answer")

    def on_read(self, event: ReadDone) -> None:
        """Take in what was read."""
        now = self._core.clock.now()
        news = self.journal.on_read(event, now)
        if not event.ok:
            self._refuse(self.journal.drop_waiting(), "the log does not answer")
        self._take_news(news)

    def _take_news(self, news: JournalNews) -> None:
        now = self._core.clock.now()
        for pending in news.took_effect:
            self._react(pending, now)
        self._refuse(news.dropped, "the shard has moved to another host")
        if news.won:
            self._take_over(now)
        if news.lost:
            self._watches.clear()
            self._ended_at.clear()
            self._being_cancelled.clear()
            self._unknown.clear()

    def _take_over(self, now: int) -> None:
        """Begin to watch what earlier owners left.

        They may have renewed leases until their trust ran out, so only after that can a lease
        be known to have lapsed.
        """
        self._core.counters["jobs.shards_won"] += 1
        lapse = self._find_inherited_lapse(now)
        for task, row in self.book.rows.items():
            if row.state in _ALIVE_STATES:
                self._watches.enter(task).lapses_at = lapse
            elif row.state == "waiting":
                self._requeue(task, row)
        for job in self.book.jobs:
            self._note_end(job, now)

    def _refuse(self, pendings: tuple[Pending, ...], reason: str) -> None:
        for pending in pendings:
            self._watches.unpend(pending.entry)
            if isinstance(pending.entry, JobCancelled):
                self._being_cancelled.discard(pending.entry.job)
            if pending.waiter is None:
                continue
            job = getattr(pending.entry, "job", "") or getattr(pending.entry, "spec", None)
            name = job.job if isinstance(job, JobSpec) else str(job)
            self._reply(pending.waiter, NOT_RUN, name, RETRY_MS, reason)

    def _reply(
        self, waiter: Waiter, outcome: str, job: str, retry_ms: int = 0, reason: str = ""
    ) -> None:
        counts = self.book.count_states(job) if job in self.book.jobs else ()
        reply = JobReply(waiter.request, outcome, job, counts, retry_ms, reason)
        self._core.send(waiter.host, reply)

    # Requests

    def on_submit(self, ask: SubmitJob, source: str) -> None:
        """Accept a job, unless it is known already."""
        waiter = Waiter(source, ask.request)
        if not self._may_answer(waiter, ask.spec.job):
            return
        known = self._find_spec(ask.spec.job)
        if known is not None and known != ask.spec:
            self._reply(waiter, CONFLICT, ask.spec.job, reason="this id is another job's")
        elif ask.spec.job in self.book.jobs:
            self._reply(waiter, ACCEPTED, ask.spec.job)
        elif not self.journal.log_ok:
            self._reply(waiter, NOT_RUN, ask.spec.job, RETRY_MS, "the log does not answer")
        else:
            self.journal.add(JobAccepted(ask.spec), waiter)

    def on_cancel(self, ask: CancelJob, source: str) -> None:
        """Cancel a job; what has finished stays finished."""
        waiter = Waiter(source, ask.request)
        if not self._may_answer(waiter, ask.job):
            return
        if ask.job not in self.book.jobs:
            self._reply(waiter, UNKNOWN_JOB, ask.job)
        elif self.book.is_over(ask.job):
            self._reply(waiter, CANCELLED, ask.job)
        elif not self.journal.log_ok:
            self._reply(waiter, NOT_RUN, ask.job, RETRY_MS, "the log does not answer")
        else:
            self._being_cancelled.add(ask.job)
            self.journal.add(JobCancelled(ask.job), waiter)

    def on_show(self, ask: ShowJob, source: str) -> None:
        """Say how far a job is."""
        waiter = Waiter(source, ask.request)
        if self._may_answer(waiter, ask.job):
            outcome = FOUND if ask.job in self.book.jobs else UNKNOWN_JOB
            self._reply(waiter, outcome, ask.job)

    def _may_answer(self, waiter: Waiter, job: str) -> bool:
        if self.journal.is_owner:
            return True
        reply = JobReply(
            waiter.request, NOT_RUN, job, (), RETRY_MS, "the job's shard is changing hosts"
        )
        self._core.send(waiter.host, reply)
        return False

    def _find_spec(self, job: str) -> JobSpec | None:
        if job in self.book.jobs:
            return self.book.jobs[job]
        for entry in self.journal.list_pending():
            if isinstance(entry, JobAccepted) and entry.spec.job == job:
                return entry.spec
        return None

    # Entries that took effect

    def _react(self, pending: Pending, now: int) -> None:
        self._watches.unpend(pending.entry)
        match pending.entry:
            case JobAccepted(spec):
                self._core.counters["jobs.accepted"] += 1
                for task in self.book.list_tasks(spec.job):
                    self._watches.add_waiting(task)
                if pending.waiter:
                    self._reply(pending.waiter, ACCEPTED, spec.job)
            case AttemptRecorded(task):
                self._start(task, now)
            case TaskFinished(task):
                self._core.counters["jobs.tasks_finished"] += 1
                self._end(task, now)
            case AttemptEnded(task, _, reason):
                self._core.counters[f"jobs.attempts_{reason}"] += 1
                self._end(task, now)
            case TaskParked(task):
                self._watches.drop(task)
                self._note_end(find_job(task), now)
            case JobCancelled(job):
                self._cancel(job, pending.waiter, now)

    def _start(self, task: str, now: int) -> None:
        row = self.book.rows[task]
        watch = self._watches.enter(task)
        watch.asked_at = now
        if row.state != "assigned":
            self._close(task, row)
            return
        spec = self.book.jobs[find_job(task)]
        start = StartAttempt(
            row.worker,
            row.boot,
            task,
            row.attempt,
            spec.demand,
            spec.run_ms,
            row.progress_ms,
            watch.until,
        )
        self._send_to_worker(row.worker, start)

    def _end(self, task: str, now: int) -> None:
        row = self.book.rows[task]
        ends = (AttemptRef(task, row.attempt),)
        self._send_to_worker(row.worker, AcknowledgeEnds(row.worker, row.boot, ends))
        self._watches.drop(task)
        if row.state == "waiting":
            self._requeue(task, row)
        self._note_end(find_job(task), now)

    def _requeue(self, task: str, row: TaskRow) -> None:
        is_cancelled = find_job(task) in self._being_cancelled
        if not is_cancelled and self._has_failed_enough(row):
            reason = f"failed on {', '.join(row.failed_on)}"
            self.journal.add(TaskParked(task, reason))
            return
        self._watches.add_waiting(task)

    def _has_failed_enough(self, row: TaskRow) -> bool:
        """Tell whether the fault is likely to be the task's own, not a worker's."""
        workers = len(self._placer.list_workers())
        return len(row.failed_on) >= max(1, min(self._settings.failures, workers))

    def _cancel(self, job: str, waiter: Waiter | None, now: int) -> None:
        self._being_cancelled.discard(job)
        for task in self.book.list_tasks(job):
            row = self.book.rows[task]
            if row.state == "cancelling":
                self._close(task, row)
            elif row.state in TASK_CHART.final:
                self._watches.drop(task)
        if waiter:
            self._reply(waiter, CANCELLED, job)
        self._note_end(job, now)

    def _note_end(self, job: str, now: int) -> None:
        if job in self.book.jobs and self.book.is_over(job):
            self._ended_at.setdefault(job, now)

    def _forget_jobs(self, now: int) -> None:
        for job, ended_at in list(self._ended_at.items()):
            if now - ended_at >= self._settings.keep_ms:
                del self._ended_at[job]
                if job in self.book.jobs:
                    self.journal.add(JobForgotten(job))

    # Workers

    def on_reserved(self, answer: RoomReserved, source: str) -> None:
        """Record attempts that found room."""
        now = self._core.clock.now()
        self._watches.note_answer(answer, now)
        for reservation in answer.reservations:
            row = self.book.rows.get(reservation.task)
            if row is None or row.state != "waiting" or row.attempt + 1 != reservation.attempt:
                continue
            watch = self._watches.enter(reservation.task)
            if find_job(reservation.task) in self._being_cancelled:
                continue
            if watch.is_pending or not self.journal.is_trusted(now):
                continue
            watch.until = reservation.clock + self._settings.task_lease_ms
            watch.lapses_at = self._find_lapse(now)
            record = AttemptRecorded(
                reservation.task, reservation.attempt, reservation.worker, reservation.boot
            )
            self._add(reservation.task, record)

    def on_report(self, report: TaskReport) -> None:
        """Take in what a worker says of this shard's tasks."""
        now = self._core.clock.now()
        if not self.journal.is_owner:
            return
        renewals: list[TaskLease] = []
        ends: list[AttemptRef] = []
        for status in report.statuses:
            self._take_status(report, status, now, renewals, ends)
        for absent in report.absent:
            self._take_absent(report, absent, now)
        if renewals:
            renew = RenewTaskLeases(report.worker, report.boot, tuple(renewals))
            self._send_to_worker(report.worker, renew)
        if ends:
            acknowledge = AcknowledgeEnds(report.worker, report.boot, tuple(ends))
            self._send_to_worker(report.worker, acknowledge)

    def _take_status(
        self,
        report: TaskReport,
        status: TaskStatus,
        now: int,
        renewals: list[TaskLease],
        ends: list[AttemptRef],
    ) -> None:
        row = self.book.rows.get(status.task)
        if row is None and not self._is_surely_unknown(status.task, now):
            return
        if row is not None and row.attempt < status.attempt:
            return
        ref = AttemptRef(status.task, status.attempt)
        current = (
            row is not None
            and row.state in _ALIVE_STATES
            and (row.attempt, row.worker, row.boot) == (status.attempt, report.worker, report.boot)
        )
        if not current:
            self._take_outdated(report, status, ref, ends)
            return
        assert row is not None
        watch = self._watches.enter(status.task)
        watch.news_at = now
        watch.is_started = True
        watch.progress_ms = max(watch.progress_ms, status.progress_ms)
        if status.state == RUNNING:
            self._take_running(report, row, ref, now, renewals)
        elif status.state == FINISHED:
            self._add(status.task, TaskFinished(status.task, status.attempt))
        elif status.state in OVER_STATES:
            self._add_end(status.task, row, status.state, status.progress_ms)

    def _is_surely_unknown(self, task: str, now: int) -> bool:
        """Tell whether this host was still the owner after it first heard of an unknown task.

        A former owner that has not read the newer claim yet knows nothing of newer jobs, and
        must not stop their tasks.
        """
        first_heard = self._unknown.setdefault(task, now)
        if self.journal.confirmed_at <= first_heard:
            return False
        del self._unknown[task]
        return True

    def _take_outdated(
        self, report: TaskReport, status: TaskStatus, ref: AttemptRef, ends: list[AttemptRef]
    ) -> None:
        if status.state != RUNNING:
            ends.append(ref)
            return
        self._core.counters["jobs.outdated_attempts"] += 1
        self._send_to_worker(report.worker, CloseAttempt(report.worker, ref.task, ref.attempt))

    def _take_running(
        self,
        report: TaskReport,
        row: TaskRow,
        ref: AttemptRef,
        now: int,
        renewals: list[TaskLease],
    ) -> None:
        if row.state == "cancelling":
            self._close(ref.task, row)
        elif self.journal.is_trusted(now):
            until = report.clock + self._settings.task_lease_ms
            renewals.append(TaskLease(ref.task, ref.attempt, until))
            self._watches.enter(ref.task).lapses_at = self._find_lapse(now)

    def _take_absent(self, report: TaskReport, ref: AttemptRef, now: int) -> None:
        row = self.book.rows.get(ref.task)
        if row is None or row.state not in _ALIVE_STATES or row.attempt != ref.attempt:
            return
        if row.worker != report.worker:
            return
        watch = self._watches.enter(ref.task)
        if report.boot != row.boot:
            self._add_end(ref.task, row, "restarted", row.progress_ms)
        elif report.clock < watch.until and row.state == "assigned" and not watch.is_started:
            self._start(ref.task, now)
        else:
            self._close(ref.task, row)

    def _find_lapse(self, now: int) -> int:
        """Return when a lease given out on a clock reading just received surely lapses."""
        return now + self._settings.task_lease_ms + self._settings.margin_ms

    def _find_inherited_lapse(self, now: int) -> int:
        """Return when leases that earlier owners may still renew have surely lapsed."""
        return self._find_lapse(now + self._settings.trust_ms)

    def _check_attempts(self, now: int) -> None:
        asks: dict[str, list[AttemptRef]] = {}
        for task, watch in self._watches.list_due(now):
            row = self.book.rows.get(task)
            if row is None or row.state not in _ALIVE_STATES or watch.is_pending:
                continue
            if watch.lapses_at is None:
                watch.lapses_at = self._find_inherited_lapse(now)
            if now >= watch.lapses_at and self._is_gone(row.worker):
                self._add_end(task, row, "lapsed", watch.progress_ms)
                continue
            watch.asked_at = now
            asks.setdefault(row.worker, []).append(AttemptRef(task, row.attempt))
        for worker, refs in asks.items():
            self._send_to_worker(worker, AskAttempts(self.shard, worker, tuple(refs)))

    def _is_gone(self, worker: str) -> bool:
        """Tell whether nobody can hear from `worker` any more.

        A lapsed lease proves that an attempt does not run, not that it has not finished: while
        the platform lists the worker, the attempt's end is waited for.
        """
        return self.journal.log_ok and not self._placer.may_be_alive(worker)

    def _add_end(self, task: str, row: TaskRow, reason: str, progress_ms: int) -> None:
        watch = self._watches.enter(task)
        progress_ms = max(progress_ms, watch.progress_ms, row.progress_ms)
        self._add(task, AttemptEnded(task, row.attempt, reason, progress_ms))

    def _add(self, task: str, entry: AttemptRecorded | AttemptEnded | TaskFinished) -> None:
        watch: Watch = self._watches.enter(task)
        if not watch.is_pending:
            watch.is_pending = True
            self.journal.add(entry)

    def _close(self, task: str, row: TaskRow) -> None:
        self._send_to_worker(row.worker, CloseAttempt(row.worker, task, row.attempt))

    def _send_to_worker(self, worker: str, message: object) -> None:
        rack = self._placer.find_rack(worker)
        holder = self._placer.find_owner(rack) if rack else None
        if holder is not None:
            self._core.send(holder, message)
