"""Random takeovers and hand-overs in a row, beside silent workers, restarts and false entries."""

from random import Random

import pytest

from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step, submit_plain
from .test_run_ends import FalseEntries

ROUNDS = 5
MAX_OWNERS_IN_A_ROW = 4
HELD_MS = (30, 120, 300, 1_200, 1_500, 4_000, 9_500)
"""How long each owner of a row holds the cell."""


def play(seed: int) -> CellCluster:
    """Replace the owner again and again while workers that it has not heard are silent."""
    rng = Random(seed)
    cluster = CellCluster(seed=seed)
    cluster.run(500)
    for number in range(ROUNDS):
        submit_plain(cluster, f"j{number}", rng.randint(2, 6), rng.choice((300, 1_500, 9_000)))
        spec = make_spec(f"l{number}", make_step(2, lasting=True))
        cluster.submit(spec, POLICY, {0: None})
        cluster.run(rng.randint(10, 2_500))
        _replace_owners(cluster, rng)
        cluster.run(rng.randint(0, 1_000))
    cluster.run(25_000)
    return cluster


def _replace_owners(cluster: CellCluster, rng: Random) -> None:
    """Let several owners follow each other; workers fall silent before the first takeover."""
    silent = rng.sample(sorted(cluster.workers), rng.randint(1, 2))
    is_planned = rng.random() < 0.3
    if not is_planned:
        cluster.kill_owner()
    for worker in silent:
        if rng.random() < 0.3:
            cluster.workers[worker].crash()
            cluster.revive(worker)
        cluster.workers[worker].is_isolated = True
    entries = FalseEntries(cluster, rng.sample(silent, 1), boot_ms=rng.choice((0, 10**12)))
    for _ in range(rng.randint(1, MAX_OWNERS_IN_A_ROW)):
        if cluster.owner.is_running and rng.random() < 0.5:
            cluster.hand_over()
        else:
            cluster.kill_owner()
            cluster.take_over()
        cluster.run(rng.choice(HELD_MS))
        if rng.random() < 0.3:
            entries.remove()
    entries.remove()
    cluster.run(rng.randint(0, 200))
    for worker in silent:
        cluster.workers[worker].is_isolated = False


@pytest.mark.parametrize("seed", range(12))
def test_no_task_runs_twice_after_takeovers_in_a_row(seed: int) -> None:
    cluster = play(seed)
    assert cluster.ground_truth.violations == []
    assert all(cluster.cell.find_state(f"l{number}") == "running" for number in range(ROUNDS))
