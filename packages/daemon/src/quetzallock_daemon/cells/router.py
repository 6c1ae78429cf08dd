"""Routes callers' requests to the owners of their cells, and makes the final answers."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from twisted.internet.defer import Deferred, TimeoutError
from twisted.python.failure import Failure

from quetzallock_core.cells import choose_cell
from quetzallock_core.cells.models import JobSpec
from quetzallock_core.exceptions import InvalidInputError

from ..helpers import sleep
from .clocks import BootClock
from .const import (
    ANSWER_MARGIN_MS,
    DEFAULT_DEADLINE_MS,
    MIN_OWNERS_READ_INTERVAL_MS,
    OVERLOAD_RETRY_AFTER_S,
    OWNER_REQUEST_TIMEOUT_MS,
    RETRY_AFTER_S,
    STORE_RETRY_AFTER_S,
)
from .drain import Drain, Phase
from .membership import OwnersTask
from .messages import (
    AssignmentNotice,
    CancelJobRequest,
    CountPendingRequest,
    JobStateRequest,
    OwnerAnswer,
    OwnerProbe,
    OwnerRequest,
    ProcessProbe,
    SubmitJobRequest,
)
from .peers import PeerLostError, Peers, PeerUnreachableError
from .ports import Configuration, Queue

_LOGGER = logging.getLogger(__name__)

_JOB_DIGITS: Final = 16
_RETRIED_OUTCOMES: Final = frozenset(
    {"not_owner", "unproved", "unsettled", "unreachable", "lost", "refused"}
)
"""Outcomes after which a request is sent again."""

_UNCERTAIN_OUTCOMES: Final = frozenset({"unsettled", "lost"})
"""Outcomes of attempts that an owner may have processed."""

DecodeJob = Callable[[str, bytes], JobSpec]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request of a caller; `deadline_ms` is how long the caller waits for the answer."""

    method: str
    host: str
    path: str
    body: bytes
    deadline_ms: int = DEFAULT_DEADLINE_MS


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Final answer to a caller.

    Attributes:
        status: HTTP status.
        state: A job's state, or empty.
        pending: Number of pending jobs, or None.
        retry_after_s: When to retry a request that has not run, or None.
        code: Error code, or empty.
        detail: The invalid part of the request and what is wrong with it, or empty.
    """

    status: int
    state: str = ""
    pending: int | None = None
    retry_after_s: int | None = None
    code: str = ""
    detail: str = ""


def make_refusal(code: str, retry_after_s: int = RETRY_AFTER_S) -> CallerAnswer:
    """Return the answer to a request that has not run and may be retried."""
    return CallerAnswer(503, retry_after_s=retry_after_s, code=code)


class Router:
    """Answers callers' requests by sending requests to the owners of cells."""

    def __init__(
        self,
        reactor: Any,
        cells: int,
        own_address: str,
        owners: OwnersTask,
        peers: Peers,
        handle_locally: Callable[[OwnerRequest, Callable[[OwnerAnswer], None]], None],
        decode_job: DecodeJob,
        counters: Counter[str],
        observe: Callable[[str, float], None],
        is_store_lost: Callable[[], bool],
        is_configuration_current: Callable[[], bool],
        drain: Drain,
    ) -> None:
        self._drain = drain
        self._observe = observe
        self._is_store_lost = is_store_lost
        self._is_configuration_current = is_configuration_current
        self._reactor = reactor
        self._cells = cells
        self._own_address = own_address
        self._owners = owners
        self._peers = peers
        self._handle_locally = handle_locally
        self._decode_job = decode_job
        self._counters = counters
        self._clock = BootClock()
        self._last_ticket = 0
        self.configuration: Configuration | None = None

    async def answer(self, request: CallerRequest) -> CallerAnswer:
        """Return the final answer to `request`."""
        started_at = self._clock.now()
        configuration = self.configuration
        version = 0 if configuration is None else configuration.version
        if self._drain.phase >= Phase.REFUSING:
            answer = make_refusal("draining")
        elif configuration is None:
            answer = make_refusal("no_configuration")
        else:
            answer = await self._route(configuration, request, started_at)
        self._log(request, answer, version, self._clock.now() - started_at)
        return answer

    def _log(
        self, request: CallerRequest, answer: CallerAnswer, version: int, took_ms: int
    ) -> None:
        self._observe(f"answer.{request.method.lower()}", took_ms)
        self._counters[f"answers.{request.method.lower()}.{answer.status}"] += 1
        _LOGGER.info(
            "request.answered",
            extra={
                "method": request.method,
                "path": request.path,
                "status": answer.status,
                "state": answer.state,
                "code": answer.code,
                "config": version,
                "took_ms": took_ms,
            },
        )

    async def _route(
        self, configuration: Configuration, request: CallerRequest, started_at: int
    ) -> CallerAnswer:
        queue = configuration.find_queue(request.host, request.path)
        if queue is None:
            return self._make_unknown_queue_answer()
        job = request.path[len(queue.path_prefix) :]
        until = started_at + max(0, request.deadline_ms - ANSWER_MARGIN_MS)
        if not job:
            return await self._count(request, queue, until)
        if not _is_job_id(job):
            detail = f"path: {job!r} is not {_JOB_DIGITS} hexadecimal digits"
            return CallerAnswer(400, code="invalid_input", detail=detail)
        if request.method == "POST":
            return await self._submit(request, queue, job, until)
        if request.method == "DELETE":
            owner_request: OwnerRequest = CancelJobRequest(
                self._next_ticket(), choose_cell(job, self._cells), job
            )
            return _make_state_answer((await self._call_owner(owner_request, until))[0])
        if request.method == "GET":
            owner_request = JobStateRequest(self._next_ticket(), choose_cell(job, self._cells), job)
            return _make_state_answer((await self._call_owner(owner_request, until))[0])
        return CallerAnswer(405, code="method_not_allowed")

    def _make_unknown_queue_answer(self) -> CallerAnswer:
        """Return the answer to a request that no queue matches.

        While the configuration is not confirmed in time, the queue may have been added since.
        """
        if self._is_configuration_current():
            return CallerAnswer(404, code="no_such_queue")
        return make_refusal("configuration_unconfirmed")

    async def _submit(
        self, request: CallerRequest, queue: Queue, job: str, until: int
    ) -> CallerAnswer:
        try:
            spec = self._decode_job(job, request.body)
        except InvalidInputError as error:
            return CallerAnswer(400, code=error.code, detail=error.cause)
        owner_request = SubmitJobRequest(
            self._next_ticket(), choose_cell(job, self._cells), spec, queue.policy
        )
        answer, may_have_run = await self._call_owner(owner_request, until)
        if answer.outcome == "accepted":
            return CallerAnswer(200, state=answer.state or "queued")
        if may_have_run:
            return CallerAnswer(504, code="outcome_unknown")
        if answer.outcome == "removed":
            return CallerAnswer(404, code="no_such_queue")
        if answer.outcome == "refused":
            return make_refusal("store_away", STORE_RETRY_AFTER_S)
        if answer.outcome == "overloaded":
            return make_refusal("overloaded", OVERLOAD_RETRY_AFTER_S)
        return make_refusal("no_owner")

    async def _count(self, request: CallerRequest, queue: Queue, until: int) -> CallerAnswer:
        if request.method != "GET":
            return CallerAnswer(405, code="method_not_allowed")
        total = 0
        for cell in range(self._cells):
            owner_request = CountPendingRequest(self._next_ticket(), cell, queue.policy.queue)
            answer, _ = await self._call_owner(owner_request, until)
            if answer.outcome != "counted":
                return make_refusal("no_owner")
            total += answer.count
        return CallerAnswer(200, pending=total)

    async def probe_owner(self, cell: int) -> bool:
        """Return whether the owner of `cell` answers and its ownership was confirmed recently."""
        answer = await self._call_owner_once(
            OwnerProbe(self._next_ticket(), cell), OWNER_REQUEST_TIMEOUT_MS
        )
        return answer.outcome == "alive"

    async def probe_process(self, address: str) -> OwnerAnswer | None:
        """Return the answer of the process at `address` that says which one it is, or None."""
        try:
            return await self._peers.send(address, ProcessProbe(self._next_ticket()))
        except PeerLostError:
            return None

    def notify_members(self) -> None:
        """Let the other members look at once whether cells are assigned to them."""
        for address in self._owners.list_addresses():
            if address != self._own_address:
                notice = AssignmentNotice(self._next_ticket())
                self._peers.send(address, notice).addErrback(_ignore_lost_peer)

    def _next_ticket(self) -> int:
        self._last_ticket += 1
        return self._last_ticket

    async def _call_owner(
        self, owner_request: OwnerRequest, until: int
    ) -> tuple[OwnerAnswer, bool]:
        """Send a request to the owner of its cell, and retry until it is answered or time is up.

        Time is also up when a draining host has to have its answers.

        Returns:
            The last answer, and whether an attempt without an answer may have been processed.
        """
        may_have_run = False
        answer = OwnerAnswer(owner_request.ticket, "not_owner")
        while True:
            left_ms = self._drain.limit_wait(until) - self._clock.now()
            if left_ms <= 0:
                return answer, may_have_run
            answer = await self._call_owner_once(owner_request, left_ms)
            if answer.outcome not in _RETRIED_OUTCOMES:
                return answer, may_have_run
            may_have_run |= answer.outcome in _UNCERTAIN_OUTCOMES
            if not may_have_run and self._should_refuse(owner_request, answer):
                return OwnerAnswer(owner_request.ticket, "refused"), False
            self._counters[f"asks.{answer.outcome}"] += 1
            self._owners.refresh()
            await sleep(
                self._reactor, min(MIN_OWNERS_READ_INTERVAL_MS, max(1, until - self._clock.now()))
            )

    def _should_refuse(self, owner_request: OwnerRequest, answer: OwnerAnswer) -> bool:
        """Return whether to refuse a submission now: no host can accept it without the store."""
        if not isinstance(owner_request, SubmitJobRequest):
            return False
        return answer.outcome == "refused" or self._is_store_lost()

    async def _call_owner_once(self, owner_request: OwnerRequest, left_ms: int) -> OwnerAnswer:
        address = self._owners.find_address(owner_request.cell)
        if address is None:
            return OwnerAnswer(owner_request.ticket, "not_owner")
        if address == self._own_address:
            return await self._call_own_cell(owner_request, left_ms)
        try:
            return await self._peers.send(address, owner_request).addTimeout(
                left_ms / 1_000, self._reactor
            )
        except TimeoutError:
            return OwnerAnswer(owner_request.ticket, "lost")
        except PeerUnreachableError:
            return OwnerAnswer(owner_request.ticket, "unreachable")
        except PeerLostError:
            return OwnerAnswer(owner_request.ticket, "lost")

    def _call_own_cell(self, owner_request: OwnerRequest, left_ms: int) -> "Deferred[OwnerAnswer]":
        """Process a request in this host, which owns the cell; a late answer counts as lost."""
        completed: Deferred[OwnerAnswer] = Deferred()

        def complete(answer: OwnerAnswer) -> None:
            if not completed.called:
                completed.callback(answer)

        wait_ms = min(OWNER_REQUEST_TIMEOUT_MS, left_ms)
        self._reactor.callLater(
            wait_ms / 1_000, complete, OwnerAnswer(owner_request.ticket, "lost")
        )
        self._handle_locally(owner_request, complete)
        return completed


def _ignore_lost_peer(failure: Failure) -> None:
    failure.trap(PeerLostError)


def _is_job_id(text: str) -> bool:
    return len(text) == _JOB_DIGITS and all(char in "0123456789abcdefABCDEF" for char in text)


def _make_state_answer(answer: OwnerAnswer) -> CallerAnswer:
    if answer.outcome == "unknown":
        return CallerAnswer(410, code="no_such_job")
    if answer.outcome in _RETRIED_OUTCOMES:
        return CallerAnswer(504, code="owner_unknown")
    return CallerAnswer(200, state=answer.outcome)
