"""Reads the log, appends to it, and reads the host list."""

from collections.abc import Callable

from twisted.web.client import Agent, readBody
from twisted.web.http import NOT_MODIFIED, OK
from twisted.web.http_headers import Headers

from quetzallock_core.clock import Clock
from quetzallock_core.effects import Append, Appended, Read, ReadDone
from quetzallock_core.exceptions import CodecError
from quetzallock_core.workers.models import WorkerInfo

from ..helpers import make_body_producer, with_timeout
from ..settings.models import PlatformSettings
from .models import parse_host_list, parse_page

OnEvent = Callable[[object], None]


class PlatformClient:
    """HTTP client of the platform's services."""

    def __init__(
        self, agent: Agent, settings: PlatformSettings, clock: Clock, on_event: OnEvent
    ) -> None:
        self._agent = agent
        self._settings = settings
        self._clock = clock
        self._on_event = on_event
        self._host_list_etag = b""
        self._workers: tuple[WorkerInfo, ...] = ()

    async def append(self, append: Append) -> None:
        """Append a record and report the outcome in an `Appended` in every case."""
        ok = False
        try:
            url = f"{self._settings.log}/streams/{append.stream}".encode()
            body = make_body_producer(append.record)
            call = self._agent.request(b"POST", url, bodyProducer=body)
            response = await with_timeout(call, self._settings.timeout_ms)
            await with_timeout(readBody(response), self._settings.timeout_ms)
            ok = response.code == OK
        except Exception:  # noqa: BLE001 - any failure leaves the outcome unknown
            ok = False
        self._on_event(Appended(append.stream, ok))

    async def read(self, read: Read) -> None:
        """Read a page of a stream and report it, or the failure, in a `ReadDone`."""
        sent_at = self._clock.now()
        try:
            url = f"{self._settings.log}/streams/{read.stream}?from={read.offset}".encode()
            body = await self._fetch(url)
            page = parse_page(body)
        except Exception:  # noqa: BLE001 - any failure means that nothing was read
            self._on_event(ReadDone(read.stream, False, read.offset, sent_at))
            return
        self._on_event(
            ReadDone(
                read.stream,
                True,
                read.offset,
                sent_at,
                page.first,
                page.next_offset,
                page.records,
            )
        )

    async def list_workers(self) -> tuple[WorkerInfo, ...] | None:
        """Return the listed workers, or None if the list cannot be read.

        The request is conditional: an unchanged list is not transferred again.
        """
        headers = Headers(
            {b"If-None-Match": [self._host_list_etag]} if self._host_list_etag else {}
        )
        try:
            call = self._agent.request(
                b"GET", f"{self._settings.host_list}/hosts".encode(), headers
            )
            response = await with_timeout(call, self._settings.timeout_ms)
            body = await with_timeout(readBody(response), self._settings.timeout_ms)
            if response.code == NOT_MODIFIED:
                return self._workers
            if response.code != OK:
                return None
            workers = parse_host_list(body)
        except (CodecError, Exception):  # noqa: BLE001 - the list is only a hint
            return None
        self._host_list_etag = response.headers.getRawHeaders(b"ETag", [b""])[0]
        self._workers = workers
        return workers

    async def _fetch(self, url: bytes) -> bytes:
        call = self._agent.request(b"GET", url)
        response = await with_timeout(call, self._settings.timeout_ms)
        body = await with_timeout(readBody(response), self._settings.timeout_ms)
        if response.code != OK:
            raise CodecError(f"the platform answered with status {response.code}")
        return bytes(body)
