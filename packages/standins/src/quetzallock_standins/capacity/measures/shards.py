"""Measurements of the host that owns a shard of the jobs."""

from functools import partial

from quetzallock_core.codec import encode
from quetzallock_core.host import EntryHost, HostSettings
from quetzallock_core.jobs.const import JobSettings
from quetzallock_core.jobs.models import AttemptRecorded, JobAccepted, JobSpec, SubmitJob
from quetzallock_core.jobs.state import ShardState

from ..const import CPU_MS_PER_PERCENT, TASK_DEMAND, TASKS_PER_WORKER
from ..hosts import make_loop
from ..loop import HostLoop
from ..memory import measure_memory
from ..models import Series
from .registry import MEASURES

_ROLE = "shard owner"
_WORKERS = 64
_SECONDS = 40
_TASK_RUN_MS = 5_000


@MEASURES.register("shard owner, starts")
def measure_starts() -> list[Series]:
    """Measure the owner of one shard by the rate of starts.

    The owner accepts jobs, places, records and starts their tasks, and monitors them to their end.
    """
    cpu, sent, appends, log_bytes, delay = [], [], [], [], []
    for per_s in (1, 5.3, 26.5):
        settings = HostSettings(jobs=JobSettings(shards=1, flush_ms=500))
        loop, hosts = make_loop(2, _WORKERS, settings)
        owner = _find_owner(hosts)
        loop.reset()
        submitted_at = loop.clock.now()
        appended = loop.log.appended
        _submit_at_rate(loop, owner, per_s)
        spent = loop.costs[owner]
        placement_bytes = spent.bytes_by_type["SyncWorker"] + spent.bytes_by_type["StartTask"]
        cpu.append((per_s, spent.cpu_ms / _SECONDS / CPU_MS_PER_PERCENT))
        sent.append((per_s, (spent.total_bytes - placement_bytes) / _SECONDS))
        appends.append((per_s, (loop.log.appended - appended) / _SECONDS))
        log_bytes.append((per_s, spent.bytes_by_type["Append"] / _SECONDS))
        delay.append((per_s, _find_longest_wait(loop, submitted_at)))
    size = "starts/s"
    return [
        Series(_ROLE, "CPU, % of a core, with half the placing", size, tuple(cpu)),
        Series(_ROLE, "bytes/s, log and peers", size, tuple(sent)),
        Series(_ROLE, "bytes/s appended", size, tuple(log_bytes)),
        Series(_ROLE, "appends/s", size, tuple(appends)),
        Series(_ROLE, "longest ms from submission to start", size, tuple(delay)),
    ]


def _find_owner(hosts: dict[str, EntryHost]) -> str:
    """Return the name of the host that owns the shard; the hosts must lease all workers."""
    assert sum(len(host.placer.leased_workers) for host in hosts.values()) == _WORKERS
    return next(name for name, host in hosts.items() if host.shards.owned)


def _submit_at_rate(loop: HostLoop, owner: str, per_s: float) -> None:
    """Submit a job each second, with `per_s` tasks on average."""
    submitted = 0
    for second in range(_SECONDS):
        tasks = int(per_s * (second + 1)) - submitted
        if tasks:
            spec = JobSpec(f"job-{second}", "team", tasks, TASK_DEMAND, _TASK_RUN_MS)
            loop.fire(owner, SubmitJob(second, spec), owner)
        submitted += tasks
        loop.run(1_000)


def _find_longest_wait(loop: HostLoop, submitted_at: int) -> float:
    """Return the longest time in ms from the submission of a job to the start of a task.

    `job-N` is submitted N seconds after `submitted_at`.
    """
    waits = [
        run.started_at
        - submitted_at
        - 1_000 * int(run.task.rpartition("/")[0].removeprefix("job-"))
        for worker in loop.workers.values()
        for run in worker.history
    ]
    return float(max(waits, default=0))


@MEASURES.register("shard owner, tasks")
def measure_tasks() -> list[Series]:
    """Measure memory and snapshot of a shard's state by the number of tasks."""
    memory, snapshot = [], []
    for count in (100, 700, 7_000):
        state, used_kb = measure_memory(partial(_make_state, count))
        memory.append((count, used_kb))
        snapshot.append((count, len(encode(state.make_snapshot())) / 1e3))
    return [
        Series(_ROLE, "memory, KB", "tasks", tuple(memory)),
        Series(_ROLE, "snapshot, KB", "tasks", tuple(snapshot)),
    ]


def _make_state(tasks: int) -> ShardState:
    """Return the state of a shard with `tasks` tasks, each with a recorded attempt."""
    state = ShardState()
    for index in range(tasks // TASKS_PER_WORKER):
        job = f"job-{index:08x}"
        state.apply(JobAccepted(JobSpec(job, "team", TASKS_PER_WORKER, TASK_DEMAND, 60_000)))
        for task in state.list_tasks(job):
            state.apply(AttemptRecorded(task, 1, f"dc-1-rack-{index % 16}", "boot-1"))
    return state
