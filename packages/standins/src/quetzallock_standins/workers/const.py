"""Intervals and limits of the worker's model."""

from typing import Final

CHECKPOINT_INTERVAL_MS: Final = 1_000
USAGE_REPORT_INTERVAL_MS: Final = 10_000
MAX_TICK_GAP_MS: Final = 1_500
"""A longer gap between calls of `advance` means that the process of the worker was paused."""
CLOSED_RETENTION_MS: Final = 3_600_000
"""How long the highest closed attempt of a task is kept, so that delayed starts are refused."""
