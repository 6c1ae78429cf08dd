"""A Hypothesis state machine of callers, operators and faults, single and in pairs."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from tests.common import PRESET, FakeCluster, make_spec

from .faults import FAULTS
from .lasting import CalmLog, settle_and_check
from .outcomes import CallerRecord, find_request_violations, find_running_violations

HOSTS = st.sampled_from(["host-0", "host-1", "host-2"])
SHORT_MS = st.sampled_from([100, 300, 700, 1_500])
LONG_MS = st.sampled_from([1_000, 4_000, 9_000, 20_000])
NAMES = st.sampled_from(sorted(FAULTS))
TARGETS = st.integers(0, 11)


class FaultMachine(RuleBasedStateMachine):
    """Runs work under faults and checks all promises by their outcomes."""

    def __init__(self) -> None:
        super().__init__()
        self.callers = CallerRecord()
        self.cluster = FakeCluster()
        self.calm_log = CalmLog(0)
        self.switches: dict[str, int] = {}

    @initialize(seed=st.integers(0, 2**16))
    def settle(self, seed: int) -> None:
        self.cluster = FakeCluster(seed=seed)
        self.cluster.run(6_000)
        self.cluster.publish("host-0", "ordinary", PRESET, "ana")
        self.cluster.run(1_000)
        self.calm_log = CalmLog(self.cluster.clock.now())
        self.switches = {}

    # Work

    @rule(
        host=HOSTS,
        tasks=st.integers(1, 8),
        run_ms=st.integers(500, 15_000),
        cpu_milli=st.sampled_from([1_000, 2_000, 5_000]),
        wait_ms=SHORT_MS,
    )
    def submit(self, host: str, tasks: int, run_ms: int, cpu_milli: int, wait_ms: int) -> None:
        host = self.find_reachable(host)
        if not host:
            return
        self._submit(host, tasks, run_ms, cpu_milli)
        self.cluster.run(wait_ms)

    def _submit(self, host: str, tasks: int, run_ms: int, cpu_milli: int) -> None:
        job = f"job-{len(self.callers.jobs)}"
        self.callers.sizes[job] = tasks
        ticket = self.cluster.submit(host, make_spec(job, tasks, run_ms, cpu_milli))
        self.callers.jobs[job] = [(host, ticket)]

    @rule(host=HOSTS, data=st.data(), wait_ms=SHORT_MS)
    def cancel(self, host: str, data: st.DataObject, wait_ms: int) -> None:
        host = self.find_reachable(host)
        if not self.callers.jobs or not host:
            return
        self._cancel(host, data.draw(st.sampled_from(sorted(self.callers.jobs))))
        self.cluster.run(wait_ms)

    def _cancel(self, host: str, job: str) -> None:
        self.callers.cancelled.add(job)
        self.cluster.cancel(host, job)

    @rule(host=HOSTS, count=st.integers(1, 30), idempotent=st.booleans(), wait_ms=SHORT_MS)
    def request(self, host: str, count: int, idempotent: bool, wait_ms: int) -> None:
        host = self.find_reachable(host)
        if not host:
            return
        self._request(host, count, idempotent)
        self.cluster.run(wait_ms)

    def _request(self, host: str, count: int, idempotent: bool) -> None:
        for _ in range(count):
            key = f"key-{len(self.callers.requests)}"
            ticket = self.cluster.request(host, key, idempotent)
            self.callers.requests.append((host, ticket, key, idempotent))

    @rule(host=HOSTS, back=st.integers(0, 9))
    def repeat_request(self, host: str, back: int) -> None:
        host = self.find_reachable(host)
        if host:
            self._repeat(host, back)
            self.cluster.run(300)

    def _repeat(self, host: str, back: int) -> None:
        orders = [one for one in self.callers.requests if not one[3]]
        if not orders:
            return
        _, _, key, _ = orders[-1 - back % len(orders)]
        ticket = self.cluster.request(host, key, False, repeat=True)
        self.callers.requests.append((host, ticket, key, False))

    @rule(host=HOSTS, wait_ms=SHORT_MS)
    def use_preset(self, host: str, wait_ms: int) -> None:
        host = self.find_reachable(host)
        if host:
            self.cluster.use(host, "ordinary", "bea")
            self.cluster.run(wait_ms)

    def find_reachable(self, host: str) -> str:
        """Return `host` or another host that accepts requests, or an empty string."""
        for name in (host, *sorted(self.cluster.hosts)):
            fake = self.cluster.hosts.get(name)
            if fake is not None and not fake.is_frozen:
                return name
        return ""

    # Faults

    @rule(
        first=NAMES, second=NAMES, aim=TARGETS, other_aim=TARGETS, offset_ms=SHORT_MS, lasts=LONG_MS
    )
    def break_twice(
        self, first: str, second: str, aim: int, other_aim: int, offset_ms: int, lasts: int
    ) -> None:
        self._work(aim)
        self._begin(first, aim)
        self._work(other_aim)
        self.cluster.run(offset_ms)
        self._begin(second, other_aim)
        self._work(aim + 1)
        self.cluster.run(lasts)
        self._end(first, aim)
        self._work(aim)
        self.cluster.run(offset_ms)
        self._end(second, other_aim)

    def _work(self, aim: int) -> None:
        """Submit a job, cancel one, make requests, repeat one and switch the preset."""
        host = self.find_reachable(f"host-{aim % 3}")
        if not host:
            return
        self._submit(host, 1 + aim % 5, 800 * (1 + aim), 1_000 + 2_000 * (aim % 2))
        if aim % 4 == 0:
            self._cancel(host, sorted(self.callers.jobs)[aim % len(self.callers.jobs)])
        self._request(host, 4 + aim, idempotent=aim % 3 == 0)
        self._repeat(host, aim)
        self.cluster.use(host, "ordinary", f"operator-{aim}")

    @rule(name=NAMES, aim=TARGETS, wait_ms=SHORT_MS)
    def begin(self, name: str, aim: int, wait_ms: int) -> None:
        self._begin(name, aim)
        self.cluster.run(wait_ms)

    @rule(name=NAMES, aim=TARGETS, wait_ms=SHORT_MS)
    def end(self, name: str, aim: int, wait_ms: int) -> None:
        self._end(name, aim)
        self.cluster.run(wait_ms)

    def _begin(self, name: str, aim: int) -> None:
        self.calm_log.begin(name, self.cluster.clock.now())
        FAULTS.get(name).begin(self.cluster, aim)

    def _end(self, name: str, aim: int) -> None:
        FAULTS.get(name).end(self.cluster, aim)
        self.calm_log.end(name, self.cluster.clock.now())

    @rule(ms=LONG_MS)
    def heal(self, ms: int) -> None:
        self.cluster.heal()
        self.calm_log.heal(self.cluster.clock.now())
        self.cluster.run(ms)

    @invariant()
    def nothing_is_broken(self) -> None:
        assert not find_running_violations(self.cluster)
        assert not find_request_violations(self.cluster, self.callers)

    @invariant()
    def presets_never_revert(self) -> None:
        for name, fake in self.cluster.hosts.items():
            incarnation = f"{name}#{fake.host.core.identity.incarnation}"
            switched_at = fake.host.presets.state.switched_at
            assert switched_at >= self.switches.get(incarnation, -1)
            self.switches[incarnation] = switched_at

    def settle_and_check(self) -> list[str]:
        """End all faults, let the work finish, and return all violations."""
        return settle_and_check(self.cluster, self.callers, self.calm_log)

    def teardown(self) -> None:
        assert not self.settle_and_check()
