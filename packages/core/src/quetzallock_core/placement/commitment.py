"""Committed resources of one worker; no other code sums them up."""

from dataclasses import dataclass
from typing import Final

from ..workers.const import RUNNING
from ..workers.models import NOTHING, Resources, TaskStatus

_FREE_CAPACITY_CACHE_MS: Final = 60_000
"""Longest time for which a computed free capacity is cached."""


@dataclass(frozen=True, slots=True)
class _ReservedCapacity:
    """Capacity reserved for an attempt.

    Attributes:
        expires_at: Local time at which it expires, None if it depends on the worker's clock.
        until_clock_ms: Time on the worker's clock at which it expires otherwise.
    """

    demand: Resources
    expires_at: int | None = None
    until_clock_ms: int = 0


class Commitment:
    """Running tasks, reservations and free capacity of one worker.

    A task counts with the larger of its declared demand and its measured usage; a reservation
    counts until it expires or the worker reports the task.
    """

    def __init__(self) -> None:
        self.tasks: dict[str, TaskStatus] = {}
        self._capacity = NOTHING
        self._backend_reserve = NOTHING
        self._reservations: dict[str, _ReservedCapacity] = {}
        self._free: Resources | None = None
        self._free_valid_until = 0

    @property
    def capacity(self) -> Resources:
        """Total resources of the worker."""
        return self._capacity

    @capacity.setter
    def capacity(self, capacity: Resources) -> None:
        self._capacity = capacity
        self._free = None

    @property
    def backend_reserve(self) -> Resources:
        """Resources reserved for the backend server."""
        return self._backend_reserve

    @backend_reserve.setter
    def backend_reserve(self, backend_reserve: Resources) -> None:
        self._backend_reserve = backend_reserve
        self._free = None

    def replace_tasks(self, statuses: tuple[TaskStatus, ...]) -> None:
        """Replace the list of tasks by `statuses`."""
        self.tasks = {}
        self.merge_tasks(statuses)

    def merge_tasks(self, statuses: tuple[TaskStatus, ...]) -> None:
        """Record changed statuses and drop the reservations of their tasks."""
        self._free = None
        for status in statuses:
            self.tasks[status.task] = status
            self._reservations.pop(status.task, None)

    def remove_task(self, task: str, attempt: int) -> None:
        """Remove an acknowledged attempt unless it runs."""
        status = self.tasks.get(task)
        if status is not None and status.attempt == attempt and status.state != RUNNING:
            del self.tasks[task]
            self._free = None

    def get_free_capacity(self, now: int) -> Resources:
        """Return the resources neither used nor reserved at `now`; amounts may be negative.

        The backend reserve counts as reserved.
        """
        if self._free is None or now >= self._free_valid_until:
            self._free = self._compute_free_capacity(now)
        return self._free

    def _compute_free_capacity(self, now: int) -> Resources:
        free = self.capacity - self.backend_reserve
        for status in self.tasks.values():
            if status.state == RUNNING:
                free -= status.demand.max_with(status.used)
        self._free_valid_until = now + _FREE_CAPACITY_CACHE_MS
        for task, reservation in list(self._reservations.items()):
            if reservation.expires_at is not None and now >= reservation.expires_at:
                del self._reservations[task]
                continue
            free -= reservation.demand
            if reservation.expires_at is not None:
                self._free_valid_until = min(self._free_valid_until, reservation.expires_at)
        return free

    @property
    def is_over_capacity(self) -> bool:
        """Whether the backend reserve and the demands of running tasks exceed the capacity."""
        free = self.capacity - self.backend_reserve
        for status in self.tasks.values():
            if status.state == RUNNING:
                free -= status.demand
        return not NOTHING.fits(free)

    def reserve(self, task: str, demand: Resources, now: int, ttl: int) -> bool:
        """Reserve capacity for `ttl` ms; return False if there is not enough."""
        return self._add_reservation(task, _ReservedCapacity(demand, now + ttl), now)

    def commit(self, task: str, demand: Resources, now: int, until: int) -> bool:
        """Reserve capacity for a start that the worker accepts while its clock is before `until`.

        The answer to the start may be lost, so the capacity stays reserved until the worker
        reports the task or its clock has reached `until`.
        """
        return self._add_reservation(task, _ReservedCapacity(demand, until_clock_ms=until), now)

    def _add_reservation(self, task: str, reservation: _ReservedCapacity, now: int) -> bool:
        old = self._reservations.pop(task, None)
        if old is not None:
            self._free = None
        free = self.get_free_capacity(now)
        if reservation.demand.fits(free):
            self._reservations[task] = reservation
            self._free = free - reservation.demand
            if reservation.expires_at is not None:
                self._free_valid_until = min(self._free_valid_until, reservation.expires_at)
            return True
        if old is not None and old.expires_at is None:
            self._reservations[task] = old
            self._free = None
        return False

    def expire_starts(self, clock: int) -> None:
        """Drop reservations for starts that the worker refuses once its clock shows `clock`."""
        for task, reservation in list(self._reservations.items()):
            if reservation.expires_at is None and clock >= reservation.until_clock_ms:
                del self._reservations[task]
                self._free = None

    def is_running(self, task: str, attempt: int) -> bool:
        """Return whether the worker reported the attempt as running."""
        status = self.tasks.get(task)
        return status is not None and status.attempt == attempt and status.state == RUNNING

    def choose_eviction(self) -> TaskStatus | None:
        """Return the running task with the least progress, or None."""
        running = [status for status in self.tasks.values() if status.state == RUNNING]
        return min(running, key=lambda status: (status.progress_ms, status.task), default=None)
