"""Takes callers' requests to the owners of their cells and gives each its final answer."""

import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from twisted.internet.defer import Deferred, TimeoutError

from quetzallock_core.cells import choose_cell
from quetzallock_core.cells.models import JobSpec
from quetzallock_core.exceptions import InvalidInputError

from ..helpers import sleep
from .clocks import BootClock
from .const import (
    ANSWER_MARGIN_MS,
    DEFAULT_DEADLINE_MS,
    MIN_OWNERS_READ_INTERVAL_MS,
    OWNER_REQUEST_TIMEOUT_MS,
    RETRY_AFTER_S,
    STORE_RETRY_AFTER_S,
)
from .membership import OwnersTask
from .messages import (
    CancelJobRequest,
    CountPendingRequest,
    JobStateRequest,
    OwnerAnswer,
    OwnerProbe,
    OwnerRequest,
    SubmitJobRequest,
)
from .peers import PeerLostError, Peers, PeerUnreachableError
from .ports import Configuration, Queue

_LOGGER = logging.getLogger(__name__)

_JOB_DIGITS: Final = 16
_NO_ANSWER: Final = frozenset(
    {"not_owner", "unproved", "unsettled", "unreachable", "lost", "refused"}
)
_MAYBE_TAKEN: Final = frozenset({"unsettled", "lost"})

DecodeJob = Callable[[str, bytes], JobSpec]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request; `deadline_ms` is how long the caller waits."""

    method: str
    host: str
    path: str
    body: bytes
    deadline_ms: int = DEFAULT_DEADLINE_MS


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """The final answer to a caller.

    Attributes:
        status: HTTP status.
        state: A job's state, or empty.
        pending: Number of pending jobs, or None.
        retry_after_s: When to come back, where the request has not run.
        code: What was wrong, or empty.
        detail: Where it was wrong, or empty.
    """

    status: int
    state: str = ""
    pending: int | None = None
    retry_after_s: int | None = None
    code: str = ""
    detail: str = ""


def make_refusal(code: str, retry_after_s: int = RETRY_AFTER_S) -> CallerAnswer:
    """Return the answer to a request that has not run and may come again."""
    return CallerAnswer(503, retry_after_s=retry_after_s, code=code)


class Router:
    """Answers callers' requests."""

    def __init__(
        self,
        reactor: Any,
        cells: int,
        own_address: str,
        owners: OwnersTask,
        peers: Peers,
        ask_locally: Callable[[OwnerRequest, Callable[[OwnerAnswer], None]], None],
        decode_job: DecodeJob,
        counters: Counter[str],
        observe: Callable[[str, float], None],
        is_store_lost: Callable[[], bool],
    ) -> None:
        self._observe = observe
        self._is_store_lost = is_store_lost
        self._reactor = reactor
        self._cells = cells
        self._own_address = own_address
        self._owners = owners
        self._peers = peers
        self._ask_locally = ask_locally
        self._decode_job = decode_job
        self._counters = counters
        self._clock = BootClock()
        self._last_ticket = 0
        self.configuration: Configuration | None = None

    async def answer(self, request: CallerRequest) -> CallerAnswer:
        """Return the final answer to `request`."""
        began = self._clock.now()
        configuration = self.configuration
        if configuration is None:
            answer = make_refusal("no_configuration")
            version = 0
        else:
            version = configuration.version
            answer = await self._route(configuration, request, began)
        self._log(request, answer, version, self._clock.now() - began)
        return answer

    def _log(self, request: CallerRequest, answer: CallerAnswer, version: int, ms: int) -> None:
        self._observe(f"answer.{request.method.lower()}", ms)
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
                "took_ms": ms,
            },
        )

    async def _route(
        self, configuration: Configuration, request: CallerRequest, began: int
    ) -> CallerAnswer:
        queue = configuration.find_queue(request.host, request.path)
        if queue is None:
            return CallerAnswer(404, code="no_such_queue")
        job = request.path[len(queue.path_prefix) :]
        until = began + max(0, request.deadline_ms - ANSWER_MARGIN_MS)
        if not job:
            return await self._count(request, queue, until)
        if not _is_job_id(job):
            detail = f"path: {job!r} is not {_JOB_DIGITS} hexadecimal digits"
            return CallerAnswer(400, code="invalid_input", detail=detail)
        if request.method == "POST":
            return await self._submit(request, queue, job, until)
        if request.method == "DELETE":
            ask: OwnerRequest = CancelJobRequest(
                self._next_ticket(), choose_cell(job, self._cells), job
            )
            return _tell_state((await self._ask(ask, until))[0])
        if request.method == "GET":
            ask = JobStateRequest(self._next_ticket(), choose_cell(job, self._cells), job)
            return _tell_state((await self._ask(ask, until))[0])
        return CallerAnswer(405, code="method_not_allowed")

    async def _submit(
        self, request: CallerRequest, queue: Queue, job: str, until: int
    ) -> CallerAnswer:
        try:
            spec = self._decode_job(job, request.body)
        except InvalidInputError as error:
            return CallerAnswer(400, code=error.code, detail=error.cause)
        ask = SubmitJobRequest(
            self._next_ticket(), choose_cell(job, self._cells), spec, queue.policy
        )
        outcome, maybe_taken = await self._ask(ask, until)
        if outcome.outcome == "accepted":
            return CallerAnswer(200, state="queued")
        if maybe_taken:
            return CallerAnswer(504, code="outcome_unknown")
        if outcome.outcome == "refused":
            return make_refusal("store_away", STORE_RETRY_AFTER_S)
        return make_refusal("no_owner")

    async def _count(self, request: CallerRequest, queue: Queue, until: int) -> CallerAnswer:
        if request.method != "GET":
            return CallerAnswer(405, code="method_not_allowed")
        total = 0
        for cell in range(self._cells):
            ask = CountPendingRequest(self._next_ticket(), cell, queue.policy.queue)
            outcome, _ = await self._ask(ask, until)
            if outcome.outcome != "counted":
                return make_refusal("no_owner")
            total += outcome.count
        return CallerAnswer(200, pending=total)

    async def probe_owner(self, cell: int) -> bool:
        """Tell whether the owner of `cell` answers and can prove that it is the owner."""
        answer = await self._ask_once(
            OwnerProbe(self._next_ticket(), cell), OWNER_REQUEST_TIMEOUT_MS
        )
        return answer.outcome == "alive"

    def _next_ticket(self) -> int:
        self._last_ticket += 1
        return self._last_ticket

    async def _ask(self, ask: OwnerRequest, until: int) -> tuple[OwnerAnswer, bool]:
        """Ask the owner until it answers or the time is up.

        Returns:
            The last answer, and whether an owner may have taken the ask in.
        """
        maybe_taken = False
        answer = OwnerAnswer(ask.ticket, "not_owner")
        while True:
            left = until - self._clock.now()
            if left <= 0:
                return answer, maybe_taken
            answer = await self._ask_once(ask, left)
            if answer.outcome not in _NO_ANSWER:
                return answer, maybe_taken
            maybe_taken |= answer.outcome in _MAYBE_TAKEN
            if not maybe_taken and self._is_hopeless(ask, answer):
                return OwnerAnswer(ask.ticket, "refused"), False
            self._counters[f"asks.{answer.outcome}"] += 1
            self._owners.refresh()
            await sleep(
                self._reactor, min(MIN_OWNERS_READ_INTERVAL_MS, max(1, until - self._clock.now()))
            )

    def _is_hopeless(self, ask: OwnerRequest, answer: OwnerAnswer) -> bool:
        """Tell whether a submission cannot be taken in soon: without the store nobody can."""
        if not isinstance(ask, SubmitJobRequest):
            return False
        return answer.outcome == "refused" or self._is_store_lost()

    async def _ask_once(self, ask: OwnerRequest, left_ms: int) -> OwnerAnswer:
        address = self._owners.find(ask.cell)
        if address is None:
            return OwnerAnswer(ask.ticket, "not_owner")
        if address == self._own_address:
            return await self._ask_here(ask, left_ms)
        try:
            return await self._peers.ask(address, ask).addTimeout(left_ms / 1_000, self._reactor)
        except TimeoutError:
            return OwnerAnswer(ask.ticket, "lost")
        except PeerUnreachableError:
            return OwnerAnswer(ask.ticket, "unreachable")
        except PeerLostError:
            return OwnerAnswer(ask.ticket, "lost")

    def _ask_here(self, ask: OwnerRequest, left_ms: int) -> "Deferred[OwnerAnswer]":
        """Ask this process, which owns the cell; an answer that takes long counts as lost."""
        local: Deferred[OwnerAnswer] = Deferred()

        def settle(answer: OwnerAnswer) -> None:
            if not local.called:
                local.callback(answer)

        wait_ms = min(OWNER_REQUEST_TIMEOUT_MS, left_ms)
        self._reactor.callLater(wait_ms / 1_000, settle, OwnerAnswer(ask.ticket, "lost"))
        self._ask_locally(ask, settle)
        return local


def _is_job_id(text: str) -> bool:
    return len(text) == _JOB_DIGITS and all(char in "0123456789abcdefABCDEF" for char in text)


def _tell_state(answer: OwnerAnswer) -> CallerAnswer:
    if answer.outcome == "unknown":
        return CallerAnswer(410, code="no_such_job")
    if answer.outcome in _NO_ANSWER:
        return CallerAnswer(504, code="owner_unknown")
    return CallerAnswer(200, state=answer.outcome)
