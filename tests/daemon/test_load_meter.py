"""The owner's load: busy time by kind of event, its log line and its counters."""

import logging
from collections import Counter
from time import perf_counter, process_time
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_core.cells.cancellations import FINISHED_EVENT, OVERDUE_EVENT
from quetzallock_core.cells.const import OWNERSHIP_VALID_MS
from quetzallock_core.cells.interruptions import RESUMED_EVENT
from quetzallock_core.cells.models import Bounds, Inventory, JobSpec, QueuePolicy
from quetzallock_core.cells.orders import Decision, PaceRun, StartRun, StopRun, TicketOutcome
from quetzallock_core.cells.scheduler import STARTED_EVENT
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.const import LOAD_REPORT_INTERVAL_MS, TICK_INTERVAL_MS
from quetzallock_daemon.cells.load_meter import INVENTORY, JOURNAL, PLACEMENT, TICK, LoadMeter
from quetzallock_daemon.cells.messages import SubmitJobRequest
from quetzallock_daemon.cells.owner import CellOwner
from quetzallock_daemon.cells.ports import OrderAnswer
from quetzallock_daemon.telemetry.metrics_page import MetricsPage

JOB = "5c0e7a21d94b36f8"
POLICY = QueuePolicy("queue", "pool")
FINISHED = {"longest": "stop_held", "after_ms": 6_200}


class FakeTime:
    """Passing time and processor time of a process, in ms."""

    def __init__(self) -> None:
        self.ms = 0.0
        self.processor_ms = 0.0

    def spend(self, ms: float) -> None:
        """Let time pass in which the process has the processor."""
        self.ms += ms
        self.processor_ms += ms

    def read_s(self) -> float:
        return self.ms / 1_000

    def read_processor_s(self) -> float:
        return self.processor_ms / 1_000


def make_meter(time: FakeTime, counters: Counter[str]) -> LoadMeter:
    return LoadMeter(0, counters, time.read_s, time.read_processor_s)


def list_reports(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    return [vars(record) for record in caplog.records if record.message == "owner.load"]


def test_event_within_another_counts_only_as_its_own_kind() -> None:
    """Counted twice, the kinds would add up to more than the time that has passed."""
    time, counters = FakeTime(), Counter[str]()
    meter = make_meter(time, counters)
    with meter.measure(INVENTORY):
        time.spend(10)
        with meter.measure(JOURNAL):
            time.spend(4)
        time.spend(1)
    time.spend(100)
    with meter.measure(INVENTORY):
        time.spend(2)
    meter.publish()
    assert counters["owner.busy_ms.inventory"] == 13
    assert counters["owner.busy_ms.journal"] == 4
    assert counters["process.cpu_ms"] == 117


def test_event_that_fails_does_not_leave_its_kind_on() -> None:
    """Otherwise all idle time after an exception would count as busy."""
    time, counters = FakeTime(), Counter[str]()
    meter = make_meter(time, counters)
    with pytest.raises(ValueError), meter.measure(PLACEMENT):
        time.spend(3)
        raise ValueError
    time.spend(500)
    with meter.measure(TICK):
        time.spend(1)
    meter.publish()
    assert counters["owner.busy_ms.placement"] == 3


def test_counters_go_on_with_the_next_owner_and_keep_parts_of_a_millisecond() -> None:
    time, counters = FakeTime(), Counter[str]()
    for _ in range(2):
        meter = make_meter(time, counters)
        for _ in range(10):
            with meter.measure(TICK):
                time.spend(0.5)
            meter.publish()
    assert counters["owner.busy_ms.tick"] == 10


def test_report_covers_the_time_since_the_last_one(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    time, counters = FakeTime(), Counter[str]()
    meter = make_meter(time, counters)
    for spent_ms in (30, 50):
        meter.starts += 2
        meter.record_lag(spent_ms)
        with meter.measure(PLACEMENT):
            time.spend(spent_ms)
        assert not meter.is_report_due
        time.ms += LOAD_REPORT_INTERVAL_MS - spent_ms
        with meter.measure(TICK):
            pass
        assert meter.is_report_due
        meter.report(12.4, {"priority_0": 1})
        assert not meter.is_report_due
    first, second = list_reports(caplog)
    assert (first["busy_ms"]["placement"], second["busy_ms"]["placement"]) == (30, 50)
    assert (first["cpu_ms"], second["cpu_ms"]) == (30, 50)
    assert (first["max_lag_ms"], second["max_lag_ms"]) == (30, 50)
    assert (first["starts"], second["starts"]) == (2, 2)
    assert second["interval_ms"] == LOAD_REPORT_INTERVAL_MS
    assert (second["lag_ms"], second["waiting"]) == (12, {"priority_0": 1})


@pytest.mark.parametrize("measures", [True, False])
def test_processor_time_is_not_reported_from_a_clock_that_runs_while_the_process_sleeps(
    caplog: pytest.LogCaptureFixture, measures: bool
) -> None:
    """With such a figure an idle owner looks saturated."""
    caplog.set_level(logging.INFO)
    counters = Counter[str]()
    read_processor_s = process_time if measures else perf_counter
    meter = LoadMeter(0, counters, perf_counter, read_processor_s)
    meter.report(0.0, {})
    assert (list_reports(caplog)[0]["cpu_ms"] is not None) == measures
    assert ("process.cpu_ms" in counters) == measures


class AnsweringWorkers:
    """Workers that answer all calls at once."""

    async def start(self, _order: StartRun) -> OrderAnswer:
        return OrderAnswer("", 0)

    async def stop(self, _order: StopRun) -> OrderAnswer:
        return OrderAnswer("", 0)

    async def pace(self, _order: PaceRun) -> None:
        """Accept the order."""


class ObservedOwner:
    """An owner of an empty cell in emulated time, and what it observes."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.reactor = Clock()
        self.counters: Counter[str] = Counter()
        self.observed: list[tuple[str, float]] = []
        monkeypatch.setattr(BootClock, "now", lambda _: round(self.reactor.seconds() * 1_000))
        unused: Any = None
        workers: Any = AnsweringWorkers()
        self.owner = CellOwner(
            self.reactor,
            0,
            1,
            Bounds(),
            unused,
            workers,
            lambda _: None,
            self.counters,
            lambda operation, ms: self.observed.append((operation, ms)),
        )
        self.owner.meter._read_s = self.reactor.seconds
        self.owner.meter._switched_s = self.owner.meter._reported_s = 0.0
        self.owner.is_active = True

    def emit(self, *effects: Any) -> None:
        """Let the cell emit effects, and the owner run them."""
        self.owner.ownership_confirmed_at = self.owner.clock.now()
        for effect in effects:
            self.owner.cell.state.emit(effect)
        self.owner.run_effects()


def test_owner_logs_its_load_once_a_second_while_it_owns_the_cell(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """A line for each event or tick would add to the load that it reports."""
    caplog.set_level(logging.INFO)
    observed = ObservedOwner(monkeypatch)
    observed.owner._tick()
    for _ in range(55):
        observed.reactor.advance(TICK_INTERVAL_MS / 1_000)
    assert len(list_reports(caplog)) == 5
    assert sum(operation == "owner.lag" for operation, _ in observed.observed) == 55
    observed.owner.stop()
    for _ in range(30):
        observed.reactor.advance(TICK_INTERVAL_MS / 1_000)
    assert len(list_reports(caplog)) == 5


def test_owner_counts_the_orders_that_it_sends(monkeypatch: pytest.MonkeyPatch) -> None:
    observed = ObservedOwner(monkeypatch)
    where = ("w", 1, "w:1", "j.0.0.0", 1)
    observed.owner.cell.evacuations.handle_requests(frozenset(), 0)
    observed.emit(
        StartRun(*where, "", "", 0), StopRun(*where), PaceRun(*where, 50), PaceRun(*where, 60)
    )
    meter = observed.owner.meter
    assert (meter.starts, meter.stops, meter.paces) == (1, 1, 2)


def test_owner_counts_inventories(monkeypatch: pytest.MonkeyPatch) -> None:
    observed = ObservedOwner(monkeypatch)
    entry = SimpleNamespace(boot_ms=1)
    worker: Any = type("AnyWorker", (), {"id": "w", "boot": ("w", 1), "entry": entry})()
    inventory = Inventory(0, (), (), 1)
    monkeypatch.setattr(observed.owner.cell, "handle_inventory", lambda *_: None)
    observed.owner._inventory_poller._handle_answer(worker, inventory, 0)
    assert observed.owner.meter.inventories == 1


def test_waits_for_a_start_are_observed_by_kind_but_not_those_of_repeated_starts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observed = ObservedOwner(monkeypatch)
    observed.emit(
        Decision(STARTED_EVENT, {"kind": "priority_0", "again": False, "waited_ms": 7}),
        Decision(STARTED_EVENT, {"kind": "best_effort", "again": False, "waited_ms": 900}),
        Decision(STARTED_EVENT, {"kind": "best_effort", "again": True, "waited_ms": 9_000}),
    )
    assert observed.observed == [("start.wait.priority_0", 7), ("start.wait.best_effort", 900)]


def test_end_of_a_cancelled_job_is_observed_by_the_part_that_took_longest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observed = ObservedOwner(monkeypatch)
    observed.emit(Decision(FINISHED_EVENT, FINISHED))
    assert observed.observed == [("cancel.end.stop_held", 6_200)]
    assert observed.counters[FINISHED_EVENT] == 1
    page = MetricsPage(observed.counters)
    page.observe(*observed.observed[0])
    bucket = b'quetzallock_latency_seconds_bucket{le="%s",of="cancel.end.stop_held"} %s.0'
    for bound_s, count in ((b"5.0", b"0"), (b"10.0", b"1")):
        assert bucket % (bound_s, count) in page.render()[1]


def test_time_of_a_long_running_task_without_a_run_is_observed_by_its_longest_part(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observed = ObservedOwner(monkeypatch)
    observed.emit(Decision(RESUMED_EVENT, {"longest": "capacity_wait", "after_ms": 9_700}))
    assert observed.observed == [("lasting.away.capacity_wait", 9_700)]


def test_overdue_cancel_is_a_warning(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """As any other decision it would be left out where a second has too many lines of it."""
    caplog.set_level(logging.INFO)
    ObservedOwner(monkeypatch).emit(Decision(OVERDUE_EVENT, {}), Decision(FINISHED_EVENT, FINISHED))
    assert [(record.message, record.levelname) for record in caplog.records] == [
        (OVERDUE_EVENT, "WARNING"),
        (FINISHED_EVENT, "INFO"),
    ]


def test_cell_learns_of_the_stops_that_are_sent_but_not_of_those_held_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    observed = ObservedOwner(monkeypatch)
    sent: list[StopRun] = []
    monkeypatch.setattr(observed.owner.cell, "handle_stop_sent", sent.append)
    first, second = (StopRun("w", 1, "w:1", "j.0.0.0", run) for run in (1, 2))
    observed.emit(first)
    observed.reactor.advance(OWNERSHIP_VALID_MS / 1_000)
    observed.owner.cell.state.emit(second)
    observed.owner.run_effects()
    assert sent == [first]
    assert observed.counters["orders.held_back"] == 1


def test_time_to_accept_a_job_is_observed(monkeypatch: pytest.MonkeyPatch) -> None:
    observed = ObservedOwner(monkeypatch)
    observed.owner.ownership_confirmed_at = observed.owner.clock.now()
    monkeypatch.setattr(observed.owner._journal, "schedule_append", lambda: None)
    observed.owner.handle_request(
        SubmitJobRequest(9, 0, JobSpec(JOB, "", ()), POLICY), lambda _: None
    )
    observed.reactor.advance(0.03)
    observed.emit(TicketOutcome(1, "accepted"))
    assert observed.observed == [("job.accept", 30)]
