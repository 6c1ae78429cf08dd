"""What one worker is committed to: the one place where its commitments are added up."""

from dataclasses import dataclass
from typing import Final

from ..workers.const import RUNNING
from ..workers.models import NOTHING, Resources, TaskStatus

_ROOM_MS: Final = 60_000


@dataclass(frozen=True, slots=True)
class _Reserved:
    """Room for an attempt until the local time `expires`, or the worker's clock `until`."""

    demand: Resources
    expires: int | None = None
    until: int = 0


class Commitment:
    """Commitments of one worker, in resources.

    A task counts with the larger of what it declared and what it was seen to use; a reservation
    counts until it expires or the task shows up.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, TaskStatus] = {}
        self._capacity = NOTHING
        self._set_aside = NOTHING
        self._reserved: dict[str, _Reserved] = {}
        self._room: Resources | None = None
        self._room_until = 0

    @property
    def capacity(self) -> Resources:
        """What the worker has."""
        return self._capacity

    @capacity.setter
    def capacity(self, capacity: Resources) -> None:
        self._capacity = capacity
        self._room = None

    @property
    def set_aside(self) -> Resources:
        """What is kept for the backend server."""
        return self._set_aside

    @set_aside.setter
    def set_aside(self, set_aside: Resources) -> None:
        self._set_aside = set_aside
        self._room = None

    def replace_tasks(self, statuses: tuple[TaskStatus, ...]) -> None:
        """Take `statuses` for the whole list of tasks."""
        self.tasks = {}
        self.merge_tasks(statuses)

    def merge_tasks(self, statuses: tuple[TaskStatus, ...]) -> None:
        """Take in changed statuses."""
        self._room = None
        for status in statuses:
            self.tasks[status.task] = status
            self._reserved.pop(status.task, None)

    def forget_task(self, task: str, attempt: int) -> None:
        """Drop an acknowledged attempt."""
        status = self.tasks.get(task)
        if status is not None and status.attempt == attempt and status.state != RUNNING:
            del self.tasks[task]
            self._room = None

    def get_free_capacity(self, now: int) -> Resources:
        """Return what is neither set aside, used nor reserved at `now`."""
        if self._room is None or now >= self._room_until:
            self._room = self._add_up(now)
        return self._room

    def _add_up(self, now: int) -> Resources:
        room = self.capacity - self.set_aside
        for status in self.tasks.values():
            if status.state == RUNNING:
                room -= status.demand.max_with(status.used)
        self._room_until = now + _ROOM_MS
        for task, reserved in list(self._reserved.items()):
            if reserved.expires is not None and now >= reserved.expires:
                del self._reserved[task]
                continue
            room -= reserved.demand
            if reserved.expires is not None:
                self._room_until = min(self._room_until, reserved.expires)
        return room

    @property
    def is_over_capacity(self) -> bool:
        """Whether running tasks and what is set aside declare more than the worker has."""
        room = self.capacity - self.set_aside
        for status in self.tasks.values():
            if status.state == RUNNING:
                room -= status.demand
        return not NOTHING.fits(room)

    def reserve(self, task: str, demand: Resources, now: int, ttl: int) -> bool:
        """Reserve room for `ttl` ms, or return False where there is none."""
        return self._enter(task, _Reserved(demand, now + ttl), now)

    def commit(self, task: str, demand: Resources, now: int, until: int) -> bool:
        """Reserve room for a start that the worker accepts while its clock is before `until`.

        The answer to the start may be lost, so the room stays taken until the task shows up or
        the worker's clock rules the start out.
        """
        return self._enter(task, _Reserved(demand, until=until), now)

    def _enter(self, task: str, reserved: _Reserved, now: int) -> bool:
        old = self._reserved.pop(task, None)
        if old is not None:
            self._room = None
        room = self.get_free_capacity(now)
        if reserved.demand.fits(room):
            self._reserved[task] = reserved
            self._room = room - reserved.demand
            if reserved.expires is not None:
                self._room_until = min(self._room_until, reserved.expires)
            return True
        if old is not None and old.expires is None:
            self._reserved[task] = old
            self._room = None
        return False

    def expire_starts(self, clock: int) -> None:
        """Drop room for starts that the worker refuses now that it shows `clock`."""
        for task, reserved in list(self._reserved.items()):
            if reserved.expires is None and clock >= reserved.until:
                del self._reserved[task]
                self._room = None

    def is_running(self, task: str, attempt: int) -> bool:
        """Tell whether the attempt is known to run."""
        status = self.tasks.get(task)
        return status is not None and status.attempt == attempt and status.state == RUNNING

    def pick_victim(self) -> TaskStatus | None:
        """Return the running task that has done the least work, or None."""
        running = [status for status in self.tasks.values() if status.state == RUNNING]
        return min(running, key=lambda status: (status.progress_ms, status.task), default=None)
