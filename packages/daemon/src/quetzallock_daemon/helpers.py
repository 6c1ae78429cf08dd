"""Small functions around Twisted."""

import logging
import time
from collections.abc import Coroutine
from io import BytesIO
from typing import Any

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure
from twisted.web.client import FileBodyProducer
from twisted.web.http import Request

_LOGGER = logging.getLogger(__name__)
reactor: Any = _reactor
# Timers by the time of day would all be late by as much as it is set back.
reactor.seconds = time.monotonic


def with_timeout(deferred: Deferred[Any], timeout_ms: int) -> Deferred[Any]:
    """Cancel `deferred` after `timeout_ms` ms and return it."""
    return deferred.addTimeout(timeout_ms / 1_000, reactor)


def run_coroutine(task: Coroutine[Any, Any, Any]) -> Deferred[Any]:
    """Run a coroutine and return a deferred of its result."""
    return ensureDeferred(task)


def run_in_background(task: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine whose result nobody waits for; an error that escapes it is logged."""
    ensureDeferred(task).addErrback(_log_escaped)


def _log_escaped(failure: Failure) -> None:
    _LOGGER.error("task failed", extra={"error": failure.getTraceback()})


def sleep(reactor: Any, ms: int) -> "Deferred[None]":
    """Return a deferred that fires after `ms` ms."""
    slept: Deferred[None] = Deferred()
    reactor.callLater(ms / 1_000, slept.callback, None)
    return slept


def make_body_producer(data: bytes) -> Any:
    """Return a producer of a request's body."""
    return FileBodyProducer(BytesIO(data))


def read_body(request: Request) -> bytes:
    """Return the body of a request that was taken in."""
    return b"" if request.content is None else request.content.read()
