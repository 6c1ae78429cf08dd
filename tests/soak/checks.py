"""Checks the promises by comparing callers' answers with the runs on the workers."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from .callers import CallerJob

CANCEL_GRACE_MS: Final = 3_000
"""Tasks may start this long after the acknowledged cancellation or the last fault, if later."""
_FINAL_STATES: Final = {"hopeless": ("failed",), "lasting": ("running",)}


@dataclass(slots=True)
class _Runs:
    """The runs of one job.

    Attributes:
        first_start: Time of the first start of each task.
        last_start: Time of the last start of any task that was not carried out late.
        done: Time of the first successful end of each task.
        live: Tasks that still run.
    """

    first_start: dict[str, int] = field(default_factory=dict)
    last_start: int = 0
    done: dict[str, int] = field(default_factory=dict)
    live: list[str] = field(default_factory=list)


def list_findings(jobs: Iterable[CallerJob], record: dict[str, Any], healed_at: float) -> list[str]:
    """Return one line for each violation of a promise.

    Args:
        jobs: All jobs that callers submitted or tried to.
        record: The record of the platform stand-in: `broken`, `starts`, `ends` and `live`.
        healed_at: When the last fault was removed.
    """
    findings = [f"workers: {line}" for line in record["broken"]]
    runs = _collect_runs(record)
    jobs_by_id = {job.id: job for job in jobs}
    findings += [
        f"{job}: runs, but no caller submitted it" for job in runs if job not in jobs_by_id
    ]
    for job in jobs_by_id.values():
        findings += _check_job(job, runs[job.id], healed_at)
    return findings


def list_accepted_findings(jobs: Iterable[CallerJob], record: dict[str, Any]) -> list[str]:
    """Return the findings on accepted jobs that no caller has cancelled so far."""
    runs = _collect_runs(record)
    return [
        finding
        for job in jobs
        if job.accepted_at is not None and not job.cancel_sent
        for finding in _check_accepted(job, runs[job.id])
    ]


def _collect_runs(record: dict[str, Any]) -> defaultdict[str, _Runs]:
    runs: defaultdict[str, _Runs] = defaultdict(_Runs)
    late_starts = {tuple(row) for row in record.get("late_starts", [])}
    for row in record["starts"]:
        started_at, task, _run, _worker = row
        job_runs = runs[task.partition(".")[0]]
        job_runs.first_start.setdefault(task, started_at)
        if tuple(row) not in late_starts:
            job_runs.last_start = max(job_runs.last_start, started_at)
    for ended_at, task, _run, outcome in record["ends"]:
        if outcome == "done":
            runs[task.partition(".")[0]].done.setdefault(task, ended_at)
    for task in record["live"]:
        runs[task.partition(".")[0]].live.append(task)
    return runs


def _check_job(job: CallerJob, runs: _Runs, healed_at: float) -> list[str]:
    if job.was_refused:
        return [f"{job.id}: refused, but ran"] if runs.first_start else []
    findings = _check_order(job, runs)
    if job.cancel_sent:
        findings += _check_cancelled(job, runs, healed_at)
    elif job.accepted_at is not None:
        findings += _check_accepted(job, runs)
    if job.state == "completed" and len(runs.done) < sum(job.tasks):
        findings.append(f"{job.id}: completed, with {len(runs.done)} of {job.tasks} tasks done")
    return findings


def _check_order(job: CallerJob, runs: _Runs) -> list[str]:
    first_step_tasks = [task for task in runs.first_start if task.split(".")[2] == "0"]
    second_step_starts = [at for task, at in runs.first_start.items() if task.split(".")[2] == "1"]
    if not second_step_starts:
        return []
    if len(first_step_tasks) < job.tasks[0] or any(
        task not in runs.done for task in first_step_tasks
    ):
        return [f"{job.id}: its second step started before the first was done"]
    if min(second_step_starts) < max(runs.done[task] for task in first_step_tasks):
        return [f"{job.id}: its second step started before the first was done"]
    return []


def _check_cancelled(job: CallerJob, runs: _Runs, healed_at: float) -> list[str]:
    findings = []
    if runs.live:
        findings.append(f"{job.id}: cancelled, but {runs.live} still run at the end")
    if job.cancel_acknowledged_at is not None:
        latest = max(job.cancel_acknowledged_at, healed_at) + CANCEL_GRACE_MS
        if runs.last_start > latest:
            findings.append(f"{job.id}: started {runs.last_start - latest:.0f} ms too late")
    if job.state not in ("cancelled", "completed", ""):
        findings.append(f"{job.id}: cancelled, but its state is {job.state}")
    return findings


def _check_accepted(job: CallerJob, runs: _Runs) -> list[str]:
    expected_states = _FINAL_STATES.get(job.kind, ("completed",))
    if job.state not in expected_states:
        return [f"{job.id}: accepted ({job.kind}), but {job.state or 'unknown'} at the end"]
    if job.kind == "lasting" and len(runs.live) != job.tasks[0]:
        return [f"{job.id}: lasting, but {runs.live} run at the end"]
    return []
