"""How often the owner evaluates what has not changed, as the number of workers and tasks grows."""

from dataclasses import replace
from typing import Any

import pytest

from quetzallock_core.cells import inventory
from quetzallock_core.cells.const import MIGRATE_PAUSED_AFTER_MS, ROOM_SEARCH_PAUSE_MS
from quetzallock_core.cells.models import Resources, StepSpec
from quetzallock_core.cells.pacing import PAUSED_PACE
from quetzallock_core.cells.placement import STARVING_AFTER_MS, Placement
from quetzallock_core.cells.preemption import VictimSearch
from quetzallock_core.cells.preemption_limits import PreemptionLimits
from quetzallock_core.cells.regression import TermEstimates
from quetzallock_core.cells.scheduler import Scheduler
from quetzallock_core.cells.waiting import MAX_STEPS_REPORTED, REPORT_AFTER_MS, explain_waits
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import TICK_INTERVAL_MS, make_spec

from .common import BEST_EFFORT_POLICY, POLICY, SERVING_POLICY, make_step

CAPACITY = Resources(8_000, 64_000, 0)
WORKERS = 20


def count_calls(monkeypatch: pytest.MonkeyPatch, owner: type, name: str) -> list[None]:
    """Return a list that grows by one entry with each call of a method."""
    calls: list[None] = []
    method = getattr(owner, name)

    def call(*args: Any, **kwargs: Any) -> Any:
        calls.append(None)
        return method(*args, **kwargs)

    monkeypatch.setattr(owner, name, call)
    return calls


def make_colocated_cluster(serving_count: int) -> CellCluster:
    """Return a cluster with serving tasks of one image and a best-effort task on one worker.

    The memory of the other worker is committed.
    """
    cluster = CellCluster(workers=2, capacity=CAPACITY)
    cluster.run(500)
    full = StepSpec(1, Resources(100, CAPACITY.memory_mb, 0), lasting=True)
    cluster.submit(make_spec("full", full), POLICY, {0: None})
    serving = make_step(serving_count, lasting=True, image="s", target_ms=100)
    cluster.submit(make_spec("serving", serving), SERVING_POLICY, {0: None})
    cluster.run(1_500)
    best_effort = make_step(1, fills=True, image="f", saves=True)
    cluster.submit(make_spec("fills", best_effort), BEST_EFFORT_POLICY, {0: 60_000})
    cluster.run(STARVING_AFTER_MS + 1_000)
    return cluster


def test_learning_costs_do_not_grow_with_the_tasks_of_an_image(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an owner that spends its time on the same metric of each task of an image."""
    counts = []
    for serving_count in (1, 4):
        cluster = make_colocated_cluster(serving_count)
        with monkeypatch.context() as patch:
            observed = count_calls(patch, TermEstimates, "observe")
            cluster.run(1_000)
        counts.append(len(observed))
    assert counts[0] > 0
    assert counts[1] <= counts[0]


def test_placement_of_stopped_tasks_evaluates_each_worker_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an evaluation of all workers for each task that avoids one of them."""
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    cluster.submit(make_spec("job", make_step(WORKERS)), POLICY, {0: 9_000})
    state = cluster.cell.state
    step = state.jobs["job"].open_occurrence(0).steps[0]
    placement = state.make_placement()
    evaluated = count_calls(monkeypatch, Placement, "_compute_total_cost")
    for number, task in enumerate(step.tasks):
        task.avoid.add(f"w{number}")
        assert placement.choose(task) is not None
    assert len(evaluated) == WORKERS


def test_tasks_for_which_no_worker_has_room_are_not_evaluated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rounds that grow with the steps that wait for room."""
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    needs = Resources(CAPACITY.cpu // 2 + 1, 1_000, 0)
    cluster.submit(make_spec("full", StepSpec(WORKERS, needs)), POLICY, {0: 9_000})
    cluster.run(500)
    for number in range(5):
        step = StepSpec(1, Resources(CAPACITY.cpu // 2 + number, 1_000, 0))
        cluster.submit(make_spec(f"waits{number}", step), POLICY, {0: 9_000})
    evaluated = count_calls(monkeypatch, Placement, "_compute_total_cost")
    cluster.run(500)
    assert not evaluated


def test_report_of_waiting_steps_looks_at_the_workers_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a tick that grows with the steps in a report."""
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    too_wide = Resources(CAPACITY.cpu + 1, 1_000, 0)
    for number in range(MAX_STEPS_REPORTED):
        cluster.submit(make_spec(f"waits{number}", StepSpec(1, too_wide)), POLICY, {0: 500})
    cluster.run(REPORT_AFTER_MS + 100)
    state = cluster.cell.state
    placements = count_calls(monkeypatch, Placement, "__init__")
    assert len(explain_waits(state, state.clock.now())) == MAX_STEPS_REPORTED
    assert len(placements) == 1


def test_search_for_victims_checks_each_worker_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against two checks of the constraints of each worker in each search."""
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    full = StepSpec(WORKERS, CAPACITY)
    cluster.submit(make_spec("full", full), BEST_EFFORT_POLICY, {0: 9_000})
    cluster.run(500)
    cluster.submit(make_spec("waits", StepSpec(1, CAPACITY)), POLICY, {0: 500})
    state = cluster.cell.state
    task = state.jobs["waits"].open_occurrence(0).steps[0].tasks[0]
    search = VictimSearch(state, PreemptionLimits(), state.clock.now(), first_worker=0)
    checked = count_calls(monkeypatch, VictimSearch, "_may_use")
    assert len(search.list_choices(task)) == WORKERS
    assert len(checked) == WORKERS


def test_workers_without_room_for_a_step_are_not_ranked(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rounds that grow with the workers that are full."""
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    cluster.submit(make_spec("full", StepSpec(WORKERS - 1, CAPACITY)), POLICY, {0: 9_000})
    cluster.run(500)
    cluster.submit(make_spec("fits", make_step(1)), POLICY, {0: 9_000})
    state = cluster.cell.state
    task = state.jobs["fits"].open_occurrence(0).steps[0].tasks[0]
    placement = state.make_placement()
    evaluated = count_calls(monkeypatch, Placement, "_compute_total_cost")
    assert placement.choose(task) is not None
    assert len(evaluated) == 1


@pytest.mark.parametrize("queues", [1, 2])
def test_steps_without_room_on_any_worker_are_left_out_unless_queues_compete(
    monkeypatch: pytest.MonkeyPatch, queues: int
) -> None:
    """Guards against rounds in a full pool that grow with the steps that wait."""
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    cluster.submit(make_spec("full", StepSpec(WORKERS, CAPACITY)), POLICY, {0: 9_000})
    cluster.run(500)
    for number in range(WORKERS):
        policy = replace(POLICY, queue=f"queue{number % queues}")
        cluster.submit(make_spec(f"waits{number}", make_step(1)), policy, {0: 500})
    cluster.run(500)
    tried = count_calls(monkeypatch, Scheduler, "_start_tasks")
    cluster.cell.start_waiting_tasks()
    assert len(tried) == (0 if queues == 1 else WORKERS)


def test_steps_of_one_kind_are_ranked_together(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against rounds that evaluate all workers for each of many small jobs."""
    cluster = CellCluster(workers=WORKERS, capacity=CAPACITY)
    cluster.run(500)
    state = cluster.cell.state
    for number in range(WORKERS):
        cluster.submit(make_spec(f"small{number}", make_step(1)), POLICY, {0: 9_000})
    for job in state.jobs.values():
        job.is_stored = True
        state.open_job(job)
    evaluated = count_calls(monkeypatch, Placement, "_compute_total_cost")
    cluster.cell.start_waiting_tasks()
    assert all(task.runs for job in state.jobs.values() for task in job.list_tasks())
    assert len(evaluated) <= 2 * WORKERS


def test_paused_runs_without_another_worker_are_searched_for_at_an_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an evaluation of all workers in each tick for each paused run."""
    cluster = make_colocated_cluster(1)
    state = cluster.cell.state
    monkeypatch.setattr(inventory, "plan_pace_changes", lambda *_: [])
    for run in state.jobs["fills"].occurrences[0].steps[0].tasks[0].runs.values():
        state.pace_run(run, PAUSED_PACE)
    cluster.run(MIGRATE_PAUSED_AFTER_MS)
    evaluated = count_calls(monkeypatch, Placement, "_compute_total_cost")
    period_ms = 10 * TICK_INTERVAL_MS
    cluster.run(period_ms)
    assert 0 < len(evaluated) <= period_ms // ROOM_SEARCH_PAUSE_MS + 1


def test_paused_run_is_moved_although_another_of_its_step_has_no_other_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a run that stays paused since the search for the first one always fails."""
    cluster = CellCluster(workers=2, capacity=CAPACITY)
    cluster.run(500)
    monkeypatch.setattr(inventory, "plan_pace_changes", lambda *_: [])
    needs = Resources(1_000, CAPACITY.memory_mb // 2, 0)
    fills = StepSpec(2, needs, estimate_ms=500, fills=True, saves=True, image="f")
    cluster.submit(make_spec("fills", fills), BEST_EFFORT_POLICY, {0: 60_000})
    cluster.run(500)
    cluster.submit(make_spec("full", StepSpec(1, needs, lasting=True)), POLICY, {0: None})
    state = cluster.cell.state
    full = state.jobs["full"]
    full.is_stored = True
    state.open_job(full)
    scheduler = cluster.cell._scheduler
    now = state.clock.now()
    scheduler.start(full.list_tasks()[0], state.workers["w1"], state.next_run_number(), now)
    cluster.run(500)
    tasks = state.jobs["fills"].list_tasks()
    runs = {run.worker: run for task in tasks for run in task.runs.values()}
    assert set(runs) == {"w0", "w1"}
    for run in runs.values():
        state.pace_run(run, PAUSED_PACE)
    cluster.run(MIGRATE_PAUSED_AFTER_MS + 5 * ROOM_SEARCH_PAUSE_MS)
    assert runs["w1"].state != "running"
