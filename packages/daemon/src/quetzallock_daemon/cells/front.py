"""HTTP servers for callers, for the load balancer's readiness check and for metrics."""

import logging
from collections.abc import Callable
from typing import Any, Final

from twisted.internet.defer import Deferred
from twisted.web import http

from ..helpers import call_after_input, run_in_background
from .caller_channels import CallerChannel, CallerChannels
from .drain import Drain
from .open_requests import OpenRequests
from .ports import RequestLimits
from .router import CallerAnswer, CallerRequest, Router

_LOGGER = logging.getLogger(__name__)
_HEADER_SLACK_BYTES: Final = 1_024
"""Added to the limit of the headers' size, since Twisted also counts the request line."""

Encode = Callable[[CallerAnswer], bytes]
ReadRequest = Callable[[http.Request], CallerRequest]


class FrontState:
    """State shared by all callers' connections of a host.

    Attributes:
        requests: The requests that were read whole and not answered yet.
        channels: The open connections.
        drain: The host's drain, in which answers close their connections.
    """

    def __init__(
        self,
        router: Router,
        encode: Encode,
        read_request: ReadRequest,
        limits: RequestLimits,
        requests: OpenRequests,
        channels: CallerChannels,
        drain: Drain,
        reactor: Any,
    ) -> None:
        self.router = router
        self.encode = encode
        self.read_request = read_request
        self.limits = limits
        self.requests = requests
        self.channels = channels
        self.drain = drain
        self._reactor = reactor

    def wait_for_input(self) -> "Deferred[None]":
        """Return a deferred that fires once what had arrived by now has been read."""
        is_read: Deferred[None] = Deferred()
        call_after_input(self._reactor, 0, is_read.callback, None)
        return is_read


class _CallerRequest(http.Request):
    """A request of a caller."""

    state: FrontState
    channel: CallerChannel
    _number = 0
    _outcome = CallerAnswer(504, code="outcome_unknown")
    _is_too_large = False
    _is_settled = False

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store the body, unless it exceeds the limit."""
        size = self.content.tell() if self.content else 0
        if size + len(data) > self.state.limits.body_bytes:
            self._is_too_large = True
            return
        super().handleContentChunk(data)

    def process(self) -> None:
        """Answer the request."""
        run_in_background(self._answer())

    def connectionLost(self, reason: Any) -> None:  # noqa: N802
        """Record that the caller has disconnected, so that no answer is written."""
        self._settle()
        super().connectionLost(reason)

    def _settle(self) -> None:
        self._is_settled = True
        self.state.requests.remove(self._number)

    async def _answer(self) -> None:
        state = self.state
        method, path = self.method.decode("latin-1"), self.path.decode("latin-1")
        self._number = state.requests.add(method, path, self._give_up)
        try:
            if self._is_too_large:
                limit = state.limits.body_bytes
                answer = CallerAnswer(413, code="too_large", detail=f"body: over {limit} bytes")
            else:
                answer = await state.router.answer(state.read_request(self))
        except Exception:
            _LOGGER.exception("request failed", extra={"path": path})
            answer = CallerAnswer(500, code="internal")
        if state.drain.has_begun:
            self._outcome = answer
            await state.wait_for_input()
        self._write_answer(answer)

    def _give_up(self) -> None:
        """Answer now with what is known, as the process is about to exit."""
        self._write_answer(self._outcome)

    def _write_answer(self, answer: CallerAnswer) -> None:
        """Write the answer, unless there was one or the caller has disconnected."""
        if self._is_settled:
            return
        self._settle()
        body = self.state.encode(answer)
        self.setResponseCode(answer.status)
        self.setHeader(b"content-type", b"application/json")
        self.setHeader(b"content-length", str(len(body)).encode())
        if answer.retry_after_s is not None:
            self.setHeader(b"retry-after", str(answer.retry_after_s).encode())
        if self.state.drain.has_begun and not self.channel.has_more_input:
            self.setHeader(b"connection", b"close")
            # Twisted closes by the header of the request, not of the answer.
            self.channel.persistent = False
        self.write(body)
        self.finish()


class _PageRequest(http.Request):
    """A request for a page of this process."""

    pages: dict[bytes, Callable[[], tuple[int, bytes]]]

    def process(self) -> None:
        """Answer with the page of the path, or with status 404."""
        page = self.pages.get(self.path)
        status, body = page() if page else (404, b"")
        self.setResponseCode(status)
        self.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.setHeader(b"content-length", str(len(body)).encode())
        self.write(body)
        self.finish()


def _make_factory(
    request_class: type[http.Request],
    limits: RequestLimits,
    make_channel: Callable[[], http.HTTPChannel],
) -> http.HTTPFactory:
    factory = http.HTTPFactory(timeout=limits.idle_ms / 1_000)
    factory.noisy = False
    factory.log = lambda _request: None  # type: ignore[assignment]

    def build_channel() -> http.HTTPChannel:
        channel = make_channel()
        channel.requestFactory = request_class
        channel.totalHeadersSize = limits.header_bytes + _HEADER_SLACK_BYTES
        return channel

    factory.protocol = build_channel  # type: ignore[assignment]
    return factory


def make_caller_factory(state: FrontState) -> http.HTTPFactory:
    """Return the factory of callers' connections."""
    request_class = type("BoundCallerRequest", (_CallerRequest,), {"state": state})
    channel_class = type("BoundCallerChannel", (CallerChannel,), {"channels": state.channels})
    return _make_factory(request_class, state.limits, channel_class)


def make_page_factory(pages: dict[bytes, Callable[[], tuple[int, bytes]]]) -> http.HTTPFactory:
    """Return the factory of connections for pages, which are given by path."""
    request_class = type("BoundPageRequest", (_PageRequest,), {"pages": pages})
    return _make_factory(request_class, RequestLimits(), http.HTTPChannel)
