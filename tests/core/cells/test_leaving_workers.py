"""Workers that leave after they have announced it, also while owners change: their tasks go on."""

import pytest

from quetzallock_core.cells.const import (
    CLOCK_DRIFT,
    LEASE_MARGIN_MS,
    MAX_LEASE_MS,
    MAX_STEPS_MOVED_PER_TICK,
    ROOM_SEARCH_PAUSE_MS,
)
from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.placement import Placement
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import TICK_INTERVAL_MS, make_spec

from .common import POLICY, make_step

MIN_DRAIN_MS = 2_000
"""Shortest time between the announcement of a worker and its leave."""
HAND_OVER_INTERVAL_MS = 2_000
LEASE_LAPSE_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
RESTART_MARGIN_MS = 500


def make_cluster(
    workers: int = 4, tasks: int = 6, capacity: Resources | None = None, **fields: object
) -> CellCluster:
    """Return a cluster with one job of lasting tasks under way."""
    cluster = CellCluster(workers=workers, capacity=capacity)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(tasks, lasting=True, **fields)), POLICY, {0: None})
    cluster.run(1_000)
    assert len(cluster.ground_truth.list_running("a")) == tasks
    return cluster


def find_busiest_worker(cluster: CellCluster) -> str:
    """Return the id of the worker that runs the most tasks."""
    return max(cluster.workers, key=lambda worker: len(cluster.workers[worker].runs))


def test_hand_overs_do_not_restart_the_wait_for_the_lease_of_a_gone_worker() -> None:
    cluster = make_cluster()
    cluster.workers[find_busiest_worker(cluster)].crash()
    cluster.run(100)
    for _ in range(3):
        cluster.hand_over()
        cluster.run(HAND_OVER_INTERVAL_MS)
    cluster.run(LEASE_LAPSE_MS + RESTART_MARGIN_MS - 100 - 3 * HAND_OVER_INTERVAL_MS)
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_hand_overs_do_not_shorten_the_wait_for_the_lease_of_a_slow_clock() -> None:
    cluster = make_cluster()
    cut_off = cluster.workers[find_busiest_worker(cluster)]
    cut_off.clock_rate = 1 - CLOCK_DRIFT
    cut_off.is_isolated = True
    for _ in range(5):
        cluster.hand_over()
        cluster.run(HAND_OVER_INTERVAL_MS)
    assert not cut_off.runs
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_lasting_tasks_go_on_elsewhere_before_their_worker_leaves() -> None:
    cluster = make_cluster()
    leaving = cluster.workers[find_busiest_worker(cluster)]
    leaving.drain()
    cluster.run(MIN_DRAIN_MS)
    assert not leaving.runs
    leaving.crash()
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_lasting_task_stays_on_a_leaving_worker_while_no_other_has_room() -> None:
    cluster = make_cluster(workers=3, tasks=6, capacity=Resources(2_000, 8_000, 0))
    leaving = cluster.workers["w0"]
    leaving.drain()
    cluster.run(MIN_DRAIN_MS)
    assert len(leaving.runs) == 2
    assert len(cluster.ground_truth.list_running("a")) == 6


def test_only_as_many_tasks_leave_a_worker_as_others_have_room_for() -> None:
    cluster = make_cluster(workers=3, tasks=5, capacity=Resources(2_000, 8_000, 0))
    leaving = cluster.workers[find_busiest_worker(cluster)]
    leaving.drain()
    cluster.run(MIN_DRAIN_MS)
    assert len(leaving.runs) == 1
    assert len(cluster.ground_truth.list_running("a")) == 5
    assert not cluster.ground_truth.violations


def test_room_for_a_moving_task_is_not_given_to_another() -> None:
    cluster = make_cluster(workers=2, tasks=1, capacity=Resources(1_000, 8_000, 0))
    leaving = cluster.workers[find_busiest_worker(cluster)]
    leaving.drain()
    cluster.run(150)
    cluster.submit(make_spec("b", make_step(1)), POLICY, {0: 5_000})
    cluster.run(MIN_DRAIN_MS)
    assert cluster.ground_truth.list_running("a") == ["a.0.0.0"]
    assert not leaving.runs


def test_tasks_leave_a_worker_no_faster_than_their_step_may_miss() -> None:
    cluster = make_cluster(workers=2, tasks=4, max_unavailable=1)
    leaving = cluster.workers[find_busiest_worker(cluster)]
    leaving.drain()
    fewest = 4
    for _ in range(10 * MIN_DRAIN_MS // 100):
        cluster.run(10)
        fewest = min(fewest, len(cluster.ground_truth.list_running("a")))
    assert fewest == 3
    assert not leaving.runs


def test_move_off_a_leaving_worker_goes_on_under_the_next_owner() -> None:
    cluster = make_cluster()
    leaving = cluster.workers[find_busiest_worker(cluster)]
    leaving.drain()
    cluster.run(150)
    cluster.hand_over()
    cluster.run(MIN_DRAIN_MS)
    assert not leaving.runs
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


def test_lasting_tasks_are_not_moved_while_an_unverified_worker_keeps_them_from_starting() -> None:
    cluster = make_cluster()
    lost = find_busiest_worker(cluster)
    leaving = next(w for w, worker in cluster.workers.items() if worker.runs and w != lost)
    cluster.workers[leaving].drain()
    cluster.kill_owner()
    cluster.workers[lost].crash()
    cluster.take_over()
    cluster.run(3_000)
    assert not [end for end in cluster.ground_truth.ends if end[3] == "stopped"]


def test_moving_tasks_do_not_share_the_only_place_that_anti_affinity_leaves() -> None:
    cluster = make_cluster(workers=3, tasks=2, max_per_worker=1)
    for worker in cluster.workers.values():
        if worker.runs:
            worker.drain()
    cluster.run(MIN_DRAIN_MS)
    assert len(cluster.ground_truth.list_running("a")) == 2


def test_moving_best_effort_tasks_fit_the_idle_processor_of_their_target() -> None:
    capacity = Resources(4_000, 64_000, 0)
    cluster = make_cluster(workers=2, tasks=6, capacity=capacity, fills=True, image="f")
    cluster.workers[find_busiest_worker(cluster)].drain()
    cluster.run(MIN_DRAIN_MS)
    assert len(cluster.ground_truth.list_running("a")) == 6


def test_one_tick_moves_tasks_of_a_limited_number_of_steps() -> None:
    jobs = 3 * MAX_STEPS_MOVED_PER_TICK
    cluster = CellCluster(workers=2, capacity=Resources(jobs * 1_000, 200_000, 0))
    cluster.run(500)
    cluster.workers["w1"].drain()
    cluster.run(200)
    for number in range(jobs):
        cluster.submit(make_spec(f"a{number}", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    cluster.revive("w1")
    cluster.run(500)
    cluster.workers["w0"].drain()
    cluster.run(TICK_INTERVAL_MS + 20)
    assert 0 < cluster.cell.state.counters["run.stopped"] <= 2 * MAX_STEPS_MOVED_PER_TICK
    cluster.run(MIN_DRAIN_MS)
    assert not cluster.workers["w0"].runs
    assert len(cluster.ground_truth.list_running("a")) == jobs


def test_search_for_room_pauses_after_none_was_found(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = make_cluster(workers=3, tasks=6, capacity=Resources(2_000, 8_000, 0))
    searches = []
    choose = Placement.choose
    monkeypatch.setattr(
        Placement, "choose", lambda *given: searches.append(given) or choose(*given)
    )
    cluster.workers["w0"].drain()
    cluster.run(MIN_DRAIN_MS)
    assert 0 < len(searches) <= MIN_DRAIN_MS // ROOM_SEARCH_PAUSE_MS + 1
