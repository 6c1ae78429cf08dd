"""The daemon process: listening sockets, start-up and draining."""

import logging
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError

from quetzallock_core.exceptions import QuetzallockError
from quetzallock_core.jobs.models import SubmitJob

from .const import EXIT_DRAIN_TIMEOUT, EXIT_DRAINED, SECOND_MS
from .node import Node, make_agent
from .peers import make_peer_factory
from .settings import Settings
from .telemetry.traces import make_tracing
from .web import make_site
from .web.calls import Dispatcher
from .web.context import WebContext
from .workers.backend import BackendClient

_LOGGER = logging.getLogger(__name__)
_DRAIN_LISTEN_MS = 2_000
"""How long a draining host keeps its HTTP port open, to answer readiness checks with 503."""
_DRAIN_POLL_INTERVAL_MS = 50


class AddressInUseError(QuetzallockError):
    """An address of the settings cannot be listened on."""

    code = "address_in_use"


class Daemon:
    """One running quetzallockd."""

    def __init__(self, reactor: Any, settings: Settings) -> None:
        self._reactor = reactor
        self._settings = settings
        self.exit_code = EXIT_DRAINED
        self.node = Node(reactor, settings)
        self.context = WebContext(self.node, make_tracing(settings.telemetry, settings.host))
        self.node.host.core.listen(SubmitJob, self._trace_submission)
        agent = make_agent(reactor, settings.calls.connections_per_worker)
        client = BackendClient(agent, self.node.find_worker_address, self.node.fire)
        self.node.on_dispatch = Dispatcher(self.context, client).dispatch
        self._ports: list[Any] = []
        self._drained: Deferred[None] = Deferred()
        self._drain_until = 0
        self._listen_until = 0

    def _trace_submission(self, submission: SubmitJob, source: str) -> None:
        """Record a span for a submission that arrives at the owner of its shard."""
        span = self.context.tracing.start("own", submission.trace)
        span.end(job=submission.spec.job, source=source)

    def start(self) -> None:
        """Open the listening sockets and start the node.

        Raises:
            AddressInUseError: An address cannot be listened on.
        """
        counters = self.node.counters
        factories = (
            (self._settings.listen.peers, make_peer_factory(self.node.fire, counters)),
            (self._settings.listen.http, make_site(self.context)),
        )
        for address, factory in factories:
            ip, _, port = address.rpartition(":")
            try:
                self._ports.append(self._reactor.listenTCP(int(port), factory, interface=ip))
            except CannotListenError as error:
                raise AddressInUseError(f"cannot listen on {address}: {error}") from None
        self.node.start()
        self._reactor.addSystemEventTrigger("before", "shutdown", self.drain)
        _LOGGER.info("entry host %s is up", self._settings.host)

    def drain(self) -> Deferred[None]:
        """Drain the host; the deferred fires when that is done or the time limit has passed."""
        _LOGGER.info("entry host %s is draining", self._settings.host)
        self.context.is_draining = True
        self.node.host.leave()
        self.node.run_effects()
        now = self.node.clock.now()
        self._drain_until = now + self._settings.calls.drain_ms
        self._listen_until = now + _DRAIN_LISTEN_MS
        self._poll_drain()
        return self._drained

    def _poll_drain(self) -> None:
        now = self.node.clock.now()
        if now >= self._listen_until and len(self._ports) > 1:
            self._ports.pop().stopListening()
        open_requests = self.node.tickets.count
        is_idle = len(self._ports) == 1 and not open_requests
        if is_idle and self.node.host.has_handed_over:
            self._finish(EXIT_DRAINED, 0)
        elif now >= self._drain_until:
            self._finish(EXIT_DRAIN_TIMEOUT if open_requests else EXIT_DRAINED, open_requests)
        else:
            self._reactor.callLater(_DRAIN_POLL_INTERVAL_MS / SECOND_MS, self._poll_drain)

    def _finish(self, exit_code: int, unanswered: int) -> None:
        self.node.counters["requests.cut_off"] += unanswered
        _LOGGER.info(
            "entry host %s drained, %d requests unanswered", self._settings.host, unanswered
        )
        self.exit_code = exit_code
        self.node.stop()
        self.context.tracing.shut_down()
        self._reactor.callLater(_DRAIN_POLL_INTERVAL_MS / SECOND_MS, self._drained.callback, None)
