"""Owners that are stalled: what has arrived meanwhile counts as taken when it is processed.

A reading of a worker's clock, or an end, may have waited in a socket for seconds, and a tick may
come before it is read. Neither must let a lease count as lapsed too early.
"""

from random import Random

import pytest

from quetzallock_core.cells.const import CLOCK_DRIFT
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import STEP_MS

from .common import submit_plain

STALLS_MS = (300, 1_600, 4_700, 5_100, 5_500, 5_900, 6_200)
ROUNDS = 8


def stall(cluster: CellCluster, ms: int, *, ticks_first: bool) -> None:
    """Let time pass for the workers only, and let the owner tick then, perhaps before it reads."""
    until = cluster.clock.now() + ms
    while cluster.clock.now() < until:
        cluster.clock.advance(STEP_MS)
        for worker in cluster.workers.values():
            worker.advance(STEP_MS)
    if ticks_first:
        cluster.cell.handle_entries(cluster._list_entries())
        cluster.cell.tick()
        cluster.run_effects(cluster.owner)


def play(seed: int) -> CellCluster:
    """Stall the owner again and again, beside silent workers, lost answers and takeovers."""
    rng = Random(seed)
    cluster = CellCluster(seed=seed)
    cluster.order_loss_rate = cluster.answer_delay_rate = 0.1
    for worker in cluster.workers.values():
        worker.clock_rate = rng.choice((1.0, 1.0 - CLOCK_DRIFT))
    cluster.run(500)
    for number in range(ROUNDS):
        submit_plain(cluster, f"j{number}", rng.randint(2, 6), rng.choice((300, 1_500, 9_000)))
        cluster.run(rng.randint(10, 400))
        silent = cluster.workers[rng.choice(sorted(cluster.workers))]
        silent.is_isolated = rng.random() < 0.5
        cluster.run(rng.randint(0, 200))
        stall(cluster, rng.choice(STALLS_MS), ticks_first=rng.random() < 0.5)
        cluster.run(rng.randint(0, 1_500))
        _replace_owner(cluster, rng)
        silent.is_isolated = False
        cluster.run(rng.randint(0, 500))
    cluster.run(25_000)
    return cluster


def _replace_owner(cluster: CellCluster, rng: Random) -> None:
    kind = rng.random()
    if kind < 0.2:
        cluster.hand_over()
    elif kind < 0.4:
        cluster.kill_owner()
        cluster.take_over()


@pytest.mark.parametrize("seed", range(12))
def test_no_task_runs_twice_beside_stalls_of_the_owner(seed: int) -> None:
    cluster = play(seed)
    assert cluster.ground_truth.violations == []
    states = {cluster.cell.find_state(f"j{number}") for number in range(ROUNDS)}
    assert states <= {"completed", None}
