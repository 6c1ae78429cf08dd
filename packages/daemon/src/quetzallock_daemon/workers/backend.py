"""Sends callers' requests to backend servers; accepts only answers that arrived whole."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, ResponseDone
from twisted.web.http_headers import Headers

from quetzallock_core.requests.const import BROKEN, NOT_SENT, REFUSED, WHOLE
from quetzallock_core.requests.models import UNKNOWN_LENGTH, Dispatch, DispatchDone, Response

from ..helpers import make_body_producer, run_coroutine, with_timeout

NOT_STARTED_HEADER: Final = b"X-Not-Started"
"""Header that a backend server adds to status 503 if it has not run the request."""
HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
    }
)
"""Headers that are not forwarded, since they apply to one connection or are set on each hop."""


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A caller's request as it is forwarded to a backend server."""

    method: bytes
    service: str
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class _BodyCollector(Protocol):
    """Collects a body; fails if the connection is lost before its end."""

    def __init__(self, finished: Deferred[bytes]) -> None:
        self._finished = finished
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Store a part of the body."""
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Finish: only `ResponseDone` means that the body is complete."""
        if reason.check(ResponseDone):
            self._finished.callback(b"".join(self._parts))
        else:
            self._finished.errback(reason)


def read_whole_body(response: Any) -> Deferred[bytes]:
    """Return a deferred of the body, which fails if the body is truncated."""

    def abort(_deferred: Deferred[bytes]) -> None:
        close = getattr(protocol.transport, "abortConnection", None)
        if close is not None:
            close()

    finished: Deferred[bytes] = Deferred(abort)
    protocol = _BodyCollector(finished)
    response.deliverBody(protocol)
    return finished


class BackendClient:
    """Sends requests to backend servers; a request that times out has its connection closed."""

    def __init__(
        self,
        agent: Agent,
        find_address: Callable[[str], str | None],
        on_event: Callable[[object], None],
    ) -> None:
        self._agent = agent
        self._find_address = find_address
        self._on_event = on_event

    async def send(self, dispatch: Dispatch, request: ForwardedRequest, timeout_ms: int) -> None:
        """Send the request once and report the outcome in a `DispatchDone` in every case."""
        outcome, response = BROKEN, None
        address = self._find_address(dispatch.worker)
        if address is None:
            outcome = NOT_SENT
        else:
            try:
                outcome, response = await with_timeout(
                    run_coroutine(self._exchange(address, dispatch.worker, request)),
                    max(1, timeout_ms),
                )
            except ConnectError:
                outcome = NOT_SENT
            except Exception:  # noqa: BLE001 - any failure after sending leaves the outcome unknown
                outcome = BROKEN
        self._on_event(
            DispatchDone(dispatch.ticket, dispatch.number, dispatch.worker, outcome, response)
        )

    async def _exchange(
        self, address: str, worker: str, request: ForwardedRequest
    ) -> tuple[str, Response | None]:
        path = request.path.lstrip(b"/")
        url = f"http://{address}/workers/{worker}/services/{request.service}/".encode() + path
        headers = Headers()
        for name, value in request.headers:
            headers.addRawHeader(name, value)
        producer = make_body_producer(request.body) if request.body else None
        response = await self._agent.request(request.method, url, headers, producer)
        body = await read_whole_body(response)
        if response.code == 503 and response.headers.hasHeader(NOT_STARTED_HEADER):
            return REFUSED, None
        response_headers = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
            if name.decode("latin-1").lower() not in HOP_BY_HOP
        )
        length = response.length if isinstance(response.length, int) else UNKNOWN_LENGTH
        if request.method == b"HEAD":
            length = UNKNOWN_LENGTH
        return WHOLE, Response(response.code, response_headers, body, length)
