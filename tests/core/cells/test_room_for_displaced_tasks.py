"""A full pool loses workers: displaced tasks wait no longer than allowed beside room in pieces."""

from collections.abc import Sequence
from random import Random

import pytest

from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

WORKERS = 24
CAPACITIES = (Resources(16_000, 64_000, 0), Resources(12_000, 48_000, 0))
CPU_NEEDS = range(2_200, 5_001, 50)
FEW_CPU_NEEDS = (2_200, 2_750, 3_900, 4_450, 5_000)
"""Needs of which pieces can hardly be joined."""
JOB_INTERVAL_MS = 300
"""Jobs arrive that no longer fit, until the end of the play."""
SHORT_CPU_NEEDS = (900, 1_350, 1_900, 2_700)
SHORT_INTERVAL_MS = 70
DRAIN_MS = 4_000
"""Time from the announcement of a leave to the leave."""
LEAVE_INTERVAL_MS = 700
JOIN_DELAY_MS = 400
OWNER_INTERVAL_MS = 2_000
HAND_OVERS = 6
FULL_AFTER_MS = 6_000
PLAY_MS = 30_000


class FullPoolPlay:
    """One random play of a pool in which more long-running tasks wait than fit."""

    def __init__(
        self, seed: int, leaves_at_once: bool, cpu_needs: Sequence[int] = CPU_NEEDS
    ) -> None:
        self.cluster = CellCluster(workers=WORKERS, capacity=CAPACITIES[0], seed=seed)
        for worker in list(self.cluster.workers.values())[::3]:
            worker.resize(CAPACITIES[1])
            worker.publish_capacity()
        self._rng = Random(seed)
        self._leaves_at_once = leaves_at_once
        self._cpu_needs = cpu_needs
        self._jobs = 0

    def play(self) -> CellCluster:
        """Play until the pool had time to start all displaced tasks again."""
        cluster = self.cluster
        cluster.run(500)
        self._submit_lasting()
        self._submit_short()
        cluster.run(FULL_AFTER_MS)
        self._schedule_leaves()
        for _ in range(HAND_OVERS):
            cluster.hand_over()
            cluster.run(OWNER_INTERVAL_MS)
        cluster.run(PLAY_MS - cluster.clock.now())
        return cluster

    def _name_job(self) -> str:
        self._jobs += 1
        return f"j{self._jobs}"

    def _submit_lasting(self) -> None:
        """Submit a long-running job now and then; in total more than fit."""
        rng = self._rng
        needs = Resources(rng.choice(self._cpu_needs), 1_000, 0)
        step = make_step(rng.randrange(2, 12), lasting=True, needs=needs)
        self.cluster.submit(make_spec(self._name_job(), step), POLICY, {0: None})
        self.cluster.schedule(JOB_INTERVAL_MS, self._submit_lasting)

    def _submit_short(self) -> None:
        """Submit short tasks that take what room is free."""
        rng = self._rng
        needs = Resources(rng.choice(SHORT_CPU_NEEDS), 500, 0)
        duration_ms = rng.randrange(500, 2_000)
        step = make_step(rng.randrange(2, 6), needs=needs, estimate_ms=duration_ms)
        self.cluster.submit(make_spec(self._name_job(), step), POLICY, {0: duration_ms})
        self.cluster.schedule(SHORT_INTERVAL_MS, self._submit_short)

    def _schedule_leaves(self) -> None:
        """Let a quarter of the workers leave at once, or half of them be replaced in turn."""
        cluster = self.cluster
        share = 0.25 if self._leaves_at_once else 0.5
        leaving = self._rng.sample(list(cluster.workers.values()), round(share * WORKERS))
        for number, worker in enumerate(leaving):
            announced_ms = 0 if self._leaves_at_once else number * LEAVE_INTERVAL_MS
            cluster.schedule(announced_ms, worker.drain)
            cluster.schedule(announced_ms + DRAIN_MS, worker.leave)
            if not self._leaves_at_once:
                cluster.schedule(announced_ms + JOIN_DELAY_MS, cluster.join_worker)


def play(seed: int, leaves_at_once: bool) -> CellCluster:
    """Take workers from a full pool, and return the cluster at the end."""
    return FullPoolPlay(seed, leaves_at_once).play()


@pytest.mark.parametrize(
    ("seed", "leaves_at_once"), [(1, False), (4, True), (16, True), (18, True), (19, True)]
)
def test_displaced_tasks_of_a_pool_without_whole_pieces_run_again_in_time(
    seed: int, leaves_at_once: bool
) -> None:
    assert not play(seed, leaves_at_once).ground_truth.violations


@pytest.mark.parametrize("seed", [2, 3, 4])
def test_displaced_tasks_run_again_in_time_where_no_pieces_can_be_joined(seed: int) -> None:
    cluster = FullPoolPlay(seed, leaves_at_once=True, cpu_needs=FEW_CPU_NEEDS).play()
    assert not cluster.ground_truth.violations
