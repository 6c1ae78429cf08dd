"""Starts waiting tasks and copies of stragglers."""

from collections import defaultdict, deque
from collections.abc import Iterator
from typing import Final

from .const import MIN_COPY_AGE_MS, ORDER_TIMEOUT_MS, STRAGGLER_FACTOR
from .contests import Contest, FairShares, WaitingStep, compute_service
from .descriptions import describe_kind
from .jobs import Run, StepRun, Task
from .ordering import ORDERS
from .orders import StartRun
from .outlooks import Outlooks
from .placement import Placement, can_place
from .run_ends import EndProof
from .state import CellState
from .workers import Worker

STARTED_EVENT: Final = "tasks.started"
"""Decision that tasks of a step start; its inputs tell the kind of step and how long it waited."""


def may_start(state: CellState, task: Task, now: int) -> bool:
    """Return whether a waiting task may be started now, if there is a worker."""
    if now < task.not_before or state.unverified.may_be_running(task):
        return False
    if not state.ended_runs.may_start(task) or not state.crashes.may_start(task, now):
        return False
    if task.spec.lasting:
        return True
    return task.attempts < task.job.policy.max_attempts


def takes_room_of_displaced(state: CellState, task: Task, worker: Worker, now: int) -> bool:
    """Return whether a new long-running task would take the room of a displaced one.

    Right after a takeover, the runs on workers that drain are not known yet, so none is started.
    """
    if task.has_run or not task.spec.lasting or task.spec.fills:
        return False
    if not state.knows_displaced or state.spare_room.is_taken_by(task, worker):
        return True
    return any(can_place(displaced, worker, now) for displaced in state.displaced)


class Scheduler:
    """Starts the tasks of one cell on its workers."""

    def __init__(self, state: CellState, order: str) -> None:
        self._state = state
        self._order = ORDERS.get(order)
        self._outlooks = Outlooks(state.durations)
        self._fair_shares = FairShares(state)
        self._unsent: list[Run] = []

    def start_waiting_tasks(self) -> None:
        """Start all waiting tasks for which there is a worker, in the order of the policy."""
        self._state.start_window.begin_round(self._state.clock.now())
        self._start_tasks_of(list(self._state.open_steps))

    def start_urgent_tasks(self) -> None:
        """Start the same but the best-effort tasks, so that others need not wait for their round.

        Long-running tasks are included, since they come before the short ones in the order.
        """
        self._start_tasks_of([step for step in self._state.open_steps if not step.spec.fills])

    def _start_tasks_of(self, open_steps: list[StepRun]) -> None:
        state = self._state
        now = state.clock.now()
        self._send_recorded_starts(now)
        steps = [step for step in open_steps if self._has_startable_task(step, now)]
        if not steps:
            return
        state.placing.update(state.workers.values(), now, state.log_decision)
        placement = state.make_placement()
        self._outlooks.begin_round(now)
        candidates = [WaitingStep(self._order(step, self._outlooks, now), step) for step in steps]
        arranged = self._fair_shares.arrange(candidates, now)
        for step, contest in arranged:
            if contest is not None:
                self._start_contested(contest, placement, now)
            elif placement.may_have_room(step):
                deque(self._start_step(step, placement, now), maxlen=0)
            elif step.spec.fills:
                # Records that the step waits for the window too, if that is full.
                state.start_window.has_room()
        for contest in {contest: None for _, contest in arranged if contest is not None}:
            self._fair_shares.report(contest, now)

    def _start_contested(self, contest: Contest[StepRun], placement: Placement, now: int) -> None:
        """Start tasks of the queues of a contest in turns, until one of its steps has had all."""
        queue, finished = contest.finish_step(lambda step: self._start_step(step, placement, now))
        contest.handle_finished(queue, finished, lambda step: self._has_startable_task(step, now))

    def _has_startable_task(self, step: StepRun, now: int) -> bool:
        """Return whether `step` has a waiting task that may be started now."""
        if not step.job.is_stored or step.has_no_waiting_task:
            return False
        step.has_no_waiting_task = True
        for task in step.tasks:
            if task.is_done or task.runs:
                continue
            step.has_no_waiting_task = False
            if may_start(self._state, task, now):
                return True
        return False

    def _start_step(self, step: StepRun, placement: Placement, now: int) -> Iterator[None]:
        """Start the tasks of a step for which there is a worker, one with each item."""
        if step.spec.gang:
            return self._start_gang(step, placement, now)
        return self._start_tasks(step, placement, now)

    def _start_tasks(self, step: StepRun, placement: Placement, now: int) -> Iterator[None]:
        placed: defaultdict[str, list[int]] = defaultdict(list)
        is_first_start = False
        for task in self._sort_tasks(step, placement, now):
            if task.is_done or task.runs or not may_start(self._state, task, now):
                continue
            if step.spec.fills and not self._state.start_window.has_room():
                break
            reserved = self._state.reservations.find_usable(task, placement, now)
            if reserved is None and not self._state.headroom.may_start(task):
                break
            worker = reserved or placement.choose(task)
            if worker is None and task.is_crash_suspect:
                continue
            if worker is None or takes_room_of_displaced(self._state, task, worker, now):
                break
            is_first_start |= not task.has_run
            self.start(task, worker, self._state.next_run_number(), now)
            if reserved is None:
                self._state.headroom.add(task)
            placement.update_worker(worker)
            placed[worker.id].append(task.index)
            yield
        if placed:
            self._log_started(step, placed, now, is_first_start)

    def _sort_tasks(self, step: StepRun, placement: Placement, now: int) -> list[Task]:
        """Return the tasks of a step in the order in which they are placed.

        Those whose reserved capacity is free come first, and those that wait for theirs come last.
        In between, new long-running tasks come after those that ran before, which may start where
        new ones may not.
        """
        reservations = self._state.reservations
        has_reservation = reservations.has_step(step)
        if not has_reservation and not step.has_interrupted_task:
            return step.tasks
        by_task = reservations.by_task

        def compute_rank(task: Task) -> int:
            if task in by_task:
                return 0 if reservations.find_usable(task, placement, now) else 3
            return 1 if task.has_run else 2

        return sorted(step.tasks, key=compute_rank)

    def _log_started(
        self, step: StepRun, placed: dict[str, list[int]], now: int, is_first_start: bool
    ) -> None:
        self._state.log_decision(
            STARTED_EVENT,
            job=step.job.id,
            occurrence=step.occurrence,
            step=step.number,
            on=dict(placed),
            waited_ms=now - step.ready_at,
            kind=describe_kind(step.spec, step.job.policy),
            again=not is_first_start,
        )

    def _start_gang(self, step: StepRun, placement: Placement, now: int) -> Iterator[None]:
        """Start all tasks of a gang at once, which counts as one item."""
        if not all(task.is_waiting and may_start(self._state, task, now) for task in step.tasks):
            return
        if not self._state.headroom.may_start_all(step.tasks):
            return
        chosen = placement.choose_for_gang(step)
        if chosen is None or any(
            takes_room_of_displaced(self._state, task, worker, now)
            for task, worker in chosen.items()
        ):
            return
        number = self._state.next_run_number()
        placed: defaultdict[str, list[int]] = defaultdict(list)
        is_first_start = any(not task.has_run for task in chosen)
        for task, worker in chosen.items():
            self.start(task, worker, number, now)
            self._state.headroom.add(task)
            placed[worker.id].append(task.index)
            placement.update_worker(worker)
        self._log_started(step, placed, now, is_first_start)
        yield

    def start(self, task: Task, worker: Worker, number: int, now: int) -> None:
        """Order run `number` of `task` on `worker`."""
        run = Run(task, number, worker.id, "ordered", now, progressed_at=now)
        task.runs[number] = run
        self._state.add_run(worker, run)
        self._state.run_log.add_start(run, worker.entry.boot_ms)
        if task.spec.fills:
            self._state.start_window.add(run)
        run.service_core_ms = compute_service(task.step, self._state.durations)
        self._state.shares.charge(task.step.share_key, run.service_core_ms, now)
        self._state.crashes.handle_start(task, worker)
        if not self._state.crashes.must_record_start(task):
            self.send_start(run, worker, now)
            return
        run.is_unsent = True
        self._unsent.append(run)
        self._state.crashes.expose(task, worker)

    def _send_recorded_starts(self, now: int) -> None:
        """Send the starts that were held back until the journal names the workers' boots."""
        held, self._unsent = self._unsent, []
        for run in held:
            worker = self._state.workers.get(run.worker)
            if (
                run.state != "ordered"
                or worker is None
                or worker.runs.get(run.task.name) is not run
            ):
                continue
            if worker.is_evacuated:
                self._withdraw(run)
            elif run.task.are_crashes_durable and worker.can_accept_task(now):
                run.is_unsent = False
                self.send_start(run, worker, now)
            else:
                self._unsent.append(run)

    def _withdraw(self, run: Run) -> None:
        """End a run whose start was decided but not sent, so that its task waits again."""
        state = self._state
        state.log_decision("start.withdrawn", task=run.task.name, run=run.number, worker=run.worker)
        state.shares.refund(run.task.step.share_key, run.service_core_ms, state.clock.now())
        state.end_run(run, "refuse", EndProof.WITHDRAWN)
        state.stop_gang(run.task.step, "start of another task of the gang was withdrawn")

    def send_start(self, run: Run, worker: Worker, now: int) -> None:
        """Send the order to start a run, or send it again."""
        run.until_ms = worker.extend_lease(self._state.bounds.lease_ms, now)
        run.resend_at = now + ORDER_TIMEOUT_MS
        run.unanswered += 1
        run.last_sent_at = now
        if run.first_sent_at < 0:
            run.first_sent_at = now
        entry = worker.entry
        task = run.task
        self._state.emit(
            StartRun(
                entry.worker,
                entry.boot_ms,
                entry.address,
                task.name,
                run.number,
                task.job.spec.payload,
                task.checkpoint if task.spec.saves else "",
                run.until_ms,
                worker.fence,
            )
        )

    def copy_stragglers(self) -> None:
        """Start a second copy of tasks that run much longer than expected."""
        state = self._state
        now = state.clock.now()
        for step in list(state.open_steps):
            if not step.spec.speculative or step.spec.lasting:
                continue
            expected_ms = state.durations.expect(step)
            max_age_ms = max(MIN_COPY_AGE_MS, STRAGGLER_FACTOR * expected_ms)
            for task in step.tasks:
                if len(task.runs) == 1:
                    self._copy_if_straggling(task, max_age_ms, now)

    def _copy_if_straggling(self, task: Task, max_age_ms: float, now: int) -> None:
        run = next(iter(task.runs.values()))
        if run.state != "running" or now - run.ordered_at < max_age_ms or task.is_crash_suspect:
            return
        if len(task.failed_runs) + 1 >= task.job.policy.max_attempts:
            return
        state = self._state
        placement = state.make_placement()
        worker = placement.choose(task, excluded_worker=run.worker)
        if worker is None:
            return
        self._state.log_decision(
            "task.copied", task=task.name, age_ms=now - run.ordered_at, longest_ms=int(max_age_ms)
        )
        self.start(task, worker, self._state.next_run_number(), now)
