"""The log line of a job that fails: it names all that has counted against the job."""

from dataclasses import replace
from typing import Any

import pytest

from quetzallock_core.cells.state import CellState
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step
from .test_crashing_tasks import SETTLE_MS, make_cluster, submit_crashing


@pytest.fixture
def verdicts(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, Any]]:
    """Return the inputs of all `job.failed` lines of this test."""
    rows: list[dict[str, Any]] = []
    log_decision = CellState.log_decision

    def record(state: CellState, event: str, /, **inputs: Any) -> None:
        if event == "job.failed":
            rows.append(inputs)
        log_decision(state, event, **inputs)

    monkeypatch.setattr(CellState, "log_decision", record)
    return rows


def list_failed_starts(cluster: CellCluster, job: str) -> set[tuple[str, int, str]]:
    """Return task, run and worker of the runs of `job` that ended as failed."""
    failed = {
        (task, run) for _, task, run, outcome in cluster.ground_truth.ends if outcome == "failed"
    }
    return {
        (task, run, worker)
        for _, task, run, worker in cluster.ground_truth.starts
        if task.startswith(job) and (task, run) in failed
    }


@pytest.mark.parametrize("owner_change", ["none", "killed", "handed over"])
def test_failed_job_names_each_listed_end(
    verdicts: list[dict[str, Any]], owner_change: str
) -> None:
    """Guards against a verdict that nobody can trace, also if an earlier owner saw some ends."""
    cluster = make_cluster()
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: 300}, fails=True)
    cluster.run(100)
    if owner_change == "killed":
        cluster.kill_owner()
        cluster.take_over()
    elif owner_change == "handed over":
        cluster.hand_over()
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("a") == "failed"
    (verdict,) = verdicts
    assert verdict["cause"] == "ends"
    assert (verdict["job"], verdict["task"]) == ("a", "a.0.0.0")
    assert verdict["attempts"] == verdict["max_attempts"] == len(verdict["ends"])
    assert {end["how"] for end in verdict["ends"]} == {"failed"}
    named = {(end["task"], end["run"], end["worker"]) for end in verdict["ends"]}
    assert named == list_failed_starts(cluster, "a")
    assert {end["born"] for end in verdict["ends"]} == {1}


def test_failed_gang_names_the_ends_of_all_its_tasks(verdicts: list[dict[str, Any]]) -> None:
    """Guards against a verdict on a gang that names fewer ends than were counted."""
    cluster = make_cluster()
    cluster.submit(make_spec("a", make_step(3, gang=True)), POLICY, {0: 300}, fails=True)
    cluster.run(SETTLE_MS)
    (verdict,) = verdicts
    assert verdict["gang"]
    assert verdict["attempts"] == len({end["run"] for end in verdict["ends"]})
    assert verdict["attempts"] == POLICY.max_attempts


def test_job_given_up_names_each_crash(verdicts: list[dict[str, Any]]) -> None:
    """Guards against a job given up whose crashes cannot be compared with what ran there."""
    cluster = make_cluster()
    submit_crashing(cluster, "deadly", make_step(1))
    cluster.run(SETTLE_MS)
    (verdict,) = verdicts
    assert (verdict["cause"], verdict["task"]) == ("crashes", "deadly.0.0.0")
    assert not verdict["ends"]
    starts = {(run, worker) for _, _, run, worker in cluster.ground_truth.starts}
    assert {(crash["run"], crash["worker"]) for crash in verdict["crashes"]} == starts
    assert all(crash["born"] and crash["how"] == "crash" for crash in verdict["crashes"])


@pytest.mark.parametrize("is_gang", [False, True])
@pytest.mark.parametrize("is_owner_killed", [False, True])
def test_job_without_attempts_left_fails_once_its_last_run_is_lost(
    is_owner_killed: bool, is_gang: bool
) -> None:
    """Guards against a job that neither starts nor fails for the rest of its life.

    Its last attempt is listed as failed after a cut, when a later run is already at work. That run
    is then lost with its worker.
    """
    cluster = CellCluster(workers=3)
    cluster.run(500)
    policy = replace(POLICY, max_attempts=1)
    cluster.submit(make_spec("a", make_step(1, gang=is_gang)), policy, {0: 20_000})
    cluster.run(500)
    ((_, task, _, first),) = cluster.ground_truth.starts
    cut_off = cluster.workers[first]
    cut_off.is_isolated = True
    cut_off.runs[task].fails = True
    cluster.run(9_000)
    second = cluster.ground_truth.starts[-1][3]
    assert second != first
    cut_off.is_isolated = False
    cluster.run(1_000)
    assert cluster.cell.find_state("a") == "running"
    if is_owner_killed:
        cluster.kill_owner()
    cluster.workers[second].crash()
    cluster.run(200)
    cluster.revive(second)
    if is_owner_killed:
        cluster.take_over()
    cluster.run(15_000)
    assert cluster.cell.find_state("a") == "failed"
    assert not cluster.ground_truth.violations
