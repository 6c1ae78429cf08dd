"""Follows long-running tasks from the end of a run to the next start, to name what took longest.

The time without a run has four parts: until the owner sees that the run is
over, until the owner may start the task again, until a worker has capacity for it, and until the
worker confirms the start.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final, Protocol

from ..clock import Clock
from .const import MAX_FOLLOWED_INTERRUPTIONS
from .drains import Drains
from .jobs import Run, Task
from .models import Boot
from .run_ends import EndProof
from .unverified import UnverifiedWorkers
from .workers import Worker

RESUMED_EVENT: Final = "task.resumed"

END_UNSEEN: Final = "end_unseen"
OWNER_WAIT: Final = "owner_wait"
CAPACITY_WAIT: Final = "capacity_wait"
START_UNCONFIRMED: Final = "start_unconfirmed"

BEFORE_TAKEOVER: Final = "before_takeover"
"""How the last run has ended of a task that waits when an owner takes the cell over."""

_STOPPED: Final = "stopped"
_LISTED: Final = EndProof.LISTED
_FROM_INVENTORY: Final = (_LISTED, EndProof.VANISHED)
"""Ends that an inventory has shown."""


class InterruptedState(Protocol):
    """What the interruptions need of the state of a cell."""

    workers: dict[str, Worker]
    clock: Clock
    unverified: UnverifiedWorkers
    drains: Drains

    def log_decision(self, event: str, **inputs: Any) -> None:
        """Count a decision and emit it for the log."""


@dataclass(slots=True, eq=False)
class Interruption:
    """A long-running task that has run and has no confirmed run.

    Attributes:
        task: The task.
        worker: Id of the worker that its last run was on; empty if this owner does not know it.
        how: How the end of that run was seen.
        drained_ms: For how long that worker was known to be draining then; -1 if it was not.
        began_at: Local ms of the earliest time at which that run may have ended.
        waits_from: Local ms since which the task waits for a start order.
        blocked_ms: The time without permission to start, as counted at `waits_from`.
        run: The run that is ordered and not confirmed, if any.
        starts: Number of runs that were ordered.
        reason: Why it waited, as reported last; empty if it was not among the reported tasks.
        obstacles: Number of workers by what kept the task from them then.
        parts_ms: How long each part has taken.
    """

    task: Task
    worker: str
    how: str
    drained_ms: int
    began_at: int
    waits_from: int
    blocked_ms: int
    run: Run | None = None
    starts: int = 0
    reason: str = ""
    obstacles: Mapping[str, int] = field(default_factory=dict)
    parts_ms: dict[str, int] = field(
        default_factory=lambda: dict.fromkeys(
            (END_UNSEEN, OWNER_WAIT, CAPACITY_WAIT, START_UNCONFIRMED), 0
        )
    )

    def end_start(self, now: int) -> None:
        """Count the time of the start order that was confirmed now, or has failed."""
        if self.run is not None:
            self.parts_ms[START_UNCONFIRMED] += now - self.run.ordered_at
            self.run = None

    def describe(self, now: int) -> dict[str, object]:
        """Return the fields that log lines have of it."""
        return {
            "task": self.task.name,
            "worker": self.worker,
            "how": self.how,
            "drained_ms": self.drained_ms,
            "after_ms": now - self.began_at,
            "parts_ms": self.parts_ms,
            "longest": max(self.parts_ms, key=lambda part: self.parts_ms[part]),
            "starts": self.starts,
            "reason": self.reason,
            "obstacles": dict(self.obstacles),
        }


class Interruptions:
    """The long-running tasks of a cell that wait for another run, oldest first.

    They are not in the journal: a new owner counts the waits of the tasks that it finds without a
    run from its takeover on.
    """

    def __init__(self, state: InterruptedState) -> None:
        self._state = state
        self._by_task: dict[Task, Interruption] = {}
        self._restored_at = self._updated_at = state.clock.now()
        self._is_blocked = False
        self._blocked_ms = 0
        self._unseen_from = 0
        self._pending_boots: set[Boot] = set()
        self._verified: dict[Boot, tuple[int, int]] = {}
        self._all_verified = (-1, 0)

    def handle_restored(self) -> None:
        """Record that the journal was loaded; nothing is started before the first tick."""
        self._restored_at = self._updated_at = self._state.clock.now()
        self._is_blocked = True
        self._pending_boots = set(self._state.unverified.by_boot)

    def update(self, may_start: bool) -> None:
        """Count the time without permission to start tasks, and record which boots are verified."""
        now = self._state.clock.now()
        self._blocked_ms = self._measure_blocked(now)
        self._updated_at = now
        self._is_blocked = not may_start
        if not self._pending_boots:
            return
        verified = self._pending_boots - self._state.unverified.by_boot.keys()
        self._verified.update(dict.fromkeys(verified, (now, self._blocked_ms)))
        self._pending_boots -= verified
        if not self._pending_boots:
            self._all_verified = (now, self._blocked_ms)

    def _measure_blocked(self, now: int) -> int:
        return self._blocked_ms + (now - self._updated_at if self._is_blocked else 0)

    def handle_inventory(self, worker: Worker) -> None:
        """Note, before an inventory is processed, since when an end that it shows may be unseen.

        A poll that is answered in time shows an end at once.
        """
        is_late = worker.is_poll_unanswered and worker.inventory_at >= 0
        self._unseen_from = worker.inventory_at if is_late else self._state.clock.now()

    def handle_end(self, run: Run, how: str) -> None:
        """Process that a run is about to be removed, whose end was seen as `how` says."""
        task = run.task
        if not task.spec.lasting or task.is_done or task.job.is_over:
            return
        known = self._by_task.get(task)
        if known is not None:
            if known.run is run:
                self._wait_again(known)
            return
        if not run.has_begun or len(task.runs) > 1:
            return
        now = self._state.clock.now()
        worker = self._state.workers.get(run.worker)
        began_at = self._find_last_sight(worker, how, now)
        is_stopped = run.state == "stopping" and how == _LISTED
        self._add(
            Interruption(
                task,
                run.worker,
                _STOPPED if is_stopped else how,
                -1 if worker is None else self._state.drains.measure_ms(worker),
                began_at,
                waits_from=now,
                blocked_ms=self._measure_blocked(now),
            )
        ).parts_ms[END_UNSEEN] = now - began_at

    def _find_last_sight(self, worker: Worker | None, how: str, now: int) -> int:
        """Return the local ms of the earliest time at which a run that is over may have ended."""
        if how in _FROM_INVENTORY:
            return self._unseen_from
        if worker is None or worker.contact_at < 0:
            return now
        return worker.contact_at

    def _wait_again(self, interruption: Interruption) -> None:
        """Process that an ordered run is over without a confirmation."""
        now = self._state.clock.now()
        interruption.end_start(now)
        interruption.waits_from = now
        interruption.blocked_ms = self._measure_blocked(now)

    def _add(self, interruption: Interruption) -> Interruption:
        self._by_task[interruption.task] = interruption
        if len(self._by_task) > MAX_FOLLOWED_INTERRUPTIONS:
            oldest = next(iter(self._by_task))
            del self._by_task[oldest]
            self._state.log_decision("task.interruption_dropped", task=oldest.name)
        return interruption

    def _find(self, task: Task) -> Interruption | None:
        """Return the interruption of a waiting task, also if it has begun before the takeover."""
        known = self._by_task.get(task)
        if known is not None or not task.has_run:
            return known
        if not task.spec.lasting or not task.job.is_loaded:
            return None
        boots = self._find_locations(task)
        return self._add(
            Interruption(
                task,
                boots[-1][0] if boots else "",
                BEFORE_TAKEOVER,
                -1,
                self._restored_at,
                waits_from=self._restored_at,
                blocked_ms=0,
            )
        )

    def measure_away_ms(self, task: Task) -> int | None:
        """Return for how long a task may have been without a run; None if that is not known.

        A new owner does not know it of the tasks that it finds without a run.
        """
        known = self._by_task.get(task)
        if known is None or known.how == BEFORE_TAKEOVER:
            return None
        return self._state.clock.now() - known.began_at

    def _find_locations(self, task: Task) -> tuple[Boot, ...]:
        return (self._state.unverified.locations or {}).get(task.name, ())

    def handle_waiting(self, task: Task, reason: str, obstacles: Mapping[str, int]) -> None:
        """Note why a task waits, as it was reported."""
        interruption = self._find(task)
        if interruption is not None:
            interruption.reason = reason
            interruption.obstacles = obstacles

    def handle_run(self, run: Run) -> None:
        """Process a run that is about to be added: one that was ordered, or found on a worker."""
        if not run.task.spec.lasting:
            return
        if run.is_listed:
            self.handle_confirmed(run)
        if run.state != "ordered":
            return
        interruption = self._find(run.task)
        if interruption is None or interruption.run is not None:
            return
        interruption.run = run
        interruption.starts += 1
        now = self._state.clock.now()
        waited_ms = now - interruption.waits_from
        owner_ms = min(waited_ms, self._measure_owner_wait(interruption, now))
        interruption.parts_ms[OWNER_WAIT] += owner_ms
        interruption.parts_ms[CAPACITY_WAIT] += waited_ms - owner_ms

    def _measure_owner_wait(self, interruption: Interruption, now: int) -> int:
        """Return for how long a task that may start now could not, whatever capacity was free."""
        verified_at, blocked_ms = self._find_verified(interruption.task, now)
        unverified_ms = verified_at - interruption.waits_from
        if unverified_ms <= 0:
            return self._measure_blocked(now) - interruption.blocked_ms
        return unverified_ms + self._measure_blocked(now) - blocked_ms

    def _find_verified(self, task: Task, now: int) -> tuple[int, int]:
        """Return when the last boot that might run a task was verified, and the blocked time then.

        Boots that were verified after the last update count as verified now.
        """
        if not task.job.is_loaded:
            return -1, 0
        if self._state.unverified.locations is None:
            is_pending = bool(self._pending_boots)
            return (now, self._measure_blocked(now)) if is_pending else self._all_verified
        boots = self._find_locations(task)
        if not self._pending_boots.isdisjoint(boots):
            return now, self._measure_blocked(now)
        return max((self._verified.get(boot, (-1, 0)) for boot in boots), default=(-1, 0))

    def handle_confirmed(self, run: Run) -> None:
        """Process that a run goes on, and report the interruption that it ends."""
        interruption = self._by_task.pop(run.task, None)
        if interruption is None:
            return
        now = self._state.clock.now()
        is_adopted = interruption.run is not run
        if interruption.run is None:
            interruption.parts_ms[START_UNCONFIRMED] += now - interruption.waits_from
        interruption.end_start(now)
        self._state.log_decision(
            RESUMED_EVENT,
            on=run.worker,
            run=run.number,
            adopted=is_adopted,
            **interruption.describe(now),
        )

    def forget(self, task: Task) -> None:
        """Drop the interruption of a task that is not to run any more."""
        self._by_task.pop(task, None)
