"""What proves that runs are over, and the log of all starts and ends of runs.

A start or an end costs a line of its own only where it is rare. All of them are logged in batches,
so that no limit on the lines of one event leaves any out.
"""

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final

from .jobs import Run

Row = tuple[str | int, ...]

MAX_ROWS_PER_LINE: Final = 100
"""Maximum number of starts or ends in one log line."""


class EndProof(StrEnum):
    """What proves that a run is over on the boot that it was started on."""

    LISTED = "listed"
    """The boot lists its end."""
    VANISHED = "vanished"
    """The boot lists neither the run nor its end, and was asked after it had answered its start."""
    REFUSED = "refused"
    """The boot has refused its only start order."""
    WITHDRAWN = "withdrawn"
    """Its start order was never sent."""
    NEXT_BOOT = "next_boot"
    """The next boot of the worker runs."""
    MISDIRECTED = "misdirected"
    """Another boot answers at the boot's address."""
    LAPSED = "lapsed"
    """The lease of the boot has lapsed."""


class RunLog:
    """Collects the starts and ends of runs until the next lines of the log.

    Rows have task, run, worker and born; those of ends go on with the proof, and how the worker
    lists the end, if it does.
    """

    def __init__(self, log_decision: Callable[..., Any]) -> None:
        self._log_decision = log_decision
        self._rows: dict[str, list[Row]] = {}

    def add_start(self, run: Run, boot_ms: int) -> None:
        """Add a start that was decided."""
        self._add("runs.started", run, boot_ms)

    def add_adoption(self, run: Run, boot_ms: int) -> None:
        """Add a run that was found on a worker."""
        self._add("runs.adopted", run, boot_ms)

    def add_end(self, run: Run, boot_ms: int, proof: EndProof, how: str) -> None:
        """Add an end."""
        self._add("runs.ended", run, boot_ms, proof, how)

    def _add(self, event: str, run: Run, boot_ms: int, *ending: str) -> None:
        row: Row = (run.task.name, run.number, run.worker, boot_ms, *ending)
        self._rows.setdefault(event, []).append(row)

    def flush(self) -> None:
        """Log all that was collected."""
        collected, self._rows = self._rows, {}
        for event, rows in collected.items():
            for begin in range(0, len(rows), MAX_ROWS_PER_LINE):
                self._log_decision(event, rows=rows[begin : begin + MAX_ROWS_PER_LINE])
