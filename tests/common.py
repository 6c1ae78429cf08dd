"""Helpers that tests share: several entry hosts on a fake network, a fake log and fake workers."""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from quetzallock_core.clock import ManualClock
from quetzallock_core.codec import decode, encode
from quetzallock_core.core import Identity
from quetzallock_core.effects import (
    Answer,
    Append,
    Appended,
    CallWorker,
    Read,
    ReadDone,
    Send,
    WorkerAnswered,
)
from quetzallock_core.host import EntryHost, HostSettings, make_host
from quetzallock_core.jobs.const import JobSettings
from quetzallock_core.jobs.models import JobSpec
from quetzallock_core.members.const import MemberSettings
from quetzallock_core.placement.models import WorkersListed
from quetzallock_core.presets.const import PresetSettings
from quetzallock_core.requests.const import BROKEN, NOT_SENT, WHOLE
from quetzallock_core.requests.models import Arrival, Dispatch, Response, TryDone
from quetzallock_core.workers.models import Resources, WorkerInfo
from quetzallock_standins.log.model import LogModel
from quetzallock_standins.workers.model import RunRecord, WorkerModel, WorkerShape

TICK_MS = 100
CALL_TIMEOUT_MS = 1_000
LONG_UP_MS = 60_000
CAPACITY = Resources(16_000, 64_000, 1)
PRESET = 'name = "ordinary"\n[batch]\nreserve_percent = 50\n'

FAST_JOBS = JobSettings(
    shards=4,
    read_ms=1_000,
    task_lease_ms=6_000,
    trust_ms=10_000,
    news_ms=2_000,
    snapshot_records=20,
    snapshot_ms=10_000,
    keep_ms=120_000,
)
FAST_SETTINGS = HostSettings(jobs=FAST_JOBS, presets=PresetSettings(rewrite_ms=8_000))


@dataclass(slots=True)
class FakeHost:
    """An entry host and what is wrong with it."""

    host: EntryHost
    is_frozen: bool = False
    inbox: list[tuple[str, bytes]] = field(default_factory=list)
    held_events: list[object] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Execution:
    """A request as a backend server really ran it."""

    key: str
    worker: str
    started_at: int


class FakeCluster:
    """Entry hosts, workers and the log under one manual clock.

    Every message crosses the codec. A frozen host or worker takes in late what was sent to it.
    """

    def __init__(
        self,
        hosts: int = 3,
        workers: int = 4,
        seed: int = 1,
        settings: HostSettings = FAST_SETTINGS,
        retention_ms: int = 60_000,
        shapes: dict[int, WorkerShape] | None = None,
    ) -> None:
        self.clock = ManualClock(1_000)
        self.rng = Random(seed)
        self.settings = settings
        self.log = LogModel(retention_ms)
        self.hosts: dict[str, FakeHost] = {}
        self.cut_hosts: set[str] = set()
        self.cut_workers: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.log_cut_hosts: set[str] = set()
        self.paused_workers: set[str] = set()
        self.removed_workers: set[str] = set()
        self.break_answers = 0
        self.refuse_connections = 0
        self.answers: dict[tuple[str, int], Any] = {}
        self.executions: list[Execution] = []
        self.effects_seen: list[tuple[int, str, object]] = []
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self._tickets = count(1)
        self._boots = count(1)
        self._request_keys: dict[tuple[str, int], tuple[str, int]] = {}
        self._lives = count(100)
        self._held_commands: dict[str, list[Callable[[], None]]] = {}
        self.workers: dict[str, WorkerModel] = {}
        for index in range(workers):
            name = f"worker-{index}"
            shape = (shapes or {}).get(index, WorkerShape(CAPACITY))
            self.workers[name] = WorkerModel(
                name, shape, f"boot-{next(self._boots)}", booted_at=-LONG_UP_MS
            )
        for index in range(hosts):
            self.start_host(f"host-{index}")

    # Faults

    def start_host(self, name: str) -> None:
        """Start a host without memory of an earlier life."""
        identity = Identity(name, next(self._lives), f"{name}:1", "dc-1")
        seeds = ("host-0:1", "host-1:1")
        members = MemberSettings(seeds=seeds, suspect_ms=1_000, ping_timeout_ms=1_000)
        settings = HostSettings(
            members,
            self.settings.placement,
            self.settings.jobs,
            self.settings.presets,
            self.settings.requests,
        )
        rng = Random(self.rng.getrandbits(32))
        self.hosts[name] = FakeHost(make_host(identity, settings, self.clock, rng))
        self.list_workers(name)

    def list_workers(self, name: str, leaving: Iterable[str] = ()) -> None:
        """Hand the platform's host list to one entry host."""
        infos = tuple(
            WorkerInfo(worker, f"rack-{index % 2}", "dc-1", f"{worker}:1", worker in leaving)
            for index, worker in enumerate(self.workers)
            if worker not in self.removed_workers
        )
        self._fire(name, WorkersListed(infos))

    def kill_host(self, name: str) -> None:
        """End a host at once."""
        self.hosts.pop(name, None)

    def freeze_host(self, name: str) -> None:
        """Stop a host's execution; its clock runs on."""
        if name in self.hosts:
            self.hosts[name].is_frozen = True

    def thaw_host(self, name: str) -> None:
        """Let a frozen host go on, with all that was sent to it meanwhile."""
        fake = self.hosts.get(name)
        if fake is None or not fake.is_frozen:
            return
        fake.is_frozen = False
        events, fake.held_events = fake.held_events, []
        for event in events:
            self._fire(name, event)
        inbox, fake.inbox = fake.inbox, []
        for source, raw in inbox:
            self._fire(name, decode(raw), source)

    def pause_worker(self, name: str) -> None:
        """Stop a worker and its tasks; commands wait in its buffers."""
        self.paused_workers.add(name)

    def resume_worker(self, name: str) -> None:
        """Let a paused worker go on; it takes in late what was sent to it."""
        self.paused_workers.discard(name)
        for run in self._held_commands.pop(name, []):
            run()

    def remove_worker(self, name: str) -> None:
        """End a worker for good: its tasks are gone and the platform lists it no more."""
        self.crash_worker(name)
        self.paused_workers.add(name)
        self.removed_workers.add(name)
        self.list_everywhere()

    def return_worker(self, name: str) -> None:
        """Bring a removed worker back, empty."""
        self.removed_workers.discard(name)
        self._held_commands.pop(name, None)
        self.resume_worker(name)
        self.list_everywhere()

    def list_everywhere(self, leaving: Iterable[str] = ()) -> None:
        """Hand the platform's host list to all entry hosts."""
        for host in self.hosts:
            self.list_workers(host, leaving)

    def crash_worker(self, name: str) -> None:
        """Restart a worker: its tasks are gone."""
        self.workers[name].crash(self.clock.now(), f"boot-{next(self._boots)}")

    def heal(self) -> None:
        """Take all faults away and start the hosts that are missing."""
        self.cut_hosts.clear()
        self.cut_workers.clear()
        self.cut_links.clear()
        self.log_cut_hosts.clear()
        self.log.faults.down = False
        self.log.faults.slow_ms = 0
        self.log.faults.lose_answers = 0
        for name in list(self.hosts):
            self.thaw_host(name)
        for name in list(self.removed_workers):
            self.return_worker(name)
        for name in list(self.paused_workers):
            self.resume_worker(name)
        for index in range(3):
            if f"host-{index}" not in self.hosts:
                self.start_host(f"host-{index}")

    # Time

    def run(self, ms: int) -> None:
        """Let `ms` milliseconds pass."""
        end = self.clock.now() + ms
        while self.clock.now() < end:
            self.clock.advance(TICK_MS)
            self._deliver()
            for name in list(self.hosts):
                self._tick(name)
            for name, worker in self.workers.items():
                if name not in self.paused_workers:
                    worker.advance(self.clock.now())

    def run_until(self, condition: Callable[[], bool], limit_ms: int) -> bool:
        """Run until `condition` holds, at most `limit_ms`; return whether it held."""
        end = self.clock.now() + limit_ms
        while not condition():
            if self.clock.now() >= end:
                return False
            self.run(TICK_MS)
        return True

    def _tick(self, name: str) -> None:
        fake = self.hosts[name]
        if fake.is_frozen:
            return
        fake.host.core.tick()
        self._carry_out(name)

    def _deliver(self) -> None:
        while self._events and self._events[0][0] <= self.clock.now():
            heapq.heappop(self._events)[2]()

    def _later(self, ms: int, run: Callable[[], None]) -> None:
        heapq.heappush(self._events, (self.clock.now() + ms, next(self._order), run))

    def _fire(self, name: str, event: object, source: str = "") -> None:
        fake = self.hosts.get(name)
        if fake is None:
            return
        if fake.is_frozen:
            fake.held_events.append(event)
            return
        fake.host.core.fire(event, source)
        self._carry_out(name)

    # Effects

    def _carry_out(self, name: str) -> None:
        for effect in self.hosts[name].host.core.drain():
            match effect:
                case Send(to, message):
                    self._send(name, to, encode(message))
                case CallWorker(worker, command):
                    self._call(name, worker, command)
                case Append(stream, record):
                    self._append(name, stream, record)
                case Read(stream, offset):
                    self._read(name, stream, offset)
                case Dispatch():
                    self._dispatch(name, effect)
                case Answer(ticket, body):
                    assert (name, ticket) not in self.answers, "answered twice"
                    self.answers[(name, ticket)] = body

    def _is_cut(self, one: str, other: str) -> bool:
        if one == other:
            return False
        if one in self.cut_hosts or other in self.cut_hosts:
            return True
        return (one, other) in self.cut_links or (other, one) in self.cut_links

    def _send(self, source: str, to: str, raw: bytes) -> None:
        to = to.partition(":")[0]
        if self._is_cut(source, to):
            return

        def deliver() -> None:
            fake = self.hosts.get(to)
            if fake is None or self._is_cut(source, to):
                return
            if fake.is_frozen:
                fake.inbox.append((source, raw))
            else:
                self._fire(to, decode(raw), source)

        self._later(0 if source == to else TICK_MS, deliver)

    def _call(self, name: str, worker: str, command: Any) -> None:
        asked_at = self.clock.now()
        life = self.hosts[name]
        state = {"done": False}

        def finish(answer: Any) -> None:
            if state["done"] or self.hosts.get(name) is not life:
                return
            state["done"] = True
            self._fire(name, WorkerAnswered(worker, command, answer, asked_at))

        def execute() -> None:
            if worker in self.paused_workers:
                self._held_commands.setdefault(worker, []).append(execute)
                return
            answer = self.workers[worker].handle(command, self.clock.now())
            if not self._is_cut(name, worker) and worker not in self.cut_workers:
                self._later(self._pick_delay(), lambda: finish(answer))

        self._later(CALL_TIMEOUT_MS, lambda: finish(None))
        if not self._is_cut(name, worker) and worker not in self.cut_workers:
            self._later(self._pick_delay(), execute)

    def _pick_delay(self) -> int:
        return self.rng.choice((0, TICK_MS, 2 * TICK_MS))

    def _log_answers(self, name: str) -> bool:
        cut = name in self.cut_hosts or name in self.log_cut_hosts
        return not (self.log.faults.down or cut)

    def _append(self, name: str, stream: str, record: bytes) -> None:
        life = self.hosts[name]

        def report(ok: bool) -> None:
            if self.hosts.get(name) is life:
                self._fire(name, Appended(stream, ok))

        def execute() -> None:
            if not self._log_answers(name):
                self._later(CALL_TIMEOUT_MS, lambda: report(False))
                return
            offset = self.log.append(stream, record, self.clock.now())
            lost = self.log.pop_lost_answer()
            ok = offset is not None and not lost
            self._later(CALL_TIMEOUT_MS if lost else TICK_MS, lambda: report(ok))

        self._later(self.log.faults.slow_ms + TICK_MS, execute)

    def _read(self, name: str, stream: str, offset: int) -> None:
        asked_at = self.clock.now()
        life = self.hosts[name]

        def report(event: ReadDone) -> None:
            if self.hosts.get(name) is life:
                self._fire(name, event)

        def execute() -> None:
            if not self._log_answers(name):
                failed = ReadDone(stream, False, offset, asked_at)
                self._later(CALL_TIMEOUT_MS, lambda: report(failed))
                return
            page = self.log.read(stream, offset, self.clock.now())
            done = ReadDone(
                stream, True, offset, asked_at, page.first, page.next_offset, page.records
            )
            self._later(TICK_MS, lambda: report(done))

        self._later(self.log.faults.slow_ms, execute)

    def _dispatch(self, name: str, effect: Dispatch) -> None:
        key, service_ms = self._request_keys[(name, effect.ticket)]
        model = self.workers[effect.worker]
        boot = model.boot
        life = self.hosts[name]

        def report(outcome: str, response: Response | None = None) -> None:
            done = TryDone(effect.ticket, effect.number, effect.worker, outcome, response)
            if self.hosts.get(name) is life:
                self._fire(name, done)

        def repeat_late() -> None:
            """Deliver a second answer to this try, long after it was given up."""
            report(WHOLE, Response(200, (), b"stale"))

        def finish() -> None:
            if model.boot != boot:
                report(BROKEN)
                return
            model.busy_slots -= 1
            if self.break_answers > 0:
                self.break_answers -= 1
                report(BROKEN)
                self._later(TICK_MS, repeat_late)
            else:
                report(WHOLE, Response(200, (), key.encode()))

        if self.refuse_connections > 0:
            self.refuse_connections -= 1
            self._later(0, lambda: report(NOT_SENT))
            return
        model.busy_slots += 1
        model.counters.peak_slots = max(model.counters.peak_slots, model.busy_slots)
        if model.busy_slots > model.shape.slots:
            model.counters.over_slots += 1
        self.executions.append(Execution(key, effect.worker, self.clock.now()))
        self._later(service_ms, finish)

    # Callers

    def submit(self, name: str, spec: JobSpec, timeout_ms: int = 3_000) -> int:
        """Submit a job at a host and return the ticket."""
        ticket = next(self._tickets)
        self.hosts[name].host.jobs.submit(ticket, spec, timeout_ms)
        self._carry_out(name)
        return ticket

    def cancel(self, name: str, job: str, timeout_ms: int = 3_000) -> int:
        """Cancel a job at a host and return the ticket."""
        ticket = next(self._tickets)
        self.hosts[name].host.jobs.cancel(ticket, job, timeout_ms)
        self._carry_out(name)
        return ticket

    def show(self, name: str, job: str, timeout_ms: int = 3_000) -> int:
        """Ask a host about a job and return the ticket."""
        ticket = next(self._tickets)
        self.hosts[name].host.jobs.show(ticket, job, timeout_ms)
        self._carry_out(name)
        return ticket

    def request(
        self,
        name: str,
        key: str,
        idempotent: bool = False,
        service_ms: int = 200,
        deadline_ms: int = 2_000,
        repeat: bool = False,
    ) -> int:
        """Make a latency-critical request at a host and return the ticket."""
        ticket = next(self._tickets)
        self._request_keys[(name, ticket)] = (key, service_ms)
        deadline = self.clock.now() + deadline_ms
        arrival = Arrival(ticket, "GET desk", deadline, idempotent, key, repeat)
        self._fire(name, arrival)
        return ticket

    def publish(self, name: str, preset: str, text: str, author: str) -> int:
        """Publish a preset at a host and return the ticket."""
        ticket = next(self._tickets)
        self.hosts[name].host.presets.publish(ticket, preset, text, author, None)
        self._carry_out(name)
        return ticket

    def use(self, name: str, preset: str, author: str, base: int | None = None) -> int:
        """Put a preset in force at a host and return the ticket."""
        ticket = next(self._tickets)
        self.hosts[name].host.presets.use(ticket, preset, author, base)
        self._carry_out(name)
        return ticket

    # Outcomes

    def list_runs(self) -> list[RunRecord]:
        """Return all runs that ended, and those that go on, up to now."""
        now = self.clock.now()
        runs = []
        for worker in self.workers.values():
            runs.extend(worker.history)
            runs.extend(worker.list_open_runs(now))
        return runs


def find_double_runs(runs: Iterable[RunRecord]) -> list[tuple[RunRecord, RunRecord]]:
    """Return pairs of runs of one task that overlap in time."""
    by_task: dict[str, list[RunRecord]] = {}
    for run in runs:
        by_task.setdefault(run.task, []).append(run)
    overlaps = []
    for group in by_task.values():
        group.sort(key=lambda run: (run.started_at, run.ended_at))
        for one, other in zip(group, group[1:], strict=False):
            if other.started_at < one.ended_at:
                overlaps.append((one, other))
    return overlaps


def count_finishes(runs: Iterable[RunRecord], ending: str = "finished") -> dict[str, int]:
    """Return how often each task ended so."""
    finishes: dict[str, int] = {}
    for run in runs:
        if run.ending == ending:
            finishes[run.task] = finishes.get(run.task, 0) + 1
    return finishes


def make_spec(job: str, tasks: int = 1, run_ms: int = 3_000, cpu_milli: int = 1_000) -> JobSpec:
    """Return a job of small tasks."""
    return JobSpec(job, "team", tasks, Resources(cpu_milli, 1_000, 0), run_ms)
