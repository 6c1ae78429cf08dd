"""Declared shape of a worker, and the records that checks compare with."""

from dataclasses import dataclass

from quetzallock_core.workers.models import NOTHING, Resources


@dataclass(frozen=True, slots=True)
class WorkerShape:
    """Resources of a worker and the faults that are injected into it.

    Attributes:
        fails_all: Whether every task fails as soon as it starts.
        slowdown_percent: Increase of run times over the declared ones.
        usage_percent: Usage of tasks as a share of their declared demand.
    """

    capacity: Resources
    slots: int = 8
    fails_all: bool = False
    slowdown_percent: int = 0
    usage_percent: int = 100


@dataclass(frozen=True, slots=True)
class RunRecord:
    """A period in which an attempt ran; the ground truth that checks compare with."""

    worker: str
    task: str
    attempt: int
    started_at: int
    ended_at: int
    start_progress_ms: int
    end_progress_ms: int
    ending: str


@dataclass(slots=True)
class WorkerCounters:
    """Numbers of violations, and the highest use of the worker.

    Attributes:
        over_committed: Starts after which declared demands exceeded the capacity.
        two_attempts: Starts of a task while another attempt of it ran.
        over_slots: Requests above the number of slots.
    """

    over_committed: int = 0
    two_attempts: int = 0
    over_slots: int = 0
    peak: Resources = NOTHING
    peak_slots: int = 0
