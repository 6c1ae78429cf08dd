"""Guards whose effect other parts make up for in longer plays; each is checked alone here."""

import pytest

from quetzallock_core.cells import inventory
from quetzallock_core.cells.answers import OTHER_BOOT
from quetzallock_core.cells.jobs import Run
from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.orders import StopRun
from quetzallock_core.cells.placement import can_place
from quetzallock_core.cells.workers import Worker
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, answer_as_next_boot, make_step, submit_plain

LONG_MS = 60_000
HARM = 30.0


@pytest.fixture
def cluster(monkeypatch: pytest.MonkeyPatch) -> CellCluster:
    """Return a cluster of one worker, on which the owner plans no pace changes by itself."""
    monkeypatch.setattr(inventory, "plan_pace_changes", lambda *_: [])
    cluster = CellCluster(workers=1)
    cluster.run(500)
    return cluster


def find_worker(cluster: CellCluster) -> Worker:
    """Return the owner's state of the only worker."""
    return cluster.cell.state.workers["w0"]


def find_run(cluster: CellCluster) -> Run:
    """Return the only run."""
    (run,) = find_worker(cluster).runs.values()
    return run


def test_lost_pace_order_is_sent_again(cluster: CellCluster) -> None:
    step = make_step(1, fills=True, image="f")
    cluster.submit(make_spec("fills", step), POLICY, {0: LONG_MS})
    cluster.run(500)
    cluster.pace_loss_rate = 1.0
    cluster.cell.state.pace_run(find_run(cluster), 0)
    cluster.run_effects(cluster.owner)
    cluster.pace_loss_rate = 0.0
    cluster.run(2_000)
    assert [run.pace for run in cluster.workers["w0"].runs.values()] == [0]


def test_no_best_effort_task_may_join_a_serving_task_over_its_target(cluster: CellCluster) -> None:
    cluster.workers["w0"].interference["desk", "noisy"] = HARM
    needs = Resources(2_000, 2_000, 0)
    serving = make_step(1, lasting=True, image="desk", target_ms=20, needs=needs)
    noisy = make_step(1, fills=True, image="noisy", needs=needs)
    calm = make_step(1, fills=True, image="calm", after=(0,))
    cluster.submit(make_spec("noisy", noisy, calm), POLICY, {0: LONG_MS, 1: LONG_MS})
    cluster.run(500)
    cluster.submit(make_spec("serving", serving), POLICY, {0: None})
    cluster.run(2_000)
    occurrence = cluster.cell.state.jobs["noisy"].occurrences[0]
    waiting = occurrence.steps[1].tasks[0]
    assert not can_place(waiting, find_worker(cluster), cluster.clock.now())
    cluster.workers["w0"].interference.clear()
    cluster.run(2_000)
    assert can_place(waiting, find_worker(cluster), cluster.clock.now())


def test_listed_run_with_an_order_in_flight_is_stopped_at_the_next_boot(
    cluster: CellCluster,
) -> None:
    """The order was repeated, and its second copy may still arrive."""
    submit_plain(cluster, "job", count=1, duration_ms=LONG_MS)
    cluster.run(500)
    run = find_run(cluster)
    assert run.is_listed
    run.unanswered = 1
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    answer_as_next_boot(cluster, "w0")
    assert find_run(cluster) is run
    assert run.state == "stopping"


def test_stop_order_that_another_boot_refuses_ends_the_known_boot(cluster: CellCluster) -> None:
    submit_plain(cluster, "job", count=1, duration_ms=LONG_MS)
    cluster.run(500)
    run = find_run(cluster)
    entry = find_worker(cluster).entry
    order = StopRun(entry.worker, entry.boot_ms, entry.address, run.task.name, run.number)
    cluster.cell.answers.handle_stop_answer(order, OTHER_BOOT, 0, cluster.clock.now())
    assert (entry.worker, entry.boot_ms) in cluster.cell.state.ended_boots
    assert run.task.is_waiting
