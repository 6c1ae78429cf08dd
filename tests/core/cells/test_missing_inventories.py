"""Workers whose inventories are missing for a while: nothing is concluded from their silence."""

from .test_leaving_workers import find_busiest_worker, make_cluster


def test_short_cut_of_a_worker_stops_no_run_for_want_of_progress() -> None:
    cluster = make_cluster()
    cut_off = cluster.workers[find_busiest_worker(cluster)]
    cut_off.is_isolated = True
    cluster.run(3_500)
    cut_off.is_isolated = False
    cluster.run(1_000)
    assert not cluster.ground_truth.ends
    assert len(cluster.ground_truth.list_running("a")) == 6


def test_frozen_owner_stops_no_run_for_want_of_progress() -> None:
    cluster = make_cluster()
    cell = cluster.cell
    cluster.kill_owner()
    cluster.run(2_600)
    cell.pop_effects()
    cell.tick()
    assert cell.state.counters["run.stopped"] == 0
