"""Stops that are lost, or are answered although the run goes on."""

import pytest

from quetzallock_core.cells.orders import StopRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.workers import Answer, EmulatedWorker

from .common import POLICY, make_step

CANCEL_MS = 3_000
"""Time after an acknowledged cancellation within which the runs of the job are stopped."""


def make_cluster_with_sent_start(count: int, lasting: bool) -> CellCluster:
    """Return a cluster whose workers have received start orders that are not answered yet."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    duration_ms = None if lasting else 20_000
    cluster.submit(make_spec("a", make_step(count, lasting=lasting)), POLICY, {0: duration_ms})
    while not cluster.counters["StartRun"]:
        cluster.run(5)
    tasks = cluster.cell.state.jobs["a"].list_tasks()
    assert not any(run.has_begun for task in tasks for run in task.runs.values())
    return cluster


def cancel_with_lost_stops(cluster: CellCluster) -> int:
    """Cancel the job, whose stop orders get no answer and are carried out 12 s late."""
    cluster.order_delay_rate = 1.0
    cluster.rng.randrange = lambda _start, stop: stop  # type: ignore[method-assign, assignment]
    ticket = cluster.cancel("a")
    cluster.order_delay_rate = 0.0
    return ticket


@pytest.mark.parametrize("lasting", [False, True])
@pytest.mark.parametrize("count", [1, 4])
def test_lost_stop_is_repeated_although_the_start_is_answered_later(
    count: int, lasting: bool
) -> None:
    """Guards against a task that runs on after its job's acknowledged cancellation."""
    cluster = make_cluster_with_sent_start(count, lasting)
    ticket = cancel_with_lost_stops(cluster)
    cluster.run(100)
    assert cluster.owner.outcomes[ticket] == "cancelled"
    cluster.run(CANCEL_MS + cluster.bounds.stop_ms)
    assert not cluster.ground_truth.list_running("a")


def test_stop_is_repeated_while_the_worker_lists_the_run_after_its_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against trust in an answer that the worker's inventories contradict."""
    cluster = CellCluster(workers=1)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    worker = cluster.workers["w0"]

    def answer_only(_worker: EmulatedWorker, _order: StopRun, _epoch: int) -> Answer:
        return Answer("ok", worker.clock_ms)

    with monkeypatch.context() as patch:
        patch.setattr(EmulatedWorker, "stop", answer_only)
        cluster.cancel("a")
        cluster.run(50)
    cluster.run(CANCEL_MS + cluster.bounds.stop_ms)
    assert not cluster.ground_truth.list_running("a")


def test_answered_stop_is_not_repeated_while_the_worker_has_time_to_carry_it_out() -> None:
    """Guards against orders without need: one stop a run, if the worker answers it."""
    cluster = CellCluster(workers=1)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(4, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    cluster.cancel("a")
    cluster.run(CANCEL_MS)
    assert cluster.counters["StopRun"] == 4
