"""The check of long-running tasks reports those that stay away in calm, and no others."""

from tests.common import FakeCluster
from tests.soak.lasting_checks import ABSENCE_MS, CALM_MS, RESTART_MS

from .lasting import CalmLog, find_lasting_violations, replace_worker, submit_lasting
from .outcomes import CallerRecord

START_MS = 2_000
FOUND_MS = RESTART_MS + ABSENCE_MS + 1_000


def start_job(cluster: FakeCluster) -> tuple[CallerRecord, CalmLog]:
    """Submit a job of three long-running tasks, which are running afterwards."""
    callers = CallerRecord()
    submit_lasting(cluster, callers, "host-0", 3, 1_000)
    cluster.run(START_MS)
    assert len(cluster.list_runs()) == 3
    return callers, CalmLog(cluster.clock.now())


def lose_all_runs(cluster: FakeCluster) -> None:
    """Let all hosts end and all workers start again, so that nothing runs."""
    for name in list(cluster.hosts):
        cluster.kill_host(name)
    for name in cluster.workers:
        cluster.crash_worker(name)


def test_tasks_that_stay_away_in_calm_are_reported(cluster: FakeCluster) -> None:
    callers, log = start_job(cluster)
    lose_all_runs(cluster)
    cluster.run(FOUND_MS)
    assert len(find_lasting_violations(cluster, callers, log)) == 3


def test_tasks_that_stay_away_in_a_fault_are_not_reported(cluster: FakeCluster) -> None:
    callers, log = start_job(cluster)
    log.begin("kill", cluster.clock.now())
    lose_all_runs(cluster)
    cluster.run(FOUND_MS)
    log.end("kill", cluster.clock.now())
    cluster.run(CALM_MS)
    assert not find_lasting_violations(cluster, callers, log)


def test_tasks_that_move_off_leaving_workers_are_not_reported(cluster: FakeCluster) -> None:
    callers, log = start_job(cluster)
    for name in cluster.workers:
        replace_worker(cluster, name)
    cluster.run(FOUND_MS)
    assert not find_lasting_violations(cluster, callers, log)
    assert len(cluster.list_runs()) > 3
