"""The processes of one soak: a stand-in of the platform, entry hosts, and proxies between them."""

import json
import signal
import subprocess
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

from quetzallock_daemon.helpers import sleep
from quetzallock_daemon.transport import CallFailedError, HttpClient, Reply, build_request
from quetzallock_standins.const import LOOPBACK

from ..platform.processes import EntryHost
from .proxy import Link

READY_MS: Final = 20_000
CALL_MS: Final = 3_000
_POLL_MS: Final = 100


def now_ms() -> float:
    """Return the steady time in ms that all processes of this machine share."""
    return time.monotonic() * 1_000


class Host(EntryHost):
    """An entry host that reaches the store through a proxy of its own."""

    def __init__(self, name: str, folder: Path, link: Link) -> None:
        self.link = link
        self.is_troubled = False
        self.ended_by_us = True
        super().__init__(name, folder, link.address)

    def start(self) -> None:
        """Start the process."""
        super().start()
        self.ended_by_us = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that was started here."""
        if self.process is not None and self.process.poll() is None:
            self.ended_by_us = self.ended_by_us or number in (signal.SIGKILL, signal.SIGTERM)
            self.process.send_signal(number)

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process is not None and self.process.poll() is None


class World:
    """Everything that one seed plays with; ends what it started."""

    def __init__(self, reactor: Any, folder: Path, hosts: int, workers: int) -> None:
        self.reactor = reactor
        self.client = HttpClient(reactor, Counter())
        self.findings: list[str] = []
        command = [sys.executable, "-m", "quetzallock_platform_standin.server"]
        self._standin = subprocess.Popen(
            [*command, f"--workers={workers}"], stdout=subprocess.PIPE, cwd=folder
        )
        assert self._standin.stdout is not None
        self.store: str = json.loads(self._standin.stdout.readline())["store"]
        self.worker_links: dict[str, Link] = {}
        self.hosts = [
            Host(f"host{number}", folder, Link(reactor, self.store)) for number in range(hosts)
        ]

    async def prepare(self) -> None:
        """Put proxies before the workers and wait until all hosts are ready."""
        for worker, address in (await self.change("workers"))["workers"].items():
            link = Link(self.reactor, address)
            self.worker_links[worker] = link
            await self.change("advertise", worker, link.address)
        for host in self.hosts:
            await self.wait_ready(host)

    async def wait_ready(self, host: Host) -> None:
        """Wait until a host says that it is ready; a finding if it does not."""
        for _ in range(READY_MS // _POLL_MS):
            reply = await self.call(f"{LOOPBACK}:{host.ready}", "GET", "/readyz", 500)
            if reply is not None and reply.status == 200:
                return
            await sleep(self.reactor, _POLL_MS)
        self.findings.append(f"{host.name} is not ready after {READY_MS} ms")

    async def call(
        self, address: str, method: str, path: str, timeout_ms: int = CALL_MS, body: Any = None
    ) -> Reply | None:
        """Make a call; None where no whole answer came in time."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = {"X-Deadline-Ms": str(timeout_ms)}
        request = build_request(method, path, "desk.example", data, headers)
        try:
            return await self.client.call(address, request, timeout_ms)
        except CallFailedError:
            return None

    async def change(self, *words: str) -> dict[str, Any]:
        """Change a fault of the stand-in; return its answer."""
        reply = await self.call(self.store, "GET", f"/standin/{'/'.join(words)}", 5_000)
        assert reply is not None, "the stand-in of the platform does not answer"
        answer: dict[str, Any] = json.loads(reply.body)
        return answer

    def check_processes(self) -> None:
        """Note a finding for each host that ended by itself or logged an error."""
        for host in self.hosts:
            if not host.is_running and not host.ended_by_us:
                code = host.process.returncode if host.process else None
                self.findings.append(f"{host.name} ended by itself, code {code}")
            for line in host.read_text().splitlines():
                if "Traceback" in line or '"level":"error"' in line:
                    self.findings.append(f"{host.name} logged: {line[:600]}")

    def close(self) -> None:
        """End all processes that were started here."""
        for host in self.hosts:
            if host.is_running and host.process is not None:
                host.process.kill()
                host.process.wait()
        self._standin.kill()
        self._standin.wait()
