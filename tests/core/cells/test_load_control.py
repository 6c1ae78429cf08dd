"""How an owner stretches the polls of its workers when its host is late."""

from dataclasses import replace

from quetzallock_core.cells.const import DRAINING_LEASE_MS, INVENTORY_POLL_WAIT_MS, MAX_LEASE_MS
from quetzallock_core.cells.durations import DurationEstimates
from quetzallock_core.cells.jobs import Run
from quetzallock_core.cells.load import (
    COLOCATED_POLL_WAIT_MS,
    MAX_BEST_EFFORT_STARTS,
    MAX_POLL_PAUSE_MS,
    MIN_POLL_PAUSE_MS,
    OVERLOAD_LAG_MS,
    STRAINED_LAG_MS,
    TOLERATED_LAG_MS,
    LoadControl,
)
from quetzallock_core.cells.models import Resources, WorkerEntry
from quetzallock_core.cells.workers import Worker
from quetzallock_daemon.cells.const import INVENTORY_POLL_RETRY_PAUSE_MS, INVENTORY_POLL_SLACK_MS
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import BEST_EFFORT_POLICY, POLICY, make_step

HEAVY_LAG_MS = 500
TICKS = 20


def make_worker(serving: int = 0, best_effort: int = 0) -> Worker:
    """Return a worker that has answered, with these numbers of tasks."""
    entry = WorkerEntry("w", 1, "s", "w:1", "dc", False, Resources(1, 1), (), "")
    return Worker(entry, contact_at=0, serving_count=serving, best_effort_count=best_effort)


def make_control(lag_ms: float) -> LoadControl:
    """Return the load control of a host whose timers have been late by `lag_ms` for some time."""
    control = LoadControl()
    for _ in range(TICKS):
        control.record_lag(lag_ms)
    return control


def choose_pause_ms(control: LoadControl) -> int:
    """Return the pause for a worker without a run of an urgent task."""
    return control.choose_pause_ms(make_worker(1, 1), DurationEstimates(), 0)


def start_task(duration_ms: float, **fields: object) -> CellCluster:
    """Return a cell of one worker that has just started one task, with an estimate of 500 ms."""
    cluster = CellCluster(workers=1)
    cluster.run(1_000)
    policy = BEST_EFFORT_POLICY if fields.get("fills") else POLICY
    cluster.submit(make_spec("job", make_step(1, **fields)), policy, {0: duration_ms})
    while not cluster.workers["w0"].runs:
        cluster.run(5)
    return cluster


def choose_pause_beside_task(cluster: CellCluster, control: LoadControl) -> int:
    state = cluster.cell.state
    return control.choose_pause_ms(state.workers["w0"], state.durations, cluster.clock.now())


def test_idle_host_polls_at_once_and_colocated_workers_more_often() -> None:
    control = make_control(0)
    assert choose_pause_ms(control) == MIN_POLL_PAUSE_MS
    assert control.choose_wait_ms(make_worker(1, 1)) == COLOCATED_POLL_WAIT_MS
    assert control.choose_wait_ms(make_worker(1, 0)) == INVENTORY_POLL_WAIT_MS


def test_host_whose_timers_are_a_little_late_polls_as_an_idle_one() -> None:
    control = make_control(TOLERATED_LAG_MS)
    assert choose_pause_ms(control) == MIN_POLL_PAUSE_MS
    assert control.choose_wait_ms(make_worker(1, 1)) == COLOCATED_POLL_WAIT_MS


def test_late_host_stretches_its_polls_within_the_bounds() -> None:
    control = make_control(HEAVY_LAG_MS)
    assert choose_pause_ms(control) == MAX_POLL_PAUSE_MS
    assert control.choose_wait_ms(make_worker(1, 1)) == INVENTORY_POLL_WAIT_MS
    assert MAX_POLL_PAUSE_MS + INVENTORY_POLL_WAIT_MS < MAX_LEASE_MS / 2


def test_polls_return_to_normal_after_the_load() -> None:
    control = make_control(HEAVY_LAG_MS)
    for _ in range(5 * TICKS):
        control.record_lag(0)
    assert choose_pause_ms(control) <= MIN_POLL_PAUSE_MS + 1


def test_first_poll_of_a_worker_never_waits() -> None:
    worker = make_worker()
    worker.contact_at = -1
    assert make_control(HEAVY_LAG_MS).choose_wait_ms(worker) == 0


def test_lease_of_a_draining_worker_outlasts_one_lost_poll() -> None:
    """Two waits and the time limit of the lost poll must fit into the lease."""
    control = make_control(HEAVY_LAG_MS)
    worker = make_worker()
    worker.entry = replace(worker.entry, is_draining=True)
    wait_ms = control.choose_wait_ms(worker)
    worker.record_no_answer(0)
    wait_after_loss_ms = control.choose_wait_ms(worker)
    lost_poll_ms = wait_ms + INVENTORY_POLL_SLACK_MS + INVENTORY_POLL_RETRY_PAUSE_MS
    pauses_ms = 2 * MAX_POLL_PAUSE_MS
    assert wait_ms + lost_poll_ms + wait_after_loss_ms + pauses_ms < DRAINING_LEASE_MS


def test_host_that_is_late_with_everything_rejects_new_jobs() -> None:
    assert make_control(2 * OVERLOAD_LAG_MS).is_overloaded
    assert not make_control(OVERLOAD_LAG_MS / 2).is_overloaded


def test_host_that_was_suspended_once_rejects_nothing() -> None:
    control = make_control(0)
    control.record_lag(10 * OVERLOAD_LAG_MS)
    assert not control.is_overloaded


def test_late_host_polls_when_an_urgent_task_is_expected_to_end() -> None:
    """Its job would otherwise wait for the poll as long as those that nobody waits for."""
    control = make_control(HEAVY_LAG_MS)
    cluster = start_task(5_000)
    assert choose_pause_beside_task(cluster, control) == MAX_POLL_PAUSE_MS
    cluster.run(400)
    assert MIN_POLL_PAUSE_MS <= choose_pause_beside_task(cluster, control) <= 100
    cluster.run(400)
    assert choose_pause_beside_task(cluster, control) == MIN_POLL_PAUSE_MS


def test_late_host_batches_the_ends_of_best_effort_and_long_running_tasks() -> None:
    control = make_control(HEAVY_LAG_MS)
    for fields in ({"fills": True}, {"lasting": True}):
        cluster = start_task(5_000, **fields)
        cluster.run(500)
        assert choose_pause_beside_task(cluster, control) == MAX_POLL_PAUSE_MS


def test_polls_remain_stretched_while_the_limit_of_starts_keeps_the_lag_low() -> None:
    """More polls would only take the processor time of the starts that are held back."""
    control = make_control(STRAINED_LAG_MS + 1)
    while control.lag_ms > TOLERATED_LAG_MS:
        control.record_lag(TOLERATED_LAG_MS / 2)
    assert choose_pause_ms(control) > MAX_POLL_PAUSE_MS / 2


def test_single_late_timer_stretches_nothing() -> None:
    control = make_control(0)
    control.record_lag(STRAINED_LAG_MS + 1)
    assert control.best_effort_limit < MAX_BEST_EFFORT_STARTS
    assert choose_pause_ms(control) == MIN_POLL_PAUSE_MS


def test_metrics_of_serving_tasks_do_not_wait_for_the_starts_that_are_held_back() -> None:
    """The first poll that shows a serving task over its target must come as soon as before."""
    control = make_control(STRAINED_LAG_MS + 1)
    while control.lag_ms > TOLERATED_LAG_MS:
        control.record_lag(TOLERATED_LAG_MS / 2)
    assert control.choose_wait_ms(make_worker(1, 1)) == COLOCATED_POLL_WAIT_MS


def make_unlisted_run() -> tuple[Run, Worker]:
    """Return a run whose start is on its way, with its worker."""
    cluster = CellCluster(workers=1)
    cluster.run(1_000)
    cluster.holds_orders = True
    cluster.submit(make_spec("job", make_step(1)), POLICY, {0: 500})
    cluster.run(50)
    worker = cluster.cell.state.workers["w0"]
    (run,) = worker.runs.values()
    return run, worker


def test_list_that_tells_whether_a_stopped_run_has_ever_run_is_asked_for_at_once() -> None:
    """Guards against a task that waits for a poll that no end answers, as none comes."""
    control = make_control(0)
    run, worker = make_unlisted_run()
    assert control.choose_wait_ms(worker) == INVENTORY_POLL_WAIT_MS
    run.advance("stop")
    assert control.choose_wait_ms(worker) == INVENTORY_POLL_WAIT_MS
    run.record_answer(1, 1)
    assert control.choose_wait_ms(worker) == 0
    run.is_listed = True
    assert control.choose_wait_ms(worker) == INVENTORY_POLL_WAIT_MS


def test_start_that_was_answered_is_listed_by_a_poll_that_may_wait() -> None:
    """Guards against one more poll for each start."""
    run, worker = make_unlisted_run()
    run.advance("confirm")
    run.record_answer(1, 1)
    assert make_control(0).choose_wait_ms(worker) == INVENTORY_POLL_WAIT_MS
