"""Checks that the runs of cancelled jobs end in time, and that none starts late."""

from typing import Final

from .fault_monitor import CONTACT_MS, FaultMonitor
from .ground_truth import GroundTruth

CANCEL_MS: Final = 3_000
"""Time from the acknowledgement of a cancellation after which no task of the job starts."""
CHECK_INTERVAL_MS: Final = 50
"""Checks in each step of 5 ms would lengthen the tests; this is short against `CANCEL_MS`."""

_Run = tuple[str, int]


class CancellationCheck:
    """Compares what the workers run with the acknowledged cancellations.

    A task of a cancelled job must not start later than `CANCEL_MS` after the acknowledgement,
    unless its worker carried the order out late. A run must not go on for `CANCEL_MS` and the
    time of a stop after the acknowledgement while the cell has no fault; for a run that a
    worker started late, this time counts from `CONTACT_MS` after its start.

    Attributes:
        cancelled_at: Time in ms of the first acknowledged cancellation by job.
    """

    def __init__(self, ground_truth: GroundTruth, monitor: FaultMonitor, stop_ms: int) -> None:
        self.cancelled_at: dict[str, int] = {}
        self._ground_truth = ground_truth
        self._monitor = monitor
        self._end_ms = CANCEL_MS + stop_ms
        self._late_starts: set[tuple[int, str, int]] = set()
        self._counted_from: dict[str, dict[_Run, int]] = {}
        self._reported: set[_Run] = set()
        self._seen_starts = 0

    def record_acknowledgement(self, job: str) -> None:
        """Record that an owner has answered the cancellation of `job` with success."""
        self.cancelled_at.setdefault(job, self._ground_truth.read_ms())

    def record_late_start(self, task: str, run: int) -> None:
        """Record that a worker carries out a start order seconds after it was sent."""
        self._late_starts.add((self._ground_truth.read_ms(), task, run))

    def check(self) -> None:
        """Check the starts since the last check, and how long the runs have gone on."""
        self._monitor.observe()
        self._read_starts()
        now = self._ground_truth.read_ms()
        for job in self._list_jobs():
            self._drop_ended_runs(job)
            for run, counted_from in self._counted_from[job].items():
                self._check_run(job, run, counted_from, now)

    def list_running(self) -> list[str]:
        """Return the running tasks of cancelled jobs."""
        self._read_starts()
        return [
            task
            for job in self._list_jobs()
            for task, run in self._counted_from[job]
            if self._ground_truth.is_running(task, run)
        ]

    def _list_jobs(self) -> set[str]:
        """Return the cancelled jobs of which a task has started."""
        return self._counted_from.keys() & self.cancelled_at.keys()

    def _read_starts(self) -> None:
        starts = self._ground_truth.starts
        for at, task, run, worker in starts[self._seen_starts :]:
            job = task.rsplit(".", 3)[0]
            is_late = (at, task, run) in self._late_starts
            counted_from = at + CONTACT_MS if is_late else 0
            self._counted_from.setdefault(job, {})[task, run] = counted_from
            if not is_late and at > self.cancelled_at.get(job, at) + CANCEL_MS:
                self._report(f"{at}: {task} run {run} on {worker}: started after", job)
        self._seen_starts = len(starts)

    def _drop_ended_runs(self, job: str) -> None:
        runs = self._counted_from[job]
        for task, run in list(runs):
            if not self._ground_truth.is_running(task, run):
                del runs[task, run]

    def _check_run(self, job: str, run: _Run, counted_from: int, now: int) -> None:
        stable_from = max(self._monitor.stable_from, self.cancelled_at[job])
        if now <= max(stable_from, counted_from) + self._end_ms or run in self._reported:
            return
        self._reported.add(run)
        self._report(f"{now}: {run[0]} run {run[1]}: goes on after", job)

    def _report(self, finding: str, job: str) -> None:
        at = self.cancelled_at[job]
        self._ground_truth.violations.append(f"{finding} the cancellation of {job} at {at}")
