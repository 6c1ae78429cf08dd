"""Numbers of runs, which rise with each run, whichever owner starts it."""

from typing import Final

from .const import RUNS_PER_EPOCH
from .records import RunNumbersRecord

_RESERVE_BELOW: Final = RUNS_PER_EPOCH // 2
"""Numbers left at which further ones are reserved: enough for the time that an append may take."""

_MIN_LEFT: Final = RUNS_PER_EPOCH // 4
"""Numbers left at which no round of placement begins: more than one round can use."""


class RunNumbers:
    """Gives out the run numbers of one owner.

    The numbers of its own epoch are below those of the next one. An owner that needs more reserves
    them in the journal first, and the next owner begins above all that are reserved.
    """

    def __init__(self, epoch: int) -> None:
        self._last = epoch * RUNS_PER_EPOCH
        self._reserved_until = self._last + RUNS_PER_EPOCH - 1

    @property
    def _left(self) -> int:
        return self._reserved_until - self._last

    @property
    def is_reservation_due(self) -> bool:
        """Whether further numbers are to be reserved."""
        return self._left < _RESERVE_BELOW

    @property
    def are_short(self) -> bool:
        """Whether no task may be started before further numbers are reserved."""
        return self._left < _MIN_LEFT

    def restore(self, record: RunNumbersRecord | None) -> None:
        """Begin above the numbers that earlier owners have reserved."""
        if record is not None:
            self._last = max(self._last, record.reserved_until)
            self.apply(record)

    def make_reservation(self) -> RunNumbersRecord:
        """Return the record that reserves further numbers."""
        return RunNumbersRecord(self._last + RUNS_PER_EPOCH)

    def apply(self, record: RunNumbersRecord) -> None:
        """Use the numbers that a durable record reserves."""
        self._reserved_until = max(self._reserved_until, record.reserved_until)

    def next(self) -> int:
        """Return a number above all earlier ones of this and previous owners."""
        self._last += 1
        return self._last
