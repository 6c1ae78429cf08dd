"""The jobs of a cell: their tasks, runs and progress."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, Final

from ..chart import Chart, load_chart
from ..codec import pack
from .models import Boot, JobSpec, QueuePolicy, StepSpec
from .records import CrashRecord, JobRecord, ProgressRecord, TaskRecord
from .shares import ShareKey

JOB_CHART: Final[Chart] = load_chart(__package__, "job")
RUN_CHART: Final[Chart] = load_chart(__package__, "run")


@dataclass(slots=True, eq=False)
class Run:
    """One start of a task on one worker.

    Attributes:
        number: Run number; it rises with every start of the task.
        worker: Id of the worker.
        state: State of the run chart.
        ordered_at: Local ms of the first order.
        until_ms: Lease end, on the worker's clock, in the last start order.
        progressed_at: Local ms at which progress was last seen.
        percent: Pace, or progress of the startup, as last reported.
        metric: Tail latency or processor use, as last reported.
        pace: Pace that was last ordered, in percent of full speed.
        paced_at: Local ms of that order.
        checkpoint_at: Local ms at which its last new checkpoint was seen; 0 before the first.
        over_target_since: Local ms since which a serving run is over its target; 0 if it is not.
        pressure: Predicted effect of colocated best-effort tasks on its tail, as an exponent.
        is_best_effort_colocated: Best-effort tasks ran on the worker when it last reported.
        reported_at: Local ms of its last metric at full speed; 0 before the first.
        is_listed: An inventory has listed it.
        answered_clock_ms: The worker's clock in the answer to the last order, for a stop order plus
            the time that the worker takes to stop a run. -1 while the last order, a stop order if
            the run is being stopped, has no answer.
        answered_at: Local ms at which that answer was processed; of no meaning while there is none.
        resend_at: Local ms at which an unanswered order is sent again.
        unanswered: Number of start orders without an answer. Each may still be carried out, also
            by another boot of the worker.
        is_unsent: No start order went to this boot of the worker.
        service_core_ms: Service that its queue was charged with; 0 for an adopted run.
        is_acknowledged: The worker has answered that it carried a start order out.
        first_sent_at: Local ms of the first start order; -1 before it.
        last_sent_at: Local ms of the last start order; -1 before any.
        unconfirmed_until: Local ms at which it is over on any boot that it was moved to, even if no
            stop order arrives there; 0 if it was not moved.
    """

    task: "Task"
    number: int
    worker: str
    state: str
    ordered_at: int
    until_ms: int = 0
    progressed_at: int = 0
    percent: int = 0
    metric: float = 0.0
    pace: int = 100
    paced_at: int = 0
    checkpoint_at: int = 0
    over_target_since: int = 0
    pressure: float = 0.0
    is_best_effort_colocated: bool = False
    reported_at: int = 0
    is_listed: bool = False
    answered_clock_ms: int = -1
    answered_at: int = -1
    resend_at: int = 0
    unanswered: int = 0
    is_unsent: bool = False
    service_core_ms: float = 0.0
    is_acknowledged: bool = False
    first_sent_at: int = -1
    last_sent_at: int = -1
    unconfirmed_until: int = 0

    @property
    def was_sent(self) -> bool:
        """Whether this boot of the worker may have received the start order."""
        return self.is_listed or not self.is_unsent

    @property
    def has_begun(self) -> bool:
        """Whether the worker has answered that the run has begun."""
        return self.is_listed or self.is_acknowledged

    @property
    def is_answered(self) -> bool:
        """Whether the last order, a stop order if it is being stopped, has an answer."""
        return self.answered_clock_ms >= 0

    def record_answer(self, clock_ms: int, now: int) -> None:
        """Record the answer to the last order; see `answered_clock_ms`."""
        self.answered_clock_ms = clock_ms
        self.answered_at = now

    def advance(self, event: str) -> None:
        """Make the transition `event` of the run chart."""
        self.state = RUN_CHART.next_state(self.state, event)


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job's step.

    Attributes:
        failed_runs: Numbers of the runs that ended as failed.
        failed_on: Boots that listed these ends first, by run number; unknown for some ends that an
            earlier version has recorded.
        checkpoint: Newest checkpoint, or empty.
        runs: Runs that may be going on, by run number.
        not_before: Local ms before which it is not started again.
        preempted_at: Local ms at which a run of it was preempted last; 0 for never.
        avoid: Ids of workers on which it failed or was stopped, which cost more in placement.
        crashes: Crashes of workers under it, of which it is suspected.
        exposures: Boots on which it may be running, as recorded for the next owner.
        worked_on: Those of `exposures` on which its run has worked past its risky time.
        excused_crashes: Number of further crashes, soon after a start of it, that were put down to
            another task or to the loss of most of a rack.
        may_give_up_at: Local ms from which on its job may be given up for the crashes.
        crash_revision: The job's `crash_revision` at the last change of its crashes or exposures.
        has_run: A run of it was ordered or found, by this owner or, if it is long-running, by an
            earlier one.
        name: Job id, occurrence, step and index, joined by dots.
        spec: Specification of its step.
        job: The job it belongs to.
    """

    step: "StepRun"
    index: int
    is_done: bool = False
    failed_runs: set[int] = field(default_factory=set)
    failed_on: dict[int, Boot] = field(default_factory=dict)
    checkpoint: str = ""
    runs: dict[int, Run] = field(default_factory=dict)
    not_before: int = 0
    preempted_at: int = 0
    avoid: set[str] = field(default_factory=set)
    crashes: tuple[CrashRecord, ...] = ()
    exposures: tuple[Boot, ...] = ()
    worked_on: tuple[Boot, ...] = ()
    excused_crashes: int = 0
    may_give_up_at: int = 0
    crash_revision: int = 0
    has_run: bool = False
    name: str = ""
    spec: StepSpec = field(init=False)
    job: "Job" = field(init=False)
    _packed_record: Any = None
    _packed_fields: tuple[object, ...] | None = None

    def __post_init__(self) -> None:
        """Store what is read most often of its step."""
        self.spec = self.step.spec
        self.job = self.step.job

    def pack_record(self) -> Any:
        """Return its journal record, which is encoded anew only after a change."""
        current = (
            self.is_done,
            len(self.failed_runs),
            self.checkpoint,
            self.crashes,
            self.exposures,
            self.worked_on,
            self.excused_crashes,
        )
        if current != self._packed_fields:
            self._packed_record = pack(self._make_record())
            self._packed_fields = current
        return self._packed_record

    def _make_record(self) -> TaskRecord:
        return TaskRecord(
            self.step.occurrence,
            self.step.number,
            self.index,
            self.is_done,
            tuple(sorted(self.failed_runs)),
            "" if self.is_done else self.checkpoint,
            () if self.is_done else self.crashes,
            () if self.is_done else self.exposures,
            0 if self.is_done else self.excused_crashes,
            () if self.is_done else tuple((run, *boot) for run, boot in self.failed_on.items()),
            () if self.is_done else self.worked_on,
        )

    @property
    def are_crashes_durable(self) -> bool:
        """Whether the journal holds its crashes and exposures."""
        return self.crash_revision <= self.job.durable_crash_revision

    @property
    def crash_count(self) -> int:
        """Number of crashes that it may have caused, as far as the runs beside it tell."""
        charged = sum(not crash.is_bystander for crash in self.crashes)
        return charged + self.excused_crashes

    @property
    def is_crash_suspect(self) -> bool:
        """Whether a worker has crashed under it that may crash under it again."""
        return bool(self.crashes or self.excused_crashes)

    @property
    def has_history(self) -> bool:
        """Whether its journal record differs from that of a task that has never run."""
        return bool(
            self.is_done
            or self.failed_runs
            or self.checkpoint
            or self.crashes
            or self.exposures
            or self.excused_crashes
        )

    @property
    def attempts(self) -> int:
        """Number of failed runs; those of any task of a gang count for the whole gang."""
        return len(self.step.failed_runs if self.spec.gang else self.failed_runs)

    def record_failed_run(self, number: int) -> None:
        """Record that a run of it ended as failed."""
        self.failed_runs.add(number)
        self.step.failed_runs.add(number)

    @property
    def is_waiting(self) -> bool:
        """Whether it is neither done nor running."""
        return not self.is_done and not self.runs


@dataclass(slots=True, eq=False)
class StepRun:
    """One step of one repetition of a job.

    Attributes:
        occurrence: Number of the repetition.
        number: Number of the step within the job.
        done: Number of tasks that are done.
        ready_at: Local ms at which its predecessors were done; 0 while they are not.
        waits_for: Number of its predecessors that are not done.
        failed_runs: Numbers of the runs of its tasks that ended as failed.
        has_no_waiting_task: None of its tasks waits; reset when a run of one of them ends.
        share_key: Account that the service of its tasks is charged to.
        contention_group: What it has in common with the steps that compete for the same capacity by
            fair share.
    """

    job: "Job"
    occurrence: int
    number: int
    spec: StepSpec
    tasks: list[Task] = field(default_factory=list)
    done: int = 0
    ready_at: int = 0
    waits_for: int = 0
    failed_runs: set[int] = field(default_factory=set)
    has_no_waiting_task: bool = False
    share_key: ShareKey = field(init=False)
    contention_group: tuple[str, int, bool] = field(init=False)

    def __post_init__(self) -> None:
        """Store what each round of placement reads of its queue."""
        policy = self.job.policy
        self.share_key = ShareKey(policy.queue, self.spec.lasting)
        self.contention_group = (policy.service, policy.priority, self.spec.lasting)

    @property
    def has_interrupted_task(self) -> bool:
        """Whether a long-running task of it has run before and waits for its next run."""
        if not self.spec.lasting or self.has_no_waiting_task or not self.job.has_started:
            return False
        return any(task.has_run and task.is_waiting for task in self.tasks)

    @property
    def is_done(self) -> bool:
        """Whether all of its tasks are done."""
        return self.done == len(self.tasks)


@dataclass(slots=True, eq=False)
class Occurrence:
    """One repetition of a job's steps.

    Attributes:
        done_steps: Number of steps that are done.
    """

    number: int
    steps: list[StepRun]
    done_steps: int = 0

    @property
    def is_done(self) -> bool:
        """Whether all steps are done."""
        return self.done_steps == len(self.steps)

    def count_done(self) -> None:
        """Count the done steps, and for each step the predecessors that are not done."""
        self.done_steps = sum(step.is_done for step in self.steps)
        for step in self.steps:
            step.waits_for = sum(not self.steps[before].is_done for before in {*step.spec.after})


@dataclass(slots=True, eq=False)
class Job:
    """A job and its progress.

    Attributes:
        accepted_at: Local ms at which it was accepted.
        state: State of the job chart, as decided.
        durable_state: State in the journal. Callers get no other final state than this one.
        is_stored: The journal holds the job.
        is_loaded: It was loaded from the journal, not submitted to this owner.
        has_started: A task of it has started.
        ended_ms: Unix time of its end, or 0.
        ended_at: Local ms of its end, or 0.
        occurrences: The repetitions begun, by number.
        done_occurrences: Number of those that are done.
        opened: Number of repetitions, the first ones, whose steps this owner has opened.
        work: Core-ms of one repetition, by the submitter's estimates.
        crash_revision: Number of changes of the crashes and exposures of its tasks.
        durable_crash_revision: The changes up to this one are in the journal.
    """

    record: JobRecord
    accepted_at: int
    state: str = JOB_CHART.initial
    durable_state: str = JOB_CHART.initial
    is_stored: bool = False
    is_loaded: bool = False
    has_started: bool = False
    ended_ms: int = 0
    ended_at: int = 0
    occurrences: dict[int, Occurrence] = field(default_factory=dict)
    done_occurrences: int = 0
    opened: int = 0
    work: float = 0.0
    crash_revision: int = 0
    durable_crash_revision: int = 0
    _successors: tuple[tuple[int, ...], ...] | None = None

    @property
    def id(self) -> str:
        """Its id."""
        return self.record.spec.job

    @property
    def spec(self) -> JobSpec:
        """Its specification."""
        return self.record.spec

    @property
    def policy(self) -> QueuePolicy:
        """Settings of its queue when it was accepted."""
        return self.record.policy

    @property
    def is_over(self) -> bool:
        """Whether it is in a final state."""
        return self.state in JOB_CHART.final

    @property
    def repetitions(self) -> int:
        """How often its steps run in total."""
        return max(1, self.spec.repetitions)

    def advance(self, event: str) -> None:
        """Make the transition `event` of the job chart."""
        self.state = JOB_CHART.next_state(self.state, event)

    def open_occurrence(self, number: int) -> Occurrence:
        """Return repetition `number`, which is created on first use."""
        known = self.occurrences.get(number)
        if known is not None:
            return known
        steps = [
            StepRun(self, number, position, spec) for position, spec in enumerate(self.spec.steps)
        ]
        for step in steps:
            step.tasks = [
                Task(step, index, name=f"{self.id}.{number}.{step.number}.{index}")
                for index in range(step.spec.count)
            ]
        occurrence = Occurrence(number, steps)
        occurrence.count_done()
        self.occurrences[number] = occurrence
        return occurrence

    def list_successors(self, step: int) -> tuple[int, ...]:
        """Return the numbers of the steps that wait for this one."""
        if self._successors is None:
            successors: list[list[int]] = [[] for _ in self.spec.steps]
            for number, spec in enumerate(self.spec.steps):
                for before in dict.fromkeys(spec.after):
                    successors[before].append(number)
            self._successors = tuple(map(tuple, successors))
        return self._successors[step]

    def count_done(self) -> None:
        """Count the done repetitions, and the done steps of each."""
        for occurrence in self.occurrences.values():
            occurrence.count_done()
        self.done_occurrences = sum(other.is_done for other in self.occurrences.values())

    def find_task(self, occurrence: int, step: int, index: int) -> Task | None:
        """Return the task with these numbers, or None if the job has no such task."""
        if not (0 <= occurrence < self.repetitions and 0 <= step < len(self.spec.steps)):
            return None
        if not 0 <= index < self.spec.steps[step].count:
            return None
        return self.open_occurrence(occurrence).steps[step].tasks[index]

    def list_tasks(self) -> list[Task]:
        """Return all tasks of the repetitions begun."""
        return [
            task
            for occurrence in self.occurrences.values()
            for step in occurrence.steps
            for task in step.tasks
        ]

    def to_progress(self) -> ProgressRecord:
        """Return the journal record of its progress, without tasks if the job is over."""
        if self.is_over:
            return ProgressRecord(self.state, self.has_started, self.ended_ms, ())
        tasks = tuple(task.pack_record() for task in self.list_tasks() if task.has_history)
        started = tuple(self._list_started())
        return ProgressRecord(self.state, self.has_started, self.ended_ms, tasks, started)

    def _list_started(self) -> Iterator[tuple[int, int, int]]:
        """Yield each long-running step, and how many of its tasks, the first ones, may have run."""
        for occurrence in self.occurrences.values():
            for step in occurrence.steps:
                if step.spec.lasting:
                    count = max((task.index + 1 for task in step.tasks if task.has_run), default=0)
                    yield step.occurrence, step.number, count


def parse_task_name(name: str) -> tuple[str, int, int, int] | None:
    """Return job, occurrence, step and index of a task's name, or None if it is not one."""
    parts = name.split(".")
    if len(parts) != 4 or not all(part.isdecimal() for part in parts[1:]):
        return None
    return parts[0], int(parts[1]), int(parts[2]), int(parts[3])
