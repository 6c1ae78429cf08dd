"""Sends requests to backend servers and gives each caller one final answer."""

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

_LEAST_RETRY_MS = 200
_REFUSED_KEPT = 1_000


class Router:
    """The requests of one entry host."""

    def __init__(
        self, core: Core, pool: SlotPool, keys: IdempotencyKeys, settings: RequestSettings
    ) -> None:
        self._core = core
        self._pool = pool
        self._keys = keys
        self._settings = settings
        self._lengths = DurationEstimates()
        self.rules = RequestRules()
        self._policy: RequestPolicy = POLICIES.get(self.rules.policy)(self.rules, self._lengths)
        self._budget = RetryBudget(self.rules.retry_percent)
        self._in_flight: dict[int, PendingRequest] = {}
        self._refused: dict[int, None] = {}
        self._claiming = 0
        core.listen(RequestArrived, self._on_arrival)
        core.listen(DispatchDone, self._on_done)
        core.listen(CallerDisconnected, self._on_gone)
        core.listen(PresetChanged, self._on_preset)
        core.every_tick(self._tick)

    @property
    def open_requests(self) -> int:
        """Requests that wait for their key's host, are queued or under way."""
        return self._claiming + self._policy.count() + len(self._in_flight)

    def _on_preset(self, event: PresetChanged, _source: str) -> None:
        rules = event.preset.requests
        if rules == self.rules:
            return
        queued = self._drain_queue()
        self.rules = rules
        self._policy = POLICIES.get(rules.policy)(rules, self._lengths)
        self._budget.percent = rules.retry_percent
        for waiting in self._in_flight.values():
            waiting.is_long = False
        for waiting in queued:
            self._enqueue(waiting)
        self._pump()

    def _drain_queue(self) -> list[PendingRequest]:
        queued = []
        while waiting := self._policy.pop(1_000_000, self._core.clock.now()):
            queued.append(waiting)
        return queued

    def _on_arrival(self, arrival: RequestArrived, _source: str) -> None:
        now = self._core.clock.now()
        self._core.counters["requests.arrived"] += 1
        waiting = PendingRequest(
            arrival.ticket,
            arrival.kind,
            arrival.deadline,
            arrival.idempotent,
            now,
            key=arrival.key,
        )
        if arrival.key and not arrival.idempotent:
            self._claiming += 1
            self._keys.claim(
                arrival.key, arrival.repeat, lambda answer: self._on_key(waiting, answer)
            )
            return
        self._enqueue(waiting)
        self._pump()

    def _on_key(self, waiting: PendingRequest, answer: KeyAnswer) -> None:
        self._claiming -= 1
        if answer.verdict == "run":
            self._enqueue(waiting)
            self._pump()
            return
        waiting.key = ""
        if answer.verdict == "done":
            self._answer_caller(
                waiting, RequestResult(WHOLE, answer.response, reason="first outcome")
            )
        elif answer.verdict == UNKNOWN:
            reason = "a request with this key may have run"
            self._answer_caller(
                waiting, RequestResult(UNKNOWN, retry_after_ms=1_000, reason=reason)
            )
        else:
            self._refuse(waiting, 1_000, "the key's host is not ready")

    def _enqueue(self, waiting: PendingRequest) -> None:
        now = self._core.clock.now()
        if self._policy.count() >= self._settings.queue_limit:
            self._refuse(waiting, 1_000, "too many requests wait")
            return
        self._budget.deposit()
        retry_ms = self._policy.admit(waiting, self._pool.slots, now)
        if retry_ms is not None:
            self._refuse(waiting, retry_ms, "it would not be answered in time")

    def _tick(self, now: int) -> None:
        self._pump()

    def _pump(self) -> None:
        """Refuse what cannot make it, then send what there are slots for."""
        now = self._core.clock.now()
        while hopeless := self._policy.pop_unmeetable(now):
            self._refuse(hopeless, _LEAST_RETRY_MS, "no slot became free in time")
        while self._policy.count():
            if not self._send_next(now):
                break
        self._pool.queued = self._policy.count()

    def _send_next(self, now: int) -> bool:
        worker = self._pool.take(frozenset())
        if worker is None:
            return False
        waiting = self._policy.pop(self._pool.slots, now)
        if waiting is None:
            self._pool.give_back(worker, True, None)
            return False
        if worker in waiting.avoid:
            other = self._pool.take(waiting.avoid)
            if other is not None:
                self._pool.give_back(worker, True, None)
                worker = other
        self._core.counters["requests.sent_twice"] += (
            waiting.may_have_run and not waiting.idempotent
        )
        waiting.tries += 1
        waiting.sent_at = now
        self._in_flight[waiting.ticket] = waiting
        self._policy.record_dispatch(waiting)
        self._core.emit(Dispatch(waiting.ticket, waiting.tries, worker))  # type: ignore[arg-type]
        return True

    def _on_done(self, done: DispatchDone, _source: str) -> None:
        waiting = self._in_flight.get(done.ticket)
        if waiting is None or waiting.tries != done.number:
            self._handle_late_result(done)
            return
        del self._in_flight[done.ticket]
        now = self._core.clock.now()
        took = float(now - waiting.sent_at) if done.outcome == WHOLE else None
        is_healthy = done.outcome == WHOLE and (done.response is None or done.response.status < 500)
        self._pool.give_back(done.worker, is_healthy, took)
        self._policy.record_done(waiting, took)
        self._conclude(waiting, done, now)
        self._pump()

    def _handle_late_result(self, done: DispatchDone) -> None:
        self._core.counters["requests.late_answers"] += 1
        if done.outcome == WHOLE and done.ticket in self._refused:
            self._core.counters["requests.ran_after_not_run"] += 1

    def _conclude(self, waiting: PendingRequest, done: DispatchDone, now: int) -> None:
        if done.outcome == WHOLE:
            self._answer_caller(waiting, RequestResult(WHOLE, done.response, worker=done.worker))
        elif self._may_retry(waiting, done.outcome, now):
            self._core.counters["requests.retries"] += 1
            waiting.avoid |= {done.worker}
            self._enqueue_again(waiting, now)
        else:
            self._fail_request(waiting)

    def _may_retry(self, waiting: PendingRequest, outcome: str, now: int) -> bool:
        if outcome == BROKEN:
            waiting.may_have_run = True
            if not waiting.idempotent:
                return False
        if waiting.tries >= self._policy.max_tries or now >= waiting.deadline:
            return False
        return self._budget.spend()

    def _enqueue_again(self, waiting: PendingRequest, now: int) -> None:
        if self._policy.admit(waiting, self._pool.slots, now) is not None:
            self._fail_request(waiting)

    def _fail_request(self, waiting: PendingRequest) -> None:
        reason = "no backend server took it"
        if waiting.may_have_run:
            reason = "it was sent, but no whole answer came"
        self._refuse(waiting, _LEAST_RETRY_MS, reason)

    def _on_gone(self, gone: CallerDisconnected, _source: str) -> None:
        self._core.counters["requests.callers_gone"] += 1

    def _refuse(self, waiting: PendingRequest, retry_ms: int, reason: str) -> None:
        if waiting.may_have_run:
            self._answer_caller(
                waiting, RequestResult(UNKNOWN, retry_after_ms=1_000, reason=reason)
            )
            return
        retry_ms = max(_LEAST_RETRY_MS, retry_ms)
        retry_ms += self._core.rng.randrange(retry_ms // 2)
        self._answer_caller(waiting, RequestResult(NOT_RUN, retry_after_ms=retry_ms, reason=reason))

    def _answer_caller(self, waiting: PendingRequest, verdict: RequestResult) -> None:
        self._core.counters[f"requests.{verdict.outcome}"] += 1
        now = self._core.clock.now()
        sent_at = waiting.sent_at or now
        in_time = verdict.outcome == WHOLE and now <= waiting.deadline
        self._core.fire(
            RequestEnded(
                verdict.outcome,
                now - waiting.arrived,
                sent_at - waiting.arrived,
                in_time,
                waiting.is_long,
            )
        )
        if verdict.outcome == NOT_RUN and waiting.tries:
            self._remember_refused(waiting.ticket)
        if waiting.key:
            self._keys.settle(waiting.key, verdict.outcome, verdict.response)
        self._core.answer(waiting.ticket, verdict)

    def _remember_refused(self, ticket: int) -> None:
        """Remember requests refused after a try, to notice one that ran all the same."""
        self._refused[ticket] = None
        if len(self._refused) > _REFUSED_KEPT:
            del self._refused[next(iter(self._refused))]
