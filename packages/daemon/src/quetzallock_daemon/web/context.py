"""State of the daemon that HTTP handlers use."""

from dataclasses import dataclass, field
from typing import Any

from twisted.web.http import Request

from ..node import Node
from ..telemetry.traces import Tracing
from ..tickets import OnAnswer


@dataclass(slots=True)
class WebContext:
    """State of the daemon that HTTP handlers share.

    Attributes:
        is_draining: Whether the daemon is shutting down.
        calls: Callers' requests that have no final answer yet, by ticket.
    """

    node: Node
    tracing: Tracing
    is_draining: bool = False
    calls: dict[int, Any] = field(default_factory=dict)

    def open_ticket(self, request: Request, on_answer: OnAnswer) -> int:
        """Return a ticket whose answer is dropped if the caller disconnects."""
        ticket = self.node.tickets.open(on_answer)
        request.notifyFinish().addErrback(lambda _reason: self.node.tickets.drop(ticket))
        return ticket


def get_header(request: Request, name: str) -> str:
    """Return the value of a request header, or an empty string if it is missing."""
    value = request.requestHeaders.getRawHeaders(name)
    return value[0].strip() if value else ""
