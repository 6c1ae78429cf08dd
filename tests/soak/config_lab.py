"""Measures how long a version of the configuration takes to be in force at each host after trouble.

`python -m tests.soak.config_lab --trouble=silent --ms=300 --hosts=7 --seed=1` plays rounds of
trouble on the way to the store, each with a version, and prints one JSON line for each round.
"""

import json
import signal
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from dataclasses import dataclass, field
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
from .deployment import Host, SoakDeployment

SUBMISSION_INTERVAL_MS: Final = 40
SETTLE_PAUSE_MS: Final = 3_000
MIN_ROUND_GAP_MS: Final = 3_500
MAX_ROUND_GAP_MS: Final = 5_500
IN_FORCE_TIMEOUT_MS: Final = 25_000
POLL_INTERVAL_MS: Final = 200
REPEAT_PAUSE_MS: Final = 1_000
BURST_PAUSE_MS: Final = 20
_MS_PER_S: Final = 1_000

Trouble = Callable[["Lab", list[Host]], AbstractAsyncContextManager[None]]
TROUBLES: dict[str, Trouble] = {}


def register(name: str) -> Callable[[Trouble], Trouble]:
    """Register a kind of trouble, which lasts as long as its context."""

    def add(trouble: Trouble) -> Trouble:
        TROUBLES[name] = trouble
        return trouble

    return add


def _register_proxy_mode(mode: str) -> None:
    @register(mode)
    @asynccontextmanager
    async def set_mode(_lab: "Lab", hosts: list[Host]) -> AsyncIterator[None]:
        for host in hosts:
            host.store_proxy.set_mode(mode, 400)
        yield
        for host in hosts:
            host.store_proxy.set_mode("open")


def _register_store_mode(mode: str) -> None:
    @register(f"store-{mode}")
    @asynccontextmanager
    async def set_mode(lab: "Lab", _hosts: list[Host]) -> AsyncIterator[None]:
        await lab.deployment.call_standin("mode", mode)
        yield
        await lab.deployment.call_standin("mode", "up")


for _mode in ("open", "silent", "drop_answers", "cut", "slow", "reset"):
    _register_proxy_mode(_mode)
for _mode in ("mute", "down", "slow", "lossy"):
    _register_store_mode(_mode)


@register("pause")
@asynccontextmanager
async def pause_hosts(_lab: "Lab", hosts: list[Host]) -> AsyncIterator[None]:
    """Suspend hosts and resume them."""
    for host in hosts:
        host.send_signal(signal.SIGSTOP)
    yield
    for host in hosts:
        host.send_signal(signal.SIGCONT)


@register("kill")
@asynccontextmanager
async def kill_hosts(_lab: "Lab", hosts: list[Host]) -> AsyncIterator[None]:
    """Kill hosts and restart them."""
    for host in hosts:
        host.send_signal(signal.SIGKILL)
    yield
    for host in hosts:
        host.start()


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
        routes: Number of routes of a version; 0 for the one that the stand-in publishes.
    """

    trouble: str
    ms: int
    affected: int
    repeats: int
    publish: str
    beside: str
    versions: int
    routes: int


@dataclass(slots=True)
class Course:
    """What happened in a run; times are Unix times in ms.

    Attributes:
        lines: Time of day and text of each event.
    """

    lines: list[str] = field(default_factory=list)

    def add(self, text: str) -> float:
        """Add an event that happens now, and return the time."""
        now = time.time() * _MS_PER_S
        self.lines.append(f"{now / _MS_PER_S:.3f} {text}")
        return now


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
        for host in deployment.hosts:
            _trace_calls(host, course)

    async def play(self, rounds: int) -> None:
        """Play the rounds and print the result of each."""
        await self.deployment.prepare()
        run_in_background(self._submit_jobs())
        await sleep(reactor, SETTLE_PAUSE_MS)
        for number in range(rounds):
            await sleep(reactor, self._rng.randrange(MIN_ROUND_GAP_MS, MAX_ROUND_GAP_MS))
            acknowledged_at, ended_at = await self._play_round()
            in_force = await self._wait_in_force()
            result = {
                "round": number,
                "version": self._version,
                "ended_before_ack_ms": round(acknowledged_at - ended_at),
                "in_force_ms": [round(at - acknowledged_at) for at in in_force],
            }
            self._course.add(json.dumps(result))
            print(json.dumps(result), flush=True)
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

    async def _play_round(self) -> tuple[float, float]:
        """Return when the last version was acknowledged and when the trouble ended."""
        plan = self._plan
        hosts = self.deployment.hosts[: plan.affected]
        acknowledged_at = 0.0
        for repeat in range(plan.repeats):
            if repeat:
                await sleep(reactor, REPEAT_PAUSE_MS)
            is_middle = plan.publish == "middle" and repeat == plan.repeats - 1
            self._course.add(f"{plan.trouble} begins")
            async with TROUBLES[plan.trouble](self, hosts):
                await sleep(reactor, plan.ms // 2)
                if is_middle:
                    acknowledged_at = await self._publish()
                await sleep(reactor, plan.ms - plan.ms // 2)
            ended_at = self._course.add(f"{plan.trouble} ends")
        if plan.publish == "end":
            acknowledged_at = await self._publish()
        return acknowledged_at, ended_at

    async def _publish(self) -> float:
        if self._plan.beside == "compact":
            await self.deployment.call_standin("compact", CONFIG_TOPIC)
        if self._plan.beside == "restart":
            host = self.deployment.hosts[-1]
            host.send_signal(signal.SIGKILL)
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
                "pathPrefix": f"/added-{number}/" if number else "/jobs/",
                "kind": "non_idempotent",
                "timeoutMs": 3_000,
                "service": "pool",
                "maxAttempts": 2,
                "slackFactor": 1.5,
            }
            for number in range(self._plan.routes)
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

    async def _wait_in_force(self) -> list[float]:
        """Return when each host logged that the newest version is in force; 0 for not in time."""
        deadline = time.monotonic() + IN_FORCE_TIMEOUT_MS / _MS_PER_S
        while True:
            times = [self._find_in_force(host) for host in self.deployment.hosts]
            if all(times) or time.monotonic() > deadline:
                return times
            await sleep(reactor, POLL_INTERVAL_MS)

    def _find_in_force(self, host: Host) -> float:
        for line in host.read_log():
            is_event = line["event"] == "configuration is in force"
            if is_event and line["version"] >= self._version:
                return float(line["t"]) * _MS_PER_S
        return 0.0


def _trace_calls(host: Host, course: Course) -> None:
    """Add each call of a host to the store, and the end of its connections, to the course."""
    proxy = host.store_proxy
    add_connection = proxy.add_connection
    count = 0

    def add_traced(connection: Any) -> None:
        nonlocal count
        count += 1
        label = f"{host.name} connection {count}"
        receive, forward, lose = (
            connection.dataReceived,
            connection.forward_answer,
            connection.connectionLost,
        )

        def receive_traced(data: bytes) -> None:
            if data.startswith((b"GET ", b"POST ")):
                course.add(f"{label} sends {data.split(b' ')[1].decode()}")
            receive(data)

        def forward_traced(data: bytes) -> None:
            course.add(f"{label} {'loses' if connection._is_broken else 'gets'} an answer")
            forward(data)

        def lose_traced(*reason: Any) -> None:
            course.add(f"{label} is closed")
            lose(*reason)

        connection.dataReceived = receive_traced
        connection.forward_answer = forward_traced
        connection.connectionLost = lose_traced
        add_connection(connection)

    # The proxy is that of the soak, which needs no trace.
    proxy.add_connection = add_traced  # type: ignore[method-assign]


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
    keep: str = "",
) -> None:
    """Play ROUNDS rounds; AFFECTED 0 stands for all hosts; the course goes to the folder KEEP."""
    folder = Path(keep or tempfile.mkdtemp(prefix="config-lab-"))
    folder.mkdir(parents=True, exist_ok=True)
    plan = Plan(trouble, ms, affected or hosts, repeats, publish, beside, versions, routes)
    course = Course()

    async def run() -> None:
        deployment = SoakDeployment(reactor, folder, hosts, workers=4)
        try:
            await Lab(deployment, plan, Random(seed), course).play(rounds)
            if not plan.beside and trouble != "kill":
                deployment.check_processes()
            print(json.dumps({"findings": deployment.findings}), flush=True)
        finally:
            deployment.close()
            reactor.stop()

    reactor.callWhenRunning(lambda: run_coroutine(run()).addErrback(print))
    reactor.run()
    (folder / "course.txt").write_text("\n".join(course.lines) + "\n")


if __name__ == "__main__":
    fire.Fire(main)
