"""Planned work on a full pool: the promises hold, and each check reports what breaks them."""

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from .full_pool import LASTING_CPU, SPARE_COUNT, FullPool, FullPoolMachine, LastingPoolMachine

EXAMPLES = 12
STEPS = 12
WAIT_MS = 9_000


@pytest.fixture
def pool() -> FullPool:
    filled = FullPool(seed=1)
    filled.fill(LASTING_CPU)
    return filled


def test_full_pool_is_full_to_within_one_task(pool: FullPool) -> None:
    assert 0 <= pool._compute_free() < max(LASTING_CPU)


def test_restarts_in_a_row_cut_off_no_request(pool: FullPool) -> None:
    pool.leave_in_row(SPARE_COUNT)
    pool.roll_hosts(0)
    assert len(pool.callers.requests) > 15
    assert not pool.find_violations()


def test_tasks_of_workers_that_leave_in_a_row_run_again_in_time(pool: FullPool) -> None:
    pool.leave_in_row(SPARE_COUNT)
    pool.roll_hosts(0)
    assert not pool.settle()
    assert not pool.find_lasting_violations()


def test_requests_on_hosts_that_end_without_draining_are_reported(
    pool: FullPool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a check that misses a request in flight on a draining host."""
    monkeypatch.setattr(FullPool, "is_drained", lambda _pool, _name, ms: ms >= 1_000)
    pool.roll_hosts(0)
    assert any("cut off" in found for found in pool.find_violations())


def test_tasks_that_are_not_started_again_are_reported(pool: FullPool) -> None:
    """Guards against a check that misses tasks which stay away while workers leave in a row."""
    pool.leave_in_row(SPARE_COUNT)
    pool.cluster.isolated_workers.update(pool.cluster.workers)
    pool.cluster.run(3 * WAIT_MS)
    assert pool.find_lasting_violations()


@pytest.mark.parametrize("machine", [FullPoolMachine, LastingPoolMachine])
def test_promises_hold_under_planned_work_on_a_full_pool(machine: type[FullPoolMachine]) -> None:
    options = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=True,
        phases=[Phase.generate],
    )
    run_state_machine_as_test(machine, settings=options)
