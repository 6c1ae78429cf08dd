"""Random sequences of faults: no promise is broken, and all jobs end afterwards."""

from dataclasses import replace

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from quetzallock_core.cells.models import QueuePolicy, Resources
from quetzallock_core.cells.workers import compute_commitment
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import make_step

MAX_CRASHES = 3

CANCEL_AFTER_MS = st.none() | st.integers(0, 600)
"""Times of cancellations at which orders, answers and appends of a new job are on their way."""
WORKERS = st.sampled_from(["w0", "w1", "w2", "w3"])
POLICY = QueuePolicy("queue", "pool", 0, 3, 2.0, 1_000, 1)
LOW_POLICY = QueuePolicy("low", "pool", 2, 3, 2.0, 1_000, 1)


class CellFaults(RuleBasedStateMachine):
    """Jobs, cancellations, crashes, partitions, takeovers, outages, lost and late orders."""

    capacity = Resources(16_000, 64_000, 0)
    settle_ms = 25_000

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        self.cluster = CellCluster(capacity=self.capacity, seed=seed)
        self.cluster.run(500)
        self.jobs: list[str] = []
        self.lasting: list[str] = []
        self.crashing: list[str] = []

    @rule(
        count=st.integers(1, 4),
        duration_ms=st.integers(100, 3_000),
        saves=st.booleans(),
        speculative=st.booleans(),
    )
    def submit(self, count: int, duration_ms: int, saves: bool, speculative: bool) -> None:
        job = f"j{len(self.jobs)}"
        self.jobs.append(job)
        step = make_step(count, saves=saves, speculative=speculative)
        spec = make_spec(job, step, make_step(1, after=(0,)))
        self.cluster.submit(spec, POLICY, {0: duration_ms, 1: 200})

    @rule(ms=st.integers(50, 2_500))
    def wait(self, ms: int) -> None:
        self.cluster.run(ms)

    @rule(worker=WORKERS)
    def crash_and_revive(self, worker: str) -> None:
        self.cluster.workers[worker].crash()
        self.cluster.run(200)
        self.cluster.revive(worker)

    @rule(count=st.integers(1, 3), cancel_after_ms=CANCEL_AFTER_MS)
    def submit_lasting(self, count: int, cancel_after_ms: int | None) -> None:
        job = f"j{len(self.jobs)}"
        self.jobs.append(job)
        self.lasting.append(job)
        self.cluster.submit(make_spec(job, make_step(count, lasting=True)), POLICY, {0: None})
        if cancel_after_ms is not None:
            self.cluster.schedule(cancel_after_ms, lambda: self.cluster.cancel(job))

    @rule(worker=WORKERS)
    def drain(self, worker: str) -> None:
        self.cluster.workers[worker].drain()

    @rule(worker=WORKERS, is_isolated=st.booleans())
    def cut(self, worker: str, is_isolated: bool) -> None:
        self.cluster.workers[worker].is_isolated = is_isolated

    @rule(worker=WORKERS, mode=st.sampled_from(["sound", "slow", "hang", "grey"]))
    def change_mode(self, worker: str, mode: str) -> None:
        self.cluster.workers[worker].mode = mode

    @rule(is_up=st.booleans())
    def switch_store(self, is_up: bool) -> None:
        self.cluster.is_store_up = is_up

    @rule(lost=st.sampled_from([0.0, 0.2]), late=st.sampled_from([0.0, 0.2]))
    def harm_orders(self, lost: float, late: float) -> None:
        self.cluster.order_loss_rate = lost
        self.cluster.order_delay_rate = late

    @rule(busy=st.sampled_from([0.0, 0.3]), late=st.sampled_from([0.0, 0.5]))
    def harm_answers(self, busy: float, late: float) -> None:
        self.cluster.busy_rate = busy
        self.cluster.answer_delay_rate = late

    @rule(is_killed=st.booleans())
    def replace_owner(self, is_killed: bool) -> None:
        if self.cluster.is_store_up:
            if is_killed:
                self.cluster.kill_owner()
            self.cluster.take_over()

    @rule()
    def hand_over(self) -> None:
        if self.cluster.is_store_up and self.cluster.owner.is_running:
            self.cluster.hand_over()

    @rule(number=st.integers(0, 15), delay_ms=st.integers(0, 1_500))
    def cancel(self, number: int, delay_ms: int) -> None:
        jobs = list(dict.fromkeys([*self.jobs, *self.lasting]))
        if jobs:
            job = jobs[number % len(jobs)]
            self.cluster.schedule(delay_ms, lambda: self.cluster.cancel(job))

    @invariant()
    def no_promise_is_broken(self) -> None:
        assert not self.cluster.ground_truth.violations

    @invariant()
    def room_is_committed_to_runs_and_reservations_only(self) -> None:
        state = self.cluster.cell.state
        reservations = {}
        for worker in state.workers.values():
            expected = Resources()
            for run in worker.runs.values():
                spec = run.task.spec
                expected = expected + compute_commitment(spec.needs, spec.fills)
            for reservation in worker.reservations.values():
                expected = expected + reservation.held
                assert reservation.worker is worker
                reservations[reservation.task] = reservation
            assert worker.committed == expected
        assert state.reservations.by_task == reservations

    @invariant()
    def room_is_reserved_for_tasks_that_are_about_to_start_only(self) -> None:
        for task, reservation in self.cluster.cell.state.reservations.by_task.items():
            run = reservation.moved_run
            if run is None:
                assert task.is_waiting or (task.spec.lasting and len(task.runs) == 1)
                assert not task.job.is_over
            else:
                assert reservation.held == task.spec.needs
                assert run.state == "stopping"
                assert run.number in task.runs
            for awaited in reservation.awaited:
                assert awaited.state == "stopping" or not awaited.task.spec.lasting
                assert reservation.worker.runs[awaited.task.name] is awaited

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        cluster = self.cluster
        cluster.is_store_up = True
        cluster.order_loss_rate = cluster.order_delay_rate = 0.0
        cluster.busy_rate = cluster.answer_delay_rate = 0.0
        for worker in cluster.workers.values():
            worker.mode = "sound"
            worker.is_isolated = False
            if worker.entry.is_draining:
                worker.crash()
                cluster.revive(worker.id)
        cluster.run(self.settle_ms + 25_000 * len(self.crashing))
        assert not cluster.ground_truth.violations
        assert not cluster.cancellations.list_running()
        for job in cluster.cell.state.jobs.values():
            if job.id not in self.lasting:
                assert job.is_over, f"{job.id} is {job.state}"
            elif not job.is_over:
                running = cluster.ground_truth.list_running(f"{job.id}.")
                assert len(running) == job.spec.steps[0].count


class CrashingTaskFaults(CellFaults):
    """The same, with tasks that crash each worker that starts them."""

    @rule(delay_ms=st.integers(0, 400))
    def submit_crashing(self, delay_ms: int) -> None:
        job = f"j{len(self.jobs)}"
        self.jobs.append(job)
        spec = make_spec(job, make_step(2), make_step(1, after=(0,)))
        self.cluster.submit(spec, POLICY, {0: 300, 1: 200})
        name = f"{job}.0.0.0"
        behaviour = self.cluster.behaviours[name]
        self.cluster.behaviours[name] = replace(behaviour, crashes_worker=True)
        self.crashing.append(name)
        self.cluster.run(delay_ms)

    def check_crashes(self) -> None:
        """Check the crashes under each task; an owner that is lost may miss one."""
        ends = self.cluster.ground_truth.ends
        limit = MAX_CRASHES + len(self.cluster.owners) - 1
        for task in self.crashing:
            assert sum(end[1] == task and end[3] == "crashed" for end in ends) <= limit

    def teardown(self) -> None:
        super().teardown()
        if hasattr(self, "cluster"):
            self.check_crashes()


class ContentionFaults(CellFaults):
    """The same on small workers, which jobs of two priorities fill, so that runs are preempted."""

    capacity = Resources(3_000, 6_000, 0)
    settle_ms = 90_000

    @rule(
        duration_ms=st.integers(2_000, 6_000),
        saves=st.booleans(),
        fills=st.booleans(),
        wait_ms=st.integers(0, 1_500),
    )
    def submit_low_and_high(self, duration_ms: int, saves: bool, fills: bool, wait_ms: int) -> None:
        job = f"j{len(self.jobs)}"
        self.jobs.append(job)
        step = make_step(12, saves=saves, fills=fills, estimate_ms=2 * duration_ms)
        self.cluster.submit(make_spec(job, step), LOW_POLICY, {0: duration_ms})
        self.cluster.run(300)
        self.submit(3, 1_000, saves=saves, speculative=False)
        self.cluster.run(wait_ms)

    @precondition(lambda self: len(self.lasting) < 2)
    @rule(count=st.integers(1, 3), cancel_after_ms=CANCEL_AFTER_MS)
    def submit_lasting(self, count: int, cancel_after_ms: int | None) -> None:
        super().submit_lasting(count, cancel_after_ms)


CellFaults.TestCase.settings = settings(max_examples=60, stateful_step_count=15)
CrashingTaskFaults.TestCase.settings = settings(
    max_examples=60,
    stateful_step_count=15,
    phases=(Phase.explicit, Phase.generate),
)
ContentionFaults.TestCase.settings = settings(max_examples=60, stateful_step_count=20)
TestCellFaults = CellFaults.TestCase
TestContentionFaults = ContentionFaults.TestCase
TestCrashingTaskFaults = CrashingTaskFaults.TestCase
