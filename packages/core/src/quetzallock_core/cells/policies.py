"""Placement policies: what a worker's room costs a task, and which policy a pool's load calls for.

Each policy names the load it is for. The other costs of a worker, as that of interference, are the
same under all of them (`placement.py`).
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from ..registry import Registry
from .jobs import Task
from .workers import Worker

PlacementPolicy = Callable[[Task, Worker], float]

PLACEMENTS: Final[Registry[PlacementPolicy]] = Registry("placement policy")

SPREAD: Final = "spread"
PACK: Final = "pack"

PACKING_COST: Final = 6.0
"""Cost, for a long-running task, of a worker that would otherwise be empty. Exceeds the costs of
the images beside it, so that one worker is filled before the next, but not the cost of a suspect
worker."""

LASTING_PIECE_COST: Final = 1.0
"""Cost, for a short task, of free capacity that another long-running task could use. Short tasks
that always hold it would keep its worker from being filled."""

BESIDE_LASTING_COST: Final = 2.0
"""Further cost there, in proportion to the share that long-running tasks hold, so that short tasks
gather on the workers that are filled last."""

CROWDING_COST: Final = 4.0
"""Cost, for a short task, of a worker with no idle CPU for it. Outweighs the other three."""

PACK_FROM_SHARE: Final = 0.5
"""Share of the pool's CPU committed to long-running tasks from which on it may be packed.
Below it, workers have whole pieces free however the tasks are spread."""

PACK_PIECE_MARGIN: Final = 1.3
"""Multiple of the even free piece of each worker that the widest tasks must exceed before a pool is
packed. Slightly wider tasks find room anyway, as workers and the pieces on them differ."""

SPREAD_BELOW_SHARE: Final = 0.4
"""Share below which a packed pool is spread again; the gap to `PACK_FROM_SHARE` avoids flipping."""

SPREAD_PIECE_MARGIN: Final = 1.25
"""Multiple of the widest tasks that the free piece of each worker must have before a packed pool is
spread again."""

MIN_POLICY_MS: Final = 15_000
"""Minimum time between two changes of a pool's policy, longer than a swing of the demand."""


@PLACEMENTS.register(SPREAD)
def spread(_task: Task, worker: Worker) -> float:
    """Prefer the worker with the largest idle share: for pools in which all tasks find room."""
    return 1.0 - worker.idle_cpu / max(1, worker.entry.capacity.cpu)


@PLACEMENTS.register(PACK)
def pack(task: Task, worker: Worker) -> float:
    """Prefer the worker left with the least room: for pools in which wide tasks find no room.

    A long-running task counts the room beside the other long-running tasks, since the short ones
    are soon over. A short task counts the room that is free now, leaves room to the long-running
    tasks where these are filling a worker, and avoids workers on which it would compete for
    CPU. Best-effort tasks, which commit none, are spread.
    """
    spec = task.spec
    if spec.fills:
        return spread(task, worker)
    capacity = max(1, worker.entry.capacity.cpu)
    needed = spec.needs.cpu
    if spec.lasting:
        return PACKING_COST * (capacity - worker.lasting_cpu - needed) / capacity
    cost = (worker.free.cpu - needed) / capacity
    if worker.fits_another_long_running:
        cost += LASTING_PIECE_COST + BESIDE_LASTING_COST * worker.lasting_cpu / capacity
    missing = max(0, needed - worker.idle_cpu)
    return cost + CROWDING_COST * missing / max(1, needed)


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """What decides the policy of one pool; CPU in thousandths of a core.

    Attributes:
        workers: Number of workers that accept tasks.
        cpu: CPU that they offer.
        lasting_cpu: CPU committed to long-running tasks on them.
        widest_cpu: CPU of the widest tasks that recent jobs asked for.
    """

    workers: int = 0
    cpu: int = 0
    lasting_cpu: int = 0
    widest_cpu: int = 0

    @property
    def lasting_share(self) -> float:
        """Share of the CPU that is committed to long-running tasks."""
        return self.lasting_cpu / max(1, self.cpu)

    @property
    def spread_piece_cpu(self) -> float:
        """CPU left beside the long-running tasks on each worker if they are spread evenly.

        The pieces that are free now would depend on the policy in force, which would then flip.
        """
        return (self.cpu - self.lasting_cpu) / max(1, self.workers)


def choose_policy(load: PoolLoad, current: str) -> str:
    """Return the name of the policy for a pool under `load` whose policy is `current`.

    Packing is for pools whose long-running tasks, spread evenly, leave on each worker much less
    than the widest tasks need. Elsewhere it would only concentrate the load.
    """
    if current == PACK:
        is_needed = load.spread_piece_cpu < SPREAD_PIECE_MARGIN * load.widest_cpu
        return PACK if is_needed and load.lasting_share >= SPREAD_BELOW_SHARE else SPREAD
    is_needed = PACK_PIECE_MARGIN * load.spread_piece_cpu < load.widest_cpu
    return PACK if is_needed and load.lasting_share >= PACK_FROM_SHARE else SPREAD
