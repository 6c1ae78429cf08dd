"""What handlers need of the daemon."""

from dataclasses import dataclass, field
from typing import Any

from twisted.web.http import Request

from ..node import Node
from ..telemetry.traces import Tracing
from ..tickets import OnAnswer


@dataclass(slots=True)
class WebContext:
    """The daemon as handlers see it.

    Attributes:
        is_draining: Whether a planned stop has begun.
        calls: Callers' requests that have no final answer yet, by ticket.
    """

    node: Node
    tracing: Tracing
    is_draining: bool = False
    calls: dict[int, Any] = field(default_factory=dict)

    def open_ticket(self, request: Request, on_answer: OnAnswer) -> int:
        """Return a ticket whose answer is dropped if the caller goes away."""
        ticket = self.node.tickets.open(on_answer)
        request.notifyFinish().addErrback(lambda _reason: self.node.tickets.drop(ticket))
        return ticket


def get_header(request: Request, name: str) -> str:
    """Return a header of the request, empty where it is missing."""
    value = request.requestHeaders.getRawHeaders(name)
    return value[0].strip() if value else ""
