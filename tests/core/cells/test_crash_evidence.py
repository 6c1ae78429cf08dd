"""Which runs are charged with the crash of a worker: those that it may really have begun."""

from dataclasses import replace
from random import Random

import pytest

from quetzallock_core.cells.isolation import may_have_begun
from quetzallock_core.cells.jobs import Run
from quetzallock_core.cells.workers import Worker
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, answer_as_next_boot, make_step, submit_plain
from .test_crashing_tasks import (
    MAX_CRASHES,
    SETTLE_MS,
    STARTS_AFTER_CRASHES,
    count_crashes,
    list_states,
    make_cluster,
    run_until_crash,
    submit_crashing,
    submit_harmless_jobs,
)

DISTURBED_MS = 30_000


def crash_and_revive_repeatedly(cluster: CellCluster, rng: Random) -> None:
    """Let one worker after the other crash and return within a second, for `DISTURBED_MS`."""
    if cluster.clock.now() > DISTURBED_MS:
        return
    worker = rng.choice(list(cluster.workers.values()))
    if worker.is_up:
        worker.crash()
        cluster.schedule(rng.randrange(150, 600), lambda: cluster.revive(worker.id))
    pause_ms = rng.randrange(1_000, 2_500)
    cluster.schedule(pause_ms, lambda: crash_and_revive_repeatedly(cluster, rng))


def run_harmless_jobs(seed: int, has_hand_overs: bool) -> tuple[CellCluster, list[str]]:
    """Run jobs on workers that crash and return, while half of the orders are seconds late."""
    cluster = CellCluster(workers=6, seed=seed)
    rng = Random(seed)
    cluster.run(500)
    cluster.order_delay_rate = 0.5
    crash_and_revive_repeatedly(cluster, rng)
    jobs: list[str] = []
    while cluster.clock.now() < DISTURBED_MS:
        jobs.append(f"harmless{len(jobs)}")
        submit_plain(cluster, jobs[-1], count=3, duration_ms=600)
        cluster.run(rng.randrange(200, 600))
        if has_hand_overs and len(jobs) % 10 == 0:
            cluster.hand_over()
    cluster.order_delay_rate = 0.0
    cluster.run(SETTLE_MS)
    return cluster, jobs


@pytest.mark.parametrize("seed", range(8))
def test_late_orders_and_returning_workers_fail_no_harmless_job(seed: int) -> None:
    """Guards against a job given up for crashes of workers that never began its tasks."""
    cluster, jobs = run_harmless_jobs(seed, has_hand_overs=False)
    assert list_states(cluster, jobs) == {"completed"}


@pytest.mark.parametrize("seed", range(8))
def test_hand_overs_charge_no_crash_to_runs_that_had_not_begun(seed: int) -> None:
    """Guards against exposures of runs whose orders are late.

    A job may be given up only where two workers have really crashed under one of its tasks.
    """
    cluster, jobs = run_harmless_jobs(seed, has_hand_overs=True)
    failed = [job for job in jobs if cluster.cell.find_state(job) != "completed"]
    for job in failed:
        assert max(count_crashes(cluster, f"{job}.0.0.{index}") for index in range(3)) >= 2


def test_run_whose_order_is_late_is_not_charged_with_the_crash() -> None:
    """Guards against a charge for an order that inventories asked for after it do not show."""
    cluster = make_cluster(workers=1)
    cluster.order_delay_rate = 1.0
    submit_plain(cluster, "a", count=2)
    cluster.run(400)
    cluster.workers["w0"].crash()
    cluster.run(200)
    cluster.revive("w0")
    cluster.run(500)
    assert not cluster.cell.state.counters["task.crash_suspect"]


@pytest.mark.parametrize("workers", [2, 6])
def test_crashing_task_whose_starts_get_no_answer_is_given_up(workers: int) -> None:
    """Guards against a task that stays free of charge since it crashes before any answer."""
    cluster = make_cluster(workers)
    jobs = submit_harmless_jobs(cluster)
    cluster.run(3_000)
    cluster.order_loss_rate = 1.0
    submit_crashing(cluster, "deadly", make_step(1))
    cluster.run(SETTLE_MS)
    cluster.order_loss_rate = 0.0
    cluster.run(SETTLE_MS)
    assert 2 <= count_crashes(cluster, "deadly.0.0.0") <= MAX_CRASHES
    assert cluster.cell.find_state("deadly") == "failed"
    assert list_states(cluster, jobs) == {"completed"}


@pytest.mark.parametrize("delay_ms", [200, 1_000, 3_060, 3_300])
@pytest.mark.parametrize("is_killed", [True, False])
def test_unanswered_starts_count_on_under_the_next_owner(delay_ms: int, is_killed: bool) -> None:
    """Guards against an owner change that makes an exposed task free of charge."""
    cluster = make_cluster()
    cluster.order_loss_rate = 1.0
    submit_crashing(cluster, "deadly", make_step(1))
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


@pytest.mark.parametrize(
    ("sent_at", "inventory_asked_at", "unanswered_since", "expected"),
    [
        ((100, 100), 90, -1, True),
        ((100, 100), 120, 130, True),
        ((100, 100), 200, 260, False),
        ((100, 800), 790, 830, True),
        ((100, 100), 40, 90, False),
        ((80, 780), 40, 90, True),
    ],
)
def test_run_may_have_begun_unless_answers_rule_it_out(
    sent_at: tuple[int, int], inventory_asked_at: int, unanswered_since: int, expected: bool
) -> None:
    """Guards each bound: before any answer, within the reordering of calls, after it, resent."""
    cluster = make_cluster(workers=1)
    submit_plain(cluster, "a", count=1)
    cluster.run(50)
    (task,) = cluster.cell.state.jobs["a"].list_tasks()
    worker = Worker(cluster.workers["w0"].entry)
    worker.inventory_asked_at = inventory_asked_at
    worker.unanswered_since = unanswered_since
    first, last = sent_at
    run = Run(task, 1, "w0", "ordered", 0, first_sent_at=first, last_sent_at=last)
    assert may_have_begun(run, worker) is expected
    run.is_acknowledged = True
    assert may_have_begun(run, worker)


def test_run_moved_to_the_next_boot_is_not_charged_with_its_crash() -> None:
    """Guards against an answer of the previous boot that counts for the next one."""
    cluster = make_cluster(workers=1)
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: 5_000})
    cluster.run(4)
    cluster.order_delay_rate = 1.0
    cluster.run(1)
    worker = cluster.cell.state.workers["w0"]
    (run,) = worker.runs.values()
    run.is_acknowledged = True
    run.is_listed = False
    for _ in range(2):
        cluster.workers["w0"].crash()
        cluster.revive("w0")
        answer_as_next_boot(cluster, "w0")
    assert len(run.task.crashes) == 1


def test_job_of_which_no_run_has_begun_is_not_failed_for_crashes() -> None:
    """Guards against a job that is failed although neither a run nor a crash was its own.

    Its start orders are late, and each worker that one was sent to crashes and returns. This failed
    the job until starts that had not begun were no longer charged.
    """
    cluster = make_cluster()
    cluster.order_delay_rate = 1.0
    submit_plain(cluster, "a", count=1)
    task = cluster.cell.state.jobs["a"].find_task(0, 0, 0)
    assert task is not None
    crashed_under: set[int] = set()
    for _ in range(2_000):
        cluster.run(5)
        runs = list(task.runs.values())
        is_start_late = len(crashed_under) < 3 and all(run.state == "ordered" for run in runs)
        cluster.order_delay_rate = 1.0 if is_start_late else 0.0
        for run in runs:
            is_overdue = is_start_late and cluster.clock.now() > run.ordered_at + 400
            if is_overdue and run.number not in crashed_under:
                crashed_under.add(run.number)
                cluster.workers[run.worker].crash()
                cluster.schedule(200, lambda worker=run.worker: cluster.revive(worker))  # type: ignore[misc]
    cluster.run(SETTLE_MS)
    assert len(crashed_under) >= 2
    assert not count_crashes(cluster, task.name)
    assert cluster.cell.find_state("a") == "completed"


def crash_under(cluster: CellCluster, task: str, after_ms: int) -> None:
    """Let the worker of `task` crash `after_ms` after its next start, and return soon."""
    starts = len(cluster.ground_truth.starts)
    for _ in range(2_000):
        if len(cluster.ground_truth.starts) > starts:
            break
        cluster.run(5)
    cluster.run(after_ms)
    worker = cluster.workers[cluster.ground_truth.starts[-1][3]]
    assert task in worker.runs
    worker.crash()
    cluster.schedule(200, lambda: cluster.revive(worker.id))


@pytest.mark.parametrize("ages_ms", [(2_000, 2_000, 2_000), (2_000, 200), (2_000, 2_000, 200)])
@pytest.mark.parametrize("is_lasting", [False, True])
def test_runs_that_had_worked_for_long_do_not_fail_their_job(
    ages_ms: tuple[int, ...], is_lasting: bool
) -> None:
    """Guards against a harmless job given up since its worker crashes by itself again and again.

    What crashes its worker mostly does so at its start.
    """
    cluster = make_cluster()
    step = make_step(1, lasting=is_lasting)
    cluster.submit(make_spec("a", step), POLICY, {0: None if is_lasting else 8_000})
    for age_ms in ages_ms:
        crash_under(cluster, "a.0.0.0", age_ms)
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("a") == ("running" if is_lasting else "completed")


@pytest.mark.parametrize("age_ms", [20, 200])
@pytest.mark.parametrize("is_lasting", [False, True])
def test_two_crashes_soon_after_starts_do_not_fail_a_job(age_ms: int, is_lasting: bool) -> None:
    """Guards against a harmless job given up since two of its workers crashed by themselves.

    That is so also where its runs had ended as done, and the crash came before that was listed.
    """
    cluster = make_cluster()
    step = make_step(1, lasting=is_lasting)
    cluster.submit(make_spec("a", step), POLICY, {0: None if is_lasting else 500})
    for _ in range(2):
        crash_under(cluster, "a.0.0.0", age_ms)
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("a") == ("running" if is_lasting else "completed")


@pytest.mark.parametrize("delay_ms", [700, 3_000, 8_000])
@pytest.mark.parametrize("is_lasting", [False, True])
def test_task_that_crashes_its_worker_late_is_given_up(delay_ms: int, is_lasting: bool) -> None:
    """Guards against starts without end of a task that works for some time before each crash.

    The platform allows `STARTS_AFTER_CRASHES` starts after `MAX_CRASHES` workers have crashed.
    """
    cluster = make_cluster()
    submit_crashing(cluster, "deadly", make_step(1, lasting=is_lasting))
    name = "deadly.0.0.0"
    behaviour = cluster.behaviours[name]
    cluster.behaviours[name] = replace(behaviour, duration_ms=None, crash_delay_ms=delay_ms)
    jobs = submit_harmless_jobs(cluster)
    cluster.run(2 * SETTLE_MS)
    assert cluster.cell.find_state("deadly") == "failed"
    assert count_crashes(cluster, name) < MAX_CRASHES + STARTS_AFTER_CRASHES
    assert list_states(cluster, jobs) == {"completed"}


@pytest.mark.parametrize("owner_change", ["none", "killed", "handed over"])
def test_workers_that_are_cut_off_for_good_do_not_fail_a_job_at_work_there(
    owner_change: str,
) -> None:
    """Guards against a job given up for workers that left the list and the network, unheard.

    None of them has crashed. Its runs had worked there for seconds, as the owner knows or knew.
    """
    cluster = CellCluster(workers=8)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    for _ in range(3):
        cluster.run(3_000)
        (name,) = cluster.ground_truth.list_running("a")
        (lost,) = [worker for worker in cluster.workers.values() if name in worker.runs]
        lost.is_isolated = lost.has_broken_connections = True
        cluster.unlisted_workers.add(lost.id)
        if owner_change == "handed over":
            cluster.hand_over()
        cluster.run(500)
        if owner_change == "killed":
            cluster.kill_owner()
            cluster.take_over()
        cluster.run(11_000)
    cluster.run(5_000)
    assert cluster.cell.find_state("a") == "running"
    assert cluster.ground_truth.list_running("a")
