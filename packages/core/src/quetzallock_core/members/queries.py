"""Queries that a host sends to all reachable hosts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from ..core import Core
from .gossip import Members

_TIMEOUT_MS = 1_000

T = TypeVar("T")


@dataclass(slots=True)
class _Query(Generic[T]):
    ticket: int
    deadline: int
    answers: dict[str, T] = field(default_factory=dict)


class HostQueries(Generic[T]):
    """Open queries; each is closed once all hosts have answered or its time is over."""

    def __init__(
        self, core: Core, members: Members, on_closed: Callable[[int, dict[str, T]], None]
    ) -> None:
        """Create the queries; `on_closed` gets the ticket and the answers by host."""
        self._core = core
        self._members = members
        self._on_closed = on_closed
        self._queries: dict[int, _Query[T]] = {}
        self._last_number = 0

    def send(self, ticket: int, make_message: Callable[[int], object]) -> None:
        """Send all hosts the message that `make_message` returns for the number of the query."""
        self._last_number += 1
        number = self._last_number
        self._queries[number] = _Query(ticket, self._core.clock.now() + _TIMEOUT_MS)
        for host in self._members.reachable:
            self._core.send(host, make_message(number))

    def record_answer(self, number: int, host: str, answer: T) -> None:
        """Keep a host's answer, and close the query if it is the last one."""
        query = self._queries.get(number)
        if query is None:
            return
        query.answers[host] = answer
        if len(query.answers) == len(self._members.reachable):
            self._close(number)

    def close_overdue(self, now: int) -> None:
        """Close the queries that hosts have not answered in time."""
        for number, query in list(self._queries.items()):
            if now >= query.deadline:
                self._close(number)

    def _close(self, number: int) -> None:
        query = self._queries.pop(number)
        self._on_closed(query.ticket, query.answers)
