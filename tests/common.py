"""Shared test helpers: entry hosts on a simulated network with models of log and workers."""

import heapq
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import Any

from quetzallock_core.clock import ManualClock
from quetzallock_core.codec import decode
from quetzallock_core.core import Identity
from quetzallock_core.host import EntryHost, HostSettings, make_host
from quetzallock_core.jobs.const import JobSettings
from quetzallock_core.jobs.models import JobSpec
from quetzallock_core.members.const import MemberSettings
from quetzallock_core.placement.models import WorkersListed
from quetzallock_core.presets.const import PresetSettings
from quetzallock_core.requests.models import RequestArrived
from quetzallock_core.workers.models import Resources, WorkerInfo
from quetzallock_standins.log.model import LogModel
from quetzallock_standins.workers.models import RunRecord, WorkerShape
from quetzallock_standins.workers.worker import WorkerModel

from .effects import TICK_MS, Execution, FakeEffects

INITIAL_UPTIME_MS = 60_000
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
    """An entry host and whether it is frozen.

    Attributes:
        is_frozen: The host does not run; its input is kept until it is thawed.
        inbox: Messages that arrived while it was frozen, with their sources.
        deferred_events: All other events that arrived while it was frozen, such as answers.
    """

    host: EntryHost
    is_frozen: bool = False
    inbox: list[tuple[str, bytes]] = field(default_factory=list)
    deferred_events: list[object] = field(default_factory=list)


class FakeCluster:
    """Entry hosts, workers and the log under one manual clock.

    Every message passes through the codec. A frozen host or a paused worker processes its input
    when it resumes.

    Attributes:
        isolated_hosts: Hosts without connection to other hosts, the log and the workers' commands;
            their requests to backend servers still pass.
        isolated_workers: Workers that get no commands and whose answers are lost.
        cut_links: Pairs of names that do not reach each other in either direction.
        hosts_without_log: Hosts that get no answer from the log.
        answers_to_break: Number of answers of backend servers still to break, each followed by a
            late one.
        connections_to_refuse: Number of connections to backend servers still to refuse.
        answers: Answers to callers, by host and ticket.
        cancellations: Host and ticket of each cancellation, by job.
        specs: Specification of each submitted job.
        leaves: Time, worker, state (`draining`, `gone` or `ready`) of each change of its listing.
        request_keys: Key and duration in ms of each request, by host and ticket.
        deferred_commands: Commands to each paused worker.
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
        self.isolated_hosts: set[str] = set()
        self.isolated_workers: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.hosts_without_log: set[str] = set()
        self.paused_workers: set[str] = set()
        self.removed_workers: set[str] = set()
        self.answers_to_break = 0
        self.connections_to_refuse = 0
        self.answers: dict[tuple[str, int], Any] = {}
        self.cancellations: dict[str, list[tuple[str, int]]] = {}
        self.specs: dict[str, JobSpec] = {}
        self.leaves: list[tuple[int, str, str]] = []
        self.executions: list[Execution] = []
        self.effects_seen: list[tuple[int, str, object]] = []
        self._scheduled_actions: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = count()
        self._tickets = count(1)
        self._boots = count(1)
        self.request_keys: dict[tuple[str, int], tuple[str, int]] = {}
        self._incarnations = count(100)
        self.deferred_commands: dict[str, list[Callable[[], None]]] = {}
        self._effects = FakeEffects(self)
        self.workers: dict[str, WorkerModel] = {}
        for index in range(workers):
            name = f"worker-{index}"
            shape = (shapes or {}).get(index, WorkerShape(CAPACITY))
            self.workers[name] = WorkerModel(
                name, shape, f"boot-{next(self._boots)}", booted_at=-INITIAL_UPTIME_MS
            )
        for index in range(hosts):
            self.start_host(f"host-{index}")

    # Faults

    def start_host(self, name: str) -> None:
        """Start a host with a new incarnation and empty state."""
        identity = Identity(name, next(self._incarnations), f"{name}:1", "dc-1")
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
        self.send_worker_list(name)

    def send_worker_list(self, name: str, leaving: Iterable[str] = ()) -> None:
        """Send the platform's list of workers to one entry host."""
        infos = tuple(
            WorkerInfo(worker, f"rack-{index % 2}", "dc-1", f"{worker}:1", worker in leaving)
            for index, worker in enumerate(self.workers)
            if worker not in self.removed_workers
        )
        self.fire(name, WorkersListed(infos))

    def kill_host(self, name: str) -> None:
        """Remove a host without a shutdown."""
        self.hosts.pop(name, None)

    def freeze_host(self, name: str) -> None:
        """Suspend a host; the clock goes on."""
        if name in self.hosts:
            self.hosts[name].is_frozen = True

    def thaw_host(self, name: str) -> None:
        """Resume a frozen host and deliver what arrived meanwhile."""
        fake = self.hosts.get(name)
        if fake is None or not fake.is_frozen:
            return
        fake.is_frozen = False
        events, fake.deferred_events = fake.deferred_events, []
        for event in events:
            self.fire(name, event)
        inbox, fake.inbox = fake.inbox, []
        for source, raw in inbox:
            self.fire(name, decode(raw), source)

    def pause_worker(self, name: str) -> None:
        """Suspend a worker and its tasks; its commands are queued."""
        self.paused_workers.add(name)

    def resume_worker(self, name: str) -> None:
        """Resume a paused worker and execute its queued commands."""
        self.paused_workers.discard(name)
        for execute in self.deferred_commands.pop(name, []):
            execute()

    def remove_worker(self, name: str) -> None:
        """Remove a worker: its tasks are lost and the platform no longer lists it."""
        self.crash_worker(name)
        self.paused_workers.add(name)
        self.removed_workers.add(name)
        self.leaves.append((self.clock.now(), name, "gone"))
        self.send_worker_list_to_all()

    def restore_worker(self, name: str) -> None:
        """List a removed worker again, without tasks."""
        self.removed_workers.discard(name)
        self.deferred_commands.pop(name, None)
        self.resume_worker(name)
        self.leaves.append((self.clock.now(), name, "ready"))
        self.send_worker_list_to_all()

    def send_worker_list_to_all(self, leaving: Sequence[str] = ()) -> None:
        """Send the platform's list of workers to all entry hosts."""
        for worker in leaving:
            self.leaves.append((self.clock.now(), worker, "draining"))
        for host in self.hosts:
            self.send_worker_list(host, leaving)

    def crash_worker(self, name: str) -> None:
        """Restart a worker with a new boot; its tasks are lost."""
        self.workers[name].crash(self.clock.now(), f"boot-{next(self._boots)}")

    def heal(self) -> None:
        """Remove all faults and start the missing hosts."""
        self.isolated_hosts.clear()
        self.isolated_workers.clear()
        self.cut_links.clear()
        self.hosts_without_log.clear()
        self.log.faults.down = False
        self.log.faults.slow_ms = 0
        self.log.faults.lose_answers = 0
        for name in list(self.hosts):
            self.thaw_host(name)
        for name in list(self.removed_workers):
            self.restore_worker(name)
        for name in list(self.paused_workers):
            self.resume_worker(name)
        for index in range(3):
            if f"host-{index}" not in self.hosts:
                self.start_host(f"host-{index}")

    # Time

    def run(self, ms: int) -> None:
        """Advance the clock by `ms` milliseconds."""
        end = self.clock.now() + ms
        while self.clock.now() < end:
            self.clock.advance(TICK_MS)
            self._run_due_actions()
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
        self._effects.run(name)

    def _run_due_actions(self) -> None:
        while self._scheduled_actions and self._scheduled_actions[0][0] <= self.clock.now():
            heapq.heappop(self._scheduled_actions)[2]()

    def schedule(self, ms: int, action: Callable[[], None]) -> None:
        """Call `action` after `ms` milliseconds."""
        heapq.heappush(
            self._scheduled_actions, (self.clock.now() + ms, next(self._sequence), action)
        )

    def fire(self, name: str, event: object, source: str = "") -> None:
        """Pass an event to a host, once it runs."""
        fake = self.hosts.get(name)
        if fake is None:
            return
        if fake.is_frozen:
            fake.deferred_events.append(event)
            return
        fake.host.core.fire(event, source)
        self._effects.run(name)

    # Callers

    def submit(self, name: str, spec: JobSpec, timeout_ms: int = 3_000) -> int:
        """Submit a job at a host and return the ticket."""
        ticket = next(self._tickets)
        self.specs[spec.job] = spec
        self.hosts[name].host.jobs.submit(ticket, spec, timeout_ms)
        self._effects.run(name)
        return ticket

    def cancel(self, name: str, job: str, timeout_ms: int = 3_000) -> int:
        """Cancel a job at a host and return the ticket."""
        ticket = next(self._tickets)
        self.cancellations.setdefault(job, []).append((name, ticket))
        self.hosts[name].host.jobs.cancel(ticket, job, timeout_ms)
        self._effects.run(name)
        return ticket

    def show(self, name: str, job: str, timeout_ms: int = 3_000) -> int:
        """Query the state of a job at a host and return the ticket."""
        ticket = next(self._tickets)
        self.hosts[name].host.jobs.show(ticket, job, timeout_ms)
        self._effects.run(name)
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
        self.request_keys[(name, ticket)] = (key, service_ms)
        deadline = self.clock.now() + deadline_ms
        arrival = RequestArrived(ticket, "GET desk", deadline, idempotent, key, repeat)
        self.fire(name, arrival)
        return ticket

    def publish(self, name: str, preset: str, text: str, author: str) -> int:
        """Publish a preset at a host and return the ticket."""
        ticket = next(self._tickets)
        self.hosts[name].host.presets.publish(ticket, preset, text, author, None)
        self._effects.run(name)
        return ticket

    def use(self, name: str, preset: str, author: str, base: int | None = None) -> int:
        """Put a preset in force at a host and return the ticket."""
        ticket = next(self._tickets)
        self.hosts[name].host.presets.use(ticket, preset, author, base)
        self._effects.run(name)
        return ticket

    # Outcomes

    def list_runs(self) -> list[RunRecord]:
        """Return all ended runs, and the open ones up to now."""
        now = self.clock.now()
        runs = []
        for worker in self.workers.values():
            runs.extend(worker.history)
            runs.extend(worker.list_open_runs(now))
        return runs


def make_spec(job: str, tasks: int = 1, run_ms: int = 3_000, cpu_milli: int = 1_000) -> JobSpec:
    """Return the specification of a job of small tasks."""
    return JobSpec(job, "team", tasks, Resources(cpu_milli, 1_000, 0), run_ms)
