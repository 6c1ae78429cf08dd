"""Correlates final answers with the local callers that wait for them."""

from collections.abc import Callable
from itertools import count
from typing import Any

OnAnswer = Callable[[Any], None]


class Tickets:
    """Issues tickets and delivers each answer once."""

    def __init__(self) -> None:
        self._numbers = count(1)
        self._callbacks: dict[int, OnAnswer] = {}

    @property
    def count(self) -> int:
        """Number of callers that wait for an answer."""
        return len(self._callbacks)

    def open(self, on_answer: OnAnswer) -> int:
        """Return a new ticket; `on_answer` is called once, with the answer."""
        ticket = next(self._numbers)
        self._callbacks[ticket] = on_answer
        return ticket

    def deliver(self, ticket: int, body: object) -> None:
        """Pass an answer to the caller that waits for it, if it still does."""
        on_answer = self._callbacks.pop(ticket, None)
        if on_answer is not None:
            on_answer(body)

    def drop(self, ticket: int) -> None:
        """Remove the ticket of a caller that has disconnected."""
        self._callbacks.pop(ticket, None)
