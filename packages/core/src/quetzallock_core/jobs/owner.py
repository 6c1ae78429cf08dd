"""Owns one shard of the jobs: accepts, shows, cancels and forgets jobs."""

from ..core import Core
from ..effects import Appended, ReadDone
from ..helpers.hashing import hash_to_range
from ..placement.models import RoomReserved, TaskReport
from ..placement.racks import Racks
from .attempts import ALIVE_STATES, TaskAttempts
from .const import (
    ACCEPTED,
    CANCELLED,
    CONFLICT,
    FOUND,
    NOT_RUN,
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

RETRY_MS = 1_000
_NO_LOG = "the log does not answer"


def find_shard(job: str, shards: int) -> int:
    """Return the shard of `job`."""
    return hash_to_range(job, shards)


class ShardOwner:
    """One host's part in one shard."""

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
        """The shard's jobs as recorded."""
        return self.journal.replay.state

    def tick(self, now: int, wanted: bool) -> None:
        """Act on the passing of time; `wanted` tells whether the shard falls to this host."""
        if wanted:
            self.journal.want(now)
        self.journal.tick(now)
        if not self.journal.is_ownership_confirmed(now):
            return
        if self.journal.log_ok:
            self._tracker.ask_room(self.state, now)
        self._attempts.check(now)
        self._forget_jobs(now)

    def on_appended(self, event: Appended) -> None:
        """Take in the outcome of an append."""
        self.journal.on_appended(event)
        if not event.ok:
            self._refuse(self.journal.drop_waiting(), _NO_LOG)

    def on_read(self, event: ReadDone) -> None:
        """Take in what was read."""
        news = self.journal.on_read(event, self._core.clock.now())
        if not event.ok:
            self._refuse(self.journal.drop_waiting(), _NO_LOG)
        self._take_news(news)

    def on_reserved(self, answer: RoomReserved) -> None:
        """Record attempts that found room."""
        self._attempts.on_reserved(answer)

    def on_report(self, report: TaskReport) -> None:
        """Take in what a worker says of this shard's tasks."""
        if self.journal.is_owner:
            self._attempts.on_report(report)

    def _take_news(self, news: JournalUpdate) -> None:
        now = self._core.clock.now()
        for pending in news.took_effect:
            self._react(pending, now)
        self._refuse(news.dropped, "the shard has moved to another host")
        if news.won:
            self._take_over(now)
        if news.lost:
            self._attempts.clear()
            self._ended_at.clear()

    def _take_over(self, now: int) -> None:
        """Start tracking what earlier owners left."""
        self._core.counters["jobs.shards_won"] += 1
        for task, row in self.state.rows.items():
            if row.state in ALIVE_STATES:
                self._attempts.take_over(task, now)
            elif row.state == "waiting":
                self._requeue(task, row)
        for job in self.state.jobs:
            self._note_end(job, now)

    def _refuse(self, pendings: tuple[PendingEntry, ...], reason: str) -> None:
        for pending in pendings:
            self._tracker.remove_pending(pending.entry)
            job = ""
            if isinstance(pending.entry, JobCancelled):
                job = pending.entry.job
                self._attempts.being_cancelled.discard(job)
            elif isinstance(pending.entry, JobAccepted):
                job = pending.entry.spec.job
            if pending.requester is not None:
                self._reply(pending.requester, NOT_RUN, job, RETRY_MS, reason)

    def _reply(
        self, requester: Requester, outcome: str, job: str, retry_ms: int = 0, reason: str = ""
    ) -> None:
        is_known = self.journal.is_owner and job in self.state.jobs
        counts = self.state.count_states(job) if is_known else ()
        reply = JobReply(requester.request, outcome, job, counts, retry_ms, reason)
        self._core.send(requester.host, reply)

    # Requests

    def on_submit(self, ask: SubmitJob, source: str) -> None:
        """Accept a job, unless it is known already."""
        requester = Requester(source, ask.request)
        if not self._may_answer(requester, ask.spec.job):
            return
        known = self._find_spec(ask.spec.job)
        if known is not None and known != ask.spec:
            self._reply(requester, CONFLICT, ask.spec.job, reason="this id is another job's")
        elif ask.spec.job in self.state.jobs:
            self._reply(requester, ACCEPTED, ask.spec.job)
        elif not self.journal.log_ok:
            self._reply(requester, NOT_RUN, ask.spec.job, RETRY_MS, _NO_LOG)
        else:
            self.journal.add(JobAccepted(ask.spec), requester)

    def on_cancel(self, ask: CancelJob, source: str) -> None:
        """Cancel a job; what has finished stays finished."""
        requester = Requester(source, ask.request)
        if not self._may_answer(requester, ask.job):
            return
        if ask.job not in self.state.jobs:
            self._reply(requester, UNKNOWN_JOB, ask.job)
        elif self.state.is_over(ask.job):
            self._reply(requester, CANCELLED, ask.job)
        elif not self.journal.log_ok:
            self._reply(requester, NOT_RUN, ask.job, RETRY_MS, _NO_LOG)
        else:
            self._attempts.being_cancelled.add(ask.job)
            self.journal.add(JobCancelled(ask.job), requester)

    def on_show(self, ask: ShowJob, source: str) -> None:
        """Say how far a job is."""
        requester = Requester(source, ask.request)
        if self._may_answer(requester, ask.job):
            outcome = FOUND if ask.job in self.state.jobs else UNKNOWN_JOB
            self._reply(requester, outcome, ask.job)

    def _may_answer(self, requester: Requester, job: str) -> bool:
        if self.journal.is_owner:
            return True
        self._reply(requester, NOT_RUN, job, RETRY_MS, "the job's shard is changing hosts")
        return False

    def _find_spec(self, job: str) -> JobSpec | None:
        if job in self.state.jobs:
            return self.state.jobs[job]
        for entry in self.journal.list_pending():
            if isinstance(entry, JobAccepted) and entry.spec.job == job:
                return entry.spec
        return None

    # Entries that took effect

    def _react(self, pending: PendingEntry, now: int) -> None:
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
                self._end(task, now)
            case AttemptEnded(task, _, reason):
                self._core.counters[f"jobs.attempts_{reason}"] += 1
                self._end(task, now)
            case TaskParked(task):
                self._tracker.untrack(task)
                self._note_end(find_job(task), now)
            case JobCancelled(job):
                self._cancel(job, pending.requester, now)

    def _end(self, task: str, now: int) -> None:
        row = self.state.rows[task]
        self._attempts.acknowledge(task, row)
        self._tracker.untrack(task)
        if row.state == "waiting":
            self._requeue(task, row)
        self._note_end(find_job(task), now)

    def _requeue(self, task: str, row: TaskRow) -> None:
        is_cancelled = find_job(task) in self._attempts.being_cancelled
        if not is_cancelled and self._has_failed_enough(row):
            reason = f"failed on {', '.join(row.failed_on)}"
            self.journal.add(TaskParked(task, reason))
            return
        self._tracker.add_waiting(task)

    def _has_failed_enough(self, row: TaskRow) -> bool:
        """Tell whether the fault is likely to be the task's own, not a worker's."""
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
        self._note_end(job, now)

    def _note_end(self, job: str, now: int) -> None:
        if job in self.state.jobs and self.state.is_over(job):
            self._ended_at.setdefault(job, now)

    def _forget_jobs(self, now: int) -> None:
        for job, ended_at in list(self._ended_at.items()):
            if now - ended_at >= self._settings.keep_ms:
                del self._ended_at[job]
                if job in self.state.jobs:
                    self.journal.add(JobForgotten(job))
