"""Measurements of the host that holds the leases of workers."""

import time
from dataclasses import replace
from functools import partial
from random import Random

from quetzallock_core.host import EntryHost, HostSettings, make_host
from quetzallock_core.jobs.const import JobSettings
from quetzallock_core.jobs.models import JobSpec, SubmitJob
from quetzallock_core.members.models import Ping, Rumour
from quetzallock_core.placement.models import CapacityRequest, ReserveCapacity, WorkersListed
from quetzallock_core.workers.models import WorkerInfo

from ..const import CPU_MS_PER_PERCENT, RACK_SIZE, TASK_DEMAND, TASKS_PER_WORKER
from ..hosts import add_workers, make_identity, make_loop, make_worker_infos
from ..loop import HostLoop
from ..memory import measure_memory
from ..models import Series
from .registry import MEASURES

_SYNC_SECONDS = 20
_TASK_RUN_MS = 86_400_000
_START_TIMEOUT_S = 120
_DECISION_ROUNDS = 9
_RESERVATIONS_PER_ROUND = 200


@MEASURES.register("placer, workers held")
def measure_leased_workers() -> list[Series]:
    """Measure the syncs of one host with the workers that it leases, about ten tasks on each."""
    cpu, sent, memory = [], [], []
    for count in (16, 80, 320):
        loop, used_kb = measure_memory(partial(_make_busy_loop, count))
        loop.reset()
        loop.run(_SYNC_SECONDS * 1_000)
        spent = loop.costs["host-0"]
        cpu.append((count, spent.cpu_ms / _SYNC_SECONDS / CPU_MS_PER_PERCENT))
        sent.append((count, spent.bytes_by_type["SyncWorker"] / _SYNC_SECONDS))
        memory.append((count, used_kb))
    role, size = "placer", "workers held"
    return [
        Series(role, "CPU with the shard owner's, % of a core", size, tuple(cpu)),
        Series(role, "bytes/s of bodies", size, tuple(sent)),
        Series(role, "memory with the stand-in's, KB", size, tuple(memory)),
    ]


def _make_busy_loop(workers: int) -> HostLoop:
    """Return one host with `workers` leased workers on which long tasks run."""
    loop, _ = make_loop(1, workers, HostSettings(jobs=JobSettings(shards=4)))
    _start_long_tasks(loop, workers * TASKS_PER_WORKER)
    return loop


def _start_long_tasks(loop: HostLoop, tasks: int) -> None:
    """Submit `tasks` long tasks and wait until they run.

    Raises:
        RuntimeError: They do not all run within two minutes.
    """
    for index in range(tasks // TASKS_PER_WORKER):
        spec = JobSpec(f"long-{index}", "team", TASKS_PER_WORKER, TASK_DEMAND, _TASK_RUN_MS)
        loop.fire("host-0", SubmitJob(index, spec), "host-0")
    for _ in range(_START_TIMEOUT_S):
        loop.run(1_000)
        if sum(worker.count_running() for worker in loop.workers.values()) == tasks:
            return
    raise RuntimeError("the submitted tasks have not all started")


@MEASURES.register("placer, one decision")
def measure_decision() -> list[Series]:
    """Measure one reservation in deployments of growing size, with one rack of leased workers.

    Each value is the lowest of nine rounds.
    """
    hosts = {count: _make_placer(count) for count in (24, 470, 4_700)}
    best = dict.fromkeys(hosts, float("inf"))
    for attempt in range(_DECISION_ROUNDS):
        for count, host in hosts.items():
            best[count] = min(best[count], _time_decisions(host, attempt))
    return [Series("placer", "µs a reservation", "workers in all", tuple(best.items()))]


def _make_placer(workers: int) -> EntryHost:
    """Return a host that leases one rack of a deployment of `workers` workers."""
    loop = HostLoop()
    host = make_host(make_identity(0), HostSettings(), loop.clock, Random(1))
    loop.add("host-0", host.core)
    infos = make_worker_infos(workers)
    add_workers(loop, infos[:RACK_SIZE])
    loop.fire("host-0", WorkersListed(infos[:RACK_SIZE]))
    loop.run(3_000)
    loop.fire("host-0", _list_other_racks_as_remote(host, infos))
    return host


def _list_other_racks_as_remote(host: EntryHost, infos: tuple[WorkerInfo, ...]) -> WorkersListed:
    """Return a list of all workers in which other hosts are closer to all but the first rack."""
    now = host.core.clock.now()
    racks = len(infos) // RACK_SIZE
    for index in range(1, racks + 1):
        rumour = Rumour(f"other-{index}", 1, 1, "alive", f"other-{index}:1", f"far-{index}")
        host.core.fire(Ping(now, (rumour,), -1), "other-1")
    host.core.drain()
    local = infos[:RACK_SIZE]
    remote = tuple(
        replace(info, data_centre=f"far-{1 + index // RACK_SIZE % max(1, racks)}")
        for index, info in enumerate(infos[RACK_SIZE:])
    )
    return WorkersListed(local + remote)


def _time_decisions(host: EntryHost, attempt: int) -> float:
    """Return the mean time in µs of one reservation."""
    reservations = [
        ReserveCapacity("rack-0", (CapacityRequest(f"job-{attempt}-{index}/0", 1, TASK_DEMAND),))
        for index in range(_RESERVATIONS_PER_ROUND)
    ]
    started_at = time.perf_counter_ns()
    for reservation in reservations:
        host.core.fire(reservation, "host-1")
    elapsed = time.perf_counter_ns() - started_at
    host.core.drain()
    return elapsed / len(reservations) / 1e3
