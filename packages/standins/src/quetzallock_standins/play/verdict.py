"""Compares the results that callers received with what the workers really ran."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from .models import CallResult, JobResult
from .recorded import RecordedResult

IN_TIME_PERCENT = 95.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """Outcome of a play, as seen from outside the daemons.

    Attributes:
        executed_rejections: Requests that were answered `not_run` and ran.
        doubled_orders: Non-idempotent requests that ran more than once.
        foreign: Requests that got the answer to another request.
        lost: Tasks of accepted jobs that neither finished nor were cancelled.
        doubled: Tasks that finished more than once, or have more than one recorded result.
        overlapping: Tasks of which two attempts ran at once.
        over_committed: Starts beyond the capacity or the slots of a worker, or next to another
            attempt of the same task.
    """

    calls: int
    in_time: int
    outcomes: dict[str, int]
    p50_ms: float
    p99_ms: float
    jobs: int
    tasks: int
    finished: int
    executed_rejections: tuple[str, ...]
    doubled_orders: tuple[str, ...]
    foreign: tuple[str, ...]
    lost: tuple[str, ...]
    doubled: tuple[str, ...]
    overlapping: tuple[str, ...]
    over_committed: int

    @property
    def in_time_percent(self) -> float:
        """Percentage of calls with a whole answer within their deadline."""
        return 100 * self.in_time / max(1, self.calls)

    def list_broken(self, checks_time: bool) -> tuple[str, ...]:
        """Return the names of the broken promises; lateness counts only if `checks_time`."""
        promises = {
            "in time": checks_time and self.in_time_percent < IN_TIME_PERCENT,
            "not run": bool(self.executed_rejections),
            "at most once": bool(self.doubled_orders),
            "own answer": bool(self.foreign),
            "nothing lost": bool(self.lost),
            "exactly once": bool(self.doubled),
            "one place": bool(self.overlapping),
            "no over-commitment": bool(self.over_committed),
        }
        return tuple(name for name, is_broken in promises.items() if is_broken)


def find_recorded_lost_results(
    runs: Iterable[dict[str, Any]], recorded: frozenset[RecordedResult]
) -> Counter[str]:
    """Return the number of results by task that a worker lost in a crash after they were recorded.

    A result that was lost unrecorded does not count: another attempt has to finish the task.
    """
    return Counter(
        run["task"]
        for run in runs
        if run["ending"] == "result lost" and (run["task"], run["attempt"]) in recorded
    )


def make_verdict(
    calls: Iterable[CallResult],
    jobs: Iterable[JobResult],
    ground_truth: dict[str, Any],
    recorded: frozenset[RecordedResult] = frozenset(),
) -> Verdict:
    """Return the verdict on a play.

    Args:
        calls: Results that callers received.
        jobs: Results that submitters received.
        ground_truth: What the workers really ran.
        recorded: Results that the daemons recorded.
    """
    calls, jobs = list(calls), list(jobs)
    executions = Counter(request_id for request_id, _worker in ground_truth["executions"])
    accepted = [job for job in jobs if job.outcome == "accepted"]
    runs = ground_truth["runs"]
    finishes = Counter(run["task"] for run in runs if run["ending"] == "finished")
    finishes += find_recorded_lost_results(runs, recorded)
    records = Counter(task for task, _attempt in recorded)
    expected = [
        f"{job.job}/{index}" for job in accepted if not job.cancelled for index in range(job.tasks)
    ]
    times = sorted(call.took_ms for call in calls if call.outcome == "whole")
    return Verdict(
        len(calls),
        sum(call.outcome == "whole" and call.took_ms <= call.deadline_ms for call in calls),
        dict(Counter(call.outcome for call in calls)),
        compute_quantile(times, 0.5),
        compute_quantile(times, 0.99),
        len(accepted),
        len(expected),
        sum(finishes[task] > 0 for task in expected),
        find_executed_rejections(calls, executions),
        find_doubled_orders(calls, executions),
        tuple(call.request_id for call in calls if not call.is_own_answer),
        tuple(task for task in expected if not finishes[task]),
        tuple(task for task in finishes | records if max(finishes[task], records[task]) > 1),
        tuple(sorted(find_overlaps(runs))),
        sum(
            counters["over_committed"] + counters["over_slots"] + counters["two_attempts"]
            for counters in ground_truth["counters"].values()
        ),
    )


def find_executed_rejections(
    calls: Iterable[CallResult], executions: Counter[str]
) -> tuple[str, ...]:
    """Return requests that were answered `not_run` and ran."""
    return tuple(
        call.request_id
        for call in calls
        if call.outcome == "not_run" and executions[call.request_id]
    )


def find_doubled_orders(calls: Iterable[CallResult], executions: Counter[str]) -> tuple[str, ...]:
    """Return non-idempotent requests that ran more than once."""
    return tuple(
        call.request_id for call in calls if not call.idempotent and executions[call.request_id] > 1
    )


def find_overlaps(runs: Iterable[dict[str, Any]]) -> set[str]:
    """Return tasks of which two runs overlap in time."""
    last_end: dict[str, int] = {}
    overlapping = set()
    for run in sorted(runs, key=lambda run: run["started_at"]):
        task = run["task"]
        if run["started_at"] < last_end.get(task, 0):
            overlapping.add(task)
        last_end[task] = max(last_end.get(task, 0), run["ended_at"])
    return overlapping


def compute_quantile(values: list[float], share: float) -> float:
    """Return a quantile of sorted values, 0 if there are none."""
    if not values:
        return 0.0
    return values[min(len(values) - 1, int(share * len(values)))]


def render_verdict(verdict: Verdict, checks_time: bool = True) -> str:
    """Return the verdict as text."""
    broken = verdict.list_broken(checks_time)
    outcomes = " ".join(f"{name}={count}" for name, count in sorted(verdict.outcomes.items()))
    lines = [
        f"calls {verdict.calls}: in time {verdict.in_time_percent:.2f}%  {outcomes}",
        f"tail p50 {verdict.p50_ms:.0f} ms  p99 {verdict.p99_ms:.0f} ms",
        f"jobs {verdict.jobs}: {verdict.finished} of {verdict.tasks} tasks finished"
        f"  lost {len(verdict.lost)}  doubled {len(verdict.doubled)}"
        f"  in two places {len(verdict.overlapping)}",
        f"orders doubled {len(verdict.doubled_orders)}"
        f"  told not run but ran {len(verdict.executed_rejections)}"
        f"  foreign answers {len(verdict.foreign)}  over-committed {verdict.over_committed}",
        f"verdict: BROKEN: {', '.join(broken)}" if broken else "verdict: all held",
    ]
    return "\n".join(lines)
