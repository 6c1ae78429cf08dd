"""The processes of one soak: the platform stand-in, entry hosts and the proxies between them."""

import json
import signal
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

from quetzallock_core.cells.const import MAX_LEASE_MS
from quetzallock_daemon.helpers import sleep
from quetzallock_daemon.transport import CallFailedError, HttpClient, Reply, build_request
from quetzallock_standins.const import LOOPBACK

from ..platform.processes import EntryHost
from .proxy import Proxy

Span = tuple[float, float]

READY_TIMEOUT_MS: Final = 20_000
CALL_TIMEOUT_MS: Final = 3_000
DISTURBING_SIGNALS: Final = (signal.SIGKILL, signal.SIGTERM, signal.SIGSTOP)
_POLL_INTERVAL_MS: Final = 100


def now_ms() -> float:
    """Return the monotonic time in ms, which all processes of the machine share."""
    return time.monotonic() * 1_000


class Disturbances:
    """Begin and end of each time that one thing is disturbed; infinity until it has ended."""

    def __init__(self) -> None:
        self.spans: list[Span] = []

    def begin(self) -> None:
        """Record that a disturbance begins, unless one lasts."""
        if not self._is_open():
            self.spans.append((now_ms(), float("inf")))

    def end(self) -> None:
        """Record that the disturbance ends, if one lasts."""
        if self._is_open():
            self.spans[-1] = (self.spans[-1][0], now_ms())

    def add(self, began_at: float) -> None:
        """Record a disturbance that ends now, beside one that may last."""
        self.spans.insert(0, (began_at, now_ms()))

    def _is_open(self) -> bool:
        return bool(self.spans) and self.spans[-1][1] == float("inf")


class Host(EntryHost):
    """An entry host that reaches the store through its own proxy.

    Attributes:
        boot: How many times its process was started.
        process_disturbances: When its process was stopped, suspended or killed until it ran again.
        link_disturbances: When its connections to the store had a faulty mode.
        has_fault: A fault is being injected into its process; no other may be.
        was_stopped: The test ended the process, or asked it to stop.
    """

    def __init__(self, name: str, folder: Path, proxy: Proxy, bounds: str = "") -> None:
        self.store_proxy = proxy
        self.has_fault = False
        self.was_stopped = True
        self.boot = 0
        self.process_disturbances = Disturbances()
        self.link_disturbances = Disturbances()
        super().__init__(name, folder, proxy.address, bounds=bounds)

    def start(self) -> None:
        """Start the process, which must not end by itself."""
        super().start()
        self.was_stopped = False
        self.boot += 1
        self.process_disturbances.begin()
        self.process_disturbances.end()

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.was_stopped = self.was_stopped or signal_number in (signal.SIGKILL, signal.SIGTERM)
            if signal_number in DISTURBING_SIGNALS:
                self.process_disturbances.begin()
            self.process.send_signal(signal_number)
            if signal_number == signal.SIGCONT:
                self.process_disturbances.end()

    def set_store_link(self, mode: str, delay_ms: int = 0) -> None:
        """Set the mode of its connections to the store."""
        if mode != "open":
            self.link_disturbances.begin()
        self.store_proxy.set_mode(mode, delay_ms)
        if mode == "open":
            self.link_disturbances.end()

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None


@dataclass(frozen=True, slots=True)
class Size:
    """What a course is made for.

    Attributes:
        hosts: Number of hosts.
        workers: Number of workers at the start.
        max_lease_ms: Longest lease that they grant.
        uptime_ms: Their clocks at the start.
    """

    hosts: int
    workers: int
    max_lease_ms: int = MAX_LEASE_MS
    uptime_ms: int = 1_000


class SoakDeployment:
    """The processes, proxies and HTTP client of one seed; `close` ends the processes.

    Attributes:
        store_disturbances: When the store did not serve all hosts as usual.
        prefixes: Path prefixes of each version of the configuration that was published by
            `publish_configuration`, oldest first.
    """

    def __init__(self, reactor: Any, folder: Path, size: Size) -> None:
        self.reactor = reactor
        self.client = HttpClient(reactor, Counter())
        self.findings: list[str] = []
        self.store_disturbances = Disturbances()
        self.prefixes: list[tuple[str, ...]] = []
        command = [sys.executable, "-m", "quetzallock_platform_standin.server"]
        self._standin = subprocess.Popen(
            [
                *command,
                f"--workers={size.workers}",
                f"--max_lease_ms={size.max_lease_ms}",
                f"--uptime_ms={size.uptime_ms}",
            ],
            stdout=subprocess.PIPE,
            cwd=folder,
        )
        assert self._standin.stdout is not None
        self.store_address: str = json.loads(self._standin.stdout.readline())["store"]
        self.worker_proxies: dict[str, Proxy] = {}
        bounds = f"holdMaxMs = {size.max_lease_ms}\n"
        self.hosts = [
            Host(f"host{number}", folder, Proxy(reactor, self.store_address), bounds)
            for number in range(size.hosts)
        ]

    @property
    def standin_pid(self) -> int:
        """Process id of the platform stand-in."""
        return self._standin.pid

    async def prepare(self) -> None:
        """Advertise a proxy for each worker and wait until all hosts are ready."""
        for worker, address in (await self.call_standin("workers"))["workers"].items():
            await self._advertise(worker, address)
        for host in self.hosts:
            await self.wait_ready(host)

    async def _advertise(self, worker: str, address: str) -> None:
        proxy = Proxy(self.reactor, address)
        self.worker_proxies[worker] = proxy
        await self.call_standin("advertise", worker, proxy.address)

    async def add_worker(self, worker: str, cpu: int) -> None:
        """Start another worker with a processor of `cpu` thousandths of a core."""
        await self.call_standin("add", worker, str(cpu))
        answer = await self.call_standin("listen", worker)
        await self._advertise(worker, answer["address"])

    async def remove_worker(self, worker: str) -> None:
        """Let a worker leave for good; its address refuses connections from then on."""
        await self.call_standin("leave", worker)
        self.worker_proxies.pop(worker).close()

    async def wait_ready(self, host: Host) -> None:
        """Wait until a host reports ready; add a finding if it does not in time."""
        for _ in range(READY_TIMEOUT_MS // _POLL_INTERVAL_MS):
            reply = await self.call(f"{LOOPBACK}:{host.ready}", "GET", "/readyz", 500)
            if reply is not None and reply.status == 200:
                return
            await sleep(self.reactor, _POLL_INTERVAL_MS)
        self.findings.append(f"{host.name} is not ready after {READY_TIMEOUT_MS} ms")

    async def call(
        self,
        address: str,
        method: str,
        path: str,
        timeout_ms: int = CALL_TIMEOUT_MS,
        body: Any = None,
    ) -> Reply | None:
        """Make an HTTP call; return None without a complete answer in time."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = {"X-Deadline-Ms": str(timeout_ms)}
        request = build_request(method, path, "desk.example", data, headers)
        try:
            return await self.client.call(address, request, timeout_ms)
        except CallFailedError:
            return None

    async def call_standin(self, *words: str) -> dict[str, Any]:
        """Send a control command to the platform stand-in and return its answer."""
        reply = await self.call(self.store_address, "GET", f"/standin/{'/'.join(words)}", 5_000)
        assert reply is not None, "no answer from the platform stand-in"
        answer: dict[str, Any] = json.loads(reply.body)
        return answer

    async def set_store_mode(self, mode: str) -> None:
        """Set the mode of the store."""
        if mode != "up":
            self.store_disturbances.begin()
        await self.call_standin("mode", mode)
        if mode == "up":
            self.store_disturbances.end()

    async def publish_configuration(self) -> int:
        """Publish the next version of the configuration and return it."""
        answer = await self.call_standin("configuration", "next")
        self.prefixes.append(tuple(answer["configuration"]["prefixes"]))
        return int(answer["configuration"]["version"])

    def list_disturbances(self) -> dict[str, list[Span]]:
        """Return, by host, when its process, its connections to the store or the store had trouble.

        Changes of the settings, compactions and rebalances are none: a host serves on through them.
        """
        return {
            host.name: [
                *host.process_disturbances.spans,
                *host.link_disturbances.spans,
                *self.store_disturbances.spans,
            ]
            for host in self.hosts
        }

    def check_processes(self) -> None:
        """Add a finding for each host that exited by itself or logged an error."""
        for host in self.hosts:
            if not host.is_running and not host.was_stopped:
                code = host.process.returncode if host.process else None
                self.findings.append(f"{host.name} exited by itself with code {code}")
            for line in host.read_text().splitlines():
                if "Traceback" in line or '"level":"error"' in line:
                    self.findings.append(f"{host.name} logged: {line[:600]}")

    def close(self) -> None:
        """Kill all processes of this deployment."""
        for host in self.hosts:
            if host.is_running and host.process is not None:
                host.process.kill()
                host.process.wait()
        self._standin.kill()
        self._standin.wait()
