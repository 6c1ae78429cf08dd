"""Measurements of the costs of each role, registered in `MEASURES`."""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from random import Random

from quetzallock_core.codec import decode, encode
from quetzallock_core.core import Core, Identity
from quetzallock_core.host import EntryHost, HostSettings, make_host
from quetzallock_core.jobs.const import JobSettings
from quetzallock_core.jobs.models import AttemptRecorded, JobAccepted, JobSpec, SubmitJob
from quetzallock_core.jobs.state import ShardState
from quetzallock_core.members import setup as setup_members
from quetzallock_core.members.const import MemberSettings
from quetzallock_core.members.models import Ping, PingAnswer, Rumour
from quetzallock_core.placement.models import CapacityRequest, ReserveCapacity, WorkersListed
from quetzallock_core.presets.models import PresetState, PublishedPreset
from quetzallock_core.registry import Registry
from quetzallock_core.requests.const import WHOLE
from quetzallock_core.requests.models import Dispatch, DispatchDone, RequestArrived, Response
from quetzallock_core.workers.models import Resources, WorkerInfo
from quetzallock_daemon.platform.models import parse_host_list

from ..workers.model import WorkerModel, WorkerShape
from .loop import HostLoop
from .models import Series

Measure = Callable[[], list[Series]]
MEASURES: Registry[Measure] = Registry("measure")

_RACK_SIZE = 16
_TASKS_PER_WORKER = 10
_CAPACITY = Resources(64_000, 256_000, 2)
_SMALL = Resources(100, 100, 0)
_WARM_UP_MS = 12_000


def _make_worker_infos(workers: int) -> tuple[WorkerInfo, ...]:
    return tuple(
        WorkerInfo(f"w{index}", f"rack-{index // _RACK_SIZE}", "dc-1", f"10.0.0.1:{index}")
        for index in range(workers)
    )


def _make_loop(
    hosts: int, workers: int, settings: HostSettings
) -> tuple[HostLoop, dict[str, EntryHost]]:
    """Return hosts that have run until members and leases are stable."""
    loop = HostLoop()
    infos = _make_worker_infos(workers)
    entry_hosts = {}
    for index in range(hosts):
        name = f"host-{index}"
        identity = Identity(name, index + 1, f"{name}:1", "dc-1")
        settings = replace(settings, members=_make_member_settings(hosts))
        host = make_host(identity, settings, loop.clock, Random(index))
        entry_hosts[name] = host
        loop.add(name, host.core)
    for info in infos:
        shape = WorkerShape(_CAPACITY)
        loop.workers[info.worker] = WorkerModel(info.worker, shape, "boot", booted_at=-60_000)
    for name in entry_hosts:
        loop.fire(name, WorkersListed(infos))
    loop.run(_WARM_UP_MS)
    return loop, entry_hosts


def _make_member_settings(hosts: int) -> MemberSettings:
    return MemberSettings(seeds=("host-0:1", "host-1:1")) if hosts > 1 else MemberSettings()


@MEASURES.register("peer and membership")
def measure_members() -> list[Series]:
    """Measure the gossip of one host while other hosts fail, one every five seconds."""
    cpu, sent, memory = [], [], []
    for count in (15, 60, 300):
        loop = HostLoop(tick_ms=250)
        for index in range(count):
            core = _make_member(loop, index, count)
            loop.add(f"host-{index}", core)
        loop.run(60_000)
        loop.reset()
        for step in range(3):
            loop.cores.pop(f"host-{count - 1 - step}")
            loop.run(5_000)
        spent = loop.costs["host-2"]
        cpu.append((count, spent.cpu_ms / 15 / 10))
        sent.append((count, spent.total_bytes / 15))
        memory.append((count, _measure_member_list(count)))
    role, size = "peer and membership", "hosts"
    return [
        Series(role, "CPU, % of a core", size, tuple(cpu)),
        Series(role, "bytes/s", size, tuple(sent)),
        Series(role, "memory, KB", size, tuple(memory)),
    ]


def _make_member(loop: HostLoop, index: int, count: int) -> Core:
    name = f"host-{index}"
    identity = Identity(name, index + 1, f"{name}:1", f"dc-{index % 10}")
    core = Core(identity, loop.clock, Random(index))
    setup_members(core, _make_member_settings(count))
    return core


def _measure_member_list(count: int) -> float:
    """Return the memory in KB of a list of `count` hosts."""
    core = _make_member(HostLoop(), 0, 1)
    raw = encode(
        tuple(
            Rumour(f"host-{index}", index, 1, "alive", f"10.0.0.{index}:7000", "dc-1")
            for index in range(1, count)
        )
    )
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    core.fire(PingAnswer(0, decode(raw), -1), "host-1")
    core.drain()
    gc.collect()
    used_bytes = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return used_bytes / 1e3


@MEASURES.register("placer, workers held")
def measure_leased_workers() -> list[Series]:
    """Measure the syncs of one host with the workers that it leases, about ten tasks on each."""
    cpu, sent, memory = [], [], []
    for count in (16, 80, 320):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        loop, hosts = _make_loop(1, count, HostSettings(jobs=JobSettings(shards=4)))
        _start_long_tasks(loop, count * _TASKS_PER_WORKER)
        memory.append((count, (tracemalloc.get_traced_memory()[0] - before) / 1e3))
        tracemalloc.stop()
        loop.reset()
        loop.run(20_000)
        spent = loop.costs["host-0"]
        cpu.append((count, spent.cpu_ms / 20 / 10))
        sent.append((count, spent.bytes_by_type["SyncWorker"] / 20))
    role, size = "placer", "workers held"
    return [
        Series(role, "CPU with stewarding, % of a core", size, tuple(cpu)),
        Series(role, "bytes/s of bodies", size, tuple(sent)),
        Series(role, "memory with the stand-in's, KB", size, tuple(memory)),
    ]


def _start_long_tasks(loop: HostLoop, tasks: int) -> None:
    """Submit `tasks` long tasks and wait until they run.

    Raises:
        RuntimeError: They do not all run within two minutes.
    """
    for index in range(tasks // _TASKS_PER_WORKER):
        spec = JobSpec(f"long-{index}", "team", _TASKS_PER_WORKER, _SMALL, 86_400_000)
        loop.fire("host-0", SubmitJob(index, spec), "host-0")
    for _ in range(120):
        loop.run(1_000)
        if sum(worker.count_running() for worker in loop.workers.values()) == tasks:
            return
    raise RuntimeError("the submitted tasks have not all started")


@MEASURES.register("placer, one decision")
def measure_decision() -> list[Series]:
    """Measure one reservation in deployments of growing size, with one rack of leased workers.

    Each value is the lowest of nine rounds.
    """
    prepared = []
    for count in (24, 470, 4_700):
        loop = HostLoop()
        identity = Identity("host-0", 1, "host-0:1", "dc-1")
        host = make_host(identity, HostSettings(), loop.clock, Random(1))
        loop.add("host-0", host.core)
        infos = _make_worker_infos(count)
        for info in infos[:_RACK_SIZE]:
            loop.workers[info.worker] = WorkerModel(
                info.worker, WorkerShape(_CAPACITY), "boot", booted_at=-60_000
            )
        loop.fire("host-0", WorkersListed(infos[:_RACK_SIZE]))
        loop.run(3_000)
        loop.fire("host-0", _list_other_racks_as_remote(host, infos))
        prepared.append((count, host))
    best = dict.fromkeys((count for count, _ in prepared), float("inf"))
    for attempt in range(9):
        for count, host in prepared:
            best[count] = min(best[count], _time_decisions(host, attempt))
    return [Series("placer", "µs a reservation", "workers in all", tuple(best.items()))]


def _list_other_racks_as_remote(host: EntryHost, infos: tuple[WorkerInfo, ...]) -> WorkersListed:
    """Return a list of all workers in which other hosts are closer to all but the first rack."""
    now = host.core.clock.now()
    for index in range(1, len(infos) // _RACK_SIZE + 1):
        rumour = Rumour(f"other-{index}", 1, 1, "alive", f"other-{index}:1", f"far-{index}")
        host.core.fire(Ping(now, (rumour,), -1), "other-1")
    host.core.drain()
    local = infos[:_RACK_SIZE]
    remote = tuple(
        replace(
            info,
            data_centre=f"far-{1 + (at // _RACK_SIZE) % max(1, len(infos) // _RACK_SIZE)}",
        )
        for at, info in enumerate(infos[_RACK_SIZE:])
    )
    return WorkersListed(local + remote)


def _time_decisions(host: EntryHost, attempt: int) -> float:
    """Return the mean time in µs of 200 reservations."""
    reservations = [
        ReserveCapacity("rack-0", (CapacityRequest(f"job-{attempt}-{index}/0", 1, _SMALL),))
        for index in range(200)
    ]
    started_at = time.perf_counter_ns()
    for reservation in reservations:
        host.core.fire(reservation, "host-1")
    elapsed = time.perf_counter_ns() - started_at
    host.core.drain()
    return elapsed / len(reservations) / 1e3


@MEASURES.register("steward, starts")
def measure_starts() -> list[Series]:
    """Measure the owner of one shard by the rate of starts.

    The owner accepts jobs, places, records and starts their tasks, and monitors them to their end.
    """
    cpu, sent, appends, log_bytes, delay = [], [], [], [], []
    for per_s in (1, 5.3, 26.5):
        settings = HostSettings(jobs=JobSettings(shards=1, flush_ms=500))
        loop, hosts = _make_loop(2, 64, settings)
        owner = next(name for name, host in hosts.items() if host.shards.owned)
        placed_by = {name: len(host.placer.leased_workers) for name, host in hosts.items()}
        assert sum(placed_by.values()) == 64
        seconds = 40
        loop.reset()
        submitted_at = loop.clock.now()
        appended = loop.log.appended
        done = 0
        for step in range(seconds):
            task_count = int(per_s * (step + 1)) - done
            if task_count:
                spec = JobSpec(f"job-{step}", "team", task_count, _SMALL, 5_000)
                loop.fire(owner, SubmitJob(step, spec), owner)
            done += task_count
            loop.run(1_000)
        spent = loop.costs[owner]
        placement_bytes = spent.bytes_by_type["SyncWorker"] + spent.bytes_by_type["StartTask"]
        cpu.append((per_s, spent.cpu_ms / seconds / 10))
        sent.append((per_s, (spent.total_bytes - placement_bytes) / seconds))
        appends.append((per_s, (loop.log.appended - appended) / seconds))
        log_bytes.append((per_s, spent.bytes_by_type["Append"] / seconds))
        delay.append((per_s, _find_longest_wait(loop, submitted_at)))
    role, size = "steward", "starts/s"
    return [
        Series(role, "CPU, % of a core, with half the placing", size, tuple(cpu)),
        Series(role, "bytes/s, log and peers", size, tuple(sent)),
        Series(role, "bytes/s appended", size, tuple(log_bytes)),
        Series(role, "appends/s", size, tuple(appends)),
        Series(role, "longest ms from submission to start", size, tuple(delay)),
    ]


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


@MEASURES.register("steward, tasks")
def measure_tasks() -> list[Series]:
    """Measure memory and snapshot of a shard's state by the number of tasks."""
    memory, snapshot = [], []
    for count in (100, 700, 7_000):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        state = ShardState()
        for index in range(count // 10):
            job = f"job-{index:08x}"
            state.apply(JobAccepted(JobSpec(job, "team", 10, _SMALL, 60_000)))
            for task in state.list_tasks(job):
                state.apply(AttemptRecorded(task, 1, f"dc-1-rack-{index % 16}", "boot-1"))
        memory.append((count, (tracemalloc.get_traced_memory()[0] - before) / 1e3))
        tracemalloc.stop()
        snapshot.append((count, len(encode(state.make_snapshot())) / 1e3))
    return [
        Series("steward", "memory, KB", "tasks", tuple(memory)),
        Series("steward", "snapshot, KB", "tasks", tuple(snapshot)),
    ]


@MEASURES.register("router")
def measure_router() -> list[Series]:
    """Measure the decisions of one router on requests that are answered at once."""
    cpu = []
    for per_s in (20, 100, 400):
        loop, hosts = _make_loop(1, _RACK_SIZE, HostSettings())
        host = hosts["host-0"]
        loop.run(3_000)
        loop.reset()
        started_at = time.process_time_ns()
        for number in range(per_s * 5):
            _answer_request(host, number, loop.clock.now())
            if number % per_s == 0:
                loop.clock.advance(100)
        spent = (time.process_time_ns() - started_at) / 1e6
        cpu.append((per_s, spent / 5 / 10))
    return [Series("router", "CPU of decisions, % of a core", "requests/s", tuple(cpu))]


def _answer_request(host: EntryHost, number: int, now: int) -> None:
    host.core.fire(RequestArrived(number, "GET desk/stock", now + 1_000, True))
    for effect in host.core.drain():
        if isinstance(effect, Dispatch):
            response = Response(200, (), b"")
            done = DispatchDone(effect.ticket, effect.number, effect.worker, WHOLE, response)
            host.core.fire(done)
    host.core.drain()


@MEASURES.register("router, slot leases")
def measure_slots() -> list[Series]:
    """Measure the slot leases of one host by the number of racks that it uses."""
    sent = []
    for racks in (1, 4, 20):
        settings = HostSettings()
        loop, hosts = _make_loop(2, racks * _RACK_SIZE, settings)
        loop.reset()
        loop.run(10_000)
        total = sum(
            costs.bytes_by_type["RequestSlots"] + costs.bytes_by_type["SlotsLeased"]
            for costs in loop.costs.values()
        )
        used = min(racks, settings.requests.racks)
        sent.append((used, total / 10))
    return [Series("router", "bytes/s of slot leases, one asker", "racks used", tuple(sent))]


@MEASURES.register("presets")
def measure_presets() -> list[Series]:
    """Measure the presets' state as peers and rewrites of the log send it, by number of presets."""
    text = "x" * 300
    points = []
    for count in (3, 12, 60):
        presets = tuple(PublishedPreset(f"p{i}", text, i, "operator") for i in range(count))
        state = PresetState(1, presets, "p0", text, 1, "operator")
        points.append((count, len(encode(state)) / 1e3))
    return [Series("presets", "state, KB", "presets", tuple(points))]


@MEASURES.register("platform client")
def measure_host_list() -> list[Series]:
    """Measure size, CPU time to parse and memory of the host list by the number of workers."""
    size, cpu, memory = [], [], []
    for count in (24, 470, 4_700):
        rows = [
            {
                "worker": f"dc-1-{index // 10}-{index % 10}",
                "rack": f"dc-1-{index // 10}",
                "data_centre": "dc-1",
                "address": f"10.1.{index // 250}.{index % 250}:8000",
                "cpu_milli": 16_000,
                "memory_mb": 64_000,
                "accelerators": 1,
                "state": "live",
            }
            for index in range(count)
        ]
        body = json.dumps({"workers": rows}).encode()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        workers = parse_host_list(body)
        memory.append((count, (tracemalloc.get_traced_memory()[0] - before) / 1e3))
        tracemalloc.stop()
        assert len(workers) == count
        started_at = time.process_time_ns()
        parse_host_list(body)
        cpu.append((count, (time.process_time_ns() - started_at) / 1e6))
        size.append((count, len(body) / 1e3))
    role, name = "platform client", "workers in all"
    return [
        Series(role, "host list, KB", name, tuple(size)),
        Series(role, "host list, ms to read", name, tuple(cpu)),
        Series(role, "host list, KB of memory", name, tuple(memory)),
    ]
