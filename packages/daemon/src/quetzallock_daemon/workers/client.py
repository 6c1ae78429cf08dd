"""Sends commands to workers."""

from collections.abc import Callable

from twisted.web.client import Agent, readBody

from quetzallock_core.clock import Clock
from quetzallock_core.codec import decode, encode
from quetzallock_core.effects import CallWorker, WorkerAnswered

from ..helpers import make_body_producer, with_timeout

_TIMEOUT_MS = 1_000


class WorkerClient:
    """Commands over HTTP, one body each way."""

    def __init__(
        self,
        agent: Agent,
        clock: Clock,
        find_address: Callable[[str], str | None],
        on_event: Callable[[object], None],
    ) -> None:
        self._agent = agent
        self._clock = clock
        self._find_address = find_address
        self._on_event = on_event

    async def call(self, call: CallWorker) -> None:
        """Send a command; a `WorkerAnswered` follows in any case."""
        asked_at = self._clock.now()
        answer = None
        address = self._find_address(call.worker)
        if address is not None:
            try:
                url = f"http://{address}/workers/{call.worker}".encode()
                body = make_body_producer(encode(call.command))
                sent = self._agent.request(b"POST", url, bodyProducer=body)
                response = await with_timeout(sent, _TIMEOUT_MS)
                raw = await with_timeout(readBody(response), _TIMEOUT_MS)
                answer = decode(raw) if response.code == 200 else None
            except Exception:  # noqa: BLE001 - whatever went wrong, the outcome is unknown
                answer = None
        self._on_event(WorkerAnswered(call.worker, call.command, answer, asked_at))
