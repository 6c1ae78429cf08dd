"""Tests of the verdict that compares the results of callers with what workers ran.

A play passes if the verdict misses a broken promise, and fails without cause if a result that was
recorded before its worker crashed counts as lost.
"""

from typing import Any

from quetzallock_core.codec import encode
from quetzallock_core.jobs.models import BatchRecord, ClaimRecord, TaskFinished
from quetzallock_core.jobs.replay import Replay
from quetzallock_standins.play.models import CallResult, JobResult
from quetzallock_standins.play.recorded import RecordedResults
from quetzallock_standins.play.verdict import make_verdict


def make_run(
    task: str, ending: str, started_at: int = 0, ended_at: int = 10, attempt: int = 1
) -> dict[str, Any]:
    """Return a run as the workers stand-in reports it."""
    return {
        "task": task,
        "attempt": attempt,
        "ending": ending,
        "started_at": started_at,
        "ended_at": ended_at,
    }


def make_ground_truth(*runs: dict[str, Any], executions: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return the ground truth as the workers stand-in reports it."""
    return {
        "runs": list(runs),
        "counters": {},
        "executions": [(request_id, "w") for request_id in executions],
    }


def make_call(request_id: str, outcome: str, idempotent: bool = False) -> CallResult:
    """Return the result of a call."""
    return CallResult(request_id, "order", outcome, 10.0, 1_000, idempotent, True, 0)


JOB = JobResult("j", 1, "accepted", False)


def test_complete_play_breaks_no_promise() -> None:
    ground_truth = make_ground_truth(make_run("j/0", "finished"), executions=("c",))
    assert make_verdict([make_call("c", "whole")], [JOB], ground_truth).list_broken(True) == ()


def test_unfinished_task_of_an_accepted_job_is_lost() -> None:
    assert make_verdict([], [JOB], make_ground_truth()).lost == ("j/0",)


def test_two_finishes_are_doubled() -> None:
    ground_truth = make_ground_truth(
        make_run("j/0", "finished"), make_run("j/0", "finished", 20, 30)
    )
    assert make_verdict([], [JOB], ground_truth).doubled == ("j/0",)


def test_overlapping_runs_are_found() -> None:
    ground_truth = make_ground_truth(make_run("j/0", "stopped"), make_run("j/0", "finished", 5, 30))
    assert make_verdict([], [JOB], ground_truth).overlapping == ("j/0",)


def test_result_lost_in_a_crash_counts_only_if_it_was_recorded() -> None:
    ground_truth = make_ground_truth(make_run("j/0", "result lost"))
    recorded = frozenset({("j/0", 1)})
    assert make_verdict([], [JOB], ground_truth).lost == ("j/0",)
    assert make_verdict([], [JOB], ground_truth, recorded).lost == ()


def test_second_run_after_a_recorded_result_is_doubled() -> None:
    ground_truth = make_ground_truth(
        make_run("j/0", "result lost"), make_run("j/0", "finished", 20, 30, attempt=2)
    )
    recorded = frozenset({("j/0", 1)})
    assert make_verdict([], [JOB], ground_truth, recorded).doubled == ("j/0",)


def test_second_run_after_an_unrecorded_result_is_not_doubled() -> None:
    """The crash came before the end was recorded, so the task had to run again."""
    ground_truth = make_ground_truth(
        make_run("j/0", "result lost"), make_run("j/0", "finished", 20, 30, attempt=2)
    )
    recorded = frozenset({("j/0", 2)})
    verdict = make_verdict([], [JOB], ground_truth, recorded)
    assert verdict.doubled == ()
    assert verdict.lost == ()


def test_two_recorded_results_are_doubled() -> None:
    ground_truth = make_ground_truth(
        make_run("j/0", "finished"), make_run("j/0", "stopped", 20, 30, attempt=2)
    )
    recorded = frozenset({("j/0", 1), ("j/0", 2)})
    assert make_verdict([], [JOB], ground_truth, recorded).doubled == ("j/0",)


def test_only_results_under_the_newest_claim_are_recorded() -> None:
    results = RecordedResults("")
    replay = Replay()
    records = (
        ClaimRecord("host-0#1", 1),
        ClaimRecord("host-1#2", 2),
        BatchRecord(0, 1, (TaskFinished("j/0", 1),)),
        BatchRecord(1, 1, (TaskFinished("j/0", 2),)),
    )
    for offset, record in enumerate(records):
        results.apply(replay, offset, encode(record))
    assert results.list_results() == frozenset({("j/0", 2)})


def test_not_run_that_ran_and_orders_that_ran_twice_are_seen() -> None:
    ground_truth = make_ground_truth(executions=("rejected", "twice", "twice"))
    verdict = make_verdict(
        [make_call("rejected", "not_run"), make_call("twice", "whole")], [], ground_truth
    )
    assert verdict.executed_rejections == ("rejected",)
    assert verdict.doubled_orders == ("twice",)
