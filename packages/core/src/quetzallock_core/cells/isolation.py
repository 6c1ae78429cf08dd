"""Keeps crash suspects apart, so that a crash tells which task has caused it."""

from collections.abc import Iterable
from typing import Final

from .const import (
    CRASH_RISK_MS,
    ISOLATION_WAIT_MS,
    ORDER_REORDER_MS,
    REPEATED_CRASHES,
    REPEATED_ISOLATION_WAIT_MS,
)
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


def may_have_begun(run: Run, worker: Worker) -> bool:
    """Return whether a boot that has crashed may have begun `run` before.

    An order that a later inventory does not show was late and most likely never carried out. An
    order that was sent after the boot had ceased to answer was sent to a boot that was over.
    """
    if run.has_begun:
        return True
    if not run.was_sent or worker.inventory_asked_at > run.last_sent_at + ORDER_REORDER_MS:
        return False
    return worker.unanswered_since < 0 or run.first_sent_at <= worker.unanswered_since


def may_share_worker(task: Task, worker: Worker, now: int) -> bool:
    """Return whether `task` may join the runs on `worker`, so that a crash tells who caused it.

    A suspect of one crash waits for that a limited time. One of several is never beside another
    risky suspect, as its job may be given up for the next crash.
    """
    risky_suspects = _list_risky(worker.crash_suspects.values(), worker)
    if not task.is_crash_suspect:
        return not risky_suspects
    waited_ms = now - max(task.not_before, task.may_give_up_at)
    if is_repeated_suspect(task):
        if risky_suspects:
            return False
        return waited_ms > REPEATED_ISOLATION_WAIT_MS or not _list_risky(
            worker.runs.values(), worker
        )
    if waited_ms > ISOLATION_WAIT_MS:
        return not any(is_repeated_suspect(run.task) for run in risky_suspects)
    return not risky_suspects


def is_repeated_suspect(task: Task) -> bool:
    """Return whether the next crash under `task` must tell whether the task has caused it."""
    return task.crash_count >= REPEATED_CRASHES


def _list_risky(runs: Iterable[Run], worker: Worker) -> list[Run]:
    return [run for run in runs if not is_past_crash_risk(run, worker)]


def compute_crash_cost(worker: Worker) -> float:
    """Return the cost of starting a suspect on `worker`: what a crash would end there."""
    cost = 0.0
    for run in worker.runs.values():
        cost += LASTING_RUN_COST if run.task.spec.lasting else OTHER_RUN_COST
        cost += 0.0 if is_past_crash_risk(run, worker) else RISKY_RUN_COST
    return cost
