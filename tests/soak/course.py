"""The course of a run: what happened at which time, such as the calls of hosts to the store."""

import time
from dataclasses import dataclass, field
from typing import Any, Final

from .deployment import Host

_MS_PER_S: Final = 1_000


@dataclass(slots=True)
class Course:
    """What happened in a run; times are Unix times in ms.

    Attributes:
        lines: Time of day and text of each event.
    """

    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> float:
        """Add an event that happens now, and return the time."""
        now = time.time() * _MS_PER_S
        self.lines.append(f"{now / _MS_PER_S:.3f} {text}")
        return now


def trace_calls(host: Host, course: Course) -> None:
    """Add each call of a host to the store, and the end of its connections, to the course."""
    proxy = host.store_proxy
    add_connection = proxy.add_connection
    count = 0

    def add_traced(connection: Any) -> None:
        nonlocal count
        count += 1
        label = f"{host.name} connection {count}"
        receive, forward, lose = (
            connection.dataReceived,
            connection.forward_answer,
            connection.connectionLost,
        )

        def receive_traced(data: bytes) -> None:
            if data.startswith((b"GET ", b"POST ")):
                course.add(f"{label} sends {data.split(b' ')[1].decode()}")
            receive(data)

        def forward_traced(data: bytes) -> None:
            course.add(f"{label} {'loses' if connection._is_broken else 'gets'} an answer")
            forward(data)

        def lose_traced(*reason: Any) -> None:
            course.add(f"{label} is closed")
            lose(*reason)

        connection.dataReceived = receive_traced
        connection.forward_answer = forward_traced
        connection.connectionLost = lose_traced
        add_connection(connection)

    # The proxy is that of the soak, which needs no trace.
    proxy.add_connection = add_traced  # type: ignore[method-assign]
