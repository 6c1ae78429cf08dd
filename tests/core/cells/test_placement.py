"""The ranking that is kept up to date during a round, and steps without waiting tasks."""

from random import Random

import pytest

from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.placement import Placement
from quetzallock_core.cells.policies import PACK, PLACEMENTS, SPREAD
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

CAPACITY = Resources(8_000, 64_000, 0)


def make_loaded_cluster(seed: int) -> CellCluster:
    """Return a cluster with serving and best-effort tasks on its workers."""
    cluster = CellCluster(workers=12, capacity=CAPACITY, seed=seed)
    cluster.run(500)
    serving = make_step(14, lasting=True, image="s", target_ms=100)
    cluster.submit(make_spec("serving", serving), POLICY, {0: None})
    best_effort = make_step(10, fills=True, image="f")
    cluster.submit(make_spec("fills", best_effort), POLICY, {0: 9_000})
    cluster.run(700)
    return cluster


@pytest.mark.parametrize("policy", [SPREAD, PACK])
def test_ranking_and_scan_choose_the_same_worker(policy: str) -> None:
    """A ranking with outdated costs would choose another worker than a scan of all workers."""
    policies = {"pool": PLACEMENTS.get(policy)}
    for seed in range(8):
        cluster = make_loaded_cluster(seed)
        state = cluster.cell.state
        rng = Random(seed)
        fields = rng.choice(
            [
                {},
                {"max_per_worker": 2},
                {"fills": True, "image": "f"},
                {"lasting": True, "image": "s", "target_ms": 100},
            ]
        )
        spec = make_spec("new", make_step(20, **fields))
        cluster.submit(spec, POLICY, {0: 9_000})
        job = state.jobs["new"]
        step = job.open_occurrence(0).steps[0]
        step.ready_at = state.clock.now()
        placement = Placement(
            state.workers.values(), state.interference, state.clock.now(), policies
        )
        for task in step.tasks:
            task.avoid.update(rng.sample(sorted(state.workers), rng.choice([0, 0, 1, 4, 12])))
            fresh_placement = Placement(
                state.workers.values(), state.interference, state.clock.now(), policies
            )
            expected = fresh_placement._scan_workers(task, False, "")
            worker = placement.choose(task)
            assert worker is expected
            if worker is None:
                break
            cluster.cell._scheduler.start(task, worker, state.next_run_number(), state.clock.now())
            placement.update_worker(worker)


def test_step_without_a_waiting_task_is_skipped_until_a_run_ends() -> None:
    """A step that stayed skipped after a run has ended would never restart its task."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(2, lasting=True)), POLICY, {0: None})
    cluster.run(300)
    step = cluster.cell.state.jobs["a"].occurrences[0].steps[0]
    assert step.has_no_waiting_task
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.run(2_000)
    assert len(cluster.ground_truth.list_running("a")) == 2


@pytest.mark.parametrize("policy", [SPREAD, PACK])
def test_step_is_ranked_once_for_all_of_its_tasks(
    policy: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Costs of all workers for each task would make an owner too slow for hundreds of workers."""
    cluster = make_loaded_cluster(1)
    state = cluster.cell.state
    monkeypatch.setattr(state.placing, "policies", {"pool": PLACEMENTS.get(policy)})
    computed = []
    compute = Placement._compute_total_cost
    monkeypatch.setattr(
        Placement,
        "_compute_total_cost",
        lambda *given: computed.append(given) or compute(*given),
    )
    cluster.submit(make_spec("new", make_step(20)), POLICY, {0: 9_000})
    state.jobs["new"].is_stored = True
    state.open_job(state.jobs["new"])
    cluster.cell.start_waiting_tasks()
    assert all(task.runs for task in state.jobs["new"].list_tasks())
    assert len(computed) <= len(cluster.workers) + 20


def test_urgent_round_starts_all_but_best_effort_tasks() -> None:
    """A round over many best-effort tasks takes long, and short tasks would wait for it."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    state = cluster.cell.state
    for name, fields in (
        ("best-effort", {"fills": True}),
        ("short", {}),
        ("long", {"lasting": True}),
    ):
        cluster.submit(make_spec(name, make_step(2, **fields)), POLICY, {0: 9_000})
        state.jobs[name].is_stored = True
        state.open_job(state.jobs[name])
    cluster.cell.start_urgent_tasks()
    started = {
        name: any(task.runs for task in job.list_tasks()) for name, job in state.jobs.items()
    }
    assert started == {"best-effort": False, "short": True, "long": True}
    cluster.cell.start_waiting_tasks()
    assert all(task.runs for task in state.jobs["best-effort"].list_tasks())


def test_room_that_a_start_elsewhere_releases_is_used_in_the_same_round() -> None:
    """With room as of the begin of the round, a task that fits there now would be passed over."""
    cluster = CellCluster(workers=2, capacity=CAPACITY)
    cluster.run(500)
    state = cluster.cell.state
    now = state.clock.now()
    tasks = []
    for number, cpu in enumerate((2_000, 5_000, 7_000)):
        spec = make_spec(f"job{number}", make_step(1, needs=Resources(cpu, 1_000, 0)))
        cluster.submit(spec, POLICY, {0: 9_000})
        job = state.jobs[spec.job]
        job.is_stored = True
        state.open_job(job)
        tasks += job.list_tasks()
    filler, moved, widest = tasks
    scheduler = cluster.cell._scheduler
    scheduler.start(filler, state.workers["w1"], state.next_run_number(), now)
    state.reservations.reserve_for_waiting(moved, state.workers["w0"], (), now + 1_000)
    placement = state.make_placement()
    worker = placement.choose(moved)
    assert worker is state.workers["w1"]
    scheduler.start(moved, worker, state.next_run_number(), now)
    placement.update_worker(worker)
    assert placement.choose(widest) is state.workers["w0"]
