"""Workers leave a full service while owners change: their long-running tasks run again in time."""

from random import Random

import pytest

from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

SEEDS = 4
WORKERS = 12
CAPACITY = Resources(8_000, 32_000, 0)
CPU_NEEDS = (2_800, 3_000)
"""Two such tasks fit on a worker, and leave room for short tasks only."""
FLOOD_MS = 16_000
"""How long jobs arrive that no longer fit."""
JOB_INTERVAL_MS = 400
DRAIN_MS = 6_000
"""Time from the announcement of a leave to the leave."""
LEAVE_INTERVAL_MS = 700
JOIN_DELAY_MS = 400
OWNER_INTERVAL_MS = 2_000
HAND_OVERS = 6
LEAVES_FROM_MS = 6_000
PLAY_MS = 34_000


class DisplacementPlay:
    """One random play of a full service whose workers are replaced."""

    def __init__(self, seed: int, kills_owners: bool) -> None:
        self.cluster = CellCluster(workers=WORKERS, capacity=CAPACITY, seed=seed)
        self._rng = Random(seed)
        self._kills_owners = kills_owners
        self._jobs = 0

    def play(self) -> CellCluster:
        """Play until the service had time to start all displaced tasks again."""
        cluster = self.cluster
        cluster.run(500)
        self._submit_flood(cluster.clock.now() + FLOOD_MS)
        self._submit_short()
        cluster.run(LEAVES_FROM_MS)
        self._schedule_leaves(self._rng.uniform(0.2, 0.6))
        for _ in range(HAND_OVERS):
            self._replace_owner()
            cluster.run(OWNER_INTERVAL_MS)
        cluster.run(PLAY_MS - cluster.clock.now())
        return cluster

    def _name_job(self) -> str:
        self._jobs += 1
        return f"j{self._jobs}"

    def _submit_flood(self, until: int) -> None:
        """Submit a long-running job now and then; in total more than fit."""
        rng = self._rng
        needs = Resources(rng.choice(CPU_NEEDS), 1_000, 0)
        step = make_step(rng.randrange(1, 5), lasting=True, needs=needs)
        self.cluster.submit(make_spec(self._name_job(), step), POLICY, {0: None})
        if self.cluster.clock.now() < until:
            self.cluster.schedule(JOB_INTERVAL_MS, lambda: self._submit_flood(until))

    def _submit_short(self) -> None:
        """Submit short tasks that take what room is free."""
        rng = self._rng
        needs = Resources(rng.choice((250, 500, 1_000)), 500, 0)
        step = make_step(rng.randrange(2, 6), needs=needs)
        duration_ms = rng.randrange(300, 2_500)
        self.cluster.submit(make_spec(self._name_job(), step), POLICY, {0: duration_ms})
        self.cluster.schedule(JOB_INTERVAL_MS // 2, self._submit_short)

    def _schedule_leaves(self, share: float) -> None:
        cluster = self.cluster
        leaving = self._rng.sample(list(cluster.workers.values()), round(share * WORKERS))
        for number, worker in enumerate(leaving):
            announced_ms = number * LEAVE_INTERVAL_MS
            cluster.schedule(announced_ms, worker.drain)
            cluster.schedule(announced_ms + JOIN_DELAY_MS, cluster.join_worker)
            cluster.schedule(announced_ms + DRAIN_MS, worker.leave)

    def _replace_owner(self) -> None:
        if self._kills_owners and self._rng.random() < 0.3:
            self.cluster.kill_owner()
            self.cluster.take_over()
        else:
            self.cluster.hand_over()


def play(seed: int, kills_owners: bool = False) -> CellCluster:
    """Replace workers of a full service, and return the cluster at the end."""
    return DisplacementPlay(seed, kills_owners).play()


@pytest.mark.parametrize("kills_owners", [False, True])
def test_displaced_tasks_of_a_full_service_run_again_in_time(kills_owners: bool) -> None:
    """Guards against younger tasks that take the room which displaced ones need."""
    violations = {seed: play(seed, kills_owners).ground_truth.violations for seed in range(SEEDS)}
    assert not {seed: found for seed, found in violations.items() if found}
