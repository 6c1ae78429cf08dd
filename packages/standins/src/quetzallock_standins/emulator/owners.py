"""Owners of an emulated cell."""

from quetzallock_core.cells import Cell


class Owner:
    """A process that owns the cell, or did and has not noticed yet that it lost it.

    Attributes:
        is_running: Whether the process has neither ended nor been refused by the journal.
        is_writing: Whether a batch of records is being appended; there is one at a time.
        outcomes: Outcomes of submissions and cancellations by ticket.
    """

    def __init__(self, cell: Cell, epoch: int) -> None:
        self.cell = cell
        self.epoch = epoch
        self.is_running = True
        self.is_writing = False
        self.outcomes: dict[int, str] = {}
