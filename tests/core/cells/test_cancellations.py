"""What the log says of a cancelled job's last run, and which part of the wait it names."""

import pytest

from quetzallock_core.cells import cancellations
from quetzallock_core.cells.cancellations import FINISHED_EVENT, OVERDUE_EVENT
from quetzallock_core.cells.const import CANCEL_OVERDUE_MS
from quetzallock_core.cells.models import Inventory, RunningRow
from quetzallock_standins.emulator.cluster import INVENTORY_POLL_INTERVAL_MS, make_spec

from .common import POLICY, TracedCluster, make_step

POLL_MARGIN_MS = 2 * INVENTORY_POLL_INTERVAL_MS
"""Time in which the end of a run is seen after it, with a poll that was just missed."""


def make_running(count: int = 1, workers: int = 1) -> TracedCluster:
    """Return a cluster that runs a job "a" of tasks that last."""
    cluster = TracedCluster(workers=workers)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(count, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    assert sum(len(worker.runs) for worker in cluster.workers.values()) == count
    return cluster


def get_finished(cluster: TracedCluster) -> dict[str, object]:
    """Return the inputs of the only line on a finished cancel."""
    (inputs,) = cluster.list_inputs(FINISHED_EVENT)
    return inputs


def get_part(inputs: dict[str, object], part: str) -> int:
    parts_ms = inputs["parts_ms"]
    assert isinstance(parts_ms, dict)
    return int(parts_ms[part])


def test_cancel_without_faults_is_reported_once_with_all_its_runs() -> None:
    cluster = make_running(count=3)
    cluster.cancel("a")
    cluster.run(8_000)
    inputs = get_finished(cluster)
    assert (inputs["job"], inputs["runs"], inputs["stops"], inputs["how"]) == ("a", 3, 1, "listed")
    assert (inputs["longest"], inputs["adopted"]) == ("end_unlisted", False)
    assert not inputs["start_unanswered"] and not inputs["listed_after_stop"]
    stop_ms = cluster.bounds.stop_ms
    assert stop_ms - POLL_MARGIN_MS <= inputs["after_ms"] <= stop_ms + POLL_MARGIN_MS  # type: ignore[operator]
    assert not cluster.list_inputs(OVERDUE_EVENT)


def test_job_without_runs_is_not_followed() -> None:
    cluster = TracedCluster(workers=0)
    cluster.submit(make_spec("a", make_step(1)), POLICY, {0: 100})
    cluster.run(100)
    cluster.cancel("a")
    cluster.run(1_000)
    assert not cluster.list_inputs(FINISHED_EVENT)


def test_job_that_completes_is_not_reported_as_cancelled() -> None:
    cluster = TracedCluster(workers=2)
    cluster.run(500)
    cluster.submit(make_spec("a", make_step(2)), POLICY, {0: 300})
    cluster.run(2_000)
    assert cluster.cell.find_state("a") == "completed"
    cluster.cancel("a")
    cluster.run(1_000)
    assert not cluster.list_inputs(FINISHED_EVENT)


def test_slow_store_is_named_although_the_runs_end_before_the_answer() -> None:
    """Guards against a journal part that stops at the end of the last run."""
    cluster = make_running()
    cluster.append_delay_ms = 2_000
    cluster.cancel("a")
    cluster.run(1_500)
    assert not cluster.list_inputs(FINISHED_EVENT)
    cluster.run(1_000)
    inputs = get_finished(cluster)
    assert (inputs["longest"], inputs["after_ms"]) == ("journal", 0)
    assert 2_000 <= get_part(inputs, "journal") <= 2_000 + cluster.append_delay_ms


def test_stop_that_is_held_back_is_named() -> None:
    """Guards against taking a stop that was decided for one that was sent."""
    cluster = make_running()
    cluster.holds_orders = True
    cluster.cancel("a")
    cluster.run(1_500)
    cluster.holds_orders = False
    cluster.run(2_000)
    inputs = get_finished(cluster)
    assert (inputs["longest"], inputs["stops"]) == ("stop_held", 1)
    assert 1_500 <= get_part(inputs, "stop_held") <= 1_500 + cluster.bounds.stop_ms + 100


def test_lost_stop_is_named() -> None:
    cluster = make_running()
    cluster.workers["w0"].is_isolated = True
    cluster.cancel("a")
    cluster.run(1_200)
    cluster.workers["w0"].is_isolated = False
    cluster.run(2_000)
    inputs = get_finished(cluster)
    assert (inputs["longest"], get_part(inputs, "stop_held")) == ("stop_unanswered", 0)
    assert inputs["stops"] in (4, 5)
    assert 1_200 <= get_part(inputs, "stop_unanswered") <= 1_200 + cluster.bounds.stop_ms + 100


def test_end_that_is_not_listed_is_named() -> None:
    cluster = make_running()
    cluster.cancel("a")
    cluster.run(50)
    cluster.workers["w0"].is_isolated = True
    cluster.run(10_000)
    inputs = get_finished(cluster)
    assert (inputs["longest"], inputs["how"], inputs["stops"]) == ("end_unlisted", "lapsed", 1)
    assert get_part(inputs, "end_unlisted") > cluster.bounds.lease_ms - 1_000


def test_run_on_a_worker_that_is_gone_is_named_with_its_worker() -> None:
    cluster = make_running()
    cluster.cancel("a")
    cluster.run(50)
    cluster.workers["w0"].crash()
    cluster.run(100)
    cluster.revive("w0")
    cluster.run(2_000)
    inputs = get_finished(cluster)
    assert (inputs["worker"], inputs["how"]) == ("w0", "next_boot")


def test_start_without_an_answer_at_the_cancel_is_reported() -> None:
    cluster = TracedCluster(workers=1)
    cluster.run(500)
    cluster.order_loss_rate = 1.0
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(100)
    cluster.order_loss_rate = 0.0
    cluster.cancel("a")
    cluster.run(2_000)
    assert get_finished(cluster)["start_unanswered"] is True


def test_answer_of_an_earlier_call_is_not_taken_for_that_of_the_cancel() -> None:
    """Guards against a short journal part where a repeated submission is answered in between."""
    cluster = TracedCluster(workers=1)
    cluster.run(500)
    cluster.append_delay_ms = 100
    spec = make_spec("a", make_step(1, lasting=True))
    cluster.submit(spec, POLICY, {0: None})
    cluster.run(50)
    repeated = cluster.submit(spec, POLICY, {0: None})
    cluster.run(100)
    assert cluster.workers["w0"].runs
    cancelled = cluster.cancel("a")
    cluster.run(100)
    assert repeated in cluster.owner.outcomes
    assert cancelled not in cluster.owner.outcomes
    cluster.run(2_000)
    assert get_part(get_finished(cluster), "journal") > 100


@pytest.mark.parametrize("wait_ms", [0, 50])
def test_stop_from_before_the_cancel_does_not_count_as_held_back(wait_ms: int) -> None:
    """The first stop may be under way or answered when the job is cancelled."""
    cluster = make_running()
    (run,) = cluster.cell.state.workers["w0"].runs.values()
    cluster.cell.state.stop_run(run, "preempted")
    cluster.run_effects(cluster.owner)
    cluster.run(wait_ms)
    cluster.cancel("a")
    cluster.run(2_000)
    inputs = get_finished(cluster)
    assert (inputs["longest"], inputs["stops"]) == ("end_unlisted", 0)
    assert get_part(inputs, "stop_held") == 0


def test_answer_of_an_earlier_boot_does_not_count_for_the_next() -> None:
    """Guards against blaming the worker while the next boot has not answered the stop yet."""
    cluster = TracedCluster(workers=1)
    cluster.run(500)
    cluster.order_delay_rate = 1.0
    cluster.submit(make_spec("a", make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(50)
    cluster.order_delay_rate = 0.0
    cluster.cancel("a")
    cluster.run(50)
    (run,) = cluster.cell.state.workers["w0"].runs.values()
    assert run.answered_clock_ms >= 0
    cluster.workers["w0"].crash()
    cluster.run(100)
    cluster.revive("w0")
    cluster.run(9_000)
    inputs = get_finished(cluster)
    assert inputs["stops"] == 2
    assert get_part(inputs, "stop_unanswered") >= 100


def test_overdue_run_is_reported_once_with_its_worker() -> None:
    """Guards against a line with each tick, and against silence while the run goes on."""
    cluster = make_running(count=2, workers=2)
    overdue_ms = CANCEL_OVERDUE_MS + cluster.bounds.stop_ms
    cluster.workers["w0"].is_isolated = True
    cluster.cancel("a")
    cluster.run(overdue_ms - 100)
    assert not cluster.list_inputs(OVERDUE_EVENT)
    cluster.run(1_500)
    (inputs,) = cluster.list_inputs(OVERDUE_EVENT)
    assert (inputs["job"], inputs["worker"], inputs["run_state"]) == ("a", "w0", "stopping")
    assert (inputs["worker_reachable"], inputs["worker_listed"]) == (False, True)
    assert inputs["inventory_age_ms"] >= overdue_ms  # type: ignore[operator]
    assert inputs["longest"] == "stop_unanswered"
    assert overdue_ms <= inputs["after_ms"] <= overdue_ms + 100  # type: ignore[operator]
    assert not cluster.list_inputs(FINISHED_EVENT)
    cluster.run(8_000)
    assert len(cluster.list_inputs(OVERDUE_EVENT)) == 1
    assert get_finished(cluster)["runs"] == 2


def test_next_owner_follows_the_runs_that_it_adopts() -> None:
    """Guards against a takeover after which nothing tells when the runs have ended."""
    cluster = make_running(count=2)
    cluster.holds_orders = True
    cluster.cancel("a")
    cluster.run(100)
    cluster.kill_owner()
    cluster.holds_orders = False
    cluster.decisions.clear()
    cluster.take_over()
    cluster.run(2_000)
    assert len(cluster.list_inputs("run.adopted")) == 2
    inputs = get_finished(cluster)
    assert (inputs["adopted"], inputs["runs"], inputs["stops"]) == (True, 2, 1)
    assert (get_part(inputs, "journal"), inputs["longest"]) == (0, "end_unlisted")


def read_inventory(cluster: TracedCluster, clock_ms: int, *running: RunningRow) -> None:
    """Let the owner read an inventory whose list of ends is cut off."""
    boot = cluster.cell.state.workers["w0"].boot
    inventory = Inventory(clock_ms, running, (), boot[1], has_more_ends=True)
    cluster.cell.handle_inventory(boot, inventory, cluster.clock.now())
    cluster.run_effects(cluster.owner)


def test_run_that_is_listed_after_its_stop_was_due_is_reported_once() -> None:
    cluster = make_running()
    (run,) = cluster.cell.state.workers["w0"].runs.values()
    row = RunningRow(run.task.name, run.number, "", 100)
    cluster.cancel("a")
    cluster.run(50)
    over_by_clock_ms = run.answered_clock_ms
    read_inventory(cluster, over_by_clock_ms, row)
    read_inventory(cluster, over_by_clock_ms + 10)
    assert not cluster.list_inputs("run.listed_after_stop")
    for late_ms in (60, 70):
        read_inventory(cluster, over_by_clock_ms + late_ms, row)
    (inputs,) = cluster.list_inputs("run.listed_after_stop")
    assert (inputs["task"], inputs["worker"], inputs["late_ms"]) == (run.task.name, "w0", 60)
    cluster.run(2_000)
    assert get_finished(cluster)["listed_after_stop"] is True


def test_number_of_followed_runs_is_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against unbounded memory; the latest runs are those kept."""
    monkeypatch.setattr(cancellations, "MAX_FOLLOWED_RUNS", 2)
    cluster = make_running(count=3)
    cluster.submit(make_spec("b", make_step(2, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    cluster.cancel("a")
    cluster.cancel("b")
    cluster.run(2_000)
    dropped = [(inputs["job"], inputs["runs"]) for inputs in cluster.list_inputs("cancel.dropped")]
    assert dropped == [("a", 1), ("a", 2)]
    assert get_finished(cluster)["job"] == "b"


def test_number_of_followed_jobs_without_an_answer_is_limited(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against unbounded memory while the store is down."""
    cluster = TracedCluster(workers=1)
    cluster.run(500)
    for job in "abc":
        cluster.submit(make_spec(job, make_step(1, lasting=True)), POLICY, {0: None})
    cluster.run(500)
    monkeypatch.setattr(cancellations, "MAX_FOLLOWED_RUNS", 2)
    cluster.is_store_up = False
    for job in "abc":
        cluster.cancel(job)
        cluster.run(1_000)
    cluster.is_store_up = True
    cluster.run(1_000)
    assert [inputs["job"] for inputs in cluster.list_inputs("cancel.dropped")] == ["a"]
    assert [inputs["job"] for inputs in cluster.list_inputs(FINISHED_EVENT)] == ["b", "c"]


def test_all_is_forgotten_with_the_last_run() -> None:
    cluster = make_running(count=3, workers=2)
    cluster.cancel("a")
    cluster.run(2_000)
    followed = cluster.cell.state.cancellations
    assert not (followed._by_job or followed._runs or followed._by_worker)
