"""Helpers for Twisted deferreds, coroutines and HTTP bodies."""

import gc
import logging
import time
from collections.abc import Callable, Coroutine
from io import BytesIO
from typing import Any, Final

from twisted.internet import reactor as _reactor
from twisted.internet.defer import Deferred, ensureDeferred
from twisted.python.failure import Failure
from twisted.web.client import FileBodyProducer
from twisted.web.http import Request

_LOGGER = logging.getLogger(__name__)

_GARBAGE_COLLECTION_THRESHOLDS: Final = (20_000, 20, 100)
"""New objects, and collections of younger generations, that start a collection."""

reactor: Any = _reactor
# Twisted's default is the wall clock: setting it back would delay all timers by the same amount.
reactor.seconds = time.monotonic


def with_timeout(deferred: Deferred[Any], timeout_ms: int) -> Deferred[Any]:
    """Cancel `deferred` after `timeout_ms` ms and return it."""
    return deferred.addTimeout(timeout_ms / 1_000, reactor)


def run_coroutine(coroutine: Coroutine[Any, Any, Any]) -> Deferred[Any]:
    """Run a coroutine and return a deferred of its result."""
    return ensureDeferred(coroutine)


def run_in_background(coroutine: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine whose result is not awaited; an exception that it raises is logged.

    An owner runs one for each order. `ensureDeferred` would add to each a deferred of its result, a
    way to cancel it and a context of its own, which nobody uses here.
    """
    _resume_coroutine(None, coroutine)


def _resume_coroutine(result: Any, coroutine: Coroutine[Any, Any, Any]) -> None:
    """Run a coroutine until it ends or awaits a deferred that has no result yet."""
    try:
        if isinstance(result, Failure):
            awaited = result.throwExceptionIntoGenerator(coroutine)
        else:
            awaited = coroutine.send(None)
    except StopIteration:
        return
    except BaseException:
        _log_failure(Failure())
        return
    awaited.addBoth(_resume_coroutine, coroutine)


def _log_failure(failure: Failure) -> None:
    _LOGGER.error("background coroutine failed", extra={"error": failure.getTraceback()})


def limit_garbage_collection() -> None:
    """Let the collector of cyclic garbage run rarely, and skip the objects that exist by now.

    Almost all objects are freed by their reference counts. A collection of all objects stops a
    host with much state for longer than a caller should wait.
    """
    gc.freeze()
    gc.set_threshold(*_GARBAGE_COLLECTION_THRESHOLDS)


def sleep(reactor: Any, ms: int) -> "Deferred[None]":
    """Return a deferred that fires after `ms` milliseconds."""
    elapsed: Deferred[None] = Deferred()
    reactor.callLater(ms / 1_000, elapsed.callback, None)
    return elapsed


def call_after_input(reactor: Any, ms: int, function: Callable[..., object], *args: Any) -> Any:
    """Call `function` after `ms` milliseconds and after the input that had arrived by then.

    On a busy host a timer fires while answers that came in time are still unread. One turn of the
    reactor later they are read.

    Returns:
        A handle with the methods `active` and `cancel`.
    """
    return _DelayedPastInput(reactor, ms, function, args)


class _DelayedPastInput:
    """A call that is due one turn of the reactor after its timer."""

    def __init__(
        self, reactor: Any, ms: int, function: Callable[..., object], args: tuple[Any, ...]
    ) -> None:
        self._call = reactor.callLater(ms / 1_000, self._wait_for_input)
        self._reactor = reactor
        self._function = function
        self._args = args

    def _wait_for_input(self) -> None:
        self._call = self._reactor.callLater(0, self._function, *self._args)

    def active(self) -> bool:
        """Return whether the call is still to come."""
        return bool(self._call.active())

    def cancel(self) -> None:
        """Cancel the call."""
        self._call.cancel()


def make_body_producer(data: bytes) -> Any:
    """Return a body producer for a request that sends `data`."""
    return FileBodyProducer(BytesIO(data))


def read_body(request: Request) -> bytes:
    """Return the whole body of a received request."""
    return b"" if request.content is None else request.content.read()
