"""Tracks unfinished tasks in the memory of a shard's owner; none of it is written to the log."""

from collections.abc import Iterator
from dataclasses import dataclass

from ..core import Core
from ..placement.models import CapacityRequest, CapacityReserved, ReserveCapacity
from ..placement.racks import Racks
from ..presets.models import PresetChanged
from .const import JobSettings
from .models import AttemptEnded, AttemptRecorded, Entry, TaskFinished, find_job
from .state import ShardState

_BASE_BACKOFF_MS = 500
_MAX_BACKOFF_MS = 8_000


@dataclass(slots=True)
class TrackedTask:
    """State of one tracked task, by local time unless stated otherwise.

    Attributes:
        is_pending: Whether an entry about it is waiting to be read back from the stream.
        start_until_clock_ms: Worker's clock reading from which on it refuses the start.
        lapses_at: Time at which the newest task lease has certainly lapsed, None if unknown.
        reported_at: Time of the worker's last report about it.
        queried_at: Time at which it was last started or queried.
        is_started: Whether the worker has reported the attempt.
        refusals: Number of successive refusals to reserve capacity.
        reserve_at: Time from which on capacity is requested.
    """

    is_pending: bool = False
    start_until_clock_ms: int = 0
    lapses_at: int | None = None
    reported_at: int = 0
    queried_at: int = 0
    is_started: bool = False
    progress_ms: int = 0
    refusals: int = 0
    reserve_at: int = 0


class TaskTracker:
    """Tracks the tasks of one shard and requests capacity for those that wait."""

    def __init__(self, core: Core, racks: Racks, settings: JobSettings) -> None:
        self._core = core
        self._racks = racks
        self._settings = settings
        self._by_task: dict[str, TrackedTask] = {}
        self._waiting: dict[str, None] = {}
        self._is_paused = False
        core.listen(PresetChanged, self._on_preset)

    def _on_preset(self, event: PresetChanged, _source: str) -> None:
        self._is_paused = event.preset.batch.paused

    def track(self, task: str) -> TrackedTask:
        """Return the entry of `task`; create it if there is none."""
        return self._by_task.setdefault(task, TrackedTask())

    def add_waiting(self, task: str) -> None:
        """Request capacity for `task` from now on."""
        self._waiting[task] = None

    def untrack(self, task: str) -> None:
        """Stop tracking `task`."""
        self._by_task.pop(task, None)
        self._waiting.pop(task, None)

    def clear(self) -> None:
        """Stop tracking all tasks."""
        self._by_task.clear()
        self._waiting.clear()

    def remove_pending(self, entry: Entry) -> None:
        """Mark the task of `entry` as having no pending entry any more."""
        if isinstance(entry, AttemptRecorded | AttemptEnded | TaskFinished):
            tracked = self._by_task.get(entry.task)
            if tracked is not None:
                tracked.is_pending = False
            if isinstance(entry, AttemptRecorded):
                self._waiting.pop(entry.task, None)

    def list_overdue(self, now: int) -> Iterator[tuple[str, TrackedTask]]:
        """Yield tasks without a report or query for `news_ms`, or `start_ms` if never reported."""
        for task, tracked in list(self._by_task.items()):
            limit_ms = self._settings.news_ms if tracked.is_started else self._settings.start_ms
            if now - max(tracked.reported_at, tracked.queried_at) >= limit_ms:
                yield task, tracked

    def request_reservations(self, state: ShardState, now: int) -> None:
        """Request capacity for waiting tasks, urgent first, from the owner of a random rack."""
        if self._is_paused:
            return
        due = [task for task in self._waiting if self._is_due(state, task, now)]
        if not due:
            return
        racks = self._racks.names
        if not racks:
            return
        due.sort(key=lambda task: not state.jobs[find_job(task)].urgent)
        batch = due[: self._settings.tasks_per_ask]
        rack = self._core.rng.choice(racks)
        owner = self._racks.find_owner(rack)
        if owner is None:
            return
        requests = []
        for task in batch:
            tracked = self.track(task)
            tracked.reserve_at = now + self._settings.reserve_ms
            row = state.rows[task]
            demand = state.jobs[find_job(task)].demand
            requests.append(CapacityRequest(task, row.attempt + 1, demand, row.failed_on))
        self._core.send(owner, ReserveCapacity(rack, tuple(requests)))

    def _is_due(self, state: ShardState, task: str, now: int) -> bool:
        row = state.rows.get(task)
        if row is None or row.state != "waiting":
            return False
        tracked = self.track(task)
        return not tracked.is_pending and now >= tracked.reserve_at

    def handle_reservations(self, answer: CapacityReserved, now: int) -> None:
        """Schedule a retry for each refused task, with exponential backoff.

        There is no longer pause if the host did not hold the rack's leases, since its refusal does
        not mean that capacity is missing.
        """
        for ref in answer.refused:
            tracked = self._by_task.get(ref.task)
            if tracked is None:
                continue
            tracked.refusals += 1
            pause = min(_MAX_BACKOFF_MS, _BASE_BACKOFF_MS * 2 ** min(tracked.refusals, 10))
            if not answer.is_holder:
                pause = _BASE_BACKOFF_MS
            tracked.reserve_at = now + self._core.rng.randrange(pause // 2, pause)
        for reservation in answer.reservations:
            tracked = self._by_task.get(reservation.task)
            if tracked is not None:
                tracked.refusals = 0
