"""Tasks that may crash the workers that start them, and the jobs that are given up for it.

A crash makes each task that ran on the worker a suspect of it. The crashes under a task are kept in
the journal. A task that is a suspect already starts only when the journal names the worker's boot,
so that the next owner finds out what became of that boot.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any, Final, Protocol

from ..clock import Clock
from .const import (
    CLEARED_AFTER_MS,
    CLEARED_AT_MOST_AFTER_MS,
    COMMON_CAUSE_MIN_WORKERS,
    COMMON_CAUSE_WINDOW_MS,
    CRASH_RISK_MS,
    GIVE_UP_DELAY_MS,
    MAX_CRASHES,
    MAX_CRASHES_WITH_EXCUSED,
)
from .isolation import has_worked, is_past_crash_risk, is_repeated_suspect, may_have_begun
from .jobs import Job, Run, Task, parse_task_name
from .models import Boot
from .records import CrashRecord
from .workers import Worker

LOSSES_KEPT_MS: Final = 10_000
"""How long a lost worker is remembered to tell whether its rack was lost with it."""


class SuspectingState(Protocol):
    """What the crash suspects need of the state of a cell."""

    jobs: dict[str, Job]
    workers: dict[str, Worker]
    dirty: dict[Job, None]
    clock: Clock

    def log_decision(self, event: str, **inputs: Any) -> None:
        """Count a decision and emit it for the log."""

    def fail_job(self, task: Task, cause: str) -> None:
        """Fail the job of `task`, and log all that has led to it."""


@dataclass(frozen=True, slots=True)
class WorkerLoss:
    """A boot that has crashed; `at` is the local ms of its last answer."""

    boot: Boot
    rack: str
    at: int


class CrashSuspects:
    """The tasks under which workers have crashed.

    Attributes:
        by_task: The tasks with at least one crash that was neither cleared nor withdrawn. They stay
            when a crash is excused.
    """

    def __init__(self, state: SuspectingState) -> None:
        self._state = state
        self.by_task: dict[Task, None] = {}
        self._exposed: dict[Boot, dict[Task, None]] = {}
        self._losses: deque[WorkerLoss] = deque()
        self._are_earlier_starts_unknown = False

    def restore(
        self,
        locations: Mapping[str, Iterable[Boot]] | None,
        unbegun: set[tuple[str, Boot]] | None = None,
        worked: set[tuple[str, Boot]] | None = None,
    ) -> None:
        """Load the suspects of the journal.

        Args:
            locations: The boots of the tasks that ran at a planned hand-over; None after any other
                takeover, where only the recorded starts are known.
            unbegun: Task and boot of the runs among them that had not begun by then. The workers
                refuse their start orders, which are the previous owner's.
            worked: Task and boot of those that had worked past their risky time.
        """
        self._are_earlier_starts_unknown = locations is None
        unbegun = unbegun or set()
        for job in self._state.jobs.values():
            for task in job.list_tasks():
                if task.is_crash_suspect:
                    self.by_task[task] = None
                for boot in task.exposures:
                    if (task.name, boot) in unbegun:
                        self._remove_exposure(task, boot)
                        continue
                    self._exposed.setdefault(boot, {})[task] = None
        for name, boots in (locations or {}).items():
            running_task = self._find_task(name)
            if running_task is not None:
                begun = [boot for boot in boots if (name, boot) not in unbegun]
                self._restore_exposures(running_task, begun, worked or set())

    def _restore_exposures(
        self, task: Task, boots: Iterable[Boot], worked: set[tuple[str, Boot]]
    ) -> None:
        """Load the boots on which `task` may be running."""
        for boot in boots:
            if boot not in task.exposures:
                self._add_exposure(task, boot)
            if (task.name, boot) in worked:
                self._mark_worked(task, boot)

    def _find_task(self, name: str) -> Task | None:
        parts = parse_task_name(name)
        if parts is None:
            return None
        job = self._state.jobs.get(parts[0])
        return None if job is None or job.is_over else job.find_task(*parts[1:])

    def must_record_start(self, task: Task) -> bool:
        """Return whether the journal must name the worker before `task` is started there."""
        return task.is_crash_suspect or (task.job.is_loaded and self._are_earlier_starts_unknown)

    def may_start(self, task: Task, now: int) -> bool:
        """Return whether a waiting task may be started, as far as crashes go."""
        if not task.is_crash_suspect:
            return True
        if must_give_up(task) or now < task.may_give_up_at:
            return False
        return task.are_crashes_durable

    def expose(self, task: Task, worker: Worker) -> None:
        """Record in the journal that a run of `task` may be going on on this boot."""
        boot = worker.boot
        if boot in task.exposures or task.job.is_over:
            return
        self._add_exposure(task, boot)
        self._mark_changed(task)

    def expose_runs(self, worker: Worker) -> None:
        """Record all runs on a worker that does not answer, before its end is known."""
        for run in worker.runs.values():
            if not may_have_begun(run, worker):
                continue
            self.expose(run.task, worker)
            if is_past_crash_risk(run, worker):
                self._mark_worked(run.task, worker.boot)

    def handle_start(self, task: Task, worker: Worker) -> None:
        """Forget that an earlier run of `task` on this boot has worked: the new one has not."""
        if worker.boot in task.worked_on:
            task.worked_on = tuple(boot for boot in task.worked_on if boot != worker.boot)

    def _mark_worked(self, task: Task, boot: Boot) -> None:
        """Record that an exposed run has worked past its risky time.

        The journal gets it with the next change of the job, as no start depends on it.
        """
        if boot in task.worked_on or boot not in task.exposures:
            return
        task.worked_on = (*task.worked_on, boot)[-MAX_CRASHES:]

    def _add_exposure(self, task: Task, boot: Boot) -> None:
        task.exposures = (*task.exposures, boot)[-MAX_CRASHES:]
        self._exposed.setdefault(boot, {})[task] = None

    def end_exposure(self, task: Task, boot: Boot) -> None:
        """Record that a run of `task` on this boot has ended without a crash."""
        if boot not in task.exposures:
            return
        self._remove_exposure(task, boot)
        self._exposed.get(boot, {}).pop(task, None)

    def _remove_exposure(self, task: Task, boot: Boot) -> None:
        task.exposures = tuple(other for other in task.exposures if other != boot)
        task.worked_on = tuple(other for other in task.worked_on if other != boot)
        self._mark_changed(task)

    def _mark_changed(self, task: Task) -> None:
        if task.job.is_over:
            return
        task.job.crash_revision += 1
        task.crash_revision = task.job.crash_revision
        self._state.dirty[task.job] = None

    def handle_loss(self, worker: Worker) -> None:
        """Process a boot that is over without having ended its runs."""
        entry = worker.entry
        boot = worker.boot
        if any(loss.boot == boot for loss in self._losses):
            return
        runs = [run for run in worker.runs.values() if may_have_begun(run, worker)]
        not_begun = {run.task for run in worker.runs.values()} - {run.task for run in runs}
        risky = [run for run in runs if not _has_worked_on(run, worker)]
        exposed = {
            task: had_worked
            for task, had_worked in self._pop_exposed(boot).items()
            if task not in not_begun
        }
        if entry.is_draining:
            return
        lost_at = worker.contact_at if worker.contact_at >= 0 else self._state.clock.now()
        loss = WorkerLoss(boot, entry.rack or entry.data_centre, lost_at)
        if self._handle_common_cause(loss):
            self._excuse_runs(risky, boot)
            return
        for run in runs:
            age_ms = max(0, worker.contact_at - run.ordered_at)
            is_bystander = bool(risky) and run not in risky
            crash = CrashRecord(
                *boot,
                age_ms,
                is_only_suspect=risky == [run],
                is_bystander=is_bystander,
                is_confirmed=run.has_begun,
                run=run.number,
                had_worked=run not in risky,
            )
            self._add_crash(run.task, crash)
        for task, had_worked in exposed.items():
            self._add_crash(task, CrashRecord(*boot, had_worked=had_worked))

    def handle_new_boot(self, new: Boot) -> None:
        """Process the entry of a boot: the earlier boots under its id are over."""
        for boot in [boot for boot in self._exposed if boot[0] == new[0] and boot != new]:
            for task, had_worked in self._pop_exposed(boot).items():
                self._add_crash(task, CrashRecord(*boot, had_worked=had_worked))

    def handle_unseen_end(self, boot: Boot) -> None:
        """Process a boot that has left the list before this owner got any answer.

        Whether it crashed or left as announced is unknown, so only suspects are charged with it.
        """
        for task, had_worked in self._pop_exposed(boot).items():
            if task.is_crash_suspect:
                self._add_crash(task, CrashRecord(*boot, had_worked=had_worked))

    def handle_inventory(self, worker: Worker, is_first: bool) -> None:
        """Process an inventory after its rows: the boot has not crashed."""
        boot = worker.boot
        if is_first:
            self._handle_return(boot)
        for task in list(self._exposed.get(boot, ())):
            run = worker.runs.get(task.name)
            if run is None:
                self.end_exposure(task, boot)
            elif is_past_crash_risk(run, worker):
                self._mark_worked(task, boot)

    def _handle_return(self, boot: Boot) -> None:
        """Take back what was recorded of a boot that seemed to be lost."""
        self._losses = deque(loss for loss in self._losses if loss.boot != boot)
        self._withdraw({boot})

    def _pop_exposed(self, boot: Boot) -> dict[Task, bool]:
        """Return the exposed tasks, and for each whether its run had worked for some time."""
        tasks = {task: boot in task.worked_on for task in self._exposed.pop(boot, {})}
        for task in tasks:
            self._remove_exposure(task, boot)
        return tasks

    def _handle_common_cause(self, loss: WorkerLoss) -> bool:
        """Return whether most workers of the rack are lost with this one, as when power fails.

        The crashes that were counted for the others are taken back. Tasks that had just started
        keep their number, as crashing tasks that start together in a rack look the same.
        """
        state = self._state
        now = state.clock.now()
        while self._losses and now - self._losses[0].at > LOSSES_KEPT_MS:
            self._losses.popleft()
        self._losses.append(loss)
        together = {other.boot for other in self._losses if _is_near(other, loss.rack, loss.at)}
        lost = {worker for worker, _ in together}
        remaining = 0
        for worker in state.workers.values():
            if (worker.entry.rack or worker.entry.data_centre) != loss.rack or worker.id in lost:
                continue
            if worker.is_reachable(now):
                remaining += 1
            elif abs(worker.contact_at - loss.at) <= COMMON_CAUSE_WINDOW_MS:
                lost.add(worker.id)
        if len(lost) < COMMON_CAUSE_MIN_WORKERS or len(lost) <= remaining:
            return False
        state.log_decision("crash.common_cause", rack=loss.rack, workers=len(lost))
        for task in list(self.by_task):
            self._add_excused(
                task,
                [
                    (crash.worker, crash.boot_ms)
                    for crash in task.crashes
                    if (crash.worker, crash.boot_ms) in together and _had_just_started(crash)
                ],
            )
        self._withdraw(together)
        return True

    def _excuse_runs(self, runs: list[Run], boot: Boot) -> None:
        """Count a crash under runs that had just started, without a charge for it."""
        for run in runs:
            task = run.task
            if task.is_done or task.job.is_over:
                continue
            self._add_excused(task, [boot])
            self.by_task[task] = None
            task.may_give_up_at = self._state.clock.now() + GIVE_UP_DELAY_MS
            self._mark_changed(task)

    def _add_excused(self, task: Task, boots: list[Boot]) -> None:
        """Count crashes that are put down to another cause; only their number is kept."""
        task.excused_crashes += len(boots)
        for worker, boot_ms in boots:
            self._state.log_decision(
                "task.crash_excused",
                task=task.name,
                worker=worker,
                born=boot_ms,
                excused=task.excused_crashes,
            )

    def _withdraw(self, boots: set[Boot]) -> None:
        """Take the crashes of these boots back from all suspects."""
        for task in list(self.by_task):
            kept = tuple(c for c in task.crashes if (c.worker, c.boot_ms) not in boots)
            if len(kept) != len(task.crashes):
                self._set_crashes(task, kept)

    def _set_crashes(self, task: Task, crashes: tuple[CrashRecord, ...]) -> None:
        task.crashes = crashes
        self._mark_changed(task)
        if not task.is_crash_suspect:
            self.by_task.pop(task, None)

    def _add_crash(self, task: Task, crash: CrashRecord) -> None:
        if task.is_done or task.job.is_over or len(task.crashes) >= MAX_CRASHES_WITH_EXCUSED:
            return
        boot = (crash.worker, crash.boot_ms)
        if any((known.worker, known.boot_ms) == boot for known in task.crashes):
            return
        self._set_crashes(task, (*task.crashes, crash))
        self.by_task[task] = None
        if is_repeated_suspect(task):
            task.may_give_up_at = self._state.clock.now() + GIVE_UP_DELAY_MS
        self._state.log_decision(
            "task.crash_suspect",
            task=task.name,
            worker=crash.worker,
            born=crash.boot_ms,
            run=crash.run,
            age_ms=crash.age_ms,
            crashes=len(task.crashes),
            only_suspect=crash.is_only_suspect,
            confirmed=crash.is_confirmed,
        )

    def clear_or_give_up(self) -> None:
        """Give up the jobs of tasks that crash their workers, and clear tasks that work."""
        now = self._state.clock.now()
        for task in sorted(self.by_task, key=_may_another_explain_crash):
            if task.is_done or task.job.is_over or not task.is_crash_suspect:
                self.by_task.pop(task, None)
            elif self._is_cleared(task):
                self._state.log_decision("task.cleared", task=task.name, crashes=task.crash_count)
                task.excused_crashes = 0
                self._set_crashes(task, ())
            elif now >= task.may_give_up_at and must_give_up(task):
                self._give_up(task)

    def _is_cleared(self, task: Task) -> bool:
        """Return whether a run has worked much longer than those that crashes have ended."""
        oldest_ms = max((crash.age_ms for crash in task.crashes), default=0)
        needed_ms = max(CLEARED_AFTER_MS, min(2 * oldest_ms, CLEARED_AT_MOST_AFTER_MS))
        for run in task.runs.values():
            worker = self._state.workers.get(run.worker)
            if worker is not None and has_worked(run, worker, needed_ms):
                return True
        return False

    def _give_up(self, task: Task) -> None:
        """Fail the job of `task`, whose crashes need no other explanation."""
        crashes = task.crashes
        self._state.log_decision(
            "task.given_up",
            task=task.name,
            job=task.job.id,
            crashes=task.crash_count,
            workers=[crash.worker for crash in crashes],
        )
        self._state.fail_job(task, "crashes")
        self.by_task.pop(task, None)
        self._excuse({(crash.worker, crash.boot_ms) for crash in crashes})

    def _excuse(self, boots: set[Boot]) -> None:
        """Put the crashes of these boots down to a task that was given up, for all others.

        A task that had just started then keeps their number, as it may crash its workers too.
        """
        for task in list(self.by_task):
            self._add_excused(
                task,
                [
                    (crash.worker, crash.boot_ms)
                    for crash in task.crashes
                    if (crash.worker, crash.boot_ms) in boots and not crash.is_bystander
                ],
            )
        self._withdraw(boots)


def _is_near(loss: WorkerLoss, rack: str, at: int) -> bool:
    return loss.rack == rack and abs(loss.at - at) <= COMMON_CAUSE_WINDOW_MS


def _has_worked_on(run: Run, worker: Worker) -> bool:
    """Return whether this owner or an earlier one has seen `run` work past its risky time."""
    return is_past_crash_risk(run, worker) or worker.boot in run.task.worked_on


def _had_just_started(crash: CrashRecord) -> bool:
    is_age_known = crash.is_only_suspect or crash.is_confirmed
    return is_age_known and crash.age_ms < CRASH_RISK_MS


def _may_another_explain_crash(task: Task) -> bool:
    """Return whether the last crash under `task` may be put down to a task beside it.

    Tasks of which this is not so are given up first, as their crashes are then taken back from all
    others.
    """
    return not (task.crashes and task.crashes[-1].is_only_suspect)


def must_give_up(task: Task) -> bool:
    """Return whether the crashes under `task` are certainly, or too often, its own.

    What crashes its worker mostly does so at its start. A crash under a run that had worked says
    little, as workers also crash by themselves, so it counts only for the largest number.
    """
    at_start = [crash for crash in task.crashes if not (crash.is_bystander or crash.had_worked)]
    if len(at_start) >= MAX_CRASHES:
        return True
    if len(task.crashes) + task.excused_crashes >= MAX_CRASHES_WITH_EXCUSED:
        return True
    if not at_start or not task.crashes[-1].is_only_suspect:
        return False
    return len(at_start) + task.excused_crashes >= MAX_CRASHES
