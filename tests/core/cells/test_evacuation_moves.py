"""Moves out of an evacuated data centre: none costs more than it saves, none breaks a promise."""

import pytest

from quetzallock_core.cells.models import Resources
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step
from .evacuations import (
    MAX_VIEW_AGE_MS,
    MOVE_MS,
    ROOM_FOR_TWO,
    VIEW_MS,
    list_running_in,
    make_cluster,
    run_until_view_age,
    submit_lasting,
)


def test_no_task_is_moved_while_it_could_not_start_again() -> None:
    cluster = make_cluster()
    submit_lasting(cluster, 4)
    run_until_view_age(cluster, MAX_VIEW_AGE_MS)
    cluster.workers["w0"].drain()
    cluster.run(MOVE_MS)
    assert len(cluster.ground_truth.list_running("s")) == 4
    assert not cluster.cell.state.counters["run.stopped"]


def test_moves_keep_max_unavailable() -> None:
    cluster = make_cluster()
    submit_lasting(cluster, 8, max_unavailable=1)
    cluster.operator.evacuate("a")
    fewest = 8
    for _ in range(10 * MOVE_MS // 10):
        cluster.run(10)
        fewest = min(fewest, len(cluster.ground_truth.list_running("s")))
    assert fewest == 7
    assert not list_running_in(cluster, "a")
    assert not cluster.ground_truth.violations


def test_task_of_which_none_may_be_unavailable_stays() -> None:
    cluster = make_cluster()
    submit_lasting(cluster, 4, max_unavailable=0)
    cluster.operator.evacuate("a")
    cluster.run(MOVE_MS)
    assert len(list_running_in(cluster, "a")) == 2
    assert len(cluster.ground_truth.starts) == 4


def test_lasting_task_without_capacity_elsewhere_goes_on() -> None:
    cluster = make_cluster(workers=2, capacity=ROOM_FOR_TWO)
    submit_lasting(cluster, 4)
    cluster.operator.evacuate("a")
    cluster.run(MOVE_MS)
    assert len(cluster.ground_truth.starts) == 4
    assert len(list_running_in(cluster, "a")) == 2


def test_moves_leave_capacity_for_the_jobs_of_the_next_seconds() -> None:
    cluster = make_cluster(capacity=Resources(4_000, 16_000, 0))
    submit_lasting(cluster, 8)
    cluster.operator.evacuate("a")
    cluster.run(2 * MOVE_MS)
    assert len(list_running_in(cluster, "a")) == 2
    assert len(list_running_in(cluster, "b")) == 6


def test_waiting_task_gets_the_capacity_before_a_move(monkeypatch: pytest.MonkeyPatch) -> None:
    cluster = make_cluster(workers=2, capacity=ROOM_FOR_TWO)
    submit_lasting(cluster, 3)
    (crowded,) = (w for w in cluster.workers.values() if len(w.runs) == 2)
    scheduler = cluster.cell._scheduler
    with monkeypatch.context() as patch:
        patch.setattr(scheduler, "start_waiting_tasks", lambda: None)
        cluster.submit(make_spec("j", make_step(1)), POLICY, {0: 4_000})
        cluster.operator.evacuate(crowded.entry.data_centre)
        cluster.run(VIEW_MS)
        assert len(crowded.runs) == 2
    cluster.run(VIEW_MS)
    assert cluster.ground_truth.list_running("j")
    assert len(crowded.runs) == 2


@pytest.mark.parametrize(("saves", "is_moved"), [(True, True), (False, False)])
def test_only_tasks_with_checkpoints_move(saves: bool, is_moved: bool) -> None:
    cluster = make_cluster(workers=2)
    spec = make_spec("j", make_step(4, saves=saves, fills=True, image="f"))
    cluster.submit(spec, POLICY, {0: 3_000})
    cluster.run(1_000)
    assert list_running_in(cluster, "a")
    cluster.operator.evacuate("a")
    cluster.run(1_000)
    assert bool(list_running_in(cluster, "a")) is not is_moved
    cluster.run(MOVE_MS)
    assert cluster.cell.find_state("j") == "completed"
    assert (cluster.cell.state.counters["run.stopped"] > 0) is is_moved
    assert not cluster.ground_truth.violations


def test_capacity_for_a_waiting_task_is_not_kept_in_an_evacuated_data_centre() -> None:
    cluster = make_cluster(workers=2, capacity=ROOM_FOR_TWO)
    submit_lasting(cluster, 4)
    state = cluster.cell.state
    cluster.submit(make_spec("j", make_step(1)), POLICY, {0: 4_000})
    cluster.run(50)
    task = state.jobs["j"].list_tasks()[0]
    worker = next(w for w in state.workers.values() if w.entry.data_centre == "a")
    state.reservations.reserve_for_waiting(task, worker, (), cluster.clock.now() + 60_000)
    cluster.operator.evacuate("a")
    cluster.run(VIEW_MS)
    assert task not in state.reservations.by_task
