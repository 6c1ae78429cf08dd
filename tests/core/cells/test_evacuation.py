"""Evacuated data centres: nothing starts there, whatever the owner has missed or decided before."""

from random import Random

import pytest

from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.orders import StartRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.operator import EmulatedOperator

from .common import POLICY, make_step, submit_plain
from .evacuations import (
    EVACUATION_MS,
    JOB_INTERVAL_MS,
    LATENCY_MS,
    MAX_VIEW_AGE_MS,
    ROOM_FOR_TWO,
    VIEW_MS,
    count_starts,
    make_cluster,
    run_until_view_age,
    run_with_jobs,
    submit_lasting,
)

SETTLE_MS = 20_000
"""Longer than an order is held back, and than a run of a cancelled job may go on after it."""


def test_nothing_starts_in_an_evacuated_data_centre_after_the_bound() -> None:
    cluster = make_cluster()
    run_with_jobs(cluster, 1_000, "before")
    assert count_starts(cluster, "a", 0)
    cluster.operator.evacuate("a")
    cluster.run(VIEW_MS)
    seen_at = cluster.clock.now()
    run_with_jobs(cluster, 2 * EVACUATION_MS, "after")
    assert count_starts(cluster, "a", seen_at) == 0
    assert count_starts(cluster, "b", seen_at) > 0
    assert cluster.cell.state.counters["evacuation.requested"] == 1
    assert not cluster.ground_truth.violations


def test_owner_that_takes_over_during_an_evacuation_starts_nothing_there() -> None:
    cluster = make_cluster()
    cluster.operator.evacuate("a")
    cluster.run(VIEW_MS)
    seen_at = cluster.clock.now()
    cluster.kill_owner()
    cluster.take_over()
    run_with_jobs(cluster, EVACUATION_MS, "after")
    assert count_starts(cluster, "a", seen_at) == 0
    assert count_starts(cluster, "b", seen_at) > 0
    assert cluster.cell.state.counters["evacuation.requested"] == 1


def test_owner_that_takes_over_with_a_stale_view_starts_nothing() -> None:
    cluster = make_cluster()
    cluster.operator.is_readable = False
    cluster.run(EVACUATION_MS)
    cluster.operator.evacuate("a")
    cluster.kill_owner()
    cluster.take_over()
    taken_over_at = cluster.clock.now()
    run_with_jobs(cluster, EVACUATION_MS, "after")
    assert count_starts(cluster, "a", taken_over_at) == 0
    assert count_starts(cluster, "b", taken_over_at) == 0


def test_owner_whose_view_becomes_stale_starts_nothing_until_it_is_current_again() -> None:
    cluster = make_cluster()
    cluster.operator.is_readable = False
    cluster.operator.evacuate("a")
    requested_at = cluster.clock.now()
    run_with_jobs(cluster, 2 * EVACUATION_MS, "stale")
    assert count_starts(cluster, "a", requested_at) > 0
    assert count_starts(cluster, "a", requested_at + EVACUATION_MS) == 0
    assert count_starts(cluster, "b", requested_at + EVACUATION_MS) == 0
    last_start_at = cluster.ground_truth.starts[-1][0]
    assert last_start_at <= cluster.operator.last_view[1] + MAX_VIEW_AGE_MS + LATENCY_MS
    cluster.operator.is_readable = True
    current_at = cluster.clock.now()
    run_with_jobs(cluster, 2_000, "current")
    assert count_starts(cluster, "a", current_at) == 0
    assert count_starts(cluster, "b", current_at) > 0


@pytest.mark.parametrize("gang", [False, True])
def test_start_order_lost_before_the_request_is_not_repeated(gang: bool) -> None:
    cluster = make_cluster(workers=4, capacity=Resources(1_000, 8_000, 0))
    lost_to = [w for w in cluster.workers.values() if w.entry.data_centre == "a"]
    for worker in lost_to:
        worker.is_isolated = True
    cluster.submit(make_spec("j", make_step(3, gang=gang)), POLICY, {0: 2_000})
    cluster.run(100)
    cluster.operator.evacuate("a")
    cluster.run(300)
    for worker in lost_to:
        worker.is_isolated = False
    cluster.run(6_000)
    assert count_starts(cluster, "a", 0) == 0
    assert not cluster.ground_truth.list_running("j")
    assert cluster.cell.find_state("j") == ("running" if gang else "completed")
    cluster.operator.readmit("a")
    cluster.run(EVACUATION_MS)
    assert cluster.cell.find_state("j") == "completed"
    assert not cluster.ground_truth.violations


def test_owner_that_has_never_read_the_topic_starts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(EmulatedOperator, "follow", lambda *_: None)
    cluster = make_cluster()
    run_with_jobs(cluster, 1_000, "j")
    assert not cluster.ground_truth.starts


def test_late_copy_of_an_unanswered_start_is_refused_once_the_view_is_stale() -> None:
    """The copy arrives when the bound of an evacuation that the owner cannot know has passed."""
    cluster = make_cluster()
    run_until_view_age(cluster, MAX_VIEW_AGE_MS - 100)
    cluster.order_delay_rate = 1.0
    submit_plain(cluster, "j", count=4)
    cluster.run(50)
    assert cluster.counters["StartRun"] == 4
    cluster.order_delay_rate = 0.0
    cluster.run(15_000)
    assert cluster.counters["StartRun"] == 4
    assert not cluster.ground_truth.starts


def test_older_view_does_not_replace_a_newer_one() -> None:
    cluster = make_cluster()
    now = cluster.clock.now()
    cluster.cell.handle_evacuations({"a"}, now)
    cluster.cell.handle_evacuations(set(), now - 1)
    assert cluster.cell.evacuations.data_centres == {"a"}


def test_start_that_was_decided_before_the_request_may_not_be_sent() -> None:
    cluster = make_cluster()
    orders = [
        StartRun(worker.id, 1, "", "j.0.0.0", 1, "", "", 0) for worker in cluster.workers.values()
    ]
    assert all(cluster.cell.may_send_start(order) for order in orders)
    cluster.operator.evacuate("a")
    cluster.run(VIEW_MS)
    assert [cluster.cell.may_send_start(order) for order in orders] == [False, True, False, True]
    run_until_view_age(cluster, MAX_VIEW_AGE_MS)
    assert not any(cluster.cell.may_send_start(order) for order in orders)


def test_start_that_waits_for_the_journal_is_withdrawn() -> None:
    cluster = make_cluster(workers=2)
    spec = make_spec("j", make_step(1, lasting=True))
    cluster.submit(spec, POLICY, {0: None}, crashes_worker=True)
    cluster.run(150)
    cluster.append_delay_ms = 400
    while not cluster.cell._scheduler._unsent:
        cluster.run(5)
        assert cluster.clock.now() < 30_000
    (run,) = cluster.cell._scheduler._unsent
    data_centre = cluster.workers[run.worker].entry.data_centre
    cluster.operator.evacuate(data_centre)
    seen_at = cluster.clock.now()
    cluster.run(EVACUATION_MS)
    assert cluster.cell.state.counters["start.withdrawn"] == 1
    assert count_starts(cluster, data_centre, seen_at) == 0
    assert not cluster.ground_truth.violations


def test_copies_of_stragglers_do_not_start_in_an_evacuated_data_centre() -> None:
    cluster = make_cluster(workers=2, capacity=Resources(1_000, 8_000, 0))
    cluster.submit(make_spec("j", make_step(1, speculative=True)), POLICY, {0: 4_000})
    cluster.run(100)
    (running,) = (w for w in cluster.workers.values() if w.runs)
    other = "b" if running.entry.data_centre == "a" else "a"
    cluster.operator.evacuate(other)
    cluster.run(3_500)
    assert count_starts(cluster, other, 0) == 0


def test_stale_view_keeps_stragglers_from_being_copied() -> None:
    cluster = make_cluster(workers=2)
    run_until_view_age(cluster, MAX_VIEW_AGE_MS - 300)
    cluster.submit(make_spec("j", make_step(1, speculative=True)), POLICY, {0: 30_000})
    cluster.run(3_500)
    assert len(cluster.ground_truth.starts) == 1


def test_all_data_centres_are_evacuated_at_once() -> None:
    cluster = make_cluster()
    submit_lasting(cluster, 4)
    cluster.operator.evacuate("a", "b")
    cluster.run(VIEW_MS)
    seen_at = cluster.clock.now()
    submit_plain(cluster, "j")
    cluster.run(EVACUATION_MS)
    assert len(cluster.ground_truth.starts) == 4
    assert len(cluster.ground_truth.list_running("s")) == 4
    cluster.operator.readmit("a", "b")
    cluster.run(2_000)
    assert count_starts(cluster, "a", seen_at) + count_starts(cluster, "b", seen_at) == 2
    assert cluster.cell.find_state("j") == "completed"
    assert cluster.cell.state.counters["evacuation.ended"] == 2


def test_evacuation_requested_again_within_seconds_holds_each_time() -> None:
    cluster = make_cluster()
    for number in range(4):
        cluster.operator.evacuate("a")
        cluster.run(VIEW_MS)
        seen_at = cluster.clock.now()
        run_with_jobs(cluster, 1_000, f"during{number}.")
        assert count_starts(cluster, "a", seen_at) == 0
        cluster.operator.readmit("a")
        returned_at = cluster.clock.now()
        run_with_jobs(cluster, 1_000, f"between{number}.")
        assert count_starts(cluster, "a", returned_at) > 0
    assert cluster.cell.state.counters["evacuation.requested"] == 4
    assert cluster.cell.state.counters["evacuation.ended"] == 4


def test_work_comes_back_after_the_end_and_to_cold_workers_last() -> None:
    cluster = make_cluster(workers=4, capacity=ROOM_FOR_TWO)
    cluster.operator.evacuate("a")
    cluster.run(VIEW_MS)
    cluster.workers["w0"].set_cold(4_000)
    cluster.operator.readmit("a")
    cluster.run(VIEW_MS)
    for number in range(4):
        cluster.submit(make_spec(f"j{number}", make_step(2)), POLICY, {0: 1_500})
        cluster.run(50)
    order = [worker for _, _, _, worker in cluster.ground_truth.starts]
    assert set(order[:6]) == {"w1", "w2", "w3"}
    assert order[6:] == ["w0", "w0"]


def test_cost_of_a_cold_worker_falls_with_the_remaining_time() -> None:
    cluster = make_cluster(workers=2)
    cluster.workers["w0"].set_cold(2_000)
    cluster.run(3_000)
    submit_plain(cluster, "j")
    cluster.run(100)
    assert {worker for _, _, _, worker in cluster.ground_truth.starts} == {"w0", "w1"}


def test_nothing_changes_where_the_deployment_sets_no_bound() -> None:
    cluster = CellCluster(workers=2, data_centres=("a", "b"))
    cluster.workers["w0"].set_cold(60_000)
    cluster.run(500)
    cluster.operator.evacuate("a", "b")
    cluster.operator.is_readable = False
    cluster.run(2 * EVACUATION_MS)
    submit_plain(cluster, "j")
    cluster.run(1_000)
    assert {worker for _, _, _, worker in cluster.ground_truth.starts} == {"w0", "w1"}
    assert not cluster.cell.state.counters["evacuation.requested"]


@pytest.mark.parametrize("seed", range(6))
def test_bound_holds_under_lost_orders_outages_and_takeovers(seed: int) -> None:
    cluster = make_cluster(workers=6)
    cluster.order_loss_rate = 0.1
    cluster.order_delay_rate = 0.05
    cluster.busy_rate = 0.05
    cluster.answer_delay_rate = 0.2
    rng = Random(seed)
    requested: dict[str, int] = {}
    checked = 0
    for number in range(200):
        submit_plain(cluster, f"j{number}", count=4, duration_ms=300)
        if number % 20 == 0:
            spec = make_spec(f"lasting{number}", make_step(2, lasting=True))
            cluster.submit(spec, POLICY, {0: None})
        if rng.random() < 0.2:
            cluster.cancel(rng.choice(list(cluster.cell.state.jobs)))
        data_centre = rng.choice("ab")
        if rng.random() < 0.05 and data_centre not in requested:
            cluster.operator.evacuate(data_centre)
            requested[data_centre] = cluster.clock.now()
        elif rng.random() < 0.03 and data_centre in requested:
            cluster.operator.readmit(data_centre)
            del requested[data_centre]
        cluster.operator.is_readable ^= rng.random() < 0.1
        if rng.random() < 0.05:
            cluster.kill_owner()
            cluster.take_over()
        cluster.run(JOB_INTERVAL_MS)
        for at, task, _, worker in cluster.ground_truth.starts[checked:]:
            requested_at = requested.get(cluster.workers[worker].entry.data_centre, at)
            assert at <= requested_at + EVACUATION_MS, task
        checked = len(cluster.ground_truth.starts)
    assert checked > 100
    cluster.order_loss_rate = cluster.order_delay_rate = cluster.busy_rate = 0.0
    cluster.run(SETTLE_MS)
    assert not cluster.ground_truth.violations
    assert cluster.cancellations.cancelled_at
    assert not cluster.cancellations.list_running()
