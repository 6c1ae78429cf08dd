"""Checks that compare the answers to callers with what workers actually ran."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from quetzallock_core.jobs.const import CANCELLED
from quetzallock_core.requests.const import NOT_RUN, WHOLE
from quetzallock_core.workers.const import RUNNING
from tests.common import FakeCluster
from tests.runs import count_endings, find_overlapping_runs

SETTLE_TIMEOUT_MS = 180_000
CONTACT_MS = 3_000
"""How long after the last fault hosts and workers may still be out of touch."""
CANCEL_MS = 3_000
"""Time after an acknowledged cancellation within which the runs of the job are stopped."""


@dataclass(slots=True)
class CallerRecord:
    """What callers submitted and requested, with the tickets of the answers.

    Attributes:
        jobs: Host and ticket of each submission, by job.
        sizes: Number of tasks, by job.
        lasting: Host and ticket of the submission of each job of long-running tasks.
        cancelled: Jobs for which a cancellation was requested.
        requests: Host, ticket, key and whether it is idempotent, of each request.
    """

    jobs: dict[str, list[tuple[str, int]]] = field(default_factory=dict)
    sizes: dict[str, int] = field(default_factory=dict)
    lasting: dict[str, tuple[str, int]] = field(default_factory=dict)
    cancelled: set[str] = field(default_factory=set)
    requests: list[tuple[str, int, str, bool]] = field(default_factory=list)


def find_running_violations(cluster: FakeCluster) -> list[str]:
    """Return violations of what must hold at any time, under any faults."""
    runs = cluster.list_runs()
    found = [
        f"{first.task} ran on {first.worker} and {second.worker} at once: {first} {second}"
        for first, second in find_overlapping_runs(runs)
    ]
    found += [f"{task} finished {n} times" for task, n in count_endings(runs).items() if n > 1]
    for name, worker in cluster.workers.items():
        counters = worker.counters
        if counters.over_committed:
            found.append(f"{name} was over-committed, peak {counters.peak}")
        if counters.two_attempts:
            found.append(f"{name} was asked to run two attempts")
        if counters.over_slots:
            found.append(f"{name} had {counters.peak_slots} requests at once")
    return found


def find_resume_violations(cluster: FakeCluster) -> list[str]:
    """Return attempts that did not resume from the progress of the previous one."""
    by_task: dict[str, list] = {}
    for run in cluster.list_runs():
        by_task.setdefault(run.task, []).append(run)
    found = []
    for task, runs in by_task.items():
        attempts = Counter(run.attempt for run in runs)
        found += [f"{task} attempt {n} ran twice" for n, times in attempts.items() if times > 1]
        runs.sort(key=lambda run: run.attempt)
        for previous, following in zip(runs, runs[1:], strict=False):
            if (
                previous.ending == "stopped"
                and following.start_progress_ms < previous.end_progress_ms
            ):
                found.append(f"{task} attempt {following.attempt} lost work")
    return found


def find_request_violations(cluster: FakeCluster, callers: CallerRecord) -> list[str]:
    """Return requests whose answers contradict what workers ran."""
    ran = Counter(execution.key for execution in cluster.executions)
    by_key: dict[str, list[str]] = {}
    found = []
    for host, ticket, key, idempotent in callers.requests:
        answer = cluster.answers.get((host, ticket))
        if not idempotent and ran[key] > 1:
            found.append(f"{key} ran {ran[key]} times")
        if answer is None:
            continue
        by_key.setdefault(key, []).append(answer.outcome)
        if answer.outcome == WHOLE and answer.response.body != key.encode():
            found.append(f"{key} got the answer of {answer.response.body!r}")
    for key, outcomes in by_key.items():
        expected = sum(key == other_key for _, _, other_key, _ in callers.requests)
        if set(outcomes) == {NOT_RUN} and len(outcomes) == expected and ran[key]:
            found.append(f"{key} was answered not run, but ran")
    return found


def find_final_violations(cluster: FakeCluster, callers: CallerRecord) -> list[str]:
    """Return accepted work that neither finished nor was cancelled; call it after recovery."""
    runs = cluster.list_runs()
    finishes = count_endings(runs) | count_endings(runs, "result lost")
    found = []
    for job, tickets in callers.jobs.items():
        outcomes = {
            cluster.answers[ticket].outcome for ticket in tickets if ticket in cluster.answers
        }
        if "accepted" not in outcomes or job in callers.cancelled:
            continue
        missing = [
            f"{job}/{index}"
            for index in range(callers.sizes[job])
            if not finishes.get(f"{job}/{index}")
        ]
        if missing:
            found.append(f"accepted work was lost: {missing}")
    return found


def _is_acknowledged(answer: Any) -> bool:
    return answer is not None and answer.outcome == CANCELLED


def list_cancelled_jobs(cluster: FakeCluster) -> list[str]:
    """Return the jobs whose cancellation was acknowledged."""
    return [
        job
        for job, tickets in cluster.cancellations.items()
        if any(_is_acknowledged(cluster.answers.get(ticket)) for ticket in tickets)
    ]


def find_cancel_violations(cluster: FakeCluster, cancelled: list[str]) -> list[str]:
    """Return runs of jobs whose cancellation was acknowledged `CANCEL_MS` ago, or longer."""
    return [
        f"{run.task} runs on {run.worker} since {run.started_at}, and its job was cancelled"
        for run in cluster.list_runs()
        if run.ending == RUNNING and run.task.partition("/")[0] in cancelled
    ]


def heal_and_settle(cluster: FakeCluster, callers: CallerRecord) -> list[str]:
    """End all faults, let the work finish, and return all violations."""
    cluster.heal()
    cluster.run_until(lambda: not find_final_violations(cluster, callers), SETTLE_TIMEOUT_MS)
    found = (
        find_running_violations(cluster)
        + find_resume_violations(cluster)
        + find_request_violations(cluster, callers)
        + find_final_violations(cluster, callers)
    )
    cancelled = list_cancelled_jobs(cluster)
    cluster.run(CONTACT_MS + CANCEL_MS)
    return found + find_cancel_violations(cluster, cancelled)
