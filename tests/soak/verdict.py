"""Joins what callers were told with what workers really ran."""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, Final

from .callers import Job

CANCEL_MS: Final = 3_000
_FINAL: Final = {"hopeless": ("failed",), "lasting": ("running",)}


@dataclass(slots=True)
class _Runs:
    """What ran of one job: the first start and the first sound end of each task; live tasks."""

    first_start: dict[str, int] = field(default_factory=dict)
    last_start: int = 0
    done: dict[str, int] = field(default_factory=dict)
    live: list[str] = field(default_factory=list)


def list_findings(jobs: Iterable[Job], record: dict[str, Any], calm_since_ms: float) -> list[str]:
    """Return one line for each broken promise.

    Args:
        jobs: All jobs that callers have handed in or tried to.
        record: What the stand-in wrote down: `broken`, `starts`, `ends` and `live`.
        calm_since_ms: Since then nothing was in trouble.
    """
    findings = [f"workers: {line}" for line in record["broken"]]
    runs = _collect(record)
    known = {job.id: job for job in jobs}
    findings += [f"{job}: runs, but nobody submitted it" for job in runs if job not in known]
    for job in known.values():
        findings += _check_job(job, runs[job.id], calm_since_ms)
    return findings


def _collect(record: dict[str, Any]) -> defaultdict[str, _Runs]:
    runs: defaultdict[str, _Runs] = defaultdict(_Runs)
    for at_ms, task, _run, _worker in record["starts"]:
        of_job = runs[task.partition(".")[0]]
        of_job.first_start.setdefault(task, at_ms)
        of_job.last_start = max(of_job.last_start, at_ms)
    for at_ms, task, _run, how in record["ends"]:
        if how == "done":
            runs[task.partition(".")[0]].done.setdefault(task, at_ms)
    for task in record["live"]:
        runs[task.partition(".")[0]].live.append(task)
    return runs


def _check_job(job: Job, runs: _Runs, calm_since_ms: float) -> list[str]:
    if job.was_refused:
        return [f"{job.id}: refused, but runs"] if runs.first_start else []
    findings = _check_order(job, runs)
    if job.cancel_sent:
        findings += _check_cancelled(job, runs, calm_since_ms)
    elif job.accepted_ms is not None:
        findings += _check_accepted(job, runs)
    if job.state == "completed" and len(runs.done) < sum(job.tasks):
        findings.append(f"{job.id}: completed, with {len(runs.done)} of {job.tasks} tasks done")
    return findings


def _check_order(job: Job, runs: _Runs) -> list[str]:
    firsts = [task for task in runs.first_start if task.split(".")[2] == "0"]
    seconds = [at for task, at in runs.first_start.items() if task.split(".")[2] == "1"]
    if not seconds:
        return []
    if len(firsts) < job.tasks[0] or any(task not in runs.done for task in firsts):
        return [f"{job.id}: its second step began before the first was done"]
    if min(seconds) < max(runs.done[task] for task in firsts):
        return [f"{job.id}: its second step began before the first was done"]
    return []


def _check_cancelled(job: Job, runs: _Runs, calm_since_ms: float) -> list[str]:
    findings = []
    if runs.live:
        findings.append(f"{job.id}: cancelled, but {runs.live} runs in the end")
    if job.cancelled_ms is not None:
        latest = max(job.cancelled_ms, calm_since_ms) + CANCEL_MS
        if runs.last_start > latest:
            findings.append(f"{job.id}: started {runs.last_start - latest:.0f} ms too late")
    if job.state not in ("cancelled", "completed", ""):
        findings.append(f"{job.id}: cancelled, but shown as {job.state}")
    return findings


def _check_accepted(job: Job, runs: _Runs) -> list[str]:
    wanted = _FINAL.get(job.kind, ("completed",))
    if job.state not in wanted:
        return [f"{job.id}: accepted ({job.kind}), shown as {job.state or 'nothing'} in the end"]
    if job.kind == "lasting" and len(runs.live) != job.tasks[0]:
        return [f"{job.id}: lasting, but only {runs.live} runs in the end"]
    return []
