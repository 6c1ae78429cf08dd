"""The verdict joined from what was told and what ran."""

from typing import Any

from quetzallock_standins.play.models import CallResult, JobResult
from quetzallock_standins.play.verdict import find_results_lost, judge


def make_run(task: str, ending: str, started_at: int = 0, ended_at: int = 10) -> dict[str, Any]:
    """Return a run as the workers stand-in tells it."""
    return {"task": task, "ending": ending, "started_at": started_at, "ended_at": ended_at}


def make_truth(*runs: dict[str, Any], executions: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return the truth about a run."""
    return {"runs": list(runs), "guards": {}, "executions": [(one, "w") for one in executions]}


def make_call(identity: str, outcome: str, idempotent: bool = False) -> CallResult:
    """Return what a caller was told."""
    return CallResult(identity, "order", outcome, 10.0, 1_000, idempotent, True, 0)


JOB = JobResult("j", 1, "accepted", False)


def test_everything_in_order_breaks_nothing() -> None:
    truth = make_truth(make_run("j/0", "finished"), executions=("c",))
    assert judge([make_call("c", "whole")], [JOB], truth).list_broken(True) == ()


def test_unfinished_task_of_an_accepted_job_is_lost() -> None:
    assert judge([], [JOB], make_truth()).lost == ("j/0",)


def test_two_finishes_are_doubled() -> None:
    truth = make_truth(make_run("j/0", "finished"), make_run("j/0", "finished", 20, 30))
    assert judge([], [JOB], truth).doubled == ("j/0",)


def test_overlapping_runs_are_two_places() -> None:
    truth = make_truth(make_run("j/0", "stopped"), make_run("j/0", "finished", 5, 30))
    assert judge([], [JOB], truth).overlapping == ("j/0",)


def test_result_lost_counts_only_where_it_was_recorded() -> None:
    truth = make_truth(make_run("j/0", "result lost"))
    lost = find_results_lost(truth)
    assert judge([], [JOB], truth).lost == ("j/0",)
    assert judge([], [JOB], truth, lost).lost == ()


def test_second_run_after_a_recorded_result_is_doubled() -> None:
    truth = make_truth(make_run("j/0", "result lost"), make_run("j/0", "finished", 20, 30))
    assert judge([], [JOB], truth, find_results_lost(truth)).doubled == ("j/0",)


def test_not_run_that_ran_and_orders_that_ran_twice_are_seen() -> None:
    truth = make_truth(executions=("lie", "twice", "twice"))
    verdict = judge([make_call("lie", "not_run"), make_call("twice", "whole")], [], truth)
    assert verdict.lies == ("lie",)
    assert verdict.doubled_orders == ("twice",)
