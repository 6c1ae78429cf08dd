"""Ends a draining host's work for callers, phase by phase."""

import logging
from collections.abc import Callable
from typing import Any, Final

from twisted.internet.defer import Deferred

from ..helpers import call_after_input
from .caller_channels import CallerChannels
from .drain import Drain, Phase
from .open_requests import OpenRequests

_LOGGER = logging.getLogger(__name__)

_POLL_INTERVAL_MS: Final = 50
"""How often a draining host checks whether a phase has begun or it may exit."""


class DrainTask:
    """Closes the port and then the connections of callers, and tells when the host may exit.

    Args:
        reactor: Twisted's reactor.
        drain: Tells the phase of the drain.
        requests: Requests without an answer.
        channels: The callers' connections.
        owns_cells: Tells whether a cell is still to be handed over.
    """

    def __init__(
        self,
        reactor: Any,
        drain: Drain,
        requests: OpenRequests,
        channels: CallerChannels,
        owns_cells: Callable[[], bool],
    ) -> None:
        self._reactor = reactor
        self._drain = drain
        self._requests = requests
        self._channels = channels
        self._owns_cells = owns_cells
        self._port: Any = None
        self._is_flushing = False
        self._drained: Deferred[None] = Deferred()

    def run(self, port: Any) -> "Deferred[None]":
        """Begin the drain.

        Args:
            port: The listening port for callers.

        Returns:
            A deferred that fires when no connection is open and no cell is owned any more, and at
            the latest when the drain is over.
        """
        self._port = port
        self._drain.begin()
        self._poll()
        return self._drained

    def _poll(self) -> None:
        phase = self._drain.phase
        may_exit = self._is_flushing and phase is Phase.OVER
        if phase >= Phase.CLOSING:
            self._close_port()
            self._channels.end_idle()
            may_exit |= self._is_done
        if phase >= Phase.FLUSHING:
            self._is_flushing = True
            self._requests.give_up_all()
            self._channels.end_unanswerable()
        if may_exit:
            self._finish()
        else:
            # A connection is idle only if its input that had arrived was read.
            call_after_input(self._reactor, _POLL_INTERVAL_MS, self._poll)

    @property
    def _is_done(self) -> bool:
        return not self._requests.count and not self._channels.count and not self._owns_cells()

    def _close_port(self) -> None:
        if self._port is not None:
            port, self._port = self._port, None
            port.stopListening()

    def _finish(self) -> None:
        report = self._requests.report() | self._channels.report()
        level = logging.WARNING if report["in_flight"] else logging.INFO
        _LOGGER.log(level, "host is stopped", extra=report)
        self._drained.callback(None)
