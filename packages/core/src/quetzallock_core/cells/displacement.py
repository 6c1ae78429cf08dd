"""Keeps capacity for long-running tasks that have lost their worker, or are about to.

For loads under which short tasks wait: each piece that becomes free goes to the next of them, so
that enough for a long-running task is hardly ever free on one worker.
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from itertools import chain
from typing import Final

from .const import ROOM_SEARCH_PAUSE_MS, TAKEOVER_SETTLE_MS
from .jobs import Run, Task
from .migration import count_movable, is_movable, keep_known
from .room import RoomMaking
from .scheduler import may_start
from .state import CellState
from .vacancies import MAX_EXPECTED_WAIT_MS, Vacancy, VacancySearch
from .workers import Worker

KEPT_MS: Final = 4_000
"""How long capacity is kept for a task: longer than the expected wait, as runs may end late."""

EXPIRED_PAUSE_MS: Final = 1_000
"""How long no capacity is kept for a task that has not used what was kept for it."""

SEARCHES_EVENT: Final = "displaced.searches"

REPORT_INTERVAL_MS: Final = 1_000
"""Minimum time between two reports of the outcomes of searches."""

MAX_TASKS_SEARCHED: Final = 8
"""Maximum number of tasks for which one tick searches, as the owner does nothing else meanwhile."""


class Displacement:
    """Keeps capacity of one cell for its displaced tasks.

    These are long-running tasks that ran and have no run, or whose run is on a worker that drains
    or does not answer.
    """

    def __init__(self, state: CellState) -> None:
        self._state = state
        self._search_after: dict[Task, int] = {}
        self._outcomes: Counter[str] = Counter()
        self._reported_at = 0
        self._room_making = RoomMaking(state, self._outcomes)

    def handle_expired(self, tasks: Iterable[Task]) -> None:
        """Keep nothing for tasks that have not used their capacity, until others could."""
        search_at = self._state.clock.now() + EXPIRED_PAUSE_MS
        for task in tasks:
            self._search_after[task] = search_at
            self._outcomes["expired"] += 1

    def update(self) -> None:
        """Move tasks to the capacity that is kept for them, and keep more where it is needed."""
        now = self._state.clock.now()
        reserved = self._list_reserved_runs()
        if reserved:
            self._move_or_release(reserved, now)
        tasks = self._list_tasks(now)
        self._state.displaced = find_kinds(chain(tasks, self._list_expected(now)))
        is_settled = now >= self._state.restored_at + TAKEOVER_SETTLE_MS
        self._state.knows_displaced |= is_settled or not self._state.unverified.by_boot
        without_vacancy = self._reserve(tasks, now)
        if self._state.knows_displaced:
            self._room_making.make(without_vacancy, now)
        self._report(tasks, now)

    def _report(self, tasks: list[Task], now: int) -> None:
        """Log the outcomes of the searches since the last report, if that is long enough ago."""
        if not self._outcomes or now - self._reported_at < REPORT_INTERVAL_MS:
            return
        self._reported_at = now
        self._state.log_decision(
            SEARCHES_EVENT,
            without_run=sum(not task.runs for task in tasks),
            on_lost_workers=sum(bool(task.runs) for task in tasks),
            reserved=len(self._state.reservations.by_task),
            outcomes=dict(self._outcomes),
        )
        self._outcomes.clear()

    def _reserve(self, tasks: list[Task], now: int) -> list[Task]:
        """Keep capacity that is about to become free for some of the displaced `tasks`.

        Those searched for longest ago come first, as the first ones would keep it from the others.

        Returns:
            Those for which no worker will soon have enough.
        """
        self._search_after = keep_known(self._search_after, set(tasks))
        due = [task for task in tasks if self._search_after.get(task, 0) <= now]
        due.sort(key=lambda task: self._search_after.get(task, 0))
        not_found: list[Task] = []
        if not due:
            return not_found
        search = VacancySearch(self._state, now)
        for task in due:
            if search.count == MAX_TASKS_SEARCHED:
                break
            vacancy = search.find(task)
            self._outcomes["no_vacancy" if vacancy is None else "reserved"] += 1
            if vacancy is None:
                self._search_after[task] = now + ROOM_SEARCH_PAUSE_MS
                not_found.append(task)
            else:
                search.take(vacancy)
                self._reserve_vacancy(task, vacancy, now)
        return not_found

    def _reserve_vacancy(self, task: Task, vacancy: Vacancy, now: int) -> None:
        state = self._state
        if vacancy.kept_for is not None:
            state.reservations.release(vacancy.kept_for)
        expires_at = now + KEPT_MS
        state.reservations.reserve_for_waiting(task, vacancy.worker, vacancy.awaited, expires_at)
        state.log_decision(
            "task.reserved",
            task=task.name,
            worker=vacancy.worker.id,
            awaited=len(vacancy.awaited),
            expected_in_ms=int(max(0, vacancy.at - now)),
            runs=len(task.runs),
        )

    def _list_tasks(self, now: int) -> list[Task]:
        """Return the displaced tasks without a reservation, those without a run first."""
        reserved = self._state.reservations.by_task
        return [
            task
            for tasks in (list_interrupted(self._state, now), self._list_on_lost_workers(now))
            for task in tasks
            if task not in reserved
        ]

    def _list_on_lost_workers(self, now: int) -> Iterator[Task]:
        """Yield the tasks with a run on a worker that drains, or whose lease is about to lapse."""
        left_by_step: Counter[object] = Counter()
        for worker in self._state.workers.values():
            if not worker.lasting_count or not _is_lost(worker, now):
                continue
            for run in worker.runs.values():
                task = run.task
                if task.is_crash_suspect or not is_movable(run, self._state):
                    continue
                if left_by_step[task.step] < count_movable(task.step):
                    left_by_step[task.step] += 1
                    yield task

    def _list_expected(self, now: int) -> list[Task]:
        """Return tasks that may be without a run, though it is too early to start them elsewhere.

        They are on workers that do not answer, or may be on unverified ones. New tasks that start
        meanwhile would take the capacity that they need once the leases have lapsed. Where less
        than half of a pool is committed, there is enough for both.
        """
        tasks = [*self._list_on_silent_workers(now), *self._list_unverified()]
        if not tasks:
            return tasks
        services = find_busy_services(self._state.workers.values(), now)
        reserved = self._state.reservations.by_task
        return [t for t in tasks if t.job.policy.service in services and t not in reserved]

    def _list_on_silent_workers(self, now: int) -> Iterator[Task]:
        """Yield the long-running tasks with a run on a worker that does not answer any more."""
        for worker in self._state.workers.values():
            if not worker.lasting_count or worker.contact_at < 0 or worker.is_reachable(now):
                continue
            for run in worker.runs.values():
                if is_movable(run, self._state):
                    yield run.task

    def _list_unverified(self) -> Iterator[Task]:
        """Yield the tasks that have run before, and may be running on an unverified worker."""
        unverified = self._state.unverified
        if not unverified.by_boot:
            return
        for step in self._state.open_steps:
            if not step.spec.lasting or step.spec.gang or not step.job.has_started:
                continue
            for task in step.tasks:
                if _is_interrupted(task) and unverified.may_be_running(task):
                    yield task

    def _list_reserved_runs(self) -> list[Run]:
        """Return the runs whose tasks have capacity elsewhere, and have not begun to move there."""
        return [
            next(iter(task.runs.values()))
            for task, reservation in self._state.reservations.by_task.items()
            if reservation.moved_run is None and task.runs
        ]

    def _move_or_release(self, runs: list[Run], now: int) -> None:
        """Stop the runs that can go on elsewhere, and release what is not needed any more."""
        state = self._state
        placement = state.make_placement()
        for run in runs:
            worker = state.workers.get(run.worker)
            if worker is None or not is_movable(run, state) or not _is_lost(worker, now):
                state.reservations.release(run.task)
                continue
            if not worker.is_reachable(now) or not count_movable(run.task.step):
                continue
            target = state.reservations.find_usable(run.task, placement, now)
            if target is not None:
                state.reservations.reserve_for_move(run, target, now + KEPT_MS)
                state.stop_run(run, "worker is leaving")
                state.drains.handle_search([run], allowed=1, moved=1)


def list_interrupted(state: CellState, now: int) -> Iterator[Task]:
    """Yield the waiting long-running tasks that have run before, but those of gangs."""
    for step in state.open_steps:
        if not step.spec.lasting or step.spec.gang or step.has_no_waiting_task:
            continue
        if not step.job.has_started:
            continue
        for task in step.tasks:
            if _is_interrupted(task) and may_start(state, task, now):
                yield task


def find_kinds(tasks: Iterable[Task]) -> list[Task]:
    """Return the smallest of `tasks`: for each other one, one that fits wherever it does."""
    kinds: defaultdict[object, list[Task]] = defaultdict(list)
    for task in sorted(tasks, key=lambda task: task.spec.needs.cpu):
        spec = task.spec
        step = task.step if spec.max_per_worker else None
        smaller = kinds[task.job.policy.service, spec.required_label, step]
        if not any(other.spec.needs.fits_in(spec.needs) for other in smaller):
            smaller.append(task)
    return [task for same in kinds.values() for task in same]


def find_busy_services(workers: Iterable[Worker], now: int) -> set[str]:
    """Return the pools in which at least half of the CPU of the usable workers is committed."""
    spare_cpu: Counter[str] = Counter()
    for worker in workers:
        if worker.can_accept_task(now):
            spare_cpu[worker.entry.service] += worker.entry.capacity.cpu - 2 * worker.committed.cpu
    return {service for service, cpu in spare_cpu.items() if cpu <= 0}


def _is_interrupted(task: Task) -> bool:
    """Return whether `task` waits for its next run."""
    return task.is_waiting and task.has_run and not task.is_crash_suspect


def _is_lost(worker: Worker, now: int) -> bool:
    """Return whether the tasks on `worker` will soon need another one."""
    if worker.is_reachable(now):
        return worker.entry.is_draining
    return worker.contact_at >= 0 and worker.compute_lapse_at() - now <= MAX_EXPECTED_WAIT_MS
