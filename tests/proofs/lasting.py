"""The check that long-running tasks run again in calm, for a cluster under the fault machine.

This cluster has no long-running tasks of their own kind; tasks of many hours stand for them.
"""

from typing import Any, Final

from quetzallock_core.workers.const import RUNNING
from tests.common import FakeCluster, make_spec
from tests.soak.callers import CallerJob
from tests.soak.fault_log import Span
from tests.soak.lasting_checks import ABSENCE_MS, CALM_MS, RESTART_MS, list_lasting_findings

from .outcomes import CallerRecord, heal_and_settle

RUN_MS: Final = 36_000_000
_BATCH_DIVISOR: Final = 2
"""The preset of the tests leaves this part of a worker to tasks."""
DRAIN_MS: Final = 6_000
"""Time that a worker serves after it has announced that it leaves."""
SETTLE_MS: Final = CALM_MS + RESTART_MS + ABSENCE_MS
PLANNED_WORK: Final = ("host stops", "worker leaves")
"""Faults that do not end a calm period."""


class CalmLog:
    """Times of the faults that are not planned work.

    Attributes:
        spans: Begin and end of each, infinity until it has ended.
    """

    def __init__(self, started_at: int) -> None:
        """Take the time before `started_at` for the start of the processes."""
        self.spans: list[Span] = [(0, started_at)]
        self._open: dict[str, int] = {}

    def begin(self, fault: str, now: int) -> None:
        """Record that a fault begins; it may be active more than once."""
        if fault not in PLANNED_WORK and fault not in self._open:
            self._open[fault] = len(self.spans)
            self.spans.append((now, float("inf")))

    def end(self, fault: str, now: int) -> None:
        """Record that a fault has ended."""
        index = self._open.pop(fault, None)
        if index is not None:
            self.spans[index] = (self.spans[index][0], now)

    def heal(self, now: int) -> None:
        """Record that no fault is active any more."""
        for fault in list(self._open):
            self.end(fault, now)
        self.spans.append((now, now))


def submit_lasting(
    cluster: FakeCluster, callers: CallerRecord, host: str, tasks: int, cpu_milli: int
) -> None:
    """Submit a job of long-running tasks."""
    job = f"lasting-{len(callers.lasting)}"
    callers.lasting[job] = (host, cluster.submit(host, make_spec(job, tasks, RUN_MS, cpu_milli)))


def replace_worker(cluster: FakeCluster, name: str) -> None:
    """Let a worker announce its leave, serve on and leave; it comes back as a new boot."""
    cluster.send_worker_list_to_all(leaving=[name])
    cluster.run(DRAIN_MS)
    cluster.remove_worker(name)
    cluster.restore_worker(name)


def get_batch_cpu(cluster: FakeCluster, worker: str) -> int:
    """Return what a worker has for tasks, in thousandths of a core."""
    return cluster.workers[worker].shape.capacity.cpu_milli // _BATCH_DIVISOR


def settle_and_check(cluster: FakeCluster, callers: CallerRecord, log: CalmLog) -> list[str]:
    """End all faults, let the work finish, and return all violations."""
    log.heal(cluster.clock.now())
    found = heal_and_settle(cluster, callers)
    cluster.run(SETTLE_MS)
    return found + find_lasting_violations(cluster, callers, log)


def find_lasting_violations(cluster: FakeCluster, callers: CallerRecord, log: CalmLog) -> list[str]:
    """Return the long-running tasks that did not run in calm, with room for them."""
    now = cluster.clock.now()
    jobs = [
        CallerJob(job, "lasting", (cluster.specs[job].tasks,), accepted_at=0)
        for job, ticket in callers.lasting.items()
        if _is_accepted(cluster.answers.get(ticket))
    ]
    return list_lasting_findings(jobs, make_record(cluster), log.spans, now)


def _is_accepted(answer: Any) -> bool:
    return answer is not None and answer.outcome == "accepted"


def make_record(cluster: FakeCluster) -> dict[str, Any]:
    """Return what the workers ran in the form of the platform stand-in's record."""
    listings = [(0, name, "ready") for name in cluster.workers] + cluster.leaves
    states = [(at, name, state, get_batch_cpu(cluster, name)) for at, name, state in listings]
    record: dict[str, Any] = {"starts": [], "ends": [], "worker_states": states, "task_cpu": {}}
    for run in sorted(cluster.list_runs(), key=lambda run: run.started_at):
        task = run.task.replace("/", ".")
        record["starts"].append((run.started_at, task, run.attempt, run.worker))
        if run.ending != RUNNING:
            record["ends"].append((run.ended_at, task, run.attempt, run.ending))
        record["task_cpu"][task] = cluster.specs[task.partition(".")[0]].demand.cpu_milli
    return record
