"""An emulator of the platform's workers and store, on a clock that a test moves."""

from .cluster import CellCluster
from .ground_truth import GroundTruth
from .workers import EmulatedWorker

__all__ = ["CellCluster", "EmulatedWorker", "GroundTruth"]
