"""Runs of a cancelled job end soon after the acknowledgement, whatever the owner knows of them."""

from dataclasses import replace

import pytest

from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.workers import MAX_ENDS_PER_INVENTORY

from .common import POLICY, make_step

STOPPED_WITHIN_MS = 3_200
"""Time after the acknowledgement of a cancel within which its runs are over."""


def make_cluster() -> CellCluster:
    """Return a cluster that runs the eight tasks of the lasting job `a`."""
    cluster = CellCluster(workers=2)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(count=8, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    assert len(cluster.ground_truth.list_running("a")) == 8
    return cluster


def cancel_job(cluster: CellCluster) -> None:
    """Cancel job `a`, and let the time pass from its answer within which its runs are to end."""
    ticket = cluster.cancel("a")
    while ticket not in cluster.owner.outcomes:
        cluster.run(5)
    assert cluster.owner.outcomes[ticket] == "cancelled"
    cluster.run(STOPPED_WITHIN_MS)


def test_cancelled_runs_end_on_a_worker_with_a_false_entry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The entry of another boot made the owner forget the runs until the lease lapsed."""
    cluster = make_cluster()
    entries = cluster._list_entries()
    entries["w0"] = replace(entries["w0"], boot_ms=2)
    monkeypatch.setattr(cluster, "_list_entries", lambda: entries)
    cluster.run(300)
    cancel_job(cluster)
    assert not cluster.ground_truth.list_running("a")


def test_cancelled_runs_end_on_a_worker_with_more_ends_than_it_lists() -> None:
    cluster = make_cluster()
    tiny = Resources(10, 20, 0)
    for number in range(3):
        step = make_step(MAX_ENDS_PER_INVENTORY, needs=tiny)
        cluster.submit(make_spec(f"j{number}", step), POLICY, {0: 200})
    cluster.run(200)
    cluster.is_store_up = False
    cluster.run(1_500)
    assert len(cluster.workers["w0"].ends) > MAX_ENDS_PER_INVENTORY
    cluster.is_store_up = True
    cancel_job(cluster)
    assert not cluster.ground_truth.list_running("a")


@pytest.mark.parametrize("is_planned", [True, False])
@pytest.mark.parametrize("entry_back_after_ms", [2_000, 20_000])
def test_cancelled_runs_end_on_a_worker_without_an_entry_at_the_takeover(
    entry_back_after_ms: int, is_planned: bool
) -> None:
    """A new owner asks only the workers that the list names."""
    cluster = make_cluster()
    cluster.unlisted_workers.add("w0")
    cluster.run(500)
    if is_planned:
        cluster.hand_over()
    else:
        cluster.kill_owner()
        cluster.take_over()
    cluster.schedule(entry_back_after_ms, lambda: cluster.unlisted_workers.discard("w0"))
    cluster.run(500)
    cancel_job(cluster)
    assert not cluster.ground_truth.list_running("a")
