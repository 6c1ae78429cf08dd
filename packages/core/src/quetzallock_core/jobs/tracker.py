"""What the owner of a shard keeps in memory of tasks that are not over; none of it is recorded."""

from collections.abc import Iterator
from dataclasses import dataclass

from ..core import Core
from ..placement.models import ReserveRoom, RoomReserved, RoomWanted
from ..placement.racks import Racks
from ..presets.models import PresetChanged
from .const import JobSettings
from .models import AttemptEnded, AttemptRecorded, Entry, TaskFinished, find_job
from .state import ShardState

_BACKOFF_MS = 500
_BACKOFF_MAX_MS = 8_000


@dataclass(slots=True)
class TrackedTask:
    """One task.

    Attributes:
        is_pending: Whether an entry about it is on its way into the stream.
        until: Worker clock from which on a start is refused.
        lapses_at: Local time in ms at which the newest task lease has surely lapsed,
            None where nothing is known of it yet.
        is_started: Whether the worker has shown the attempt.
        room_at: Local time from which on room is asked for.
    """

    is_pending: bool = False
    until: int = 0
    lapses_at: int | None = None
    news_at: int = 0
    asked_at: int = 0
    is_started: bool = False
    progress_ms: int = 0
    refusals: int = 0
    room_at: int = 0


class TaskTracker:
    """The watches of one shard, and the asking for room."""

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
        """Ask for room for `task` from now on."""
        self._waiting[task] = None

    def untrack(self, task: str) -> None:
        """Forget `task`."""
        self._by_task.pop(task, None)
        self._waiting.pop(task, None)

    def clear(self) -> None:
        """Forget all."""
        self._by_task.clear()
        self._waiting.clear()

    def remove_pending(self, entry: Entry) -> None:
        """Note that `entry` is not on its way any more."""
        if isinstance(entry, AttemptRecorded | AttemptEnded | TaskFinished):
            tracked = self._by_task.get(entry.task)
            if tracked is not None:
                tracked.is_pending = False
            if isinstance(entry, AttemptRecorded):
                self._waiting.pop(entry.task, None)

    def list_due(self, now: int) -> Iterator[tuple[str, TrackedTask]]:
        """Yield watches that had no news for too long."""
        for task, tracked in list(self._by_task.items()):
            quiet = self._settings.news_ms if tracked.is_started else self._settings.start_ms
            if now - max(tracked.news_at, tracked.asked_at) >= quiet:
                yield task, tracked

    def ask_room(self, state: ShardState, now: int) -> None:
        """Ask the holder of one rack for room for tasks that wait, urgent ones first."""
        if self._is_paused:
            return
        due = [task for task in self._waiting if self._is_due(state, task, now)]
        if not due:
            return
        racks = self._racks.names
        if not racks:
            return
        due.sort(key=lambda task: not state.jobs[find_job(task)].urgent)
        chosen = due[: self._settings.tasks_per_ask]
        rack = self._core.rng.choice(racks)
        owner = self._racks.find_owner(rack)
        if owner is None:
            return
        wanted = []
        for task in chosen:
            tracked = self.track(task)
            tracked.room_at = now + self._settings.reserve_ms
            row = state.rows[task]
            demand = state.jobs[find_job(task)].demand
            wanted.append(RoomWanted(task, row.attempt + 1, demand, row.failed_on))
        self._core.send(owner, ReserveRoom(rack, tuple(wanted)))

    def _is_due(self, state: ShardState, task: str, now: int) -> bool:
        row = state.rows.get(task)
        if row is None or row.state != "waiting":
            return False
        tracked = self.track(task)
        return not tracked.is_pending and now >= tracked.room_at

    def note_answer(self, answer: RoomReserved, now: int) -> None:
        """Try refused tasks again, each time after a longer pause."""
        for ref in answer.refused:
            tracked = self._by_task.get(ref.task)
            if tracked is None:
                continue
            tracked.refusals += 1
            pause = min(_BACKOFF_MAX_MS, _BACKOFF_MS * 2 ** min(tracked.refusals, 10))
            if not answer.holder:
                pause = _BACKOFF_MS
            tracked.room_at = now + self._core.rng.randrange(pause // 2, pause)
        for reservation in answer.reservations:
            tracked = self._by_task.get(reservation.task)
            if tracked is not None:
                tracked.refusals = 0
