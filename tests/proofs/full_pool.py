"""Planned work on a full pool: workers leave in a row, hosts restart in a row under requests."""

from collections.abc import Sequence
from functools import partial
from typing import Final

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from quetzallock_core.workers.models import Resources
from quetzallock_standins.workers.models import WorkerShape
from tests.common import PRESET, FakeCluster, make_spec

from .lasting import (
    SETTLE_MS,
    CalmLog,
    find_lasting_violations,
    get_batch_cpu,
    submit_lasting,
)
from .outcomes import (
    CallerRecord,
    find_request_violations,
    find_running_violations,
    heal_and_settle,
)

WORKER_CPU: Final = (16_000, 12_000, 8_000, 16_000, 12_000, 8_000)
SPARE_COUNT: Final = 2
"""The last workers stand by, each as the successor of the next one that leaves."""
LASTING_CPU: Final = (1_000, 1_800, 2_600)
LEAD_MS: Final = 400
"""How long before the announcement of a leave the successor is up."""
LEAVE_INTERVAL_MS: Final = 700
DRAIN_MS: Final = 6_000
"""Time that a worker serves after it has announced that it leaves."""
HOST_INTERVAL_MS: Final = 2_000
MIN_HOST_DRAIN_MS: Final = 3_000
"""How long a draining host runs at least."""
MAX_HOST_DRAIN_MS: Final = 15_000
REQUEST_INTERVAL_MS: Final = 100
"""How often a channel without a request in flight carries the next one, which takes 200 ms."""
FILL_MS: Final = 3_000
SHORT_MS: Final = 800


class FullPool:
    """A cluster whose pool can be filled, and the planned work on it.

    Attributes:
        cut_off: Requests whose host stopped before it had answered.
    """

    def __init__(self, seed: int) -> None:
        shapes = {
            number: WorkerShape(Resources(cpu, 64_000, 1)) for number, cpu in enumerate(WORKER_CPU)
        }
        self.cluster = FakeCluster(workers=len(WORKER_CPU), seed=seed, shapes=shapes)
        self.callers = CallerRecord()
        self.cut_off: list[str] = []
        self._leaving: set[str] = set()
        self._draining: dict[str, tuple[int, list[tuple[str, int]]]] = {}
        for name in list(self.cluster.workers)[-SPARE_COUNT:]:
            self.cluster.remove_worker(name)
        self.cluster.run(6_000)
        self.cluster.publish("host-0", "ordinary", PRESET, "ana")
        self.cluster.run(1_000)
        self.calm_log = CalmLog(self.cluster.clock.now())

    def fill(self, sizes: Sequence[int]) -> None:
        """Submit long-running tasks until less than the largest of `sizes` is left of the pool."""
        left = self._compute_free()
        number = 0
        while left >= max(sizes):
            cpu = sizes[number % len(sizes)]
            tasks = min(3, left // cpu)
            submit_lasting(self.cluster, self.callers, self.pick_host(), tasks, cpu)
            left -= tasks * cpu
            number += 1
        self.cluster.run(FILL_MS)

    def _compute_free(self) -> int:
        names = set(self.cluster.workers) - self.cluster.removed_workers
        used = sum(
            self.cluster.specs[job].tasks * self.cluster.specs[job].demand.cpu_milli
            for job in self.callers.lasting
        )
        return sum(get_batch_cpu(self.cluster, name) for name in names) - used

    def submit_short(self, tasks: int, cpu_milli: int) -> None:
        """Submit short tasks, which take what is free."""
        job = f"job-{len(self.callers.jobs)}"
        host = self.pick_host()
        ticket = self.cluster.submit(host, make_spec(job, tasks, SHORT_MS, cpu_milli))
        self.callers.sizes[job] = tasks
        self.callers.jobs[job] = [(host, ticket)]

    def pick_host(self) -> str:
        """Return a host that does not drain."""
        return next(name for name in self.cluster.hosts if name not in self._draining)

    def leave_in_row(self, count: int) -> None:
        """Schedule that workers leave in a row, each after a successor has come up."""
        names = [name for name in self.cluster.workers if name not in self.cluster.removed_workers]
        staying = [name for name in names if name not in self._leaving]
        for number, name in enumerate(staying[: min(count, SPARE_COUNT)]):
            at = number * LEAVE_INTERVAL_MS
            self.cluster.schedule(at, self._start_spare)
            self.cluster.schedule(at + LEAD_MS, partial(self._announce, name))
            self.cluster.schedule(at + LEAD_MS + DRAIN_MS, partial(self._remove, name))

    def _start_spare(self) -> None:
        if self.cluster.removed_workers:
            self.cluster.restore_worker(min(self.cluster.removed_workers))
        self._list_workers()

    def _announce(self, name: str) -> None:
        self._leaving.add(name)
        self._list_workers()

    def _remove(self, name: str) -> None:
        self._leaving.discard(name)
        self.cluster.remove_worker(name)
        self._list_workers()

    def _list_workers(self) -> None:
        self.cluster.send_worker_list_to_all(sorted(self._leaving))

    def roll_hosts(self, first: int) -> None:
        """Let all hosts stop in a row and start again; callers use their channels to the end."""
        names = sorted(self.cluster.hosts)
        for number in range(len(names)):
            name = names[(first + number) % len(names)]
            self.cluster.hosts[name].host.leave()
            self._draining[name] = (self.cluster.clock.now(), [])
            self._run(HOST_INTERVAL_MS)
            while len(self._draining) == len(names) - 1:
                self._run(REQUEST_INTERVAL_MS)
        while self._draining:
            self._run(REQUEST_INTERVAL_MS)

    def _run(self, ms: int) -> None:
        for _ in range(ms // REQUEST_INTERVAL_MS):
            for name in list(self._draining):
                self._stop_if_drained(name)
            for name in self._draining:
                if not self._list_unanswered(name):
                    self._request(name)
            self.cluster.run(REQUEST_INTERVAL_MS)

    def _request(self, name: str) -> None:
        """Send the next request on the channel to a draining host."""
        key = f"key-{len(self.callers.requests)}"
        ticket = self.cluster.request(name, key)
        self._draining[name][1].append((key, ticket))
        self.callers.requests.append((name, ticket, key, False))

    def _stop_if_drained(self, name: str) -> None:
        since, _tickets = self._draining[name]
        drained_ms = self.cluster.clock.now() - since
        if not (self.is_drained(name, drained_ms) or drained_ms >= MAX_HOST_DRAIN_MS):
            return
        self.cut_off += self._list_unanswered(name)
        del self._draining[name]
        self.cluster.kill_host(name)
        self.cluster.start_host(name)
        self._list_workers()

    def is_drained(self, name: str, drained_ms: int) -> bool:
        """Return whether a draining host may end."""
        is_idle = not self._list_unanswered(name)
        has_handed_over = self.cluster.hosts[name].host.has_handed_over
        return is_idle and has_handed_over and drained_ms >= MIN_HOST_DRAIN_MS

    def _list_unanswered(self, name: str) -> list[str]:
        """Return the keys of the requests that a draining host has not answered."""
        _since, tickets = self._draining[name]
        return [key for key, ticket in tickets if (name, ticket) not in self.cluster.answers]

    def find_violations(self) -> list[str]:
        """Return what is wrong at any time."""
        return [
            *find_running_violations(self.cluster),
            *find_request_violations(self.cluster, self.callers),
            *(f"{key} was cut off" for key in self.cut_off),
        ]

    def settle(self) -> list[str]:
        """Let the work finish and return what was wrong with it."""
        while self._draining:
            self._run(REQUEST_INTERVAL_MS)
        found = heal_and_settle(self.cluster, self.callers)
        self.cluster.run(SETTLE_MS)
        return found

    def find_lasting_violations(self) -> list[str]:
        """Return the long-running tasks that did not run again in time, at any time so far."""
        return find_lasting_violations(self.cluster, self.callers, self.calm_log)


class FullPoolMachine(RuleBasedStateMachine):
    """Planned work in any order on a pool that is filled again and again."""

    pool: FullPool

    @initialize(seed=st.integers(0, 2**16), sizes=st.permutations(LASTING_CPU))
    def settle(self, seed: int, sizes: list[int]) -> None:
        self.pool = FullPool(seed)
        self.pool.fill(sizes)

    @rule(sizes=st.permutations(LASTING_CPU))
    def fill(self, sizes: list[int]) -> None:
        self.pool.fill(sizes)

    @rule(tasks=st.integers(1, 6), cpu_milli=st.sampled_from([500, 1_000, 2_000]))
    def submit_short(self, tasks: int, cpu_milli: int) -> None:
        self.pool.submit_short(tasks, cpu_milli)
        self.pool.cluster.run(REQUEST_INTERVAL_MS)

    @rule(count=st.integers(1, SPARE_COUNT), wait_ms=st.sampled_from([500, 4_000, 9_000]))
    def leave_in_row(self, count: int, wait_ms: int) -> None:
        self.pool.leave_in_row(count)
        self.pool.cluster.run(wait_ms)

    @rule(first=st.integers(0, 2))
    def roll_hosts(self, first: int) -> None:
        self.pool.roll_hosts(first)

    @invariant()
    def nothing_is_broken(self) -> None:
        if hasattr(self, "pool"):
            assert not self.pool.find_violations()

    def teardown(self) -> None:
        if hasattr(self, "pool"):
            assert not self.pool.settle()


class LastingPoolMachine(FullPoolMachine):
    """The same; long-running tasks must run again in time as well."""

    def teardown(self) -> None:
        super().teardown()
        if hasattr(self, "pool"):
            assert not self.pool.find_lasting_violations()
