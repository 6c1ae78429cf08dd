"""Chooses what an owner puts off or rejects while its host is late with all work."""

from math import inf
from typing import Final

from .const import INVENTORY_POLL_WAIT_MS
from .durations import DurationEstimates
from .jobs import Run
from .workers import Worker

MIN_POLL_PAUSE_MS: Final = 15
"""Pause between two polls of a worker on an idle host, so that ends of one moment share one."""

MAX_POLL_PAUSE_MS: Final = 300
"""Longest pause between two polls of a worker, well below a lease."""

COLOCATED_POLL_WAIT_MS: Final = 400
"""How long a worker with both serving and best-effort tasks may keep a poll open on an idle host.
Less than for other workers, so that the serving tasks' metrics arrive more often."""

DRAINING_POLL_WAIT_MS: Final = 300
"""The same for a worker that drains, so that its shorter lease outlasts one lost poll."""

TOLERATED_LAG_MS: Final = 60
"""Lag that stretches nothing: timers of a host with some load are a little late."""

PAUSE_PER_LAG: Final = 2
"""Pause added between two polls, as a multiple of the lag beyond the tolerated one."""

WAIT_PER_LAG: Final = 8
"""Wait added for a worker with both kinds of tasks, as a multiple of the same."""

OVERLOAD_LAG_MS: Final = 700
"""Lag from which on new jobs are rejected: routers have given their requests up by then, and send
them again."""

MAX_BEST_EFFORT_STARTS: Final = 256
"""Best-effort starts that may be on their way at once on a host with time to spare: more than such
a host ever has, so that they are limited only under load."""

MIN_BEST_EFFORT_STARTS: Final = 16
"""The same on a host that is late all the time. Not less, as its timers may be late for another
cause than these starts, and best-effort jobs must go on."""

STRAINED_STARTS: Final = 128
"""Limit of best-effort starts below which polls are stretched too, since more of them would only
take the time of these starts. Half of the usual one: a single late timer stretches nothing."""

STRAINED_PAUSE_MS: Final = 400
"""Pause added between two polls of a worker where no urgent task is about to end, as the limit
falls from `STRAINED_STARTS` to 0."""

STRAINED_LAG_MS: Final = 80
"""Lag of one timer above which fewer best-effort starts are sent at once. Above `TOLERATED_LAG_MS`,
so that the owner first saves polls, which delay no job."""

_STARTS_FALL_FACTOR: Final = 0.5
_STARTS_RISE_FACTOR: Final = 1.1
"""Factors of that limit for each timer above and below this lag: quick to yield, slow to return."""

MAX_LAG_SAMPLE_MS: Final = 1_000
"""Largest lag of one timer that counts, as a host that was suspended for seconds is late only once.
"""

_RISE_WEIGHT: Final = 0.5
_FALL_WEIGHT: Final = 0.1
"""Weights of a lag above and below the moving average in it: quick to yield, slow to return."""


class LoadControl:
    """Stretches polls and rejects jobs by the host's lag: for more events than it can process.

    A poll that is due can wait, as its answer only becomes larger. Starts, stops, renewals of the
    ownership and callers can't, and the polls of many workers would leave them no time.

    Attributes:
        lag_ms: Moving average of how late the host's timers are.
        best_effort_limit: How many best-effort starts may be on their way at once. Each costs the
            owner an order and an answer, which the ends and starts of urgent tasks wait behind.
    """

    def __init__(self) -> None:
        self.lag_ms = 0.0
        self.best_effort_limit = MAX_BEST_EFFORT_STARTS

    def record_lag(self, lag_ms: float) -> None:
        """Record how late a timer of the host was."""
        sample_ms = min(max(0.0, lag_ms), MAX_LAG_SAMPLE_MS)
        weight = _RISE_WEIGHT if sample_ms > self.lag_ms else _FALL_WEIGHT
        self.lag_ms += weight * (sample_ms - self.lag_ms)
        self.best_effort_limit = _adapt_limit(self.best_effort_limit, sample_ms)

    @property
    def is_overloaded(self) -> bool:
        """Whether new jobs are rejected at once, since the owner is too late to begin them."""
        return self.lag_ms >= OVERLOAD_LAG_MS

    @property
    def _excess_lag_ms(self) -> float:
        return max(0.0, self.lag_ms - TOLERATED_LAG_MS)

    @property
    def _strain(self) -> float:
        """How far the limit of best-effort starts has fallen below `STRAINED_STARTS`, from 0 to 1.

        Unlike the lag it remains high while the limit keeps the lag low.
        """
        return max(0.0, 1 - self.best_effort_limit / STRAINED_STARTS)

    def choose_pause_ms(self, worker: Worker, durations: DurationEstimates, now: int) -> int:
        """Return the pause after a poll of `worker`, in ms.

        Nobody waits for the end of a single best-effort task, so a late owner batches these ends.
        The pause is over when a run of an urgent task is expected to end.
        """
        stretched_ms = PAUSE_PER_LAG * self._excess_lag_ms + STRAINED_PAUSE_MS * self._strain
        if not stretched_ms:
            return MIN_POLL_PAUSE_MS
        pause_ms = min(MAX_POLL_PAUSE_MS, MIN_POLL_PAUSE_MS + stretched_ms)
        urgent_end_ms = _expect_urgent_end(worker, durations, now)
        return int(max(MIN_POLL_PAUSE_MS, min(pause_ms, urgent_end_ms)))

    def choose_wait_ms(self, worker: Worker) -> int:
        """Return how long `worker` may keep a poll open while no run ends, in ms.

        A poll after an unanswered one does not renew the lease, so its answer is needed at once. So
        is the answer that tells whether a stopped run has ever run: if not, no end of it comes.
        """
        if worker.contact_at < 0 or worker.unanswered_since >= 0:
            return 0
        if any(_is_stopped_unlisted(run) for run in worker.runs.values()):
            return 0
        if worker.entry.is_draining:
            return DRAINING_POLL_WAIT_MS
        if not (worker.serving_count and worker.best_effort_count):
            return INVENTORY_POLL_WAIT_MS
        stretched_ms = COLOCATED_POLL_WAIT_MS + WAIT_PER_LAG * self._excess_lag_ms
        return int(min(INVENTORY_POLL_WAIT_MS, stretched_ms))


def _is_stopped_unlisted(run: Run) -> bool:
    """Return whether the worker has answered the stop of a run that no inventory has listed."""
    return run.state == "stopping" and run.is_answered and not run.is_listed


def _expect_urgent_end(worker: Worker, durations: DurationEstimates, now: int) -> float:
    """Return in how many ms the next run of an urgent task is expected to end; infinity if none is.

    Urgent are tasks that are neither best effort nor long-running.
    """
    return min(
        (
            run.ordered_at + durations.expect(run.task.step) - now
            for run in worker.runs.values()
            if not run.task.spec.fills and not run.task.spec.lasting
        ),
        default=inf,
    )


def _adapt_limit(limit: int, lag_ms: float) -> int:
    """Return the next limit of best-effort starts, after a timer that was late by `lag_ms`."""
    if lag_ms > STRAINED_LAG_MS:
        return max(MIN_BEST_EFFORT_STARTS, int(limit * _STARTS_FALL_FACTOR))
    return min(MAX_BEST_EFFORT_STARTS, int(limit * _STARTS_RISE_FACTOR) + 1)
