"""What one worker is committed to: the one place where its commitments are added up."""

from dataclasses import dataclass

from ..workers.const import RUNNING
from ..workers.models import NOTHING, Resources, TaskStatus


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
        self.capacity = NOTHING
        self.set_aside = NOTHING
        self.tasks: dict[str, TaskStatus] = {}
        self._reserved: dict[str, _Reserved] = {}

    def replace_tasks(self, statuses: tuple[TaskStatus, ...]) -> None:
        """Take `statuses` for the whole list of tasks."""
        self.tasks = {}
        self.merge_tasks(statuses)

    def merge_tasks(self, statuses: tuple[TaskStatus, ...]) -> None:
        """Take in changed statuses."""
        for status in statuses:
            self.tasks[status.task] = status
            self._reserved.pop(status.task, None)

    def forget_task(self, task: str, attempt: int) -> None:
        """Drop an acknowledged attempt."""
        status = self.tasks.get(task)
        if status is not None and status.attempt == attempt and status.state != RUNNING:
            del self.tasks[task]

    def find_room(self, now: int) -> Resources:
        """Return what is neither set aside, used nor reserved at `now`."""
        room = self.capacity - self.set_aside
        for status in self.tasks.values():
            if status.state == RUNNING:
                room -= status.demand.cover(status.used)
        for task, reserved in list(self._reserved.items()):
            if reserved.expires is not None and now >= reserved.expires:
                del self._reserved[task]
            else:
                room -= reserved.demand
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
        if reserved.demand.fits(self.find_room(now)):
            self._reserved[task] = reserved
            return True
        if old is not None and old.expires is None:
            self._reserved[task] = old
        return False

    def expire_starts(self, clock: int) -> None:
        """Drop room for starts that the worker refuses now that it shows `clock`."""
        for task, reserved in list(self._reserved.items()):
            if reserved.expires is None and clock >= reserved.until:
                del self._reserved[task]

    def is_running(self, task: str, attempt: int) -> bool:
        """Tell whether the attempt is known to run."""
        status = self.tasks.get(task)
        return status is not None and status.attempt == attempt and status.state == RUNNING

    def pick_victim(self) -> TaskStatus | None:
        """Return the running task that has done the least work, or None."""
        running = [status for status in self.tasks.values() if status.state == RUNNING]
        return min(running, key=lambda status: (status.progress_ms, status.task), default=None)
