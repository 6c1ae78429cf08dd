"""Cells: a part of the jobs and a part of the workers, scheduled by one owner."""

from .batches import Batch
from .cell import Cell, choose_cell, choose_worker_cell

__all__ = ["Batch", "Cell", "choose_cell", "choose_worker_cell"]
