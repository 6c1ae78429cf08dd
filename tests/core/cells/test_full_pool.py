"""Workers of several sizes leave a full pool in a row while owners hand over in a row."""

from functools import partial
from random import Random
from typing import Final

import pytest

from quetzallock_core.cells.models import Resources, StepSpec
from quetzallock_core.cells.orders import StartRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.workers import Answer, EmulatedWorker

from .common import POLICY, make_step

SEEDS: Final = (0, 1, 101, 102)
WORKER_COUNTS: Final = (6, 16)
WORKER_CPU: Final = (6_000, 8_000, 12_000, 16_000)
LASTING_CPU: Final = (
    (1_000, 2_400, 2_800, 3_600),
    (2_800, 3_000),
    (3_200, 4_400, 5_200),
    (600, 3_600, 5_600),
)
"""Needs of long-running tasks, of which a play draws one row; large ones leave pieces into which no
other of them fits."""
SHORT_CPU: Final = (300, 600, 1_050)
MAX_TASKS: Final = 4
FILL_MS: Final = 5_000
"""Time for the tasks that fill the pool to start, before anything else happens."""
FLOOD_MS: Final = 14_000
FLOOD_INTERVALS_MS: Final = (50, 400)
SUCCESSOR_SHARES: Final = (0.5, 1.0)
"""Share of the leaving workers that have a successor; without one the pool shrinks."""
SHORT_INTERVALS_MS: Final = (100, 300)
LEAVE_INTERVAL_MS: Final = 700
LEAD_MS: Final = 400
"""How long before the announcement of a leave the successor joins."""
DRAIN_MS: Final = 6_000
HAND_OVER_INTERVAL_MS: Final = 2_000
MAX_HAND_OVERS: Final = 2
"""Owners that follow each other at once when a host is restarted."""
HAND_OVER_GAP_MS: Final = 200
ROUNDS: Final = 6
SETTLE_MS: Final = 16_000
APPEND_DELAYS_MS: Final = (8, 8, 100, 400)


class FullPoolPlay:
    """One random play: the pool is full to within one task's size when the first worker leaves."""

    def __init__(self, seed: int) -> None:
        self.cluster = CellCluster(workers=0, seed=seed)
        self._rng = Random(seed)
        self._lasting_cpu = self._rng.choice(LASTING_CPU)
        self._successor_share = self._rng.choice(SUCCESSOR_SHARES)
        self._jobs = 0

    def play(self) -> CellCluster:
        """Play until all displaced tasks had time to run again."""
        cluster, rng = self.cluster, self._rng
        workers = [self._join(rng.choice(WORKER_CPU)) for _ in range(rng.randint(*WORKER_COUNTS))]
        cluster.run(500)
        self._fill(sum(worker.capacity.cpu for worker in workers))
        cluster.run(FILL_MS)
        self._submit_flood(cluster.clock.now() + FLOOD_MS)
        self._submit_short()
        leaving = rng.sample(workers, rng.randint(len(workers) // 2, len(workers)))
        for number, worker in enumerate(leaving):
            cluster.schedule(number * LEAVE_INTERVAL_MS, partial(self._replace, worker))
        for _ in range(ROUNDS):
            cluster.append_delay_ms = rng.choice(APPEND_DELAYS_MS)
            for _ in range(rng.randint(1, MAX_HAND_OVERS)):
                cluster.hand_over()
                cluster.run(HAND_OVER_GAP_MS)
            cluster.run(HAND_OVER_INTERVAL_MS)
        cluster.run(SETTLE_MS)
        return cluster

    def _join(self, cpu: int) -> EmulatedWorker:
        return self.cluster.join_worker(Resources(cpu, 64_000, 0))

    def _replace(self, worker: EmulatedWorker) -> None:
        if self._rng.random() < self._successor_share:
            self._join(worker.capacity.cpu)
        self.cluster.schedule(LEAD_MS, worker.drain)
        self.cluster.schedule(LEAD_MS + DRAIN_MS, worker.leave)

    def _fill(self, capacity: int) -> None:
        """Submit long-running tasks until less than the largest of them is left of the pool."""
        left = capacity
        while left >= max(self._lasting_cpu):
            cpu = self._rng.choice(self._lasting_cpu)
            left -= cpu * self._submit_lasting(cpu, 1 + self._rng.randrange(left // cpu))

    def _submit_lasting(self, cpu: int, max_tasks: int) -> int:
        """Submit a job of long-running tasks and return their number."""
        count = min(MAX_TASKS, max_tasks)
        step = make_step(count, lasting=True, needs=Resources(cpu, 1_000, 0))
        self._submit(step, None)
        return count

    def _submit(self, step: StepSpec, duration_ms: float | None) -> None:
        self._jobs += 1
        self.cluster.submit(make_spec(f"j{self._jobs}", step), POLICY, {0: duration_ms})

    def _submit_flood(self, until: int) -> None:
        """Submit a long-running job now and then that no longer fits."""
        rng = self._rng
        self._submit_lasting(rng.choice(self._lasting_cpu), rng.randint(1, MAX_TASKS))
        if self.cluster.clock.now() < until:
            interval_ms = rng.randint(*FLOOD_INTERVALS_MS)
            self.cluster.schedule(interval_ms, lambda: self._submit_flood(until))

    def _submit_short(self) -> None:
        """Submit short tasks, which take what is free."""
        rng = self._rng
        needs = Resources(rng.choice(SHORT_CPU), 500, 0)
        self._submit(make_step(rng.randint(1, 5), needs=needs), rng.randrange(200, 1_500))
        self.cluster.schedule(rng.randint(*SHORT_INTERVALS_MS), self._submit_short)


def play(seed: int) -> CellCluster:
    """Play a seed and return the cluster at the end."""
    return FullPoolPlay(seed).play()


def test_displaced_tasks_of_a_pool_without_whole_pieces_run_again_in_time() -> None:
    """Guards against displaced tasks that wait for a piece that nobody frees."""
    violations = {seed: play(seed).ground_truth.violations for seed in SEEDS}
    assert not {seed: found for seed, found in violations.items() if found}


def test_displaced_tasks_that_are_not_started_again_are_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a check that misses tasks which stay away from a full pool."""
    start = EmulatedWorker.start

    def refuse_second_runs(worker: EmulatedWorker, order: StartRun, epoch: int) -> Answer:
        has_run = any(end[1] == order.task for end in worker.ground_truth.ends)
        return Answer("room", worker.clock_ms) if has_run else start(worker, order, epoch)

    monkeypatch.setattr(EmulatedWorker, "start", refuse_second_runs)
    violations = play(0).ground_truth.violations
    assert any("is to last and has not run" in violation for violation in violations)
