"""Run numbers rise with each run, however many one owner starts."""

import pytest

from quetzallock_core.cells import run_numbers
from quetzallock_core.cells.const import RUNS_PER_EPOCH
from quetzallock_core.cells.run_numbers import RunNumbers
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step, submit_plain

NUMBERS = 40


@pytest.fixture
def _few_numbers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let an epoch have few numbers."""
    for name, number in (("RUNS_PER_EPOCH", 1), ("_RESERVE_BELOW", 2), ("_MIN_LEFT", 4)):
        monkeypatch.setattr(run_numbers, name, NUMBERS // number)


def list_numbers(cluster: CellCluster, task: str) -> list[int]:
    """Return the run numbers of a task, in the order of its starts."""
    return [run for _, name, run, _ in cluster.ground_truth.starts if name == task]


@pytest.mark.usefixtures("_few_numbers")
@pytest.mark.parametrize("is_planned", [False, True])
def test_numbers_rise_with_an_owner_that_follows_one_with_many_starts(is_planned: bool) -> None:
    """Guards against orders that each worker rejects as old, so that the task never runs again."""
    cluster = CellCluster(workers=1)
    cluster.run(300)
    cluster.submit(make_spec("lasts", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(300)
    for number in range(30):
        submit_plain(cluster, f"a{number}", count=4, duration_ms=20)
        cluster.run(60)
    for _ in range(3):
        worker = cluster.workers["w0"]
        worker._end_run(worker.runs["lasts.0.0.0"], "failed")
        cluster.run(600)
        assert "lasts.0.0.0" in worker.runs
        if is_planned:
            cluster.hand_over()
        else:
            cluster.kill_owner()
            cluster.take_over()
        cluster.run(600)
    numbers = list_numbers(cluster, "lasts.0.0.0")
    assert len(numbers) == 4
    assert numbers == sorted(numbers)
    everything = [run for _, _, run, _ in cluster.ground_truth.starts]
    assert len(set(everything)) == len(everything)


@pytest.mark.usefixtures("_few_numbers")
def test_tasks_wait_for_the_reservation_while_the_store_is_down() -> None:
    """Guards against numbers that the next owner uses too, as the journal does not reserve them."""
    cluster = CellCluster(workers=4)
    cluster.run(300)
    submit_plain(cluster, "a", count=18, duration_ms=20)
    submit_plain(cluster, "b", count=18, duration_ms=20)
    cluster.run(20)
    cluster.is_store_up = False
    cluster.run(1_000)
    numbers = cluster.cell.state.run_numbers
    assert numbers.is_reservation_due
    assert numbers._last <= numbers._reserved_until
    cluster.is_store_up = True
    cluster.run(2_000)
    assert cluster.cell.find_state("b") == "completed"
    assert not cluster.ground_truth.violations


def test_owner_begins_above_all_reserved_numbers() -> None:
    first = RunNumbers(1)
    record = None
    for _ in range(3 * RUNS_PER_EPOCH):
        if first.is_reservation_due:
            record = first.make_reservation()
            first.apply(record)
        used = first.next()
    second = RunNumbers(2)
    second.restore(record)
    assert second.next() > used > 3 * RUNS_PER_EPOCH
    assert second.are_short
