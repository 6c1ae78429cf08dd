"""Sends requests about jobs to the owner of the shard on behalf of local callers."""

from dataclasses import dataclass, replace

from ..core import Core
from ..helpers.hashing import choose_shard_owner
from ..members import Members
from .const import NOT_RUN, UNKNOWN
from .models import CancelJob, JobReply, JobSpec, ShowJob, SubmitJob
from .owner import RETRY_AFTER_MS, find_shard


@dataclass(frozen=True, slots=True)
class _PendingCall:
    ticket: int
    job: str
    deadline: int


class JobClient:
    """Sends requests about jobs and answers each with the owner's reply or after a timeout."""

    def __init__(self, core: Core, members: Members, shards: int) -> None:
        self._core = core
        self._members = members
        self._shards = shards
        self._next_request = 0
        self._pending: dict[int, _PendingCall] = {}
        core.listen(JobReply, self._on_reply)
        core.every_tick(self._tick)

    def submit(self, ticket: int, spec: JobSpec, timeout_ms: int, trace: str = "") -> None:
        """Submit a job with a trace context; the answer for `ticket` is a `JobReply`."""
        self._call_owner(ticket, spec.job, timeout_ms, SubmitJob(0, spec, trace))

    def cancel(self, ticket: int, job: str, timeout_ms: int) -> None:
        """Cancel a job; the answer for `ticket` is a `JobReply`."""
        self._call_owner(ticket, job, timeout_ms, CancelJob(0, job))

    def show(self, ticket: int, job: str, timeout_ms: int) -> None:
        """Request the progress of a job; the answer for `ticket` is a `JobReply`."""
        self._call_owner(ticket, job, timeout_ms, ShowJob(0, job))

    def _call_owner(
        self, ticket: int, job: str, timeout_ms: int, message: SubmitJob | CancelJob | ShowJob
    ) -> None:
        shard = find_shard(job, self._shards)
        owner = choose_shard_owner(shard, self._members.reachable)
        if owner is None:
            self._core.answer(
                ticket, JobReply(0, NOT_RUN, job, (), RETRY_AFTER_MS, "no host is ready")
            )
            return
        self._next_request += 1
        deadline = self._core.clock.now() + timeout_ms
        self._pending[self._next_request] = _PendingCall(ticket, job, deadline)
        self._core.send(owner, replace(message, request=self._next_request))

    def _on_reply(self, reply: JobReply, _source: str) -> None:
        call = self._pending.pop(reply.request, None)
        if call is not None:
            self._core.answer(call.ticket, reply)

    def _tick(self, now: int) -> None:
        for request, call in list(self._pending.items()):
            if now >= call.deadline:
                del self._pending[request]
                reply = JobReply(
                    request, UNKNOWN, call.job, (), RETRY_AFTER_MS, "no answer in time"
                )
                self._core.answer(call.ticket, reply)
