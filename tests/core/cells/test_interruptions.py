"""What the log says of the time of a long-running task without a run, and of draining workers."""

from typing import Any

import pytest

from quetzallock_core.cells import interruptions
from quetzallock_core.cells.const import CLOCK_DRIFT, LEASE_MARGIN_MS, MAX_LEASE_MS
from quetzallock_core.cells.drains import DRAIN_EVENT, NO_ROOM, UNAVAILABLE_LIMIT
from quetzallock_core.cells.interruptions import (
    BEFORE_TAKEOVER,
    CAPACITY_WAIT,
    END_UNSEEN,
    OWNER_WAIT,
    RESUMED_EVENT,
    START_UNCONFIRMED,
)
from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.workers import EmulatedWorker

from .common import POLICY, TracedCluster, make_step

LEASE_LAPSE_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
SETTLE_MS = LEASE_LAPSE_MS + 4_000
"""Time in which the tasks of a lost worker have started elsewhere."""
FULL = Resources(2_000, 8_000, 0)
"""Capacity of a worker for two tasks."""


def make_running(workers: int = 2, tasks: int = 2, **fields: Any) -> TracedCluster:
    """Return a cluster that runs a job "a" of long-running tasks."""
    capacity = fields.pop("capacity", None)
    cluster = TracedCluster(workers=workers, capacity=capacity)
    cluster.run(500)
    step = make_step(tasks, lasting=True, **fields)
    cluster.submit(make_spec("a", step), POLICY, {0: None})
    cluster.run(1_000)
    assert len(cluster.ground_truth.list_running("a")) == tasks
    return cluster


def find_worker(cluster: TracedCluster) -> EmulatedWorker:
    """Return the worker of the job's first task."""
    return next(worker for worker in cluster.workers.values() if "a.0.0.0" in worker.runs)


def get_resumed(cluster: TracedCluster, task: str = "a.0.0.0") -> dict[str, Any]:
    """Return the inputs of the only line on a task that has a run again."""
    (inputs,) = [line for line in cluster.list_inputs(RESUMED_EVENT) if line["task"] == task]
    return inputs


def assert_parts_add_up(inputs: dict[str, Any]) -> None:
    assert sum(inputs["parts_ms"].values()) == inputs["after_ms"]
    assert inputs["parts_ms"][inputs["longest"]] == max(inputs["parts_ms"].values())


def test_wait_for_a_lease_counts_from_the_last_answer_of_the_worker() -> None:
    cluster = make_running()
    lost = find_worker(cluster)
    lost.crash()
    cluster.run(SETTLE_MS)
    inputs = get_resumed(cluster)
    assert (inputs["worker"], inputs["how"], inputs["longest"]) == (lost.id, "lapsed", END_UNSEEN)
    assert inputs["drained_ms"] == -1 and inputs["starts"] == 1 and not inputs["adopted"]
    assert inputs["parts_ms"][END_UNSEEN] >= LEASE_LAPSE_MS
    assert_parts_add_up(inputs)


def test_move_off_a_draining_worker_is_a_short_interruption_after_a_stop() -> None:
    cluster = make_running()
    find_worker(cluster).drain()
    cluster.run(2_000)
    inputs = get_resumed(cluster)
    assert inputs["how"] == "stopped" and inputs["drained_ms"] >= 0
    assert inputs["after_ms"] < 500
    assert_parts_add_up(inputs)


def test_wait_for_capacity_is_told_apart_from_the_lease_with_what_was_lacking() -> None:
    cluster = make_running(tasks=4, capacity=FULL)
    lost = find_worker(cluster)
    lost.crash()
    cluster.run(3 * LEASE_LAPSE_MS)
    assert not cluster.list_inputs(RESUMED_EVENT)
    cluster.revive(lost.id)
    cluster.run(3_000)
    inputs = get_resumed(cluster)
    assert (inputs["longest"], inputs["reason"]) == (CAPACITY_WAIT, "cpu")
    assert inputs["obstacles"] == {"cpu": 1}
    assert_parts_add_up(inputs)


@pytest.mark.parametrize("is_handed_over", [True, False])
def test_wait_of_a_new_owner_for_an_unverified_worker_is_the_owners(is_handed_over: bool) -> None:
    cluster = make_running()
    lost = find_worker(cluster)
    lost.crash()
    cluster.run(100)
    if is_handed_over:
        cluster.hand_over()
    else:
        cluster.kill_owner()
        cluster.take_over()
    cluster.run(SETTLE_MS)
    inputs = get_resumed(cluster)
    assert (inputs["how"], inputs["longest"]) == (BEFORE_TAKEOVER, OWNER_WAIT)
    assert inputs["worker"] == (lost.id if is_handed_over else "")
    assert inputs["parts_ms"][CAPACITY_WAIT] == 0
    assert_parts_add_up(inputs)


def test_time_without_permission_to_start_is_not_counted_as_a_wait_for_capacity() -> None:
    cluster = make_running(workers=3)
    lost = find_worker(cluster)
    lost.crash()
    cluster.run(LEASE_LAPSE_MS - 1_000)
    cluster.cell.may_order = False
    cluster.run(SETTLE_MS)
    assert not cluster.list_inputs(RESUMED_EVENT)
    cluster.cell.may_order = True
    cluster.run(1_000)
    inputs = get_resumed(cluster)
    assert inputs["how"] == "lapsed"
    assert inputs["parts_ms"][OWNER_WAIT] > 2_000
    assert inputs["parts_ms"][CAPACITY_WAIT] < 200
    assert_parts_add_up(inputs)


def test_unanswered_starts_are_counted_as_unconfirmed() -> None:
    cluster = make_running(tasks=1)
    find_worker(cluster).crash()
    cluster.holds_orders = True
    cluster.run(3 * LEASE_LAPSE_MS)
    assert not cluster.list_inputs(RESUMED_EVENT)
    cluster.holds_orders = False
    cluster.run(2_000)
    inputs = get_resumed(cluster)
    assert (inputs["how"], inputs["longest"]) == ("lapsed", START_UNCONFIRMED)
    assert inputs["parts_ms"][START_UNCONFIRMED] > LEASE_LAPSE_MS and inputs["starts"] == 1
    assert_parts_add_up(inputs)


def test_job_without_faults_has_no_interruption_and_none_is_kept_after_a_cancel() -> None:
    cluster = make_running(tasks=4, capacity=FULL)
    assert not cluster.list_inputs(RESUMED_EVENT)
    find_worker(cluster).crash()
    cluster.run(SETTLE_MS)
    assert cluster.cell.state.interruptions._by_task
    cluster.cancel("a")
    cluster.run(1_000)
    assert not cluster.cell.state.interruptions._by_task


def test_running_tasks_that_a_new_owner_finds_are_no_interruption() -> None:
    cluster = make_running()
    cluster.hand_over()
    cluster.run(SETTLE_MS)
    assert not cluster.list_inputs(RESUMED_EVENT)


def test_followed_tasks_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(interruptions, "MAX_FOLLOWED_INTERRUPTIONS", 1)
    cluster = make_running(tasks=4, capacity=FULL)
    find_worker(cluster).crash()
    cluster.run(SETTLE_MS)
    assert len(cluster.cell.state.interruptions._by_task) == 1
    assert len(cluster.list_inputs("task.interruption_dropped")) == 1


def test_draining_worker_whose_runs_could_not_move_is_reported_once_with_the_reason() -> None:
    cluster = make_running(tasks=4, capacity=FULL)
    leaving = find_worker(cluster)
    leaving.drain()
    cluster.run(2_000)
    leaving.crash()
    cluster.run(SETTLE_MS)
    (inputs,) = cluster.list_inputs(DRAIN_EVENT)
    assert (inputs["worker"], inputs["left"], inputs["moves"]) == (leaving.id, 2, 0)
    assert inputs["last_failure"] == NO_ROOM and inputs["searches"]
    assert not cluster.cell.state.drains._by_worker


def test_report_on_a_draining_worker_counts_the_moves_and_what_held_the_others_back() -> None:
    cluster = make_running(workers=3, tasks=6, max_unavailable=1)
    leaving = find_worker(cluster)
    runs = len(leaving.runs)
    leaving.drain()
    cluster.run(4_000)
    leaving.crash()
    cluster.run(SETTLE_MS)
    (inputs,) = cluster.list_inputs(DRAIN_EVENT)
    assert (inputs["left"], inputs["moves"], inputs["searches"]) == (0, runs, runs)
    assert set(inputs["failures"]) == {UNAVAILABLE_LIMIT}
