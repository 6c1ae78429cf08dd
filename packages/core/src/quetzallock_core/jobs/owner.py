"""Handles the jobs of one owned shard: accepts, shows, cancels and removes them."""

from ..core import Core
from ..effects import Appended, ReadDone
from ..helpers.hashing import hash_to_range
from ..placement.models import CapacityReserved, TaskReport
from ..placement.racks import Racks
from .attempts import ACTIVE_STATES, TaskAttempts
from .const import (
    ACCEPTED,
    CANCELLED,
    CONFLICT,
    FOUND,
    NOT_RUN,
    UNKNOWN,
    UNKNOWN_JOB,
    JobSettings,
)
from .journal import Journal, JournalUpdate, PendingEntry, Requester
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
from .state import TASK_CHART, ShardState
from .tracker import TaskTracker

RETRY_AFTER_MS = 1_000
"""Delay before a retry that replies suggest to callers."""
_NO_LOG = "the log does not answer"


def find_shard(job: str, shards: int) -> int:
    """Return the shard of `job`."""
    return hash_to_range(job, shards)


class ShardOwner:
    """One shard on one host, which may or may not own it."""

    def __init__(self, core: Core, racks: Racks, settings: JobSettings, shard: int) -> None:
        self._core = core
        self._racks = racks
        self._settings = settings
        self.shard = shard
        self.journal = Journal(core, settings, shard)
        self._tracker = TaskTracker(core, racks, settings)
        self._attempts = TaskAttempts(core, racks, settings, shard, self.journal, self._tracker)
        self._ended_at: dict[str, int] = {}

    @property
    def state(self) -> ShardState:
        """Recorded state of the shard."""
        return self.journal.replay.state

    def tick(self, now: int, is_assigned: bool) -> None:
        """Run periodic work; `is_assigned` is whether the shard is assigned to this host."""
        if is_assigned:
            self.journal.request_ownership(now)
        self.journal.tick(now)
        if not self.journal.is_ownership_confirmed(now):
            return
        if self.journal.log_ok:
            self._tracker.request_reservations(self.state, now)
        self._attempts.check(now)
        self._forget_jobs(now)

    def on_appended(self, event: Appended) -> None:
        """Handle the result of an append."""
        self.journal.on_appended(event)
        if not event.ok:
            self._reject(self.journal.pop_unsent_requests(), NOT_RUN, _NO_LOG)

    def on_read(self, event: ReadDone) -> None:
        """Handle the result of a read."""
        update = self.journal.on_read(event, self._core.clock.now())
        if not event.ok:
            self._reject(self.journal.pop_unsent_requests(), NOT_RUN, _NO_LOG)
        self._handle_update(update)

    def on_reserved(self, answer: CapacityReserved) -> None:
        """Record the attempts for which capacity was reserved."""
        self._attempts.on_reserved(answer)

    def on_report(self, report: TaskReport) -> None:
        """Process a worker's report on tasks of this shard."""
        if self.journal.is_owner:
            self._attempts.on_report(report)

    def _handle_update(self, update: JournalUpdate) -> None:
        now = self._core.clock.now()
        for pending in update.applied:
            self._handle_applied(pending, now)
        self._reject(update.dropped, NOT_RUN, "the shard has moved to another host")
        self._reject(update.uncertain, UNKNOWN, "the record of the request has expired unread")
        if update.won:
            self._take_over(now)
        if update.lost:
            self._attempts.clear()
            self._ended_at.clear()

    def _take_over(self, now: int) -> None:
        """Track the unfinished tasks that earlier owners recorded."""
        self._core.counters["jobs.shards_won"] += 1
        for task, row in self.state.rows.items():
            if row.state in ACTIVE_STATES:
                self._attempts.adopt(task, now)
            elif row.state == "waiting":
                self._requeue(task, row)
        for job in self.state.jobs:
            self._record_job_end(job, now)

    def _reject(self, pending_entries: tuple[PendingEntry, ...], outcome: str, reason: str) -> None:
        for pending in pending_entries:
            self._tracker.remove_pending(pending.entry)
            job = ""
            if isinstance(pending.entry, JobCancelled):
                job = pending.entry.job
                self._attempts.being_cancelled.discard(job)
            elif isinstance(pending.entry, JobAccepted):
                job = pending.entry.spec.job
            if pending.requester is not None:
                self._reply(pending.requester, outcome, job, RETRY_AFTER_MS, reason)

    def _reply(
        self,
        requester: Requester,
        outcome: str,
        job: str,
        retry_after_ms: int = 0,
        reason: str = "",
    ) -> None:
        is_known = self.journal.is_owner and job in self.state.jobs
        counts = self.state.count_states(job) if is_known else ()
        reply = JobReply(requester.request, outcome, job, counts, retry_after_ms, reason)
        self._core.send(requester.host, reply)

    # Requests

    def on_submit(self, message: SubmitJob, source: str) -> None:
        """Accept a job, unless a job with its id is known already."""
        requester = Requester(source, message.request)
        if not self._check_ownership(requester, message.spec.job):
            return
        known = self._find_spec(message.spec.job)
        if known is not None and known != message.spec:
            self._reply(requester, CONFLICT, message.spec.job, reason="another job has this id")
        elif message.spec.job in self.state.jobs:
            self._reply(requester, ACCEPTED, message.spec.job)
        elif not self.journal.log_ok:
            self._reply(requester, NOT_RUN, message.spec.job, RETRY_AFTER_MS, _NO_LOG)
        else:
            self.journal.add(JobAccepted(message.spec), requester)

    def on_cancel(self, message: CancelJob, source: str) -> None:
        """Cancel a job; finished tasks stay finished."""
        requester = Requester(source, message.request)
        if not self._check_ownership(requester, message.job):
            return
        if message.job not in self.state.jobs:
            self._reply(requester, UNKNOWN_JOB, message.job)
        elif self.state.is_over(message.job):
            self._reply(requester, CANCELLED, message.job)
        elif not self.journal.log_ok:
            self._reply(requester, NOT_RUN, message.job, RETRY_AFTER_MS, _NO_LOG)
        else:
            self._attempts.being_cancelled.add(message.job)
            self.journal.add(JobCancelled(message.job), requester)

    def on_show(self, message: ShowJob, source: str) -> None:
        """Reply with the progress of a job."""
        requester = Requester(source, message.request)
        if self._check_ownership(requester, message.job):
            outcome = FOUND if message.job in self.state.jobs else UNKNOWN_JOB
            self._reply(requester, outcome, message.job)

    def _check_ownership(self, requester: Requester, job: str) -> bool:
        if self.journal.is_owner:
            return True
        self._reply(requester, NOT_RUN, job, RETRY_AFTER_MS, "the job's shard is changing hosts")
        return False

    def _find_spec(self, job: str) -> JobSpec | None:
        if job in self.state.jobs:
            return self.state.jobs[job]
        for entry in self.journal.list_pending():
            if isinstance(entry, JobAccepted) and entry.spec.job == job:
                return entry.spec
        return None

    # Entries that took effect

    def _handle_applied(self, pending: PendingEntry, now: int) -> None:
        self._tracker.remove_pending(pending.entry)
        match pending.entry:
            case JobAccepted(spec):
                self._core.counters["jobs.accepted"] += 1
                for task in self.state.list_tasks(spec.job):
                    self._tracker.add_waiting(task)
                if pending.requester:
                    self._reply(pending.requester, ACCEPTED, spec.job)
            case AttemptRecorded(task):
                self._attempts.start(task, now)
            case TaskFinished(task):
                self._core.counters["jobs.tasks_finished"] += 1
                self._handle_attempt_end(task, now)
            case AttemptEnded(task, _, reason):
                self._core.counters[f"jobs.attempts_{reason}"] += 1
                self._handle_attempt_end(task, now)
            case TaskParked(task):
                self._tracker.untrack(task)
                self._record_job_end(find_job(task), now)
            case JobCancelled(job):
                self._cancel(job, pending.requester, now)

    def _handle_attempt_end(self, task: str, now: int) -> None:
        row = self.state.rows[task]
        self._attempts.acknowledge(task, row)
        self._tracker.untrack(task)
        if row.state == "waiting":
            self._requeue(task, row)
        self._record_job_end(find_job(task), now)

    def _requeue(self, task: str, row: TaskRow) -> None:
        is_cancelled = find_job(task) in self._attempts.being_cancelled
        if not is_cancelled and self._should_park(row):
            reason = f"failed on {', '.join(row.failed_on)}"
            self.journal.add(TaskParked(task, reason))
            return
        self._tracker.add_waiting(task)

    def _should_park(self, row: TaskRow) -> bool:
        """Return whether the task failed on enough workers to be the likely cause itself."""
        workers = len(self._racks.workers)
        return len(row.failed_on) >= max(1, min(self._settings.failures, workers))

    def _cancel(self, job: str, requester: Requester | None, now: int) -> None:
        self._attempts.being_cancelled.discard(job)
        for task in self.state.list_tasks(job):
            row = self.state.rows[task]
            if row.state == "cancelling":
                self._attempts.close(task, row)
            elif row.state in TASK_CHART.final:
                self._tracker.untrack(task)
        if requester:
            self._reply(requester, CANCELLED, job)
        self._record_job_end(job, now)

    def _record_job_end(self, job: str, now: int) -> None:
        if job in self.state.jobs and self.state.is_over(job):
            self._ended_at.setdefault(job, now)

    def _forget_jobs(self, now: int) -> None:
        for job, ended_at in list(self._ended_at.items()):
            if now - ended_at >= self._settings.keep_ms:
                del self._ended_at[job]
                if job in self.state.jobs:
                    self.journal.add(JobForgotten(job))
