"""Tests of the checks of cancelled jobs: each allowed case beside one that breaks the rule."""

from typing import Any

import pytest

from .callers import CallerJob
from .cancel_checks import CANCEL_MS, STOP_MS, list_cancel_findings
from .checks import list_accepted_findings, list_findings
from .fault_log import CONTACT_MS, FaultLog, Span, list_stable_periods
from .order_faults import ORDER_FAULT_RATES, RESTART_RATES
from .quiet_spell import MIN_QUIET_COURSE_S, choose_quiet_spell
from .runs import list_runs, list_runs_of_findings

ID = "0000000000000001"
TASK = f"{ID}.0.0.0"
CANCELLED_AT = 10_000
GONE_BY = CANCELLED_AT + CANCEL_MS + STOP_MS
START_OF_PROCESSES: Span = (0, 1_000)
RECORDED_AT = 60_000


def find(
    *runs: tuple[float, float | None], spans: tuple[Span, ...] = (), late: bool = False
) -> list[str]:
    """Return the findings on runs of one task, given by start and end."""
    starts = [[start, TASK, number, "w0"] for number, (start, _end) in enumerate(runs, 1)]
    ends = [
        [end, TASK, number, "stopped"]
        for number, (_start, end) in enumerate(runs, 1)
        if end is not None
    ]
    record = {"starts": starts, "ends": ends, "late_starts": starts[-1:] if late else []}
    job = CallerJob(ID, "lasting", (1,), accepted_at=4_000, cancel_sent=True)
    job.cancel_acknowledged_at = CANCELLED_AT
    return list_cancel_findings([job], record, [START_OF_PROCESSES, *spans], RECORDED_AT)


def test_run_that_goes_on_after_the_bound_is_found() -> None:
    assert find((5_000, GONE_BY)) == []
    assert len(find((5_000, GONE_BY + 1))) == 1


def test_run_that_never_ends_is_found() -> None:
    assert len(find((5_000, None))) == 1


def test_start_after_the_bound_is_found() -> None:
    assert find((CANCELLED_AT + CANCEL_MS, GONE_BY)) == []
    assert len(find((CANCELLED_AT + CANCEL_MS + 1, GONE_BY))) == 1


def test_start_within_the_bound_does_not_prolong_it() -> None:
    assert len(find((CANCELLED_AT + CANCEL_MS - 10, GONE_BY + 1))) == 1


def test_start_in_a_disturbance_is_allowed_but_must_be_stopped_after_it() -> None:
    fault = (19_000, 20_000)
    stable_from = 20_000 + CONTACT_MS
    assert find((stable_from - 1, stable_from + CANCEL_MS + STOP_MS), spans=(fault,)) == []
    assert len(find((stable_from, stable_from + 10), spans=(fault,))) == 1
    assert len(find((stable_from - 1, stable_from + CANCEL_MS + STOP_MS + 1), spans=(fault,))) == 1


def test_fault_within_the_bound_begins_the_count_anew() -> None:
    fault = (GONE_BY - 1, GONE_BY + 1_000)
    gone_by = fault[1] + CONTACT_MS + CANCEL_MS + STOP_MS
    assert find((5_000, gone_by), spans=(fault,)) == []
    assert len(find((5_000, gone_by + 1), spans=(fault,))) == 1


def test_fault_after_the_bound_excuses_nothing() -> None:
    fault = (GONE_BY, GONE_BY + 1_000)
    assert len(find((5_000, GONE_BY + 10), spans=(fault,))) == 1


def test_late_start_is_counted_from_the_contact_time_after_it() -> None:
    start = CANCELLED_AT + CANCEL_MS + 2_000
    gone_by = start + CONTACT_MS + CANCEL_MS + STOP_MS
    assert find((start, gone_by), late=True) == []
    assert len(find((start, gone_by), late=False)) == 1
    assert len(find((start, gone_by + 1), late=True)) == 1


def test_late_start_long_before_the_cancellation_is_counted_from_that() -> None:
    assert find((5_000, GONE_BY), late=True) == []
    assert len(find((5_000, GONE_BY + 1), late=True)) == 1


def test_run_after_another_of_its_task_is_found() -> None:
    assert len(find((5_000, GONE_BY), (GONE_BY, GONE_BY + 100))) == 1


def test_job_without_acknowledged_cancellation_has_no_finding() -> None:
    record = {"starts": [[5_000, TASK, 1, "w0"]], "ends": [], "late_starts": []}
    job = CallerJob(ID, "lasting", (1,), accepted_at=4_000, cancel_sent=True)
    assert list_cancel_findings([job], record, [START_OF_PROCESSES], RECORDED_AT) == []


def test_number_that_the_next_boot_starts_again_is_another_run() -> None:
    starts = [[5_000, TASK, 1, "w0"], [12_000, TASK, 1, "w0"]]
    record = {"starts": starts, "ends": [[6_000, TASK, 1, "crashed"]], "late_starts": starts[1:]}
    first, second = list_runs(record)
    assert (first.ended_at, first.is_late) == (6_000, False)
    assert (second.ended_at, second.is_late) == (float("inf"), True)
    assert len(list_runs_of_findings([f"{TASK} run 1: the task is done"], record)) == 2
    assert list_runs_of_findings([], record) == []


def test_period_is_stable_when_the_last_of_several_faults_is_over() -> None:
    spans = [(20_000.0, 21_000.0), START_OF_PROCESSES, (10_000.0, 19_000.0), (11_000.0, 12_000.0)]
    assert list_stable_periods(spans, 30_000) == [(4_000, 10_000), (24_000, 30_000)]
    assert list_stable_periods([*spans, (22_000.0, float("inf"))], 30_000) == [(4_000, 10_000)]


def test_only_changes_of_the_configuration_leave_a_period_stable() -> None:
    log = FaultLog()
    with log.record("change_configuration"):
        assert log.spans == []
    with log.record("kill_host"):
        assert log.spans[0][1] == float("inf")
    assert log.spans[0][0] <= log.spans[0][1] < float("inf")
    texts = [line.partition(" ")[2] for line in log.lines]
    assert texts[2:] == ["kill_host", "kill_host has ended"]


def test_late_start_is_no_start_after_the_healing() -> None:
    starts = [[20_000, TASK, 1, "w0"]]
    record: dict[str, Any] = {"broken": [], "starts": starts, "live": []}
    record["ends"] = [[21_000, TASK, 1, "stopped"]]
    job = CallerJob(ID, "lasting", (1,), [200], 4_000, CANCELLED_AT, True, "cancelled")
    assert len(list_findings([job], record, 0)) == 1
    assert list_findings([job], {**record, "late_starts": starts}, 0) == []


def test_lasting_job_that_does_not_run_before_its_cancellation_is_found() -> None:
    record: dict[str, Any] = {"starts": [[5_000, TASK, 1, "w0"]], "ends": [], "live": [TASK]}
    job = CallerJob(ID, "lasting", (1,), [200], 4_000, state="running")
    assert list_accepted_findings([job], record) == []
    assert len(list_accepted_findings([job], {**record, "live": []})) == 1


@pytest.mark.parametrize(
    "rates", [row for rows in (*ORDER_FAULT_RATES.values(), RESTART_RATES) for row in rows]
)
def test_rates_of_order_faults_are_percentages(rates: tuple[int, ...]) -> None:
    assert 0 < sum(rates) <= 100


def test_quiet_spell_leaves_room_for_the_bound_after_the_longest_fault() -> None:
    begin, end = choose_quiet_spell(1_000, MIN_QUIET_COURSE_S)
    assert 1_000 < begin < end < 1_000 + MIN_QUIET_COURSE_S * 1_000
    assert end - begin >= 9_000 + CONTACT_MS + CANCEL_MS + STOP_MS
    begin, end = choose_quiet_spell(1_000, MIN_QUIET_COURSE_S - 1)
    assert begin == end
