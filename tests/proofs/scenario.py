"""A scenario of work with one fault, and the check of each promise by its outcome."""

from dataclasses import dataclass, field

from quetzallock_standins.workers.models import WorkerShape
from tests.common import CAPACITY, PRESET, FakeCluster, make_spec
from tests.effects import Execution

from .faults import FAULTS
from .outcomes import (
    SETTLE_TIMEOUT_MS,
    CallerRecord,
    find_final_violations,
    find_request_violations,
    find_resume_violations,
    find_running_violations,
)

IN_FORCE_LIMIT_MS = 4_000
LEAVING_GRACE_MS = 4_000
DRAIN_TIMEOUT_MS = 15_000
PEAK = 'name = "peak"\n[batch]\nreserve_percent = 60\n'


@dataclass(slots=True)
class Scenario:
    """A scenario on one cluster.

    Attributes:
        target: Number that selects the host or worker of the fault.
        violations: Violations found, by promise.
        switches: Newest offset of a preset switch, by process of an entry host.
    """

    cluster: FakeCluster
    fault: str
    target: int
    callers: CallerRecord = field(default_factory=CallerRecord)
    violations: dict[str, list[str]] = field(default_factory=dict)
    switches: dict[str, int] = field(default_factory=dict)

    def add_violations(self, promise: str, found: list[str]) -> None:
        """Add violations of a promise."""
        self.violations.setdefault(promise, []).extend(found)

    def run(self) -> None:
        """Run the whole scenario."""
        self._prepare()
        self._begin_work()
        FAULTS.get(self.fault).begin(self.cluster, self.target)
        self._run_with_requests(8_000)
        self._switch_presets()
        self._replace_host()
        self._drain_worker()
        FAULTS.get(self.fault).end(self.cluster, self.target)
        self._run_with_requests(3_000)
        self._stop_host()
        self._finish()

    def _prepare(self) -> None:
        cluster = self.cluster
        cluster.run(6_000)
        cluster.publish("host-0", "ordinary", PRESET, "ana")
        cluster.run(1_000)
        cluster.publish("host-0", "peak", PEAK, "ana")
        cluster.use("host-0", "ordinary", "ana")
        cluster.run(2_000)

    def _begin_work(self) -> None:
        for index in range(6):
            host = self._pick_running_host(index)
            job = f"job-{index}"
            self.callers.sizes[job] = 5
            ticket = self.cluster.submit(host, make_spec(job, 5, 9_000 + 3_000 * index, 2_500))
            self.callers.jobs[job] = [(host, ticket)]
        self._run_with_requests(2_000)
        self.cluster.answers_to_break = 12

    def _run_with_requests(self, ms: int) -> None:
        """Advance the time while making requests and repeating non-idempotent ones."""
        for _ in range(ms // 500):
            for index in range(3):
                host = self._pick_running_host(index)
                if not host:
                    continue
                for _ in range(3):
                    key = f"key-{len(self.callers.requests)}"
                    self._request(host, key, len(self.callers.requests) % 3 == 0, False)
                orders = [request for request in self.callers.requests if not request[3]]
                self._request(host, orders[-1 - 5 * index % len(orders)][2], False, True)
            self.cluster.run(500)
            self._check_presets()

    def _request(self, host: str, key: str, idempotent: bool, repeat: bool) -> None:
        ticket = self.cluster.request(host, key, idempotent, repeat=repeat)
        self.callers.requests.append((host, ticket, key, idempotent))

    def _check_presets(self) -> None:
        for name, fake in self.cluster.hosts.items():
            process = fake.host.core.identity.holder
            switched_at = fake.host.presets.state.switched_at
            if switched_at < self.switches.get(process, -1):
                self.add_violations("preset", [f"{name} went back to offset {switched_at}"])
            self.switches[process] = switched_at

    def _switch_presets(self) -> None:
        """Race two operators: at most one may win, whose preset must be in force in time."""
        hosts = [host for host in (self._pick_running_host(1), self._pick_running_host(2)) if host]
        base = max(self.switches.values())
        tickets = [
            (host, self.cluster.use(host, "peak", f"operator-{index}", base))
            for index, host in enumerate(hosts)
        ]
        done = [ticket for ticket in tickets if self._wait_for_outcome(ticket, 4_500) == "done"]
        if len(done) > 1:
            self.add_violations("preset", ["both operators received the outcome done"])
        if not done:
            return
        offset = self.cluster.answers[done[0]].switched_at
        self.cluster.run(IN_FORCE_LIMIT_MS)
        self._check_presets()
        behind = [name for name in self._list_reachable() if self.get_switch_offset(name) < offset]
        if behind:
            self.add_violations("preset", [f"the switch at {offset} is not in force on {behind}"])

    def _replace_host(self) -> None:
        """Replace a host; the new one must apply the preset in force in time."""
        reachable = self._list_reachable()
        if len(reachable) < 2:
            return
        known = min(self.get_switch_offset(name) for name in reachable)
        name = reachable[0]
        self.cluster.kill_host(name)
        self.cluster.start_host(name)
        self._run_with_requests(IN_FORCE_LIMIT_MS)
        if name in self.cluster.hosts and self.get_switch_offset(name) < known:
            self.add_violations("preset", [f"{name} does not apply the switch at {known}"])

    def get_switch_offset(self, name: str) -> int:
        """Return the offset of the preset switch that a host applies."""
        return self.cluster.hosts[name].host.presets.state.switched_at

    def _wait_for_outcome(self, ticket: tuple[str, int], limit_ms: int) -> str:
        self.cluster.run_until(lambda: ticket in self.cluster.answers, limit_ms)
        answer = self.cluster.answers.get(ticket)
        return answer.outcome if answer is not None else "none"

    def _drain_worker(self) -> None:
        """Mark one worker as leaving; no new work may reach it after a grace period."""
        # Neither the target of the fault nor the worker that may fail all tasks.
        excluded = {f"worker-{self.target % 4}", "worker-3"}
        workers = [worker for name, worker in self.cluster.workers.items() if name not in excluded]
        leaving = max(workers, key=lambda worker: worker.count_running()).name
        self.cluster.send_worker_list_to_all(leaving=[leaving])
        self._run_with_requests(LEAVING_GRACE_MS)
        since = self.cluster.clock.now()
        self._run_with_requests(4_000)
        self.add_violations("leaving", self._find_late_work(leaving, since))
        self.cluster.send_worker_list_to_all()

    def _find_late_work(self, worker: str, since: int) -> list[str]:
        requests = [
            f"{execution.key} reached {worker}"
            for execution in self.cluster.executions
            if _is_late(execution, worker, since)
        ]
        starts = [
            f"{run.task} started on {worker}"
            for run in self.cluster.list_runs()
            if run.worker == worker and run.started_at > since
        ]
        return requests + starts

    def _stop_host(self) -> None:
        """Stop one host gracefully; all its callers must receive an answer."""
        name = self._pick_running_host(2)
        if not name:
            return
        before = len(self.callers.requests)
        for index in range(8):
            self._request(name, f"last-{index}", False, False)
        host = self.cluster.hosts[name].host
        host.leave()
        self.stop_after_drain(name)
        unanswered = [
            key
            for caller_host, ticket, key, _ in self.callers.requests[before:]
            if (caller_host, ticket) not in self.cluster.answers
        ]
        self.add_violations("stop", [f"{key} was cut off" for key in unanswered])
        self.cluster.start_host(name)

    def stop_after_drain(self, name: str) -> None:
        """Stop a host once it has no open requests, or after the drain timeout."""
        host = self.cluster.hosts[name].host
        self.cluster.run_until(lambda: host.router.open_requests == 0, DRAIN_TIMEOUT_MS)
        self.cluster.run(1_000)
        self.cluster.run_until(lambda: host.has_handed_over, DRAIN_TIMEOUT_MS)
        self.cluster.kill_host(name)

    def _finish(self) -> None:
        self.cluster.heal()
        self.cluster.run_until(
            lambda: not find_final_violations(self.cluster, self.callers), SETTLE_TIMEOUT_MS
        )
        for found in find_running_violations(self.cluster):
            is_overload = "over-committed" in found or "requests at once" in found
            self.add_violations("room" if is_overload else "one place", [found])
        self.add_violations("resume", find_resume_violations(self.cluster))
        self.add_violations("resume", find_final_violations(self.cluster, self.callers))
        for found in find_request_violations(self.cluster, self.callers):
            promise = "orders" if "times" in found else "whole"
            self.add_violations("not run" if "not run" in found else promise, [found])

    def _pick_running_host(self, index: int) -> str:
        names = sorted(self.cluster.hosts)
        live = [name for name in names if not self.cluster.hosts[name].is_frozen]
        return live[index % len(live)] if live else ""

    def _list_reachable(self) -> list[str]:
        """Return the hosts that run and are not cut off from their peers."""
        return [
            name
            for name, fake in self.cluster.hosts.items()
            if not fake.is_frozen and name not in self.cluster.isolated_hosts
        ]


def _is_late(execution: Execution, worker: str, since: int) -> bool:
    return execution.worker == worker and execution.started_at > since


def run_scenario(fault: str, seed: int) -> dict[str, list[str]]:
    """Run the scenario with a fault and return the violations by promise."""
    shapes = {3: WorkerShape(CAPACITY, fails_all=True)} if fault == "worker fails all" else None
    scenario = Scenario(FakeCluster(seed=seed, shapes=shapes), fault, seed)
    scenario.run()
    return {promise: found for promise, found in scenario.violations.items() if found}
