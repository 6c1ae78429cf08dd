"""Tasks that crash the workers that start them, and workers that are lost for other causes."""

from collections import Counter
from dataclasses import replace
from random import Random

import pytest

from quetzallock_core.cells.models import QueuePolicy, Resources, StepSpec
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import REVIVE_DELAY_MS, make_spec

from .common import POLICY, make_step, submit_plain

MAX_CRASHES = 3
STARTS_AFTER_CRASHES = 3
"""Starts that the platform allows a task under which `MAX_CRASHES` workers have crashed."""
FAULT_POLICY = QueuePolicy("queue", "pool", 0, 3, 2.0, 1_000, 1)
HARMLESS_JOBS = 20
WORKER_RETURN_MS = 3_000
SETTLE_MS = 40_000
BEFORE_EXPIRY_MS = 110_000
"""Less than the time after which the cell forgets the state of an ended job."""


def make_cluster(workers: int = 6, capacity: Resources | None = None) -> CellCluster:
    """Return a cluster whose inventories were read."""
    cluster = CellCluster(workers=workers, capacity=capacity)
    cluster.run(500)
    return cluster


def submit_crashing(
    cluster: CellCluster, job: str, step: StepSpec, policy: QueuePolicy = POLICY
) -> None:
    """Submit a job whose first task crashes each worker that starts it."""
    cluster.submit(make_spec(job, step), policy, {0: None if step.lasting else 600})
    name = f"{job}.0.0.0"
    cluster.behaviours[name] = replace(cluster.behaviours[name], crashes_worker=True)


def submit_harmless_jobs(cluster: CellCluster, count: int = HARMLESS_JOBS) -> list[str]:
    """Submit jobs of tasks that do their work, and return their ids."""
    jobs = [f"harmless{number}" for number in range(count)]
    for job in jobs:
        submit_plain(cluster, job, count=2, duration_ms=900)
    return jobs


def count_crashes(cluster: CellCluster, task: str) -> int:
    """Return how often a worker has crashed under `task`."""
    return sum(
        name == task and outcome == "crashed" for _, name, _, outcome in cluster.ground_truth.ends
    )


def list_states(cluster: CellCluster, jobs: list[str]) -> set[str | None]:
    """Return the states of `jobs`."""
    return {cluster.cell.find_state(job) for job in jobs}


def run_until_crash(cluster: CellCluster, task: str, known: int, within_ms: int) -> bool:
    """Run until a worker has crashed under `task` more than `known` times."""
    for _ in range(within_ms // 5):
        if count_crashes(cluster, task) > known:
            return True
        cluster.run(5)
    return False


@pytest.mark.parametrize("workers", [2, 6, 20])
def test_crashing_task_is_given_up_and_no_other_job_fails(workers: int) -> None:
    cluster = make_cluster(workers)
    submit_crashing(cluster, "deadly", make_step(1))
    jobs = submit_harmless_jobs(cluster)
    cluster.run(SETTLE_MS)
    assert 2 <= count_crashes(cluster, "deadly.0.0.0") <= MAX_CRASHES
    assert cluster.cell.find_state("deadly") == "failed"
    assert list_states(cluster, jobs) == {"completed"}
    assert not cluster.ground_truth.violations


def test_several_crashing_tasks_are_given_up_and_no_other_job_fails() -> None:
    cluster = make_cluster(workers=8)
    deadly = [f"deadly{number}" for number in range(4)]
    for job in deadly:
        submit_crashing(cluster, job, make_step(3))
    jobs = submit_harmless_jobs(cluster)
    cluster.run(2 * SETTLE_MS)
    assert max(count_crashes(cluster, f"{job}.0.0.0") for job in deadly) <= MAX_CRASHES
    assert list_states(cluster, deadly) == {"failed"}
    assert list_states(cluster, jobs) == {"completed"}


@pytest.mark.parametrize(
    "fields", [{"lasting": True}, {"gang": True}, {"speculative": True}, {"saves": True}]
)
def test_crashing_task_of_any_kind_is_given_up(fields: dict[str, bool]) -> None:
    cluster = make_cluster()
    submit_crashing(cluster, "deadly", make_step(3, **fields))
    cluster.run(SETTLE_MS)
    assert count_crashes(cluster, "deadly.0.0.0") <= MAX_CRASHES
    assert cluster.cell.find_state("deadly") == "failed"
    assert not cluster.ground_truth.list_running("deadly")


@pytest.mark.parametrize("delay_ms", [200, 1_000, WORKER_RETURN_MS + 60, WORKER_RETURN_MS + 300])
@pytest.mark.parametrize("is_killed", [True, False])
def test_crashes_count_on_under_the_next_owner(delay_ms: int, is_killed: bool) -> None:
    cluster = make_cluster()
    submit_crashing(cluster, "deadly", make_step(1))
    jobs = submit_harmless_jobs(cluster)
    crashes = 0
    while run_until_crash(cluster, "deadly.0.0.0", crashes, SETTLE_MS // 2):
        crashes += 1
        assert crashes <= MAX_CRASHES
        cluster.run(delay_ms)
        if is_killed:
            cluster.kill_owner()
            cluster.take_over()
        else:
            cluster.hand_over()
    assert cluster.cell.find_state("deadly") == "failed"
    assert list_states(cluster, jobs) == {"completed"}
    assert not cluster.ground_truth.violations


def test_hand_over_right_after_each_crash_forgets_no_crash() -> None:
    cluster = make_cluster()
    submit_crashing(cluster, "deadly", make_step(1))
    crashes = 0
    while run_until_crash(cluster, "deadly.0.0.0", crashes, SETTLE_MS // 2):
        crashes += 1
        assert crashes <= MAX_CRASHES
        cluster.hand_over()
    assert cluster.cell.find_state("deadly") == "failed"


def test_suspects_of_one_crash_do_not_start_together_on_a_worker() -> None:
    cluster = make_cluster(workers=2)
    cluster.submit(make_spec("long", make_step(8)), POLICY, {0: 20_000})
    cluster.run(1_000)
    victim = cluster.workers["w0"]
    lost = set(victim.runs)
    assert len(lost) == 4
    victim.crash()
    cluster.run(WORKER_RETURN_MS)
    cluster.revive("w0")
    before = len(cluster.ground_truth.starts)
    cluster.run(450)
    assert sorted(start[3] for start in cluster.ground_truth.starts[before:]) == ["w0", "w1"]
    cluster.run(1_500)
    assert {start[1] for start in cluster.ground_truth.starts[before:]} == lost


def test_owner_lost_with_each_crash_costs_one_crash_more_at_most() -> None:
    """An owner that is lost within ms of a crash takes the knowledge of a first start with it."""
    cluster = make_cluster()
    submit_crashing(cluster, "deadly", make_step(1))
    crashes = 0
    while run_until_crash(cluster, "deadly.0.0.0", crashes, SETTLE_MS // 2):
        crashes += 1
        assert crashes <= MAX_CRASHES + 1
        cluster.kill_owner()
        cluster.take_over()
    assert cluster.cell.find_state("deadly") == "failed"


def test_rack_that_loses_power_repeatedly_fails_no_job() -> None:
    cluster = make_cluster()
    cluster.submit(make_spec("lasting", make_step(12, lasting=True)), POLICY, {0: None})
    cluster.submit(make_spec("long", make_step(12)), POLICY, {0: 9_000})
    rack = [worker for worker in cluster.workers.values() if worker.entry.rack == "rack0"]
    for _ in range(4):
        cluster.run(3_000)
        for worker in rack:
            worker.crash()
        cluster.run(WORKER_RETURN_MS)
        for worker in rack:
            cluster.revive(worker.id)
            cluster.run(200)
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("long") == "completed"
    assert cluster.cell.find_state("lasting") == "running"
    assert len(cluster.ground_truth.list_running("lasting")) == 12
    assert not cluster.ground_truth.violations


def make_cut_off_worker(is_listed: bool) -> CellCluster:
    """Return a cluster in which a worker with lasting tasks was cut off and has returned."""
    cluster = make_cluster()
    cluster.submit(make_spec("lasting", make_step(6, lasting=True)), POLICY, {0: None})
    cluster.run(1_000)
    cut_off = cluster.workers[cluster.ground_truth.starts[0][3]]
    cut_off.is_isolated = True
    if not is_listed:
        cluster.unlisted_workers.add(cut_off.id)
    cluster.run(12_000)
    cut_off.is_isolated = False
    cluster.unlisted_workers.clear()
    cluster.run(2_000)
    assert len(cluster.ground_truth.list_running("lasting")) == 6
    return cluster


def test_worker_that_was_cut_off_makes_no_crash_suspects() -> None:
    cluster = make_cut_off_worker(is_listed=True)
    assert not cluster.cell.state.counters["task.crash_suspect"]


def test_crash_after_a_cut_is_not_charged_to_tasks_that_moved_during_the_cut() -> None:
    cluster = make_cut_off_worker(is_listed=True)
    cut_off = cluster.workers[cluster.ground_truth.starts[0][3]]
    assert not cut_off.runs
    cut_off.crash()
    cluster.run(WORKER_RETURN_MS)
    cluster.revive(cut_off.id)
    cluster.run(500)
    assert not cluster.cell.state.counters["task.crash_suspect"]


def test_suspects_are_cleared_when_an_unlisted_worker_returns_as_the_same_boot() -> None:
    cluster = make_cut_off_worker(is_listed=False)
    assert not cluster.cell.state.crashes.by_task


@pytest.mark.parametrize("is_handed_over", [True, False])
def test_worker_that_announced_its_leave_makes_no_crash_suspects(is_handed_over: bool) -> None:
    cluster = make_cluster()
    cluster.submit(make_spec("long", make_step(12)), POLICY, {0: 15_000})
    cluster.run(1_000)
    leaving = cluster.workers[cluster.ground_truth.starts[0][3]]
    leaving.drain()
    cluster.run(1_000)
    leaving.crash()
    if is_handed_over:
        cluster.hand_over()
    cluster.run(12_000)
    assert not cluster.cell.state.counters["task.crash_suspect"]
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("long") == "completed"


def test_single_crash_under_lasting_tasks_is_forgotten_after_they_have_worked() -> None:
    cluster = make_cluster()
    cluster.submit(make_spec("lasting", make_step(6, lasting=True)), POLICY, {0: None})
    for _ in range(4):
        cluster.run(1_000)
        victim = cluster.workers["w0"]
        victim.crash()
        cluster.run(WORKER_RETURN_MS)
        cluster.revive(victim.id)
        cluster.run(30_000)
    assert cluster.cell.find_state("lasting") == "running"
    assert len(cluster.ground_truth.list_running("lasting")) == 6


def test_many_crashing_tasks_at_once_crash_three_workers_each_at_most() -> None:
    """One task's crashes are taken back from the others when its job is given up."""
    cluster = CellCluster(seed=214)
    cluster.run(500)
    delays_ms = (347, 120, 140, 386, 164, 346, 70, 399, 7, 246, 198, 369, 267, 128)
    for number, delay_ms in enumerate(delays_ms):
        spec = make_spec(f"j{number}", make_step(2), make_step(1, after=(0,)))
        cluster.submit(spec, FAULT_POLICY, {0: 300, 1: 200})
        name = f"j{number}.0.0.0"
        cluster.behaviours[name] = replace(cluster.behaviours[name], crashes_worker=True)
        cluster.run(delay_ms)
    cluster.run(25_000 * (1 + len(delays_ms)))
    crashes = Counter(end[1] for end in cluster.ground_truth.ends if end[3] == "crashed")
    assert max(crashes[f"j{number}.0.0.0"] for number in range(len(delays_ms))) <= MAX_CRASHES


@pytest.mark.parametrize("workers", [2, 4])
@pytest.mark.parametrize("seed", range(3))
def test_many_crashing_tasks_fail_no_harmless_job(workers: int, seed: int) -> None:
    """Guards against a job given up for crashes that it shared with several crashing tasks."""
    cluster = CellCluster(workers=workers, seed=seed)
    cluster.run(500)
    rng = Random(seed)
    deadly = [f"deadly{number}" for number in range(8)]
    harmless = [f"harmless{number}" for number in range(16)]
    for number, job in enumerate(harmless):
        submit_plain(cluster, job, count=2, duration_ms=rng.randrange(200, 4_000))
        if number < len(deadly):
            submit_crashing(cluster, deadly[number], make_step(2))
        cluster.run(rng.randrange(400))
    cluster.run(BEFORE_EXPIRY_MS)
    assert max(count_crashes(cluster, f"{job}.0.0.0") for job in deadly) <= MAX_CRASHES
    assert list_states(cluster, deadly) == {"failed"}
    assert list_states(cluster, harmless) == {"completed"}


def test_suspects_whose_crash_was_excused_do_not_start_together() -> None:
    """Guards against one more crash that all of them share, as long as one may have caused it."""
    cluster = make_cluster(workers=2)
    submit_crashing(cluster, "a", make_step(1))
    submit_crashing(cluster, "b", make_step(1))
    jobs = submit_harmless_jobs(cluster, count=3)
    cluster.run(SETTLE_MS)
    ends = cluster.ground_truth.ends
    assert max(Counter(end[1] for end in ends if end[3] == "crashed").values()) <= MAX_CRASHES
    assert list_states(cluster, ["a", "b"]) == {"failed"}
    assert list_states(cluster, jobs) == {"completed"}


def test_excused_crashes_are_forgotten_once_a_lasting_task_has_worked() -> None:
    """Guards against a lasting job that is given up for crashes of other tasks over its life."""
    cluster = make_cluster(workers=2)
    cluster.submit(make_spec("lasting", make_step(1, lasting=True)), POLICY, {0: None})
    for number in range(6):
        submit_crashing(cluster, f"deadly{number}", make_step(1))
        cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("lasting") == "running"
    assert cluster.ground_truth.list_running("lasting")
    assert not cluster.cell.state.crashes.by_task


@pytest.mark.parametrize("workers", [6, 8])
@pytest.mark.parametrize("seed", range(2))
def test_tasks_that_crash_most_of_a_rack_together_are_given_up(workers: int, seed: int) -> None:
    """Guards against starts without end, as their crashes are taken for those of the rack."""
    cluster = CellCluster(workers=workers, seed=seed)
    cluster.run(500)
    deadly = [f"deadly{number}" for number in range(workers)]
    for job in deadly:
        submit_crashing(cluster, job, make_step(2))
    jobs = submit_harmless_jobs(cluster)
    cluster.run(BEFORE_EXPIRY_MS)
    limit = MAX_CRASHES + STARTS_AFTER_CRASHES
    assert max(count_crashes(cluster, f"{job}.0.0.0") for job in deadly) <= limit
    assert list_states(cluster, deadly) == {"failed"}
    assert list_states(cluster, jobs) == {"completed"}


def test_rack_that_loses_power_right_after_its_starts_fails_no_job() -> None:
    """Guards against jobs given up for a rack that fails each time their tasks have started."""
    cluster = make_cluster()
    cluster.submit(make_spec("lasting", make_step(12, lasting=True)), POLICY, {0: None})
    cluster.submit(make_spec("long", make_step(12)), POLICY, {0: 9_000})
    rack = [worker for worker in cluster.workers.values() if worker.entry.rack == "rack0"]
    for _ in range(4):
        cluster.run(300)
        for worker in rack:
            worker.crash()
        cluster.run(400)
        for worker in rack:
            cluster.revive(worker.id)
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("long") == "completed"
    assert len(cluster.ground_truth.list_running("lasting")) == 12


def test_excused_crashes_do_not_let_a_crashing_task_go_on_without_end() -> None:
    cluster = make_cluster()
    submit_crashing(cluster, "a", make_step(1))
    (task,) = cluster.cell.state.jobs["a"].open_occurrence(0).steps[0].tasks
    task.excused_crashes = 4
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("a") == "failed"
    assert sum(end[3] == "crashed" for end in cluster.ground_truth.ends) == 1


def test_emulated_worker_that_was_revived_early_is_not_revived_again_under_its_runs() -> None:
    cluster = CellCluster(workers=1)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: 100}, crashes_worker=True)
    while cluster.workers["w0"].is_up:
        cluster.run(5)
    cluster.revive("w0")
    boot_ms = cluster.workers["w0"].entry.boot_ms
    cluster.cancel("a")
    cluster.run(REVIVE_DELAY_MS + 500)
    assert cluster.workers["w0"].entry.boot_ms == boot_ms
