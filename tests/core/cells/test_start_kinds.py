"""What the owner reports of starts: the kind of the step, how long it waited, and what waits."""

from quetzallock_core.cells.descriptions import describe_kind
from quetzallock_core.cells.models import QueuePolicy, Resources
from quetzallock_core.cells.orders import Decision, Effect
from quetzallock_core.cells.scheduler import STARTED_EVENT
from quetzallock_core.cells.waiting import count_startable_steps
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import BEST_EFFORT_POLICY, POLICY, make_step

CAPACITY = Resources(8_000, 64_000, 0)
URGENT = QueuePolicy("urgent", "pool", 0)
USUAL = QueuePolicy("usual", "pool", 3)


def make_filled_cluster() -> CellCluster:
    """Return a cluster whose worker has no room, as a lasting task holds it."""
    cluster = CellCluster(workers=1, capacity=CAPACITY)
    cluster.run(500)
    filling = make_step(1, lasting=True, needs=CAPACITY)
    cluster.submit(make_spec("filling", filling), POLICY, {0: None})
    cluster.run(500)
    return cluster


def record_starts(cluster: CellCluster) -> list[dict[str, object]]:
    """Return a list to which the inputs of all later starts are added."""
    starts: list[dict[str, object]] = []
    state = cluster.cell.state
    emit = state.emit

    def record(effect: Effect) -> None:
        if isinstance(effect, Decision) and effect.event == STARTED_EVENT:
            starts.append(effect.inputs)
        emit(effect)

    state.emit = record  # type: ignore[method-assign]
    return starts


def test_kind_of_a_step_tells_lasting_best_effort_and_the_priority_of_others() -> None:
    assert describe_kind(make_step(lasting=True), URGENT) == "lasting"
    assert describe_kind(make_step(fills=True), URGENT) == "best_effort"
    assert describe_kind(make_step(), URGENT) == "priority_0"
    assert describe_kind(make_step(), USUAL) == "priority_3"


def test_steps_that_could_start_are_counted_by_kind() -> None:
    """A backlog of best-effort steps must not look like one of urgent steps."""
    cluster = make_filled_cluster()
    cluster.submit(make_spec("urgent", make_step(1)), URGENT, {0: 500})
    cluster.submit(make_spec("first", make_step(1, fills=True)), BEST_EFFORT_POLICY, {0: 500})
    cluster.submit(make_spec("second", make_step(1, fills=True)), BEST_EFFORT_POLICY, {0: 500})
    cluster.run(200)
    counts = count_startable_steps(cluster.cell.state, cluster.clock.now())
    assert counts == {"priority_0": 1, "best_effort": 2}


def test_counting_changes_nothing_that_placement_reads() -> None:
    cluster = make_filled_cluster()
    cluster.submit(make_spec("urgent", make_step(1)), URGENT, {0: 500})
    cluster.run(200)
    state = cluster.cell.state
    before = [(step, step.has_no_waiting_task) for step in state.open_steps]
    count_startable_steps(state, cluster.clock.now())
    assert [(step, step.has_no_waiting_task) for step in state.open_steps] == before


def test_start_of_a_step_tells_its_kind_and_that_it_is_the_first() -> None:
    cluster = CellCluster(workers=1, capacity=CAPACITY)
    cluster.run(500)
    starts = record_starts(cluster)
    cluster.submit(make_spec("urgent", make_step(1)), URGENT, {0: 500})
    cluster.run(300)
    (start,) = starts
    assert (start["kind"], start["again"]) == ("priority_0", False)


def test_start_after_a_stopped_run_is_not_the_first() -> None:
    """Its step is ready since long: the time of the first run would count as a wait."""
    cluster = CellCluster(workers=1, capacity=CAPACITY)
    cluster.run(500)
    starts = record_starts(cluster)
    cluster.submit(make_spec("urgent", make_step(1)), URGENT, {0: 2_000})
    cluster.run(500)
    state = cluster.cell.state
    (worker,) = state.workers.values()
    (run,) = worker.runs.values()
    state.stop_run(run, "test")
    cluster.run(2_000)
    assert [start["again"] for start in starts] == [False, True]
