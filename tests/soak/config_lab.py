"""Measures how long a version of the configuration takes to be in force at each host after trouble.

`python -m tests.soak.config_lab --trouble=silent --ms=300 --hosts=7 --seed=1` plays rounds of
trouble on the way to the store, each with a version, and prints one JSON line for each round. The
exit status is 1 if a host was late in any of them.
"""

import json
import signal
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any, Final
from urllib.parse import urlencode

import fire

from quetzallock_daemon.helpers import reactor, run_coroutine, run_in_background, sleep
from quetzallock_daemon.transport import build_request
from quetzallock_platform.records import encode_keyed_record
from quetzallock_platform.store import CONFIG_KEY, CONFIG_TOPIC
from quetzallock_standins.const import LOOPBACK

from .callers import make_steps
from .config_troubles import TROUBLES
from .course import Course, trace_calls
from .deployment import Host, Size, SoakDeployment

SUBMISSION_INTERVAL_MS: Final = 40
SETTLE_PAUSE_MS: Final = 3_000
MIN_ROUND_GAP_MS: Final = 3_500
MAX_ROUND_GAP_MS: Final = 5_500
IN_FORCE_TIMEOUT_MS: Final = 25_000
POLL_INTERVAL_MS: Final = 200
REPEAT_PAUSE_MS: Final = 1_000
BURST_PAUSE_MS: Final = 20
PROBE_INTERVAL_MS: Final = 100
CONFIG_APPLY_MS: Final = 2_000
"""A host in touch applies a version so long after its acknowledgement."""
CONTACT_MS: Final = 3_000
"""A host is in touch so long after the end of its trouble."""
_OK: Final = 200
_NOT_FOUND: Final = 404
_MS_PER_S: Final = 1_000


@dataclass(frozen=True, slots=True)
class Plan:
    """What each round does.

    Attributes:
        trouble: Key of `TROUBLES`.
        ms: How long it lasts.
        affected: Number of hosts that it affects.
        repeats: How often it occurs; the occurrences are `REPEAT_PAUSE_MS` apart.
        publish: When the version is published: in the `middle` of the last one or at its `end`.
        beside: What else happens as the version is published: `compact`, `restart` or nothing.
        versions: Number of versions in quick succession; the last one is measured.
        routes: Number of routes that each version adds, and the next one removes; with 0 the
            versions are those of the stand-in, which differ in their number only.
        moves: Whether cells move to other hosts before each round, which then have more idle
            connections to the store.
    """

    trouble: str
    ms: int
    affected: int
    repeats: int
    publish: str
    beside: str
    versions: int
    routes: int
    moves: bool


@dataclass(frozen=True, slots=True)
class Published:
    """The last version of a round; times are Unix times in ms.

    Attributes:
        version: Its number.
        acknowledged_at: When it was acknowledged.
        ended_at: When the trouble ended.
    """

    version: int
    acknowledged_at: float
    ended_at: float

    @property
    def due_at(self) -> float:
        """When all hosts have to apply it."""
        return max(self.acknowledged_at + CONFIG_APPLY_MS, self.ended_at + CONTACT_MS)


@dataclass(frozen=True, slots=True)
class Probe:
    """A caller's request for a route, and whether only an older version answers it so."""

    host: Host
    sent_at: float
    is_outdated: bool


class Lab:
    """Plays rounds on one deployment."""

    def __init__(self, deployment: SoakDeployment, plan: Plan, rng: Random, course: Course) -> None:
        self.deployment = deployment
        self._plan = plan
        self._rng = rng
        self._course = course
        self._version = 10
        self._appends = 0
        self._is_running = True
        self._probes: list[Probe] = []
        self.late_rounds = 0
        for host in deployment.hosts:
            trace_calls(host, course)

    async def play(self, rounds: int) -> None:
        """Play the rounds and print the result of each."""
        await self.deployment.prepare()
        run_in_background(self._submit_jobs())
        await sleep(reactor, SETTLE_PAUSE_MS)
        for number in range(rounds):
            if self._plan.moves:
                await self.deployment.call_standin("rebalance", str(self._rng.randrange(1_000)))
            await sleep(reactor, self._rng.randrange(MIN_ROUND_GAP_MS, MAX_ROUND_GAP_MS))
            published = await self._play_round()
            in_force = await self._watch(published)
            self._report(number, published, in_force)
        self._is_running = False

    async def _submit_jobs(self) -> None:
        count = 0
        while self._is_running:
            count += 1
            host = self.deployment.hosts[count % len(self.deployment.hosts)]
            body = {"spec": str(self._rng.randrange(50, 400)), "steps": make_steps(1)}
            address = f"{LOOPBACK}:{host.front}"
            run_in_background(self._submit(address, f"{count:016x}", body))
            await sleep(reactor, SUBMISSION_INTERVAL_MS)

    async def _submit(self, address: str, job: str, body: dict[str, Any]) -> None:
        await self.deployment.call(address, "POST", f"/jobs/{job}", body=body)

    def _report(self, number: int, published: Published, in_force: list[float]) -> None:
        """Print the result of a round; a host that was late in it by its log or a probe counts."""
        due_at = published.due_at
        outdated = [probe for probe in self._probes if probe.is_outdated]
        late = {probe.host.name for probe in outdated if probe.sent_at > due_at}
        hosts = zip(self.deployment.hosts, in_force, strict=True)
        late |= {host.name for host, at in hosts if not 0 < at <= due_at}
        self.late_rounds += bool(late)
        acknowledged_at = published.acknowledged_at
        result = {
            "round": number,
            "version": published.version,
            "ended_before_ack_ms": round(acknowledged_at - published.ended_at),
            "due_ms": round(due_at - acknowledged_at),
            "in_force_ms": [round(at - acknowledged_at) for at in in_force],
            "late": sorted(late),
            "probes": len(self._probes),
            "last_outdated_ms": round(
                max((probe.sent_at for probe in outdated), default=acknowledged_at)
                - acknowledged_at
            ),
        }
        self._course.add(json.dumps(result))
        print(json.dumps(result), flush=True)

    async def _play_round(self) -> Published:
        plan = self._plan
        hosts = self.deployment.hosts[: plan.affected]
        acknowledged_at = 0.0
        for repeat in range(plan.repeats):
            if repeat:
                await sleep(reactor, REPEAT_PAUSE_MS)
            is_middle = plan.publish == "middle" and repeat == plan.repeats - 1
            self._course.add(f"{plan.trouble} begins")
            async with TROUBLES[plan.trouble](self.deployment, hosts):
                await sleep(reactor, plan.ms // 2)
                if is_middle:
                    acknowledged_at = await self._publish()
                await sleep(reactor, plan.ms - plan.ms // 2)
            ended_at = self._course.add(f"{plan.trouble} ends")
        if plan.publish == "end":
            acknowledged_at = await self._publish()
        return Published(self._version, acknowledged_at, ended_at)

    async def _publish(self) -> float:
        if self._plan.beside == "compact":
            await self.deployment.call_standin("compact", CONFIG_TOPIC)
        if self._plan.beside == "restart":
            host = self.deployment.hosts[-1]
            host.stop(signal.SIGKILL)
            host.start()
        for _ in range(self._plan.versions - 1):
            await self._publish_one()
            await sleep(reactor, BURST_PAUSE_MS)
        return await self._publish_one()

    async def _publish_one(self) -> float:
        self._version += 1
        if self._plan.routes:
            await self._append_configuration()
        else:
            await self.deployment.call_standin("configuration", str(self._version))
        return self._course.add(f"version {self._version} acknowledged")

    async def _append_configuration(self) -> None:
        """Publish a version of many routes, which the stand-in has no command for."""
        routes = [
            {
                "name": f"r-{number}",
                "host": "desk.example",
                "pathPrefix": prefix,
                "kind": "non_idempotent",
                "timeoutMs": 3_000,
                "service": "pool",
                "maxAttempts": 2,
                "slackFactor": 1.5,
            }
            for number, prefix in enumerate(["/jobs/", *self._list_prefixes(self._version)])
        ]
        document = {"version": self._version, "routes": routes, "services": [], "limits": {}}
        record = encode_keyed_record(CONFIG_KEY, json.dumps(document).encode())
        self._appends += 1
        query = {"topic": CONFIG_TOPIC, "part": 0, "producer": "operator", "epoch": 0}
        path = f"/log-append?{urlencode({**query, 'sequence': self._appends})}"
        address = self.deployment.store_address
        request = build_request("POST", path, address, record)
        reply = await self.deployment.client.call(address, request, 3_000)
        assert reply.status == 200, reply

    def _list_prefixes(self, version: int) -> list[str]:
        """Return the prefixes of the routes that a version adds and the next one removes."""
        return [f"/added-{version}-{number}/" for number in range(self._plan.routes)]

    async def _watch(self, published: Published) -> list[float]:
        """Send probes until the version is due and in force everywhere, or for too long.

        Returns:
            When each host logged that the version is in force; 0 for not in time.
        """
        self._probes = []
        deadline = published.acknowledged_at + IN_FORCE_TIMEOUT_MS
        while True:
            for host in self.deployment.hosts:
                run_in_background(self._probe(host, published.version, _NOT_FOUND))
                run_in_background(self._probe(host, published.version - 1, _OK))
            await sleep(reactor, PROBE_INTERVAL_MS)
            now = time.time() * _MS_PER_S
            if now < published.due_at + POLL_INTERVAL_MS:
                continue
            times = [self._find_in_force(host) for host in self.deployment.hosts]
            if all(times) or now > deadline:
                await sleep(reactor, POLL_INTERVAL_MS)
                return times

    async def _probe(self, host: Host, version: int, outdated_status: int) -> None:
        """Ask for the first route that a version added; no route, no probe."""
        prefix = next(iter(self._list_prefixes(version)), None)
        if prefix is None:
            return
        sent_at = time.time() * _MS_PER_S
        reply = await self.deployment.call(f"{LOOPBACK}:{host.front}", "GET", prefix)
        if reply is not None:
            self._probes.append(Probe(host, sent_at, reply.status == outdated_status))

    def _find_in_force(self, host: Host) -> float:
        for line in host.read_log():
            is_event = line["event"] == "configuration is in force"
            if is_event and line["version"] >= self._version:
                return float(line["t"]) * _MS_PER_S
        return 0.0


def main(
    trouble: str = "open",
    ms: int = 300,
    hosts: int = 3,
    affected: int = 0,
    publish: str = "end",
    rounds: int = 4,
    seed: int = 1,
    repeats: int = 1,
    beside: str = "",
    versions: int = 1,
    routes: int = 0,
    moves: bool = False,
    keep: str = "",
) -> None:
    """Play ROUNDS rounds; AFFECTED 0 stands for all hosts; the course goes to the folder KEEP."""
    folder = Path(keep or tempfile.mkdtemp(prefix="config-lab-"))
    folder.mkdir(parents=True, exist_ok=True)
    plan = Plan(trouble, ms, affected or hosts, repeats, publish, beside, versions, routes, moves)
    course = Course()
    failures: list[str] = []

    async def run() -> None:
        deployment = SoakDeployment(reactor, folder, Size(hosts, workers=4))
        try:
            lab = Lab(deployment, plan, Random(seed), course)
            await lab.play(rounds)
            deployment.check_processes()
            result = {"late_rounds": lab.late_rounds, "findings": deployment.findings}
            print(json.dumps(result), flush=True)
            failures.extend(deployment.findings + ["late"] * lab.late_rounds)
        finally:
            deployment.close()
            reactor.stop()

    def fail(failure: Any) -> None:
        failures.append(failure.getTraceback())
        print(failure.getTraceback(), flush=True)

    reactor.callWhenRunning(lambda: run_coroutine(run()).addErrback(fail))
    reactor.run()
    (folder / "course.txt").write_text("\n".join(course.lines) + "\n")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    fire.Fire(main)
