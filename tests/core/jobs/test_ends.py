"""Tests of how attempts end and when a task is started again."""

from quetzallock_standins.workers.models import RunRecord
from tests.common import FakeCluster, make_spec
from tests.runs import count_endings


def find_runs(cluster: FakeCluster, task: str) -> list[RunRecord]:
    """Return the runs of a task, oldest first."""
    runs = [run for run in cluster.list_runs() if run.task == task]
    return sorted(runs, key=lambda run: run.started_at)


def start_one(cluster: FakeCluster, run_ms: int) -> RunRecord:
    """Submit a job of one task and return its run once it has started."""
    cluster.submit("host-0", make_spec("job-1", run_ms=run_ms))
    assert cluster.run_until(lambda: bool(find_runs(cluster, "job-1/0")), 10_000)
    return find_runs(cluster, "job-1/0")[0]


def test_task_on_unreachable_worker_is_not_started_again(cluster: FakeCluster) -> None:
    """Guards against a second run of a task that finishes on an unreachable worker.

    A lapsed lease shows that the attempt does not run any more, not that it has not finished.
    """
    run = start_one(cluster, run_ms=5_000)
    cluster.isolated_workers.add(run.worker)
    cluster.run(60_000)
    assert len(find_runs(cluster, "job-1/0")) == 1
    cluster.heal()
    cluster.run(10_000)
    assert count_endings(cluster.list_runs()) == {"job-1/0": 1}
    assert len(find_runs(cluster, "job-1/0")) == 1


def test_task_of_removed_worker_resumes_elsewhere(cluster: FakeCluster) -> None:
    run = start_one(cluster, run_ms=20_000)
    cluster.run(3_000)
    cluster.remove_worker(run.worker)
    cluster.run(60_000)
    runs = find_runs(cluster, "job-1/0")
    assert [record.ending for record in runs] == ["crashed", "finished"]
    assert runs[1].worker != run.worker


def test_task_of_rebooted_worker_is_restarted(cluster: FakeCluster) -> None:
    run = start_one(cluster, run_ms=10_000)
    cluster.run(1_000)
    cluster.crash_worker(run.worker)
    cluster.run(25_000)
    assert count_endings(cluster.list_runs()) == {"job-1/0": 1}


def test_task_of_leaving_worker_resumes_from_checkpoint(cluster: FakeCluster) -> None:
    run = start_one(cluster, run_ms=10_000)
    cluster.run(3_000)
    cluster.send_worker_list_to_all(leaving=[run.worker])
    cluster.run(20_000)
    first, second = find_runs(cluster, "job-1/0")
    assert first.ending == "stopped"
    assert second.start_progress_ms == first.end_progress_ms
    assert second.ending == "finished"


def test_task_finishes_once_if_owner_is_killed_during_log_outage(cluster: FakeCluster) -> None:
    start_one(cluster, run_ms=30_000)
    cluster.log.faults.down = True
    owner = next(
        name
        for name, fake in cluster.hosts.items()
        if any(shard.state.jobs for shard in fake.host.shards.owned)
    )
    cluster.kill_host(owner)
    cluster.run(40_000)
    cluster.heal()
    cluster.run(90_000)
    assert count_endings(cluster.list_runs()) == {"job-1/0": 1}


def test_cancelling_finished_job_reports_finished(cluster: FakeCluster) -> None:
    cluster.submit("host-0", make_spec("job-1", run_ms=500))
    cluster.run(8_000)
    ticket = cluster.cancel("host-0", "job-1")
    cluster.run(2_000)
    reply = cluster.answers[("host-0", ticket)]
    assert [(count.state, count.count) for count in reply.counts] == [("finished", 1)]


def test_task_that_fails_on_all_workers_is_parked() -> None:
    from quetzallock_standins.workers.models import WorkerShape
    from tests.common import CAPACITY

    shapes = {index: WorkerShape(CAPACITY, fails_all=True) for index in range(4)}
    cluster = FakeCluster(shapes=shapes)
    cluster.run(6_000)
    cluster.submit("host-0", make_spec("job-1"))
    cluster.run(90_000)
    ticket = cluster.show("host-0", "job-1")
    cluster.run(1_000)
    reply = cluster.answers[("host-0", ticket)]
    assert [(count.state, count.count) for count in reply.counts] == [("parked", 1)]
    assert len({run.worker for run in cluster.list_runs()}) == 4
