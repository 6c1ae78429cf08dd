"""The check of the runs of cancelled jobs reports those that go on, and no others."""

from tests.common import FakeCluster, make_spec

from .outcomes import CANCEL_MS, find_cancel_violations, list_cancelled_jobs

SUBMIT_MS = 2_000
LONG_MS = 60_000


def start_job(cluster: FakeCluster) -> None:
    """Submit a job of three long tasks, which are running afterwards."""
    cluster.submit("host-0", make_spec("job-0", 3, LONG_MS))
    cluster.run(SUBMIT_MS)
    assert len(cluster.list_runs()) == 3


def test_runs_that_end_after_a_cancellation_are_not_reported(cluster: FakeCluster) -> None:
    start_job(cluster)
    cluster.cancel("host-1", "job-0")
    cluster.run(CANCEL_MS)
    assert list_cancelled_jobs(cluster) == ["job-0"]
    assert not find_cancel_violations(cluster, ["job-0"])


def test_runs_that_go_on_after_a_cancellation_are_reported(cluster: FakeCluster) -> None:
    start_job(cluster)
    cluster.isolated_workers.update(cluster.workers)
    cluster.cancel("host-1", "job-0")
    cluster.run(CANCEL_MS)
    assert len(find_cancel_violations(cluster, list_cancelled_jobs(cluster))) == 3


def test_runs_of_a_job_that_nobody_cancelled_are_not_reported(cluster: FakeCluster) -> None:
    start_job(cluster)
    cluster.run(CANCEL_MS)
    assert not find_cancel_violations(cluster, list_cancelled_jobs(cluster))
