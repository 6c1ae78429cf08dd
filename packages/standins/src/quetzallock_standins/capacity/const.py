"""Sizes that the measurements share."""

from typing import Final

from quetzallock_core.workers.models import Resources

RACK_SIZE: Final = 16
TASKS_PER_WORKER: Final = 10
WORKER_CAPACITY: Final = Resources(64_000, 256_000, 2)
TASK_DEMAND: Final = Resources(100, 100, 0)
CPU_MS_PER_PERCENT: Final = 10
"""Processor time in ms each second that is one percent of a core."""
