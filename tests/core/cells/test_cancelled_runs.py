"""The emulator's check of runs of cancelled jobs: what it reports, and what it lets pass."""

from collections.abc import Callable

import pytest

from quetzallock_core.cells.models import Bounds
from quetzallock_core.cells.orders import StartRun, StopRun
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cancellations import CANCEL_MS, CHECK_INTERVAL_MS
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.deliveries import Delivery
from quetzallock_standins.emulator.fault_monitor import CONTACT_MS
from quetzallock_standins.emulator.workers import Answer, EmulatedWorker

from .common import POLICY, make_step

END_MS = CANCEL_MS + Bounds().stop_ms
SLACK_MS = 2 * CHECK_INTERVAL_MS
"""Time for the acknowledgement and the next check."""
LONG_MS = 60_000

Fault = Callable[[CellCluster, bool], None]


def set_store(cluster: CellCluster, is_active: bool) -> None:
    cluster.is_store_up = not is_active


def set_isolation(cluster: CellCluster, is_active: bool) -> None:
    cluster.workers["w1"].is_isolated = is_active


def set_mode(cluster: CellCluster, is_active: bool) -> None:
    cluster.workers["w1"].mode = "slow" if is_active else "sound"


def set_replacement(cluster: CellCluster, is_active: bool) -> None:
    cluster.workers["w1"].is_replaced = is_active


def crash(cluster: CellCluster, is_active: bool) -> None:
    if is_active:
        cluster.workers["w1"].crash()
    else:
        cluster.revive("w1")


def restart_at_once(cluster: CellCluster, is_active: bool) -> None:
    if not is_active:
        cluster.workers["w1"].crash()
        cluster.revive("w1")


def hide(cluster: CellCluster, is_active: bool) -> None:
    cluster.unlisted_workers = {"w1"} if is_active else set()


def set_rate(name: str) -> Fault:
    return lambda cluster, is_active: setattr(cluster, name, 0.1 if is_active else 0.0)


def kill_owner(cluster: CellCluster, is_active: bool) -> None:
    if is_active:
        cluster.kill_owner()
    else:
        cluster.take_over()


def hand_over(cluster: CellCluster, is_active: bool) -> None:
    if not is_active:
        cluster.hand_over()


FAULTS: dict[str, Fault] = {
    "store down": set_store,
    "worker isolated": set_isolation,
    "worker slow": set_mode,
    "worker replaced": set_replacement,
    "worker crashed": crash,
    "worker restarted at once": restart_at_once,
    "worker unlisted": hide,
    "orders lost": set_rate("order_loss_rate"),
    "orders late": set_rate("order_delay_rate"),
    "paces lost": set_rate("pace_loss_rate"),
    "orders rejected": set_rate("busy_rate"),
    "owner killed": kill_owner,
    "handed over": hand_over,
}


def drain(cluster: CellCluster, is_active: bool) -> None:
    if is_active:
        cluster.workers["w1"].drain()


def evacuate(cluster: CellCluster, is_active: bool) -> None:
    if is_active:
        cluster.operator.evacuate("dc")
    else:
        cluster.operator.readmit("dc")


def cancel_other_job(cluster: CellCluster, is_active: bool) -> None:
    if is_active:
        cluster.submit(make_spec("other", make_step()), POLICY, {0: 500})
    else:
        cluster.cancel("other")


ORDINARY: dict[str, Fault] = {
    "worker drains": drain,
    "evacuation": evacuate,
    "another cancellation": cancel_other_job,
    "answers late": set_rate("answer_delay_rate"),
}


@pytest.fixture(params=[False, True], ids=["workers that stop", "workers that do not stop"])
def goes_on(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> bool:
    """Let a test run with sound workers, and with workers that end no run."""
    if request.param:
        ignore_stops(monkeypatch)
    return bool(request.param)


@pytest.fixture
def deaf(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the workers end no run."""
    ignore_stops(monkeypatch)


def ignore_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    def answer(worker: EmulatedWorker, _order: StopRun, _epoch: int) -> Answer:
        return Answer("ok", worker.clock_ms)

    monkeypatch.setattr(EmulatedWorker, "stop", answer)


def make_running_cluster(duration_ms: float | None = None) -> CellCluster:
    """Return a stable cluster with one run of job `a`, on worker w0."""
    cluster = CellCluster(workers=2)
    cluster.unlisted_workers = {"w1"}
    cluster.run(500)
    step = make_step(1, lasting=duration_ms is None, estimate_ms=LONG_MS)
    cluster.submit(make_spec("a", step), POLICY, {0: duration_ms})
    cluster.run(100)
    cluster.unlisted_workers = set()
    cluster.run(CONTACT_MS + SLACK_MS)
    assert "a.0.0.0" in cluster.workers["w0"].runs
    return cluster


def make_start(cluster: CellCluster, worker: str) -> StartRun:
    """Return an order to start another run of job `a`."""
    started_on = cluster.workers[worker]
    until_ms = started_on.clock_ms + Bounds().lease_ms
    entry = started_on.entry
    fence = cluster.cell.state.workers[worker].fence
    return StartRun(worker, entry.boot_ms, entry.address, "a.0.0.0", 99, "", "", until_ms, fence)


@pytest.mark.parametrize("duration_ms", [LONG_MS, None], ids=["batch", "lasting"])
def test_run_that_goes_on_is_reported(goes_on: bool, duration_ms: float | None) -> None:
    cluster = make_running_cluster(duration_ms)
    cluster.cancel("a")
    cluster.run(END_MS - SLACK_MS)
    assert not cluster.ground_truth.violations
    assert bool(cluster.cancellations.list_running()) == goes_on
    cluster.run(2 * SLACK_MS)
    assert len(cluster.ground_truth.violations) == goes_on
    cluster.run(END_MS)
    assert len(cluster.ground_truth.violations) == goes_on


def test_run_of_a_job_that_nobody_cancelled_is_not_reported(deaf: None) -> None:
    cluster = make_running_cluster()
    cluster.cancel("b")
    cluster.run(2 * END_MS)
    assert not cluster.ground_truth.violations
    assert not cluster.cancellations.cancelled_at


def test_first_acknowledgement_counts(deaf: None) -> None:
    cluster = make_running_cluster()
    cluster.cancel("a")
    cluster.run(END_MS - 2 * SLACK_MS)
    cluster.cancel("a")
    cluster.run(3 * SLACK_MS)
    assert cluster.ground_truth.violations


def test_cancellation_without_an_answer_does_not_count(deaf: None) -> None:
    cluster = make_running_cluster()
    cluster.append_delay_ms = 2 * END_MS
    cluster.cancel("a")
    cluster.run(2 * END_MS - SLACK_MS)
    assert not cluster.cancellations.cancelled_at
    assert not cluster.ground_truth.violations
    cluster.run(END_MS + 3 * SLACK_MS)
    assert cluster.ground_truth.violations


def test_killed_owner_acknowledges_nothing() -> None:
    cluster = make_running_cluster()
    cluster.cancel("a")
    cluster.kill_owner()
    cluster.run(500)
    cluster.cancel("a")
    assert not cluster.cancellations.cancelled_at


@pytest.mark.parametrize("fault", FAULTS)
def test_time_counts_anew_after_each_fault(deaf: None, fault: str) -> None:
    """Guards against reports of runs that a fault has kept from being stopped."""
    cluster = make_running_cluster()
    cluster.cancel("a")
    cluster.run(END_MS - 10 * SLACK_MS)
    FAULTS[fault](cluster, True)
    cluster.run(200)
    FAULTS[fault](cluster, False)
    cluster.run(CONTACT_MS + END_MS - SLACK_MS)
    assert not cluster.ground_truth.violations
    cluster.run(2 * SLACK_MS)
    assert len(cluster.ground_truth.violations) == 1


@pytest.mark.parametrize("fault", FAULTS)
def test_fault_before_the_cancellation_counts_until_contact_is_back(deaf: None, fault: str) -> None:
    cluster = make_running_cluster()
    FAULTS[fault](cluster, True)
    cluster.run(200)
    FAULTS[fault](cluster, False)
    cluster.run(1_000)
    cluster.cancel("a")
    cluster.run(CONTACT_MS - 1_000 + END_MS - SLACK_MS)
    assert not cluster.ground_truth.violations
    cluster.run(2 * SLACK_MS)
    assert cluster.ground_truth.violations


@pytest.mark.parametrize("event", ORDINARY)
def test_ordinary_events_give_no_further_time(deaf: None, event: str) -> None:
    """Guards against a run that goes on unseen because something else happens all the time."""
    cluster = make_running_cluster()
    cluster.cancel("a")
    cluster.run(END_MS - 1_000)
    ORDINARY[event](cluster, True)
    cluster.run(200)
    ORDINARY[event](cluster, False)
    cluster.run(800 + SLACK_MS)
    assert any("a.0.0.0" in line for line in cluster.ground_truth.violations)


def hold_start_back(cluster: CellCluster, job: str) -> None:
    """Submit a lasting job whose first start order is carried out late, and nothing else."""
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec(job, make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(50)
    cluster.order_delay_rate = 0.0


def run_until_started(cluster: CellCluster, task: str) -> None:
    """Let time pass until a run of `task` starts."""
    while task not in (start[1] for start in cluster.ground_truth.starts):
        cluster.run(5)
        assert cluster.clock.now() < LONG_MS


@pytest.mark.parametrize("goes_on", [False, True])
def test_late_start_is_no_violation_but_the_run_has_to_end(
    goes_on: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    cluster = make_running_cluster()
    cluster.cancel("a")
    cluster.run(CANCEL_MS + 1_000)
    if goes_on:
        ignore_stops(monkeypatch)
    order = make_start(cluster, "w1")
    cluster._execute(cluster.owner, order, 0, Delivery(0, None, is_late=True))
    cluster.run(CONTACT_MS + END_MS - SLACK_MS)
    assert cluster.ground_truth.starts[-1][2] == order.run
    assert not cluster.ground_truth.violations
    cluster.run(2 * SLACK_MS)
    assert len(cluster.ground_truth.violations) == goes_on
    assert bool(cluster.cancellations.list_running()) == goes_on


def test_late_start_of_another_job_gives_no_further_time(deaf: None) -> None:
    """Guards against a run that goes on unseen behind orders that are still on their way."""
    cluster = make_running_cluster()
    hold_start_back(cluster, "b")
    cluster.run(CONTACT_MS)
    cluster.cancel("a")
    run_until_started(cluster, "b.0.0.0")
    cluster.run(END_MS + SLACK_MS)
    assert any("a.0.0.0" in line for line in cluster.ground_truth.violations)


@pytest.mark.parametrize("is_too_late", [False, True])
def test_start_after_the_bound_is_reported(is_too_late: bool) -> None:
    cluster = make_running_cluster()
    cluster.cancel("a")
    cluster.run(CANCEL_MS + (SLACK_MS if is_too_late else -SLACK_MS))
    order = make_start(cluster, "w1")
    cluster._send(cluster.owner, order)
    cluster.run(SLACK_MS)
    assert len(cluster.ground_truth.violations) == is_too_late
    assert cluster.ground_truth.starts[-1][2] == order.run


def test_run_whose_starter_is_gone_is_reported(deaf: None) -> None:
    cluster = make_running_cluster()
    cluster.cancel("a")
    cluster.run(SLACK_MS)
    cluster.kill_owner()
    cluster.run(100)
    cluster.take_over()
    cluster.run(CONTACT_MS + END_MS + SLACK_MS)
    assert cluster.ground_truth.violations
