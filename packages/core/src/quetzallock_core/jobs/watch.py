"""What the owner of a shard keeps in memory of tasks that are not over; none of it is recorded."""

from collections.abc import Iterator
from dataclasses import dataclass

from ..core import Core
from ..placement.models import CapacityRequest, CapacityReserved, ReserveCapacity
from ..placement.racks import Racks
from ..presets.models import PresetChanged
from .book import Book
from .const import JobSettings
from .models import AttemptEnded, AttemptRecorded, Entry, TaskFinished, find_job

_BACKOFF_MS = 500
_BACKOFF_MAX_MS = 8_000


@dataclass(slots=True)
class Watch:
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


class Watches:
    """The watches of one shard, and the asking for room."""

    def __init__(self, core: Core, racks: Racks, settings: JobSettings) -> None:
        self._core = core
        self._racks = racks
        self._settings = settings
        self._by_task: dict[str, Watch] = {}
        self._waiting: dict[str, None] = {}
        self._is_paused = False
        core.listen(PresetChanged, self._on_preset)

    def _on_preset(self, event: PresetChanged, _source: str) -> None:
        self._is_paused = event.preset.batch.paused

    def enter(self, task: str) -> Watch:
        """Return the watch of `task`, a new one if need be."""
        return self._by_task.setdefault(task, Watch())

    def add_waiting(self, task: str) -> None:
        """Ask for room for `task` from now on."""
        self._waiting[task] = None

    def drop(self, task: str) -> None:
        """Forget `task`."""
        self._by_task.pop(task, None)
        self._waiting.pop(task, None)

    def clear(self) -> None:
        """Forget all."""
        self._by_task.clear()
        self._waiting.clear()

    def unpend(self, entry: Entry) -> None:
        """Note that `entry` is not on its way any more."""
        if isinstance(entry, AttemptRecorded | AttemptEnded | TaskFinished):
            watch = self._by_task.get(entry.task)
            if watch is not None:
                watch.is_pending = False
            if isinstance(entry, AttemptRecorded):
                self._waiting.pop(entry.task, None)

    def list_due(self, now: int) -> Iterator[tuple[str, Watch]]:
        """Yield watches that had no news for too long."""
        for task, watch in list(self._by_task.items()):
            quiet = self._settings.news_ms if watch.is_started else self._settings.start_ms
            if now - max(watch.news_at, watch.asked_at) >= quiet:
                yield task, watch

    def ask_room(self, book: Book, now: int) -> None:
        """Ask the holder of one rack for room for tasks that wait, urgent ones first."""
        if self._is_paused:
            return
        due = [task for task in self._waiting if self._is_due(book, task, now)]
        if not due:
            return
        racks = self._racks.names
        if not racks:
            return
        due.sort(key=lambda task: not book.jobs[find_job(task)].urgent)
        chosen = due[: self._settings.tasks_per_ask]
        rack = self._core.rng.choice(racks)
        owner = self._racks.find_owner(rack)
        if owner is None:
            return
        wanted = []
        for task in chosen:
            watch = self.enter(task)
            watch.room_at = now + self._settings.reserve_ms
            row = book.rows[task]
            demand = book.jobs[find_job(task)].demand
            wanted.append(CapacityRequest(task, row.attempt + 1, demand, row.failed_on))
        self._core.send(owner, ReserveCapacity(rack, tuple(wanted)))

    def _is_due(self, book: Book, task: str, now: int) -> bool:
        row = book.rows.get(task)
        if row is None or row.state != "waiting":
            return False
        watch = self.enter(task)
        return not watch.is_pending and now >= watch.room_at

    def note_answer(self, answer: CapacityReserved, now: int) -> None:
        """Try refused tasks again, each time after a longer pause."""
        for ref in answer.refused:
            watch = self._by_task.get(ref.task)
            if watch is None:
                continue
            watch.refusals += 1
            pause = min(_BACKOFF_MAX_MS, _BACKOFF_MS * 2 ** min(watch.refusals, 10))
            if not answer.is_holder:
                pause = _BACKOFF_MS
            watch.room_at = now + self._core.rng.randrange(pause // 2, pause)
        for reservation in answer.reservations:
            watch = self._by_task.get(reservation.task)
            if watch is not None:
                watch.refusals = 0
