"""Takeovers by owners that learn when the process of the previous owner was over."""

from collections.abc import Iterator

import pytest

from quetzallock_core.cells.const import (
    CLOCK_DRIFT,
    LEASE_MARGIN_MS,
    MAX_LEASE_MS,
    OWNERSHIP_VALID_MS,
)
from quetzallock_core.cells.records import OwnerRecord
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import TICK_INTERVAL_MS
from quetzallock_standins.emulator.owners import Owner

from .common import submit_plain
from .test_cancellation_faults import play
from .test_leaving_workers import find_busiest_worker, make_cluster

LEASE_LAPSE_MS = int(MAX_LEASE_MS / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
RESTART_MS = 1_500
"""Time from the end of a host's process to the start of the next one."""
RESTART_MARGIN_MS = 500


@pytest.fixture
def _recorded_owners(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Let each owner be a process of its own, whose end the next owner knows at once."""
    take_over, kill_owner = CellCluster.take_over, CellCluster.kill_owner
    ended_at: dict[int, int] = {}

    def take_over_and_report(cluster: CellCluster) -> Owner:
        owner = take_over(cluster)
        number = owner.epoch
        owner.cell.batches.unrecorded_owner = OwnerRecord(number, "h", "h:1", number)
        previous = owner.cell.state.unverified.previous_owner
        if previous is not None and not cluster.owners[previous.epoch - 1].is_running:
            now = cluster.clock.now()
            owner.cell.handle_previous_owner_gone(ended_at.get(previous.epoch, now))
        return owner

    def kill_and_note(cluster: CellCluster) -> None:
        if cluster.owner.is_running:
            ended_at[cluster.owner.epoch] = cluster.clock.now()
        kill_owner(cluster)

    monkeypatch.setattr(CellCluster, "take_over", take_over_and_report)
    monkeypatch.setattr(CellCluster, "kill_owner", kill_and_note)
    yield


def kill_long_held_owner(cluster: CellCluster) -> None:
    """Kill an owner that was recorded, and start the next one after a while."""
    cluster.run(OWNERSHIP_VALID_MS)
    submit_plain(cluster, "b")
    cluster.run(2 * TICK_INTERVAL_MS)
    cluster.kill_owner()


@pytest.mark.usefixtures("_recorded_owners")
def test_tasks_of_a_lost_worker_do_not_wait_for_the_right_to_order_of_a_dead_owner() -> None:
    cluster = make_cluster()
    kill_long_held_owner(cluster)
    cluster.workers[find_busiest_worker(cluster)].crash()
    cluster.run(RESTART_MS)
    cluster.take_over()
    cluster.run(LEASE_LAPSE_MS - RESTART_MS + RESTART_MARGIN_MS)
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


@pytest.mark.usefixtures("_recorded_owners")
def test_lease_that_a_dead_owner_renewed_last_is_waited_for() -> None:
    cluster = make_cluster()
    cut_off = cluster.workers[find_busiest_worker(cluster)]
    cut_off.clock_rate = 1 - CLOCK_DRIFT
    kill_long_held_owner(cluster)
    cut_off.is_isolated = True
    cluster.run(RESTART_MS)
    cluster.take_over()
    cluster.run(LEASE_LAPSE_MS)
    assert not cut_off.runs
    assert len(cluster.ground_truth.list_running("a")) == 6
    assert not cluster.ground_truth.violations


@pytest.mark.usefixtures("_recorded_owners")
def test_end_of_an_owner_says_nothing_of_leases_that_a_later_owner_has_renewed() -> None:
    cluster = make_cluster()
    kill_long_held_owner(cluster)
    cluster.take_over()
    cluster.run(OWNERSHIP_VALID_MS - 2 * TICK_INTERVAL_MS)
    cut_off = cluster.workers[find_busiest_worker(cluster)]
    cluster.kill_owner()
    cut_off.is_isolated = True
    cluster.take_over()
    assert cluster.cell.state.unverified.previous_owner is None
    cluster.run(LEASE_LAPSE_MS)
    assert not cut_off.runs
    assert not cluster.ground_truth.violations


@pytest.mark.usefixtures("_recorded_owners")
def test_owner_is_not_recorded_while_an_earlier_one_may_renew_leases() -> None:
    cluster = make_cluster()
    cluster.kill_owner()
    cluster.journal.pop("owner", None)
    cluster.take_over()
    cluster.run(OWNERSHIP_VALID_MS - 2 * TICK_INTERVAL_MS)
    assert "owner" not in cluster.journal
    cluster.run(4 * TICK_INTERVAL_MS)
    assert "owner" in cluster.journal


@pytest.mark.usefixtures("_recorded_owners")
@pytest.mark.parametrize("seed", range(5_000, 5_010))
def test_no_task_runs_twice_after_faults_where_ends_of_owners_are_known(seed: int) -> None:
    assert not play(seed).ground_truth.violations
