"""The measurements, one for each role; a decorator enters each in the registry."""

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
from quetzallock_core.placement.models import ReserveRoom, RoomWanted, WorkersListed
from quetzallock_core.presets.models import PresetState, PublishedPreset
from quetzallock_core.registry import Registry
from quetzallock_core.requests.const import WHOLE
from quetzallock_core.requests.models import Arrival, Dispatch, Response, TryDone
from quetzallock_core.workers.models import Resources, WorkerInfo
from quetzallock_daemon.platform.models import parse_host_list

from ..workers.model import WorkerModel, WorkerShape
from .loop import Loop
from .models import Series

Measure = Callable[[], list[Series]]
MEASURES: Registry[Measure] = Registry("measure")

_RACK = 16
_TASKS_PER_WORKER = 10
_CAPACITY = Resources(64_000, 256_000, 2)
_SMALL = Resources(100, 100, 0)
_WARM_MS = 12_000


def _make_infos(workers: int) -> tuple[WorkerInfo, ...]:
    return tuple(
        WorkerInfo(f"w{index}", f"rack-{index // _RACK}", "dc-1", f"10.0.0.1:{index}")
        for index in range(workers)
    )


def _make_loop(
    hosts: int, workers: int, settings: HostSettings
) -> tuple[Loop, dict[str, EntryHost]]:
    """Return hosts that have settled."""
    loop = Loop()
    infos = _make_infos(workers)
    entry_hosts = {}
    for index in range(hosts):
        name = f"host-{index}"
        identity = Identity(name, index + 1, f"{name}:1", "dc-1")
        settings = replace(settings, members=_seeded(hosts))
        host = make_host(identity, settings, loop.clock, Random(index))
        entry_hosts[name] = host
        loop.add(name, host.core)
    for info in infos:
        shape = WorkerShape(_CAPACITY)
        loop.workers[info.worker] = WorkerModel(info.worker, shape, "boot", booted_at=-60_000)
    for name in entry_hosts:
        loop.fire(name, WorkersListed(infos))
    loop.run(_WARM_MS)
    return loop, entry_hosts


def _seeded(hosts: int) -> MemberSettings:
    return MemberSettings(seeds=("host-0:1", "host-1:1")) if hosts > 1 else MemberSettings()


@MEASURES.register("peer and membership")
def measure_members() -> list[Series]:
    """Gossip of one host while a host dies every five seconds."""
    cpu, sent, memory = [], [], []
    for count in (15, 60, 300):
        loop = Loop(tick_ms=250)
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


def _make_member(loop: Loop, index: int, count: int) -> Core:
    name = f"host-{index}"
    identity = Identity(name, index + 1, f"{name}:1", f"dc-{index % 10}")
    core = Core(identity, loop.clock, Random(index))
    setup_members(core, _seeded(count))
    return core


def _measure_member_list(count: int) -> float:
    """Return the KB that a list of `count` hosts takes."""
    core = _make_member(Loop(), 0, 1)
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
    taken = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    return taken / 1e3


@MEASURES.register("placer, workers held")
def measure_held_workers() -> list[Series]:
    """Syncs of one host with the workers that it holds, about ten tasks on each."""
    cpu, sent, memory = [], [], []
    for count in (16, 80, 320):
        gc.collect()
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        loop, hosts = _make_loop(1, count, HostSettings(jobs=JobSettings(shards=4)))
        _fill(loop, count * _TASKS_PER_WORKER)
        memory.append((count, (tracemalloc.get_traced_memory()[0] - before) / 1e3))
        tracemalloc.stop()
        loop.reset()
        loop.run(20_000)
        spent = loop.costs["host-0"]
        cpu.append((count, spent.cpu_ms / 20 / 10))
        sent.append((count, spent.sent["SyncWorker"] / 20))
    role, size = "placer", "workers held"
    return [
        Series(role, "CPU with stewarding, % of a core", size, tuple(cpu)),
        Series(role, "bytes/s of bodies", size, tuple(sent)),
        Series(role, "memory with the stand-in's, KB", size, tuple(memory)),
    ]


def _fill(loop: Loop, tasks: int) -> None:
    """Let `tasks` long tasks run.

    Raises:
        RuntimeError: They do not.
    """
    for index in range(tasks // _TASKS_PER_WORKER):
        spec = JobSpec(f"long-{index}", "team", _TASKS_PER_WORKER, _SMALL, 86_400_000)
        loop.fire("host-0", SubmitJob(index, spec), "host-0")
    for _ in range(120):
        loop.run(1_000)
        if sum(worker.count_running() for worker in loop.workers.values()) == tasks:
            return
    raise RuntimeError("the tasks do not run")


@MEASURES.register("placer, one decision")
def measure_decision() -> list[Series]:
    """One reservation, with state held for one rack, in deployments of growing size."""
    prepared = []
    for count in (24, 470, 4_700):
        loop = Loop()
        identity = Identity("host-0", 1, "host-0:1", "dc-1")
        host = make_host(identity, HostSettings(), loop.clock, Random(1))
        loop.add("host-0", host.core)
        infos = _make_infos(count)
        for info in infos[:_RACK]:
            loop.workers[info.worker] = WorkerModel(
                info.worker, WorkerShape(_CAPACITY), "boot", booted_at=-60_000
            )
        loop.fire("host-0", WorkersListed(infos[:_RACK]))
        loop.run(3_000)
        loop.fire("host-0", _hold_first_rack(host, infos))
        prepared.append((count, host))
    best = dict.fromkeys((count for count, _ in prepared), float("inf"))
    for attempt in range(9):
        for count, host in prepared:
            best[count] = min(best[count], _time_decisions(host, attempt))
    return [Series("placer", "µs a reservation", "workers in all", tuple(best.items()))]


def _hold_first_rack(host: EntryHost, infos: tuple[WorkerInfo, ...]) -> WorkersListed:
    """Return a list of all workers, of which those outside the first rack fall to others."""
    now = host.core.clock.now()
    for index in range(1, len(infos) // _RACK + 1):
        rumour = Rumour(f"other-{index}", 1, 1, "alive", f"other-{index}:1", f"far-{index}")
        host.core.fire(Ping(now, (rumour,), -1), "other-1")
    host.core.drain()
    near = infos[:_RACK]
    far = tuple(
        replace(info, data_centre=f"far-{1 + (at // _RACK) % max(1, len(infos) // _RACK)}")
        for at, info in enumerate(infos[_RACK:])
    )
    return WorkersListed(near + far)


def _time_decisions(host: EntryHost, attempt: int) -> float:
    """Return the mean µs of a reservation over 200."""
    asks = [
        ReserveRoom("rack-0", (RoomWanted(f"job-{attempt}-{index}/0", 1, _SMALL),))
        for index in range(200)
    ]
    began = time.perf_counter_ns()
    for ask in asks:
        host.core.fire(ask, "host-1")
    taken = time.perf_counter_ns() - began
    host.core.drain()
    return taken / len(asks) / 1e3


@MEASURES.register("steward, starts")
def measure_starts() -> list[Series]:
    """One shard's owner at a rate of starts: accept, place, record, start, watch, finish."""
    cpu, sent, appends, log_bytes, delay = [], [], [], [], []
    for per_s in (1, 5.3, 26.5):
        settings = HostSettings(jobs=JobSettings(shards=1, flush_ms=500))
        loop, hosts = _make_loop(2, 64, settings)
        owner = next(name for name, host in hosts.items() if host.shards.owned)
        placed_by = {name: len(host.placer.held) for name, host in hosts.items()}
        assert sum(placed_by.values()) == 64
        seconds = 40
        loop.reset()
        began = loop.clock.now()
        appended = loop.log.appended
        done = 0
        for step in range(seconds):
            wanted = int(per_s * (step + 1)) - done
            if wanted:
                spec = JobSpec(f"job-{step}", "team", wanted, _SMALL, 5_000)
                loop.fire(owner, SubmitJob(step, spec), owner)
            done += wanted
            loop.run(1_000)
        spent = loop.costs[owner]
        placing = spent.sent["SyncWorker"] + spent.sent["StartTask"]
        cpu.append((per_s, spent.cpu_ms / seconds / 10))
        sent.append((per_s, (spent.total_bytes - placing) / seconds))
        appends.append((per_s, (loop.log.appended - appended) / seconds))
        log_bytes.append((per_s, spent.sent["Append"] / seconds))
        delay.append((per_s, _find_longest_wait(loop, began)))
    role, size = "steward", "starts/s"
    return [
        Series(role, "CPU, % of a core, with half the placing", size, tuple(cpu)),
        Series(role, "bytes/s, log and peers", size, tuple(sent)),
        Series(role, "bytes/s appended", size, tuple(log_bytes)),
        Series(role, "appends/s", size, tuple(appends)),
        Series(role, "longest ms from submission to start", size, tuple(delay)),
    ]


def _find_longest_wait(loop: Loop, began: int) -> float:
    """Return the longest time from the submission of `job-N`, N seconds after `began`."""
    waits = [
        run.started_at - began - 1_000 * int(run.task.rpartition("/")[0].removeprefix("job-"))
        for worker in loop.workers.values()
        for run in worker.history
    ]
    return float(max(waits, default=0))


@MEASURES.register("steward, tasks")
def measure_tasks() -> list[Series]:
    """The book of a shard: memory and snapshot by the number of tasks."""
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
    """Requests through one router: decisions only, answered at once."""
    cpu = []
    for per_s in (20, 100, 400):
        loop, hosts = _make_loop(1, _RACK, HostSettings())
        host = hosts["host-0"]
        loop.run(3_000)
        loop.reset()
        began = time.process_time_ns()
        for number in range(per_s * 5):
            _pass_through(host, number, loop.clock.now())
            if number % per_s == 0:
                loop.clock.advance(100)
        spent = (time.process_time_ns() - began) / 1e6
        cpu.append((per_s, spent / 5 / 10))
    return [Series("router", "CPU of decisions, % of a core", "requests/s", tuple(cpu))]


def _pass_through(host: EntryHost, number: int, now: int) -> None:
    host.core.fire(Arrival(number, "GET desk/stock", now + 1_000, True))
    for effect in host.core.drain():
        if isinstance(effect, Dispatch):
            response = Response(200, (), b"")
            done = TryDone(effect.ticket, effect.number, effect.worker, WHOLE, response)
            host.core.fire(done)
    host.core.drain()


@MEASURES.register("router, slot leases")
def measure_slots() -> list[Series]:
    """Slot leases of one host by the number of racks that it uses."""
    sent = []
    for racks in (1, 4, 20):
        settings = HostSettings()
        loop, hosts = _make_loop(2, racks * _RACK, settings)
        loop.reset()
        loop.run(10_000)
        total = sum(
            costs.sent["AskSlots"] + costs.sent["SlotsLeased"] for costs in loop.costs.values()
        )
        used = min(racks, settings.requests.racks)
        sent.append((used, total / 10))
    return [Series("router", "bytes/s of slot leases, one asker", "racks used", tuple(sent))]


@MEASURES.register("presets")
def measure_presets() -> list[Series]:
    """The state that a peer or a rewrite carries, by the number of presets."""
    text = "x" * 300
    points = []
    for count in (3, 12, 60):
        presets = tuple(PublishedPreset(f"p{i}", text, i, "operator") for i in range(count))
        state = PresetState(1, presets, "p0", text, 1, "operator")
        points.append((count, len(encode(state)) / 1e3))
    return [Series("presets", "state, KB", "presets", tuple(points))]


@MEASURES.register("platform client")
def measure_host_list() -> list[Series]:
    """The host list: bytes and CPU of one reading, and memory, by the number of workers."""
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
        listed = parse_host_list(body)
        memory.append((count, (tracemalloc.get_traced_memory()[0] - before) / 1e3))
        tracemalloc.stop()
        assert len(listed) == count
        began = time.process_time_ns()
        parse_host_list(body)
        cpu.append((count, (time.process_time_ns() - began) / 1e6))
        size.append((count, len(body) / 1e3))
    role, name = "platform client", "workers in all"
    return [
        Series(role, "host list, KB", name, tuple(size)),
        Series(role, "host list, ms to read", name, tuple(cpu)),
        Series(role, "host list, KB of memory", name, tuple(memory)),
    ]
