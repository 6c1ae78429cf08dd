"""Work that an owner saves changes none of its decisions: whole plays are compared by digest."""

from random import Random

import pytest

from quetzallock_core.cells import placement as placements
from quetzallock_core.cells.models import QueuePolicy, Resources, StepSpec
from quetzallock_core.cells.placement import Placement
from quetzallock_standins.emulator.cluster import make_spec

from .lasting_flood import (
    LEAVE_INTERVAL_MS,
    drain,
    make_cluster,
    submit_lasting,
    submit_others,
)

SECONDS = 7
WORKERS = 20
OTHER_POLICY = QueuePolicy("other", "pool", 0, 2, 2.0, 1_000, 1)


def play(seed: int) -> str:
    """Return the digest of a drawn flood in which queues compete, workers leave and fail."""
    draw = Random(seed)
    cluster = make_cluster(WORKERS, seed)
    cluster.order_loss_rate = 0.02 * draw.randrange(3)
    cluster.cell.state.start_window.limit = draw.choice((None, 8))
    leaving = [f"w{number}" for number in range(WORKERS // 3)]
    for second in range(SECONDS):
        submit_lasting(cluster, second, draw.randint(0, 2))
        submit_others(cluster, second, draw.randint(2, 10))
        for index in range(draw.randint(0, 6)):
            needs = Resources(draw.choice((2_000, 2_700, 9_000)), 6_000, 0)
            step = StepSpec(draw.randint(1, 8), needs, max_per_worker=draw.choice((0, 0, 1)))
            cluster.submit(make_spec(f"other{second}-{index}", step), OTHER_POLICY, {0: 700.0})
        if second == draw.randrange(SECONDS):
            cluster.workers[f"w{WORKERS - 1}"].crash()
        for _ in range(1_000 // LEAVE_INTERVAL_MS):
            if second >= 2 and leaving and draw.random() < 0.3:
                drain(cluster, leaving.pop())
            cluster.run(LEAVE_INTERVAL_MS)
    assert cluster.counters["StartRun"] > WORKERS
    return cluster.digest.hexdigest()


@pytest.mark.parametrize("seed", range(4))
def test_rankings_shared_by_steps_of_one_kind_decide_as_separate_ones(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against costs that differ between steps of a kind, and changes that are missed."""
    shared = play(seed)
    monkeypatch.setattr(placements, "_describe_kind", lambda *_: None)
    assert play(seed) == shared


def test_shared_ranking_knows_what_a_started_task_no_longer_needs_elsewhere() -> None:
    """Guards against a start on a busier worker than the one whose kept capacity is free again."""
    cluster = make_cluster(2)
    state = cluster.cell.state
    step = StepSpec(1, Resources(4_000, 1_000, 0))
    for job in ("kept", "first", "second"):
        cluster.submit(make_spec(job, step), OTHER_POLICY, {0: 700.0})
    kept, first, second = (
        state.jobs[job].open_occurrence(0).steps[0].tasks[0] for job in ("kept", "first", "second")
    )
    state.reservations.reserve_for_waiting(kept, state.workers["w0"], (), 9_000)
    placement = state.make_placement()
    assert placement.choose(first) is state.workers["w1"]
    state.reservations.release(kept)
    assert placement.choose(second) is state.workers["w0"]


@pytest.mark.parametrize("seed", range(4))
def test_leaving_out_steps_without_room_decides_as_trying_them(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a step that could have started, and other turns of the queues."""
    left_out = play(seed)
    monkeypatch.setattr(Placement, "may_have_room", lambda *_: True)
    assert play(seed) == left_out
