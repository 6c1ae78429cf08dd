"""Callers that keep using one channel to a host, a request after the other, until it ends."""

import json
from pathlib import Path
from random import Random
from typing import Any, Final

import httptools
from twisted.internet.defer import Deferred, TimeoutError
from twisted.internet.endpoints import HostnameEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from quetzallock_daemon.helpers import sleep, with_timeout
from quetzallock_daemon.transport import build_request
from quetzallock_standins.const import LOOPBACK

from .callers import Caller, CallerJob
from .deployment import Host, SoakDeployment, now_ms
from .loss_checks import LOSS_SLACK_MS, SentRequest, list_read_channels

SAMPLE_PAUSE_MS: Final = 25
RECONNECT_PAUSE_MS: Final = 100
MAX_PAUSE_MS: Final = 120
DEADLINES_MS: Final = (3_000, 5_000)
TASK_MS: Final = "50"
_SOCKETS: Final = Path("/proc/net/tcp")


class OpenChannel(Protocol):
    """A channel that carries one request at a time and stays open until its host closes it."""

    transport: Any

    def __init__(self) -> None:
        self.is_open = False
        self._answered: Deferred[int] | None = None
        self._parser: Any = None
        self.body = b""

    @property
    def port(self) -> int:
        """The port of this end."""
        return int(self.transport.getHost().port)

    def connectionMade(self) -> None:  # noqa: N802
        """Send small writes at once."""
        self.transport.setTcpNoDelay(True)
        self.is_open = True

    def send(self, data: bytes) -> "Deferred[int]":
        """Send a request; the deferred fires with the status, or 0 if the channel ends."""
        self._parser = httptools.HttpResponseParser(self)
        self._answered = Deferred()
        self.body = b""
        self.transport.write(data)
        self.transport.doWrite()
        return self._answered

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data to the parser."""
        if self._parser is not None:
            self._parser.feed_data(data)

    def on_body(self, body: bytes) -> None:
        """Store a part of the answer's body."""
        self.body += body

    def on_message_complete(self) -> None:
        """Finish the request; the channel is not used again if its host is about to close it."""
        self.is_open = self.is_open and self._parser.should_keep_alive()
        if not self.is_open:
            self.transport.loseConnection()
        self._finish(self._parser.get_status_code())

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Finish a request without an answer."""
        self.is_open = False
        self._finish(0)

    def _finish(self, status: int) -> None:
        answered, self._answered = self._answered, None
        if answered is not None and not answered.called:
            answered.callback(status)


class ChannelCaller(Caller):
    """A caller with one channel to one host, which it opens again when it has ended.

    Attributes:
        requests: The requests that it has sent on the channel.
    """

    def __init__(self, deployment: SoakDeployment, rng: Random, number: int, host: Host) -> None:
        super().__init__(deployment, rng, number)
        self._home = host
        self._channel: OpenChannel | None = None
        self._is_running = False
        self.requests: list[SentRequest] = []

    async def run(self, until: float) -> None:
        """Submit jobs and ask for their states until `until`."""
        self._is_running = True
        while now_ms() < until:
            job, body = self._make_job_of("short", lambda _rng: (TASK_MS, (1,), {}))
            self.jobs.append(job)
            await self._submit(job, body)
            await self.show(self._rng.choice(self.jobs[-8:]))
            await sleep(self._deployment.reactor, self._rng.randrange(MAX_PAUSE_MS))
        self._is_running = False

    def sample(self, read_channels: set[tuple[int, int]], at: float) -> None:
        """Record that the present request was read, if its channel is in a table read at `at`."""
        channel = self._channel
        if channel is None or not self.is_waiting(at):
            return
        ports = (channel.port, self._home.front)
        if ports in read_channels and ports[::-1] in read_channels:
            self.requests[-1].seen_open_at = at

    def is_waiting(self, at: float) -> bool:
        """Return whether the present request was sent more than `LOSS_SLACK_MS` before `at`."""
        if not self.requests or self.requests[-1].ended_at < float("inf"):
            return False
        return at > self.requests[-1].sent_at + LOSS_SLACK_MS

    async def _call(
        self, method: str, job: CallerJob, body: Any = None
    ) -> tuple[int, dict[str, Any]]:
        if not self._is_running:
            return await super()._call(method, job, body)
        channel = await self._open()
        if channel is None:
            await sleep(self._deployment.reactor, RECONNECT_PAUSE_MS)
            return 0, {}
        deadline_ms = self._rng.choice(DEADLINES_MS)
        path = f"/jobs/{job.id}"
        data = b"" if body is None else json.dumps(body).encode()
        headers = {"X-Deadline-Ms": str(deadline_ms)}
        answered = channel.send(build_request(method, path, "desk.example", data, headers))
        request = SentRequest(self._home.name, method, path, now_ms(), deadline_ms)
        self.requests.append(request)
        try:
            request.status = await with_timeout(answered, deadline_ms)
        except TimeoutError:
            channel.transport.abortConnection()
        request.ended_at = now_ms()
        return request.status, json.loads(channel.body or b"{}") if request.status else {}

    async def _open(self) -> OpenChannel | None:
        if self._channel is not None and self._channel.is_open:
            return self._channel
        endpoint = HostnameEndpoint(self._deployment.reactor, LOOPBACK, self._home.front, timeout=1)
        factory: Any = Factory.forProtocol(OpenChannel)
        factory.noisy = False
        try:
            self._channel = await endpoint.connect(factory)
        except (ConnectError, OSError):
            self._channel = None
        return self._channel


async def watch_channels(
    deployment: SoakDeployment, callers: list[ChannelCaller], until: float
) -> None:
    """Look which requests were read while they wait for an answer, until `until`."""
    while now_ms() < until:
        at = now_ms()
        if any(caller.is_waiting(at) for caller in callers):
            read_channels = list_read_channels(_SOCKETS.read_text())
            for caller in callers:
                caller.sample(read_channels, at)
        await sleep(deployment.reactor, SAMPLE_PAUSE_MS)
