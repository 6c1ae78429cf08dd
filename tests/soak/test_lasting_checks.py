"""Tests of the check of long-running tasks: each allowed case beside one that breaks the rule."""

from typing import Any

from .callers import CallerJob
from .capacity import CapacityTimeline, FreeCapacity
from .fault_log import FaultLog, Span
from .lasting_checks import ABSENCE_MS, CALM_MS, RESTART_MS, list_lasting_findings

ID = "0000000000000001"
TASK = f"{ID}.0.0.0"
OTHER = f"{ID}.0.0.1"
CPU = 2_000
ENDED_AT = 20_000
FOUND_AT = ENDED_AT + RESTART_MS + ABSENCE_MS
START_OF_PROCESSES: Span = (0, 1_000)
RECORDED_AT = 60_000
State = tuple[float, str, str, int]


def find(
    again_at: float | None = None,
    spans: tuple[Span, ...] = (),
    states: tuple[State, ...] = ((0, "w0", "ready", 2 * CPU),),
    occupied: Span | None = None,
    **fields: Any,
) -> list[str]:
    """Return the findings on a task that ran until `ENDED_AT` and runs again from `again_at` on.

    Another task of twice its size runs in the span `occupied`.
    """
    starts: list[Any] = [(5_000, TASK, 1, "gone")]
    ends: list[Any] = [(ENDED_AT, TASK, 1, "crashed")]
    if again_at is not None:
        starts.append((again_at, TASK, 2, "w0"))
    if occupied is not None:
        starts.append((occupied[0], OTHER, 3, "w0"))
        ends.append((occupied[1], OTHER, 3, "stopped"))
    record = {"starts": starts, "ends": ends, "worker_states": states}
    record["task_cpu"] = {TASK: CPU, OTHER: 2 * CPU}
    job = CallerJob(**{"id": ID, "kind": "lasting", "tasks": (2,), "accepted_at": 4_000, **fields})
    return list_lasting_findings([job], record, [START_OF_PROCESSES, *spans], RECORDED_AT)


def test_task_that_runs_again_too_late_is_found() -> None:
    assert find(FOUND_AT - 1) == []
    assert len(find(FOUND_AT)) == 1
    assert TASK in find(FOUND_AT)[0]


def test_task_that_never_runs_again_is_found() -> None:
    assert len(find()) == 1


def test_task_of_a_cancelled_refused_or_timed_job_is_not_found() -> None:
    assert find(cancel_sent_at=FOUND_AT - 1) == []
    assert len(find(cancel_sent_at=FOUND_AT)) == 1
    assert find(accepted_at=None) == []
    assert find(kind="timed") == []


def test_wait_in_a_disturbance_is_allowed_until_calm_has_lasted() -> None:
    fault = (ENDED_AT, ENDED_AT + 8_000)
    found_at = fault[1] + CALM_MS + ABSENCE_MS
    assert find(found_at - 1, spans=(fault,)) == []
    assert len(find(found_at, spans=(fault,))) == 1


def test_wait_that_a_fault_interrupts_before_the_bound_is_allowed() -> None:
    assert find(FOUND_AT, spans=((FOUND_AT - 1, FOUND_AT + 1),)) == []
    assert len(find(FOUND_AT, spans=((FOUND_AT, FOUND_AT + 1),))) == 1


def test_wait_without_room_for_it_twice_over_is_allowed() -> None:
    assert find(states=((0, "w0", "ready", 2 * CPU - 1),)) == []
    assert find(states=((0, "w0", "draining", 2 * CPU),)) == []
    assert find(states=((0, "w0", "ready", 2 * CPU), (FOUND_AT - 1, "w0", "gone", 0))) == []
    assert find(again_at=FOUND_AT + 1_000, occupied=(FOUND_AT - 1, FOUND_AT + 500)) == []


def test_room_must_last_on_end() -> None:
    freed_at = 30_000
    occupied = (ENDED_AT, freed_at)
    assert find(again_at=freed_at + ABSENCE_MS - 1, occupied=occupied) == []
    assert len(find(again_at=freed_at + ABSENCE_MS, occupied=occupied)) == 1


def test_room_of_several_workers_that_are_large_enough_counts_together() -> None:
    states = ((0, "w0", "ready", CPU), (0, "w1", "ready", CPU))
    assert len(find(states=states)) == 1
    assert find(states=((0, "w0", "ready", CPU), (0, "w1", "ready", CPU - 1))) == []


def test_capacity_follows_states_starts_and_ends() -> None:
    record = {
        "worker_states": [(0, "w0", "ready", 16_000), (0, "w1", "ready", 4_000)],
        "starts": [(10, TASK, 1, "w0")],
        "ends": [(20, TASK, 1, "done")],
        "task_cpu": {TASK: CPU},
    }
    record["worker_states"].append((20, "w0", "draining", 16_000))
    assert list(CapacityTimeline(record).list_between(5, 30)) == [
        ((5, 10), FreeCapacity(20_000, 16_000)),
        ((10, 20), FreeCapacity(18_000, 14_000)),
        ((20, 30), FreeCapacity(4_000, 4_000)),
    ]


def test_only_planned_work_leaves_a_period_calm() -> None:
    log = FaultLog()
    for name in ("stop_host", "force_rebalance", "replace_workers", "restart_hosts"):
        with log.record(name):
            assert log.unplanned_spans == []
    with log.record("kill_host"):
        assert log.unplanned_spans[0][1] == float("inf")
    assert log.unplanned_spans[0][1] < float("inf")
    assert len(log.spans) == 5
