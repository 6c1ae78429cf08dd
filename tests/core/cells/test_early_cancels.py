"""Cancels that arrive before the submission of their job, and the late copies of the latter."""

from quetzallock_core.cells.models import JobSpec
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

SETTLE_MS = 3_000
"""Longer than a task that may start waits for its start."""


def make_cluster() -> CellCluster:
    """Return a cluster of four workers whose inventories were read."""
    cluster = CellCluster()
    cluster.run(500)
    return cluster


def make_lasting(job: str) -> JobSpec:
    """Return a job that only a cancel ends."""
    return make_spec(job, make_step(lasting=True))


def cancel(cluster: CellCluster, job: str) -> str:
    """Cancel a job and return the outcome."""
    ticket = cluster.cancel(job)
    cluster.run(100)
    return cluster.owner.outcomes[ticket]


def submit(cluster: CellCluster, job: str) -> str:
    """Submit a lasting job and return the outcome, after the time for its tasks to start."""
    ticket = cluster.submit(make_lasting(job), POLICY, {0: None})
    cluster.run(SETTLE_MS)
    return cluster.owner.outcomes[ticket]


def test_copy_of_a_submission_after_its_cancel_never_runs() -> None:
    """Guards against a lasting job that its caller has cancelled and nobody cancels again."""
    cluster = make_cluster()
    assert cancel(cluster, "a") == "unknown"
    assert submit(cluster, "a") == "accepted"
    assert not cluster.ground_truth.starts
    assert cluster.cell.find_state("a") == "cancelled"
