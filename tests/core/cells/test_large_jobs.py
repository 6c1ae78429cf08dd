"""Cost of a large job to its owner: it grows with the size of the job, not with its square."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from quetzallock_core.cells import Cell
from quetzallock_core.cells.batches import BatchMaker
from quetzallock_core.cells.const import MAX_REPETITIONS_OPENED
from quetzallock_core.cells.durations import DurationEstimates
from quetzallock_core.cells.models import Resources, StepSpec
from quetzallock_core.cells.outlooks import STEPS_PER_MS
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step, submit_plain
from .test_decision_costs import count_calls

NEEDS = Resources(500, 64, 0)
SIZE = 150
MAX_GROWTH = 2.6
"""Cost of a job of twice the size, as a multiple; twice, and what sorting adds."""
LASTING: dict[str, Any] = {"lasting": True}
KINDS: dict[str, dict[str, Any]] = {
    "plain": {},
    "gang": {"gang": True},
    "lasting": LASTING,
    "serving": LASTING | {"image": "s", "target_ms": 100},
    "guarded": LASTING | {"max_unavailable": 1},
    "best effort": {"fills": True, "image": "f"},
    "spread": {"max_per_worker": 2},
    "speculative": {"speculative": True},
}
TURNS: tuple[tuple[type, str], ...] = (
    (Cell, "submit"),
    (Cell, "start_waiting_tasks"),
    (Cell, "tick"),
    (Cell, "handle_inventory"),
    (Cell, "restore"),
    (Cell, "cancel"),
    (Cell, "find_state"),
    (Cell, "count_pending"),
    (BatchMaker, "pop_batch"),
    (BatchMaker, "handle_durable"),
)
"""What an owner does in one piece."""


@contextmanager
def measure_turns(monkeypatch: pytest.MonkeyPatch) -> Iterator[dict[str, int]]:
    """Yield the number of function calls in the longest turn of each kind."""
    longest: dict[str, int] = {}

    def measure(owner: type, name: str) -> None:
        method: Callable[..., Any] = getattr(owner, name)

        def turn(*args: Any, **kwargs: Any) -> Any:
            count = 0

            def add_event(_frame: object, event: str, _arg: object) -> None:
                nonlocal count
                count += event in ("call", "c_call")

            previous = sys.getprofile()
            sys.setprofile(add_event)
            try:
                return method(*args, **kwargs)
            finally:
                sys.setprofile(previous)
                longest[name] = max(count, longest.get(name, 0))

        monkeypatch.setattr(owner, name, turn)

    with monkeypatch.context() as patch:
        monkeypatch = patch
        for owner, name in TURNS:
            measure(owner, name)
        yield longest


def play(
    monkeypatch: pytest.MonkeyPatch, steps: int, count: int, is_chain: bool, fields: dict[str, Any]
) -> dict[str, int]:
    """Play a job from its submission to its cancel by the next owner; return the longest turns."""
    with measure_turns(monkeypatch) as turns:
        cluster = CellCluster(workers=2)
        cluster.run(300)
        specs = [
            StepSpec(
                count,
                NEEDS,
                50,
                after=(number - 1,) if is_chain and number else (),
                **fields,
            )
            for number in range(steps)
        ]
        duration_ms = None if fields.get("lasting") else 200
        cluster.submit(make_spec("a", *specs), POLICY, dict.fromkeys(range(steps), duration_ms))
        cluster.run(300)
        cluster.kill_owner()
        cluster.take_over()
        cluster.run(300)
        cluster.cell.find_state("a")
        cluster.cell.count_pending(POLICY.queue)
        cluster.cancel("a")
        cluster.run(100)
    return turns


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("shape", ["steps", "chain", "tasks"])
def test_turns_of_an_owner_do_not_grow_faster_than_a_job(
    monkeypatch: pytest.MonkeyPatch, shape: str, kind: str
) -> None:
    """Guards against a job by which each owner in turn is busy until it loses the cell."""
    sizes = (SIZE, 2 * SIZE)
    small, large = (
        play(
            monkeypatch,
            1 if shape == "tasks" else size,
            size if shape == "tasks" else 1,
            shape == "chain",
            KINDS[kind],
        )
        for size in sizes
    )
    grown = {name: (small[name], large[name]) for name in large if large[name] > 500}
    assert not {n: (a, b) for n, (a, b) in grown.items() if b > MAX_GROWTH * a}


def test_steps_of_a_large_job_are_not_summed_up_again_in_each_round(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against rounds that cost as much as the job is large, however little has changed."""
    cluster = CellCluster(workers=1, capacity=Resources(1_000, 64_000, 0))
    cluster.run(300)
    steps = 400
    specs = [make_step(1, needs=Resources(1_000, 64, 0)) for _ in range(steps)]
    cluster.submit(make_spec("a", *specs), POLICY, dict.fromkeys(range(steps), 60_000))
    cluster.run(100)
    expected = count_calls(monkeypatch, DurationEstimates, "expect")
    cluster.cell.start_waiting_tasks()
    del expected[:]
    cluster.cell.start_waiting_tasks()
    assert not expected
    cluster.clock.advance(steps // STEPS_PER_MS + 1)
    cluster.cell.start_waiting_tasks()
    assert steps <= len(expected) <= steps + 10


def test_repetitions_that_are_due_at_once_are_opened_in_turns() -> None:
    """Guards against a scheduled job whose missed repetitions keep its owner busy."""
    cluster = CellCluster()
    cluster.run(300)
    first_run_ms = cluster.read_unix_ms() - 1_000_000
    spec = make_spec("a", make_step(1), repetitions=1_000, first_run_ms=first_run_ms, interval_ms=1)
    cluster.submit(spec, POLICY, {0: 10})
    cluster.run(60)
    job = cluster.cell.state.jobs["a"]
    assert 0 < job.opened <= 2 * MAX_REPETITIONS_OPENED
    submit_plain(cluster, "b", count=1)
    cluster.run(30_000)
    assert job.opened == 1_000
    assert cluster.cell.find_state("b") == "completed"


def test_steps_open_as_their_predecessors_end_under_each_owner() -> None:
    """Guards against steps that no end opens, as only the successors of an end are looked at."""
    cluster = CellCluster()
    cluster.run(300)
    specs = [make_step(2, after=tuple(range(number))) for number in range(6)]
    cluster.submit(make_spec("a", *specs), POLICY, dict.fromkeys(range(6), 300))
    cluster.run(1_000)
    for _ in range(3):
        cluster.kill_owner()
        cluster.take_over()
        cluster.run(900)
    cluster.run(6_000)
    assert cluster.cell.find_state("a") == "completed"
    assert not cluster.ground_truth.violations
