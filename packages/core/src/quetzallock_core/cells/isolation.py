"""Keeps crash suspects apart, so that a crash tells which task has caused it."""

from collections.abc import Iterable
from typing import Final

from .const import CRASH_RISK_MS, ISOLATION_WAIT_MS, MIN_CRASHES_TO_GIVE_UP
from .jobs import Run, Task
from .workers import Worker

LASTING_RUN_COST: Final = 5.0
"""Cost, for a suspect, of each lasting run that a crash would end."""

OTHER_RUN_COST: Final = 1.0
"""Cost, for a suspect, of each other run that a crash would end."""

RISKY_RUN_COST: Final = 6.0
"""Added for a run that may itself crash the worker, since then the crash tells less."""


def has_worked(run: Run, worker: Worker, ms: int) -> bool:
    """Return whether a worker has answered for `ms` since it got the order to start `run`."""
    return run.is_listed and worker.contact_at - run.ordered_at >= ms


def is_past_crash_risk(run: Run, worker: Worker) -> bool:
    """Return whether a run has worked long enough not to be what crashes its worker."""
    return has_worked(run, worker, CRASH_RISK_MS)


def may_share_worker(task: Task, worker: Worker, now: int) -> bool:
    """Return whether `task` may join the runs on `worker`, so that a crash tells who caused it."""
    if not task.crashes:
        return not _has_risky_run(worker.crash_suspects.values(), worker)
    if now - max(task.not_before, task.may_give_up_at) > ISOLATION_WAIT_MS:
        return True
    is_repeated = len(task.crashes) >= MIN_CRASHES_TO_GIVE_UP
    others = worker.runs if is_repeated else worker.crash_suspects
    return not _has_risky_run(others.values(), worker)


def _has_risky_run(runs: Iterable[Run], worker: Worker) -> bool:
    return any(not is_past_crash_risk(run, worker) for run in runs)


def compute_crash_cost(worker: Worker) -> float:
    """Return the cost of starting a suspect on `worker`: what a crash would end there."""
    cost = 0.0
    for run in worker.runs.values():
        cost += LASTING_RUN_COST if run.task.spec.lasting else OTHER_RUN_COST
        cost += 0.0 if is_past_crash_risk(run, worker) else RISKY_RUN_COST
    return cost
