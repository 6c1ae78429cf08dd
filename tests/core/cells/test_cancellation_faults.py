"""Cancellations while orders and answers are on their way: no run of a cancelled job goes on."""

from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import initialize, rule

from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step
from .test_faults import CellFaults

ROUNDS = 30
SEEDS = 45
SEEDS_PER_TEST = 15
SETTLE_MS = 22_000
"""Longer than an order is held back, and than a run that it starts may then go on."""
LONG_MS = 60_000
"""Tasks of this duration are at work until they are stopped."""


class CancellationFaults(CellFaults):
    """The same with harmed orders from the start, and lasting jobs that are cancelled at once."""

    @initialize(seed=st.integers(0, 10_000))
    def begin(self, seed: int) -> None:
        super().begin(seed=seed)
        self.harm_orders(lost=0.2, late=0.2)
        self.harm_answers(busy=0.3, late=0.5)

    @rule(delays_ms=st.lists(st.integers(0, 900), min_size=1, max_size=4))
    def submit_and_cancel(self, delays_ms: list[int]) -> None:
        for delay_ms in delays_ms:
            self.submit_lasting(count=2, cancel_after_ms=delay_ms)


def harm_deliveries(cluster: CellCluster, rng: Random) -> None:
    """Draw the rates of faults between orders and answers."""
    cluster.order_loss_rate = rng.choice((0.0, 0.2))
    cluster.order_delay_rate = rng.choice((0.0, 0.2))
    cluster.busy_rate = rng.choice((0.0, 0.3))
    cluster.answer_delay_rate = rng.choice((0.0, 0.5))


def end_faults(cluster: CellCluster) -> None:
    """End all faults of the cluster."""
    cluster.order_loss_rate = cluster.order_delay_rate = 0.0
    cluster.busy_rate = cluster.answer_delay_rate = 0.0
    cluster.is_store_up = True
    cluster.unlisted_workers = set()
    for worker in cluster.workers.values():
        worker.is_isolated = False
        if not worker.is_up:
            cluster.revive(worker.id)


def submit_and_cancel(cluster: CellCluster, job: str, rng: Random) -> None:
    """Submit a job of one of several kinds, and cancel it while or after its tasks start."""
    kind = rng.choice(("lasting", "lasting", "gang", "fills", "speculative", "saves"))
    step = make_step(rng.randrange(1, 4), **{kind: True})
    duration_ms = None if kind == "lasting" else LONG_MS
    cluster.submit(make_spec(job, step), POLICY, {0: duration_ms})
    delay_ms = rng.randrange(rng.choice((20, 800, 4_000)))
    cluster.schedule(delay_ms, lambda: cluster.cancel(job))


def break_owner(cluster: CellCluster, rng: Random) -> None:
    """Replace the owner, or end or start an outage of the store."""
    draw = rng.random()
    if not cluster.is_store_up or draw < 0.3:
        cluster.is_store_up = not cluster.is_store_up
    elif draw < 0.5:
        cluster.hand_over()
    else:
        if draw < 0.8:
            cluster.kill_owner()
        cluster.take_over()


def break_worker(cluster: CellCluster, rng: Random) -> None:
    """Start or end a fault of a worker."""
    worker = rng.choice(list(cluster.workers.values()))
    draw = rng.random()
    if not worker.is_up:
        cluster.revive(worker.id)
    elif draw < 0.2:
        worker.crash()
    elif draw < 0.4:
        worker.crash()
        cluster.revive(worker.id)
    elif draw < 0.6:
        cluster.unlisted_workers ^= {worker.id}
    elif draw < 0.7:
        worker.drain()
    else:
        worker.is_isolated = not worker.is_isolated


def play(seed: int) -> CellCluster:
    """Cancel jobs among faults, and let time pass without faults."""
    cluster = CellCluster(seed=seed)
    rng = Random(seed)
    cluster.run(500)
    for number in range(ROUNDS):
        if number % 5 == 0:
            harm_deliveries(cluster, rng)
        submit_and_cancel(cluster, f"j{number}", rng)
        if rng.random() < 0.15:
            break_owner(cluster, rng)
        if rng.random() < 0.4:
            break_worker(cluster, rng)
        cluster.run(rng.randrange(300))
    end_faults(cluster)
    cluster.run(SETTLE_MS)
    return cluster


@pytest.mark.parametrize("first_seed", range(0, SEEDS, SEEDS_PER_TEST))
def test_no_run_of_a_cancelled_job_goes_on_after_faults(first_seed: int) -> None:
    """Guards against stops that are not repeated, and runs that no owner knows."""
    violations = {}
    for seed in range(first_seed, first_seed + SEEDS_PER_TEST):
        cluster = play(seed)
        assert cluster.cancellations.cancelled_at
        violations[seed] = cluster.ground_truth.violations
        violations[seed] += cluster.cancellations.list_running()
    assert not {seed: found for seed, found in violations.items() if found}


CancellationFaults.TestCase.settings = settings(max_examples=30, stateful_step_count=10)
TestCancellationFaults = CancellationFaults.TestCase
