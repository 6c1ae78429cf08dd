"""Limits on how many runs are preempted, in a cell and of each queue."""

from collections import Counter, deque
from collections.abc import Iterable, Mapping
from typing import Final

from .workers import Worker

MAX_PREEMPTIONS_PER_INTERVAL: Final = 20
"""Preempted runs of a cell in `CELL_INTERVAL_MS`; each costs the owner a stop, an end and another
start."""

CELL_INTERVAL_MS: Final = 1_000

MAX_QUEUE_SHARE: Final = 0.2
"""Share of its running tasks that a queue may lose in `QUEUE_INTERVAL_MS`, so that it makes
progress under any demand of higher priority."""

QUEUE_INTERVAL_MS: Final = 2_000


class PreemptionLimits:
    """Counts the runs that were preempted lately.

    The counts are not in the journal, so within one interval a new owner may preempt as many again.
    """

    def __init__(self) -> None:
        self._recent: deque[tuple[int, str]] = deque()

    def record(self, queue: str, now: int) -> None:
        """Record that a run of `queue` was preempted."""
        self._recent.append((now, queue))

    def count_left_in_cell(self, now: int) -> int:
        """Return how many runs of the cell may be preempted now."""
        recent = sum(now - at < CELL_INTERVAL_MS for at, _ in self._recent)
        return MAX_PREEMPTIONS_PER_INTERVAL - recent

    def count_left_by_queue(self, workers: Iterable[Worker], now: int) -> Counter[str]:
        """Return how many runs of each queue may be preempted now: one at least in an interval."""
        while self._recent and now - self._recent[0][0] >= QUEUE_INTERVAL_MS:
            self._recent.popleft()
        lost = Counter(queue for _, queue in self._recent)
        running: Counter[str] = Counter()
        for worker in workers:
            for run in worker.runs.values():
                if run.state == "running":
                    running[run.task.job.policy.queue] += 1
        return Counter(
            {queue: _compute_limit(running[queue] + lost[queue]) - lost[queue] for queue in running}
        )


def _compute_limit(running: int) -> int:
    return max(1, int(MAX_QUEUE_SHARE * running))


def are_within(counts: Mapping[str, int], left: Mapping[str, int]) -> bool:
    """Return whether no count by queue exceeds what is left of the queue's limit."""
    return all(count <= left.get(queue, 0) for queue, count in counts.items())
