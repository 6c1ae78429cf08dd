"""Sends requests to backend servers and returns one final result to each caller."""

from ..core import Core
from ..presets.models import PresetChanged
from ..presets.schema import RequestRules
from .budget import RetryBudget
from .const import BROKEN, NOT_RUN, UNKNOWN, WHOLE, RequestSettings
from .durations import DurationEstimates
from .keys import IdempotencyKeys
from .models import (
    CallerDisconnected,
    Dispatch,
    DispatchDone,
    KeyAnswer,
    RequestArrived,
    RequestEnded,
    RequestResult,
)
from .policies import POLICIES, PendingRequest, RequestPolicy
from .slots import SlotPool

_MIN_RETRY_AFTER_MS = 200
_MAX_REFUSED_TICKETS = 1_000


class Router:
    """Routes the requests that callers send to this entry host.

    Attributes:
        rules: Request rules of the preset in force.
    """

    def __init__(
        self, core: Core, pool: SlotPool, keys: IdempotencyKeys, settings: RequestSettings
    ) -> None:
        self._core = core
        self._pool = pool
        self._keys = keys
        self._settings = settings
        self._durations = DurationEstimates()
        self.rules = RequestRules()
        self._policy: RequestPolicy = POLICIES.get(self.rules.policy)(self.rules, self._durations)
        self._budget = RetryBudget(self.rules.retry_percent)
        self._in_flight: dict[int, PendingRequest] = {}
        self._refused_tickets: dict[int, None] = {}
        self._pending_claims = 0
        core.listen(RequestArrived, self._on_arrival)
        core.listen(DispatchDone, self._on_dispatch_done)
        core.listen(CallerDisconnected, self._on_disconnected)
        core.listen(PresetChanged, self._on_preset)
        core.every_tick(self._tick)

    @property
    def open_requests(self) -> int:
        """Number of requests that wait for their key's owner, are queued or in flight."""
        return self._pending_claims + self._policy.count() + len(self._in_flight)

    def _on_preset(self, event: PresetChanged, _source: str) -> None:
        rules = event.preset.requests
        if rules == self.rules:
            return
        queued = self._drain_queue()
        self.rules = rules
        self._policy = POLICIES.get(rules.policy)(rules, self._durations)
        self._budget.percent = rules.retry_percent
        # The new policy has not counted requests that the old one dispatched.
        for request in self._in_flight.values():
            request.is_long = False
        for request in queued:
            self._admit(request)
        self._dispatch_queued()

    def _drain_queue(self) -> list[PendingRequest]:
        queued = []
        # So many slots that the share for long work holds no request back.
        while request := self._policy.pop(1_000_000, self._core.clock.now()):
            queued.append(request)
        return queued

    def _on_arrival(self, arrival: RequestArrived, _source: str) -> None:
        now = self._core.clock.now()
        self._core.counters["requests.arrived"] += 1
        request = PendingRequest(
            arrival.ticket,
            arrival.kind,
            arrival.deadline,
            arrival.idempotent,
            now,
            key=arrival.key,
        )
        if arrival.key and not arrival.idempotent:
            self._pending_claims += 1
            self._keys.claim(
                arrival.key, arrival.repeat, lambda answer: self._on_claim_answered(request, answer)
            )
            return
        self._enqueue(request)
        self._dispatch_queued()

    def _on_claim_answered(self, request: PendingRequest, answer: KeyAnswer) -> None:
        self._pending_claims -= 1
        if answer.decision == "run":
            self._enqueue(request)
            self._dispatch_queued()
            return
        request.key = ""
        if answer.decision == "done":
            self._answer_caller(
                request,
                RequestResult(
                    WHOLE,
                    answer.response,
                    reason="response of the first request with this idempotency key",
                ),
            )
        elif answer.decision == UNKNOWN:
            reason = "an earlier request with this idempotency key may have run"
            self._answer_caller(
                request, RequestResult(UNKNOWN, retry_after_ms=1_000, reason=reason)
            )
        else:
            self._refuse(request, 1_000, "the owner of the idempotency key is not ready")

    def _enqueue(self, request: PendingRequest) -> None:
        if self._policy.count() >= self._settings.queue_limit:
            self._refuse(request, 1_000, "the request queue is full")
            return
        self._budget.deposit()
        self._admit(request)

    def _admit(self, request: PendingRequest) -> None:
        """Queue a request that was counted as a first attempt before, or refuse it."""
        retry_ms = self._policy.admit(request, self._pool.slots, self._core.clock.now())
        if retry_ms is not None:
            self._refuse(request, retry_ms, "the request is predicted to miss its deadline")

    def _tick(self, now: int) -> None:
        self._dispatch_queued()

    def _dispatch_queued(self) -> None:
        """Refuse queued requests that will miss their deadline, then send while slots are free."""
        now = self._core.clock.now()
        while unmeetable := self._policy.pop_unmeetable(now):
            self._refuse(unmeetable, _MIN_RETRY_AFTER_MS, "no slot became free in time")
        while self._policy.count():
            if not self._dispatch_next(now):
                break
        self._pool.queued_requests = self._policy.count()

    def _dispatch_next(self, now: int) -> bool:
        worker = self._pool.acquire(frozenset())
        if worker is None:
            return False
        request = self._policy.pop(self._pool.slots, now)
        if request is None:
            self._pool.release(worker, True, None)
            return False
        if worker in request.avoid:
            alternative = self._pool.acquire(request.avoid)
            if alternative is not None:
                self._pool.release(worker, True, None)
                worker = alternative
        self._core.counters["requests.sent_twice"] += (
            request.may_have_run and not request.idempotent
        )
        request.attempts += 1
        request.sent_at = now
        self._in_flight[request.ticket] = request
        self._policy.record_dispatch(request)
        self._core.emit(Dispatch(request.ticket, request.attempts, worker))  # type: ignore[arg-type]
        return True

    def _on_dispatch_done(self, done: DispatchDone, _source: str) -> None:
        request = self._in_flight.get(done.ticket)
        if request is None or request.attempts != done.number:
            self._handle_late_result(done)
            return
        del self._in_flight[done.ticket]
        now = self._core.clock.now()
        took_ms = float(now - request.sent_at) if done.outcome == WHOLE else None
        is_healthy = done.outcome == WHOLE and (done.response is None or done.response.status < 500)
        self._pool.release(done.worker, is_healthy, took_ms)
        self._policy.record_done(request, took_ms)
        self._handle_result(request, done, now)
        self._dispatch_queued()

    def _handle_late_result(self, done: DispatchDone) -> None:
        self._core.counters["requests.late_answers"] += 1
        if done.outcome == WHOLE and done.ticket in self._refused_tickets:
            self._core.counters["requests.ran_after_not_run"] += 1

    def _handle_result(self, request: PendingRequest, done: DispatchDone, now: int) -> None:
        if done.outcome == WHOLE:
            self._answer_caller(request, RequestResult(WHOLE, done.response, worker=done.worker))
        elif self._may_retry(request, done.outcome, now):
            self._core.counters["requests.retries"] += 1
            request.avoid |= {done.worker}
            self._requeue(request, now)
        else:
            self._fail_request(request)

    def _may_retry(self, request: PendingRequest, outcome: str, now: int) -> bool:
        if outcome == BROKEN:
            request.may_have_run = True
            if not request.idempotent:
                return False
        if request.attempts >= self._policy.max_attempts or now >= request.deadline:
            return False
        return self._budget.spend()

    def _requeue(self, request: PendingRequest, now: int) -> None:
        """Queue a retry; slots bound their number, so the queue's limit is for first attempts."""
        if self._policy.admit(request, self._pool.slots, now) is not None:
            self._fail_request(request)

    def _fail_request(self, request: PendingRequest) -> None:
        reason = "no backend server accepted the request"
        if request.may_have_run:
            reason = "the request was sent, but no complete response was received"
        self._refuse(request, _MIN_RETRY_AFTER_MS, reason)

    def _on_disconnected(self, event: CallerDisconnected, _source: str) -> None:
        self._core.counters["requests.callers_gone"] += 1

    def _refuse(self, request: PendingRequest, retry_ms: int, reason: str) -> None:
        if request.may_have_run:
            self._answer_caller(
                request, RequestResult(UNKNOWN, retry_after_ms=1_000, reason=reason)
            )
            return
        retry_ms = max(_MIN_RETRY_AFTER_MS, retry_ms)
        retry_ms += self._core.rng.randrange(retry_ms // 2)
        self._answer_caller(request, RequestResult(NOT_RUN, retry_after_ms=retry_ms, reason=reason))

    def _answer_caller(self, request: PendingRequest, result: RequestResult) -> None:
        self._core.counters[f"requests.{result.outcome}"] += 1
        now = self._core.clock.now()
        sent_at = request.sent_at or now
        in_time = result.outcome == WHOLE and now <= request.deadline
        self._core.fire(
            RequestEnded(
                result.outcome,
                now - request.arrived_at,
                sent_at - request.arrived_at,
                in_time,
                request.is_long,
            )
        )
        if result.outcome == NOT_RUN and request.attempts:
            self._record_refused(request.ticket)
        if request.key:
            self._keys.record_outcome(request.key, result.outcome, result.response)
        self._core.answer(request.ticket, result)

    def _record_refused(self, ticket: int) -> None:
        """Record a request that was answered `not_run` after a dispatch.

        A late result then shows whether it ran after all.
        """
        self._refused_tickets[ticket] = None
        if len(self._refused_tickets) > _MAX_REFUSED_TICKETS:
            del self._refused_tickets[next(iter(self._refused_tickets))]
