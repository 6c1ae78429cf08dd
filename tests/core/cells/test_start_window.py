"""How best-effort starts are limited where an owner is late with their answers."""

from quetzallock_core.cells.const import ORDER_TIMEOUT_MS
from quetzallock_core.cells.load import (
    MAX_BEST_EFFORT_STARTS,
    MIN_BEST_EFFORT_STARTS,
    STRAINED_LAG_MS,
    LoadControl,
)
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import BEST_EFFORT_POLICY, POLICY, make_step

TASKS = 20
LIMIT = 4
TICKS = 60


def start_limited(cluster: CellCluster, fills: bool) -> None:
    """Let a cell with a limit of `LIMIT` receive a job of `TASKS` tasks, and place them once."""
    cluster.run(1_000)
    cluster.cell.state.start_window.limit = LIMIT
    policy = BEST_EFFORT_POLICY if fills else POLICY
    cluster.submit(make_spec("job", make_step(TASKS, fills=fills)), policy, {0: 5_000})
    cluster.run(cluster.append_delay_ms + 5)


def test_wide_best_effort_job_does_not_send_all_its_starts_at_once() -> None:
    cluster = CellCluster()
    cluster.latency_ms = 50
    start_limited(cluster, fills=True)
    assert cluster.counters["StartRun"] == LIMIT


def test_other_tasks_are_not_limited() -> None:
    cluster = CellCluster()
    cluster.latency_ms = 50
    start_limited(cluster, fills=False)
    assert cluster.counters["StartRun"] == TASKS


def test_best_effort_starts_go_on_with_the_answers() -> None:
    """They would otherwise wait for the next tick, and a wide job would take seconds to start."""
    cluster = CellCluster()
    start_limited(cluster, fills=True)
    cluster.run(95)
    assert cluster.counters["StartRun"] == TASKS


def test_starts_without_an_answer_do_not_keep_others_from_starting() -> None:
    """A lost worker answers nothing until its lease has lapsed, which takes seconds."""
    cluster = CellCluster()
    cluster.run(1_000)
    for worker in list(cluster.workers.values())[:2]:
        worker.is_isolated = True
    start_limited(cluster, fills=True)
    cluster.run(2 * ORDER_TIMEOUT_MS)
    started = sum(len(worker.runs) for worker in cluster.workers.values())
    assert started > LIMIT


def test_late_host_limits_best_effort_starts_and_returns_after_the_load() -> None:
    control = LoadControl()
    for _ in range(TICKS):
        control.record_lag(STRAINED_LAG_MS + 1)
    assert control.best_effort_limit == MIN_BEST_EFFORT_STARTS
    for _ in range(TICKS):
        control.record_lag(STRAINED_LAG_MS)
    assert control.best_effort_limit == MAX_BEST_EFFORT_STARTS
