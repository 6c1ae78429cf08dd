"""Latency-critical requests: passes them from callers to the router and writes the results."""

from twisted.web.http import Request

from quetzallock_core.exceptions import Finding, InvalidInputError
from quetzallock_core.requests.const import NOT_RUN, WHOLE
from quetzallock_core.requests.errors import UnknownServiceError
from quetzallock_core.requests.models import (
    UNKNOWN_LENGTH,
    CallerDisconnected,
    Dispatch,
    RequestArrived,
    RequestResult,
    Response,
)

from ..helpers import read_body, run_coroutine
from ..telemetry.traces import TRACEPARENT
from ..workers.backend import HOP_BY_HOP, BackendClient, ForwardedRequest
from .const import (
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENCY_REPEAT_HEADER,
    IDEMPOTENT_HEADER,
    IDEMPOTENT_METHODS,
    MAX_KEY_LENGTH,
    OUTCOME_HEADER,
)
from .context import WebContext, get_header
from .replies import write_error
from .routes import route

_MIN_DEADLINE_MS = 10


class PendingCall:
    """A caller's request that has no final answer yet."""

    def __init__(
        self, context: WebContext, request: Request, forwarded: ForwardedRequest, deadline: int
    ) -> None:
        self.forwarded = forwarded
        self.deadline = deadline
        self._context = context
        self._request = request
        self._is_caller_gone = False
        parent = get_header(request, TRACEPARENT)
        self._span = context.tracing.start("request", parent)
        request.notifyFinish().addErrback(self._on_caller_gone)
        self.ticket = context.node.tickets.open(self._on_result)
        context.calls[self.ticket] = self

    @property
    def traceparent(self) -> str:
        """Trace context for further hops of this request."""
        return self._span.traceparent

    def _on_caller_gone(self, _reason: object) -> None:
        self._is_caller_gone = True
        self._context.node.fire(CallerDisconnected(self.ticket))

    def _on_result(self, result: RequestResult) -> None:
        self._context.calls.pop(self.ticket, None)
        self._span.end(outcome=result.outcome, worker=result.worker)
        if self._is_caller_gone:
            return
        if self.traceparent:
            self._request.setHeader(TRACEPARENT, self.traceparent)
        if self._context.is_draining:
            self._request.setHeader("Connection", "close")
        if result.outcome == WHOLE and result.response is not None:
            self._write_response(result.response)
        elif result.outcome == NOT_RUN:
            self._write_failure(503, result)
        else:
            self._write_failure(504, result)

    def _write_response(self, response: Response) -> None:
        request = self._request
        is_partial = response.announced_length not in (UNKNOWN_LENGTH, len(response.body))
        self._context.node.counters["requests.partial_passed"] += is_partial
        request.setResponseCode(response.status)
        for name, value in response.headers:
            request.responseHeaders.addRawHeader(name, value)
        request.setHeader(OUTCOME_HEADER, WHOLE)
        request.setHeader("Content-Length", str(len(response.body)))
        if request.method != b"HEAD":
            request.write(response.body)
        request.finish()

    def _write_failure(self, status: int, result: RequestResult) -> None:
        write_error(
            self._request,
            status,
            result.outcome,
            result.reason,
            retry_after_ms=result.retry_after_ms,
            outcome=result.outcome,
        )


@route("*", r"/v1/call/(?P<service>[^/]+)(?P<path>/.*)?")
def handle_call(context: WebContext, request: Request, service: str, path: str | None) -> None:
    """Validate a request and pass it to the router."""
    node = context.node
    if service not in node.settings.calls.services:
        raise UnknownServiceError(service)
    deadline_ms = _read_deadline(context, request)
    key = get_header(request, IDEMPOTENCY_KEY_HEADER)
    if len(key) > MAX_KEY_LENGTH:
        raise InvalidInputError(
            [Finding(IDEMPOTENCY_KEY_HEADER, f"is longer than {MAX_KEY_LENGTH} characters")]
        )
    method = request.method.decode("latin-1")
    idempotent = method in IDEMPOTENT_METHODS or get_header(request, IDEMPOTENT_HEADER) == "true"
    deadline = node.clock.now() + deadline_ms
    call = PendingCall(context, request, _make_forwarded_request(request, service), deadline)
    first_segment = (path or "/").split("/")[1]
    arrival = RequestArrived(
        call.ticket,
        f"{method} {service}/{first_segment}",
        deadline,
        idempotent,
        "" if idempotent else key,
        get_header(request, IDEMPOTENCY_REPEAT_HEADER) == "true",
    )
    node.fire(arrival)


def _read_deadline(context: WebContext, request: Request) -> int:
    text = get_header(request, DEADLINE_HEADER)
    if not text:
        return context.node.host.router.rules.deadline_ms
    max_deadline_ms = context.node.settings.domains.requests.request_ms
    if not text.isascii() or not text.isdigit():
        raise InvalidInputError([Finding(DEADLINE_HEADER, f"{text!r} is not a whole number of ms")])
    if not _MIN_DEADLINE_MS <= int(text) <= max_deadline_ms:
        reason = f"is not in the range {_MIN_DEADLINE_MS} to {max_deadline_ms}"
        raise InvalidInputError([Finding(DEADLINE_HEADER, reason)])
    return int(text)


def _make_forwarded_request(request: Request, service: str) -> ForwardedRequest:
    _, _, rest = request.uri.partition(b"/v1/call/")
    _, _, path = rest.partition(b"/")
    headers = tuple(
        (name, value)
        for name, values in request.requestHeaders.getAllRawHeaders()
        for value in values
        if name.decode("latin-1").lower() not in HOP_BY_HOP
        and name.decode("latin-1").lower() != TRACEPARENT
    )
    return ForwardedRequest(request.method, service, path, headers, read_body(request))


class Dispatcher:
    """Sends requests to the backend servers that the router chose."""

    def __init__(self, context: WebContext, client: BackendClient) -> None:
        self._context = context
        self._client = client

    def dispatch(self, dispatch: Dispatch) -> None:
        """Send a caller's request to the chosen backend server, in a span of its own."""
        call: PendingCall = self._context.calls[dispatch.ticket]
        span = self._context.tracing.start("backend", call.traceparent)
        headers = call.forwarded.headers
        if span.traceparent:
            headers = (*headers, (TRACEPARENT.encode(), span.traceparent.encode()))
        forwarded = ForwardedRequest(
            call.forwarded.method,
            call.forwarded.service,
            call.forwarded.path,
            headers,
            call.forwarded.body,
        )
        timeout_ms = call.deadline - self._context.node.clock.now()
        done = run_coroutine(self._client.send(dispatch, forwarded, timeout_ms))
        done.addBoth(lambda _result: span.end(worker=dispatch.worker, number=dispatch.number))
