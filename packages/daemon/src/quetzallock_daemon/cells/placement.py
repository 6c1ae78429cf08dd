"""Schedules the placement rounds of an owned cell."""

import time
from collections.abc import Callable
from typing import Any

from quetzallock_core.cells import Cell

from .const import PLACEMENT_PAUSE_FACTOR, PLACEMENT_PAUSE_MS
from .load_meter import PLACEMENT, LoadMeter


class PlacementRounds:
    """Runs placement rounds while something may start, within a share of the processor time.

    A round over all waiting tasks takes long while many best-effort tasks wait, and the pause after
    it is longer still. In this pause rounds over the other tasks are run, which are short.
    """

    def __init__(
        self,
        reactor: Any,
        cell: Cell,
        run_effects: Callable[[], None],
        meter: LoadMeter,
        read_s: Callable[[], float] = time.perf_counter,
    ) -> None:
        self._reactor = reactor
        self._cell = cell
        self._run_effects = run_effects
        self._meter = meter
        self._read_s = read_s
        self._timer: Any = None
        self._full_timer: Any = None
        self._pause_s = PLACEMENT_PAUSE_MS / 1_000
        self._full_after_s = 0.0

    def schedule(self) -> None:
        """Schedule a round, unless one is scheduled."""
        if self._timer is None:
            self._timer = self._reactor.callLater(self._pause_s, self._run_due)

    def _run_due(self) -> None:
        self._timer = None
        if self._full_after_s <= self._read_s():
            self._run_full()
        else:
            with self._meter.measure(PLACEMENT):
                self._run_urgent()

    def _run_full(self) -> None:
        with self._meter.measure(PLACEMENT):
            self._place_all()

    def _place_all(self) -> None:
        """Run a round over all waiting tasks, and derive the pause before the next one."""
        if self._full_timer is not None and self._full_timer.active():
            self._full_timer.cancel()
        self._full_timer = None
        started_s = self._read_s()
        self._cell.start_waiting_tasks()
        ended_s = self._read_s()
        self._full_after_s = ended_s + PLACEMENT_PAUSE_FACTOR * (ended_s - started_s)
        self._pause_s = PLACEMENT_PAUSE_MS / 1_000
        self._run_effects()

    def _run_urgent(self) -> None:
        """Run a round without best-effort tasks, and let one over all tasks follow."""
        started_s = self._read_s()
        self._cell.start_urgent_tasks()
        ended_s = self._read_s()
        pause_s = PLACEMENT_PAUSE_FACTOR * (ended_s - started_s)
        self._pause_s = max(PLACEMENT_PAUSE_MS / 1_000, pause_s)
        if self._full_timer is None:
            left_s = max(0.0, self._full_after_s - ended_s)
            self._full_timer = self._reactor.callLater(left_s, self._run_full)
        self._run_effects()

    def stop(self) -> None:
        """Run no more rounds."""
        for timer in (self._timer, self._full_timer):
            if timer is not None and timer.active():
                timer.cancel()
