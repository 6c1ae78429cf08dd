"""Local callers that wait for a final answer, by ticket."""

from collections.abc import Callable
from itertools import count
from typing import Any

OnAnswer = Callable[[Any], None]


class Tickets:
    """Hands out tickets and delivers each answer once."""

    def __init__(self) -> None:
        self._numbers = count(1)
        self._waiting: dict[int, OnAnswer] = {}

    @property
    def count(self) -> int:
        """How many callers wait."""
        return len(self._waiting)

    def open(self, on_answer: OnAnswer) -> int:
        """Return a new ticket; `on_answer` is called once with the answer."""
        ticket = next(self._numbers)
        self._waiting[ticket] = on_answer
        return ticket

    def deliver(self, ticket: int, body: object) -> None:
        """Hand an answer to whoever waits for it."""
        on_answer = self._waiting.pop(ticket, None)
        if on_answer is not None:
            on_answer(body)

    def drop(self, ticket: int) -> None:
        """Forget a caller that has gone."""
        self._waiting.pop(ticket, None)
