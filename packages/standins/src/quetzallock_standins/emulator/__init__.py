"""Emulator of a cell, its workers and its journal on a manual clock, for tests."""

from .cluster import CellCluster
from .ground_truth import GroundTruth
from .workers import EmulatedWorker

__all__ = ["CellCluster", "EmulatedWorker", "GroundTruth"]
