"""Explains in one log line why a job fails."""

from typing import Any

from .jobs import Task
from .records import CrashRecord


def describe_verdict(task: Task) -> dict[str, Any]:
    """Return all that counts against `task`: its ends as failed and the crashes under it.

    A gang fails as a whole, so the ends of all of its tasks are named.
    """
    members = task.step.tasks if task.spec.gang else [task]
    return {
        "job": task.job.id,
        "task": task.name,
        "gang": task.spec.gang,
        "attempts": task.attempts,
        "max_attempts": task.job.policy.max_attempts,
        "ends": [row for member in members for row in _describe_ends(member)],
        "crashes": [_describe_crash(crash) for crash in task.crashes],
        "excused_crashes": task.excused_crashes,
    }


def _describe_ends(task: Task) -> list[dict[str, Any]]:
    rows = []
    for run in sorted(task.failed_runs):
        worker, boot_ms = task.failed_on.get(run, ("unknown", 0))
        rows.append(
            {"task": task.name, "run": run, "how": "failed", "worker": worker, "born": boot_ms}
        )
    return rows


def _describe_crash(crash: CrashRecord) -> dict[str, Any]:
    return {
        "run": crash.run,
        "how": "crash",
        "worker": crash.worker,
        "born": crash.boot_ms,
        "age_ms": crash.age_ms,
        "only_suspect": crash.is_only_suspect,
        "bystander": crash.is_bystander,
        "confirmed": crash.is_confirmed,
        "had_worked": crash.had_worked,
    }
