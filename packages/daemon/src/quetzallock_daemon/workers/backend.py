"""Sends callers' requests to backend servers and takes in whole answers only."""

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


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A caller's request as it is passed on."""

    method: bytes
    service: str
    path: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class _WholeBody(Protocol):
    """Collects a body; fails unless its end was seen."""

    def __init__(self, finished: Deferred[bytes]) -> None:
        self._finished = finished
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take in a part."""
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Finish; only `ResponseDone` means that all of the body came."""
        if reason.check(ResponseDone):
            self._finished.callback(b"".join(self._parts))
        else:
            self._finished.errback(reason)


def read_whole(response: Any) -> Deferred[bytes]:
    """Return a deferred of the body, which fails if the body is cut short."""

    def abort(_deferred: Deferred[bytes]) -> None:
        close = getattr(protocol.transport, "abortConnection", None)
        if close is not None:
            close()

    finished: Deferred[bytes] = Deferred(abort)
    protocol = _WholeBody(finished)
    response.deliverBody(protocol)
    return finished


class BackendClient:
    """Requests to backend servers; a try that takes too long has its connection closed."""

    def __init__(
        self,
        agent: Agent,
        find_address: Callable[[str], str | None],
        on_event: Callable[[object], None],
    ) -> None:
        self._agent = agent
        self._find_address = find_address
        self._on_event = on_event

    async def send(self, dispatch: Dispatch, request: CallerRequest, time_ms: int) -> None:
        """Make one try; a `DispatchDone` follows in any case."""
        outcome, response = BROKEN, None
        address = self._find_address(dispatch.worker)
        if address is None:
            outcome = NOT_SENT
        else:
            try:
                outcome, response = await with_timeout(
                    run_coroutine(self._exchange(address, dispatch.worker, request)),
                    max(1, time_ms),
                )
            except ConnectError:
                outcome = NOT_SENT
            except Exception:  # noqa: BLE001 - once sent, any failure leaves the outcome open
                outcome = BROKEN
        self._on_event(
            DispatchDone(dispatch.ticket, dispatch.number, dispatch.worker, outcome, response)
        )

    async def _exchange(
        self, address: str, worker: str, request: CallerRequest
    ) -> tuple[str, Response | None]:
        path = request.path.lstrip(b"/")
        url = f"http://{address}/workers/{worker}/services/{request.service}/".encode() + path
        headers = Headers()
        for name, value in request.headers:
            headers.addRawHeader(name, value)
        producer = make_body_producer(request.body) if request.body else None
        response = await self._agent.request(request.method, url, headers, producer)
        body = await read_whole(response)
        if response.code == 503 and response.headers.hasHeader(NOT_STARTED_HEADER):
            return REFUSED, None
        kept = tuple(
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
            if name.decode("latin-1").lower() not in HOP_BY_HOP
        )
        length = response.length if isinstance(response.length, int) else UNKNOWN_LENGTH
        if request.method == b"HEAD":
            length = UNKNOWN_LENGTH
        return WHOLE, Response(response.code, kept, body, length)
