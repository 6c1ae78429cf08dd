"""Asks the owner of a job's shard on behalf of a local caller."""

from dataclasses import dataclass, replace

from ..core import Core
from ..helpers.hashing import choose_shard_owner
from ..members import Members
from .const import NOT_RUN, UNKNOWN
from .models import CancelJob, JobReply, JobSpec, ShowJob, SubmitJob
from .owner import RETRY_MS, find_shard


@dataclass(frozen=True, slots=True)
class _Asked:
    ticket: int
    job: str
    deadline: int


class JobClient:
    """Requests about jobs that wait for an answer."""

    def __init__(self, core: Core, members: Members, shards: int) -> None:
        self._core = core
        self._members = members
        self._shards = shards
        self._next_request = 0
        self._asked: dict[int, _Asked] = {}
        core.listen(JobReply, self._on_reply)
        core.every_tick(self._tick)

    def submit(self, ticket: int, spec: JobSpec, timeout_ms: int, trace: str = "") -> None:
        """Submit a job under a trace context; a `JobReply` goes to `ticket`."""
        self._ask(ticket, spec.job, timeout_ms, SubmitJob(0, spec, trace))

    def cancel(self, ticket: int, job: str, timeout_ms: int) -> None:
        """Cancel a job; a `JobReply` goes to `ticket`."""
        self._ask(ticket, job, timeout_ms, CancelJob(0, job))

    def show(self, ticket: int, job: str, timeout_ms: int) -> None:
        """Ask how far a job is; a `JobReply` goes to `ticket`."""
        self._ask(ticket, job, timeout_ms, ShowJob(0, job))

    def _ask(
        self, ticket: int, job: str, timeout_ms: int, ask: SubmitJob | CancelJob | ShowJob
    ) -> None:
        shard = find_shard(job, self._shards)
        owner = choose_shard_owner(shard, self._members.usable)
        if owner is None:
            self._core.answer(ticket, JobReply(0, NOT_RUN, job, (), RETRY_MS, "no host is ready"))
            return
        self._next_request += 1
        deadline = self._core.clock.now() + timeout_ms
        self._asked[self._next_request] = _Asked(ticket, job, deadline)
        self._core.send(owner, replace(ask, request=self._next_request))

    def _on_reply(self, reply: JobReply, _source: str) -> None:
        asked = self._asked.pop(reply.request, None)
        if asked is not None:
            self._core.answer(asked.ticket, reply)

    def _tick(self, now: int) -> None:
        for request, asked in list(self._asked.items()):
            if now >= asked.deadline:
                del self._asked[request]
                reply = JobReply(request, UNKNOWN, asked.job, (), RETRY_MS, "no answer in time")
                self._core.answer(asked.ticket, reply)
