"""Sends commands to workers."""

from collections.abc import Callable

from twisted.web.client import Agent, readBody

from quetzallock_core.clock import Clock
from quetzallock_core.codec import decode, encode
from quetzallock_core.effects import CallWorker, WorkerAnswered

from ..helpers import make_body_producer, with_timeout

_COMMAND_TIMEOUT_MS = 1_000


class WorkerClient:
    """Sends commands over HTTP, each in a request of its own."""

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
        """Send a command and report its answer or failure in a `WorkerAnswered`."""
        sent_at = self._clock.now()
        answer = None
        address = self._find_address(call.worker)
        if address is not None:
            try:
                url = f"http://{address}/workers/{call.worker}".encode()
                body = make_body_producer(encode(call.command))
                sent = self._agent.request(b"POST", url, bodyProducer=body)
                response = await with_timeout(sent, _COMMAND_TIMEOUT_MS)
                raw = await with_timeout(readBody(response), _COMMAND_TIMEOUT_MS)
                answer = decode(raw) if response.code == 200 else None
            except Exception:  # noqa: BLE001 - any failure leaves the outcome unknown
                answer = None
        self._on_event(WorkerAnswered(call.worker, call.command, answer, sent_at))
