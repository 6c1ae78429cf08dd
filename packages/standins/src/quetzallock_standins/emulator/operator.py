"""Emulated operator: requests evacuations in a topic of the store, which the owners read."""

from collections.abc import Callable
from typing import Protocol

from quetzallock_core.cells import Cell
from quetzallock_core.clock import Clock

READ_WAIT_MS = 1_000
"""How long a read stays open while nothing changes."""
READ_LATENCY_MS = 5
RETRY_PAUSE_MS = 150


class Reader(Protocol):
    """A process that owns the cell, or did."""

    cell: Cell
    is_running: bool


class EmulatedOperator:
    """The requests in the store, and the reads by which the owners follow them.

    Attributes:
        evacuated: The data centres whose evacuation is requested.
        is_readable: Whether reads of the topic succeed.
        last_view: What the last read returned, and when it was sent. The hosts follow the topic all
            the time, so a new owner starts with it.
    """

    def __init__(self, clock: Clock, schedule: Callable[[int, Callable[[], None]], None]) -> None:
        self._clock = clock
        self._schedule = schedule
        self.evacuated: frozenset[str] = frozenset()
        self.is_readable = True
        self.last_view: tuple[frozenset[str], int] = (frozenset(), clock.now())

    def evacuate(self, *data_centres: str) -> None:
        """Request the evacuation of data centres."""
        self.evacuated |= set(data_centres)

    def readmit(self, *data_centres: str) -> None:
        """End the evacuation of data centres."""
        self.evacuated -= set(data_centres)

    def follow(self, owner: Reader) -> None:
        """Let a new owner start with the last view, and read the topic from now on."""
        owner.cell.handle_evacuations(*self.last_view)
        self._read(owner, self._clock.now(), self.last_view[0])

    def _read(self, owner: Reader, sent_at: int, known: frozenset[str]) -> None:
        """Answer a read once something has changed or `READ_WAIT_MS` have passed."""
        if not owner.is_running:
            return
        now = self._clock.now()
        if not self.is_readable:
            self._schedule(RETRY_PAUSE_MS, lambda: self._read(owner, now, known))
        elif self.evacuated == known and now - sent_at < READ_WAIT_MS:
            self._schedule(READ_LATENCY_MS, lambda: self._read(owner, sent_at, known))
        else:
            view = (self.evacuated, sent_at)
            self._schedule(READ_LATENCY_MS, lambda: self._finish(owner, view))

    def _finish(self, owner: Reader, view: tuple[frozenset[str], int]) -> None:
        if not owner.is_running:
            return
        self.last_view = view
        owner.cell.handle_evacuations(*view)
        self._read(owner, self._clock.now(), view[0])
