"""Questions about what emulated workers ran."""

from collections.abc import Iterable

from quetzallock_standins.workers.models import RunRecord


def find_overlapping_runs(runs: Iterable[RunRecord]) -> list[tuple[RunRecord, RunRecord]]:
    """Return pairs of runs of one task that overlap in time."""
    by_task: dict[str, list[RunRecord]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    overlaps = []
    for group in by_task.values():
        group.sort(key=lambda run: (run.started_at, run.ended_at))
        for earlier, later in zip(group, group[1:], strict=False):
            if later.started_at < earlier.ended_at:
                overlaps.append((earlier, later))
    return overlaps


def count_endings(runs: Iterable[RunRecord], ending: str = "finished") -> dict[str, int]:
    """Return how many runs of each task have this ending."""
    counts: dict[str, int] = {}
    for run in runs:
        if run.ending == ending:
            counts[run.task] = counts.get(run.task, 0) + 1
    return counts
