"""Starts and ends the processes of a deployment on loopback: for tests, the demo and benchmarks."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import psutil

from .const import LOOPBACK
from .deployment import Deployment, load_deployment
from .ports import find_ports

EXAMPLES: Final = Path(__file__).resolve().parents[4] / "examples"
_READY_S: Final = 30.0
_POLL_S: Final = 0.05
_LOG_TAIL_CHARACTERS: Final = 2_000


class ProcessEndedError(Exception):
    """A process ended, or did not get ready; the message holds the end of its output."""


@dataclass(slots=True)
class Running:
    """A process that was started here."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    http: str = ""

    @property
    def is_alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process.poll() is None

    def wait_until(self, is_ready: Callable[[], bool], what: str) -> None:
        """Wait until `is_ready()` holds.

        Raises:
            ProcessEndedError: The process has ended before, or the time is over.
        """
        deadline = time.monotonic() + _READY_S
        while not is_ready():
            if not self.is_alive:
                raise ProcessEndedError(self._describe(f"ended, code {self.process.returncode}"))
            if time.monotonic() > deadline:
                raise ProcessEndedError(self._describe(f"{what} not after {_READY_S} s"))
            time.sleep(_POLL_S)

    def _describe(self, what: str) -> str:
        tail = self.log.read_text(encoding="utf-8", errors="replace")[-_LOG_TAIL_CHARACTERS:]
        return f"{self.name}: {what}; its output ends with: {tail!r}"


def call_json(
    method: str, url: str, body: object = None, timeout_s: float = 5.0
) -> tuple[int, Any]:
    """Make a request and return status and JSON body; a dict with `error` where none came."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, json.loads(response.read() or b"null")
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"null")
    except OSError as error:
        return 0, {"error": str(error)}


class LocalDeployment:
    """The processes of one deployment; ends what it started."""

    def __init__(
        self,
        name: str,
        folder: Path,
        entry_hosts: int | None = None,
        slots: int | None = None,
        http_port: int | None = None,
    ) -> None:
        self.deployment: Deployment = load_deployment(EXAMPLES / name / "deployment.toml")
        self._slots = slots or self.deployment.worker.slots
        self.presets = EXAMPLES / name / "presets"
        self.folder = folder
        self.entry_hosts = entry_hosts or self.deployment.entry_hosts
        self.hosts: dict[str, Running] = {}
        self.standins: dict[str, Running] = {}
        ports = find_ports(3 + 2 * self.entry_hosts)
        self.log_port, self.list_port, self.worker_port = ports[:3]
        self._host_ports = [
            (ports[3 + 2 * index], ports[4 + 2 * index]) for index in range(self.entry_hosts)
        ]
        if http_port is not None:
            self._host_ports[0] = (http_port, self._host_ports[0][1])
        self._extra: dict[str, dict[str, int | str]] = {}
        folder.mkdir(parents=True, exist_ok=True)

    @property
    def log_url(self) -> str:
        """Base URL of the log stand-in."""
        return f"http://{LOOPBACK}:{self.log_port}"

    @property
    def workers_url(self) -> str:
        """Base URL of the workers stand-in."""
        return f"http://{LOOPBACK}:{self.worker_port}"

    @property
    def list_url(self) -> str:
        """Base URL of the host list stand-in."""
        return f"http://{LOOPBACK}:{self.list_port}"

    def add_settings(self, section: str, **values: int | str) -> None:
        """Set further settings of all entry hosts started from now on."""
        self._extra.setdefault(section, {}).update(values)

    def start(self, retention_ms: int = 3_600_000) -> None:
        """Start the stand-ins and all entry hosts, and wait until they are ready."""
        name = self.deployment.name
        self._start_standin("log", "log", self.log_port, f"--retention-ms={retention_ms}")
        self._start_standin(
            "workers", "workers", self.worker_port, f"--deployment={name}", f"--slots={self._slots}"
        )
        self._start_standin(
            "hosts",
            "hosts",
            self.list_port,
            f"--deployment={name}",
            f"--worker-port={self.worker_port}",
        )
        for index in range(self.entry_hosts):
            self.start_host(index)
        for running in self.hosts.values():
            wait_ready(running)

    def start_host(self, index: int) -> Running:
        """Start one entry host."""
        name = f"{self.deployment.name}-entry-{index + 1}"
        http, peers = self._host_ports[index]
        config = self.folder / f"{name}.toml"
        config.write_text(self._make_settings(index, name, http, peers), encoding="utf-8")
        command = [sys.executable, "-m", "quetzallock_daemon", f"--config={config}"]
        running = self._spawn(name, command, f"http://{LOOPBACK}:{http}")
        self.hosts[name] = running
        return running

    def signal_host(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one entry host."""
        self.hosts[name].process.send_signal(number)

    def stop(self) -> None:
        """End all processes that were started."""
        everything = [*self.hosts.values(), *self.standins.values()]
        for running in everything:
            if running.is_alive:
                running.process.send_signal(signal.SIGCONT)
                running.process.kill()
        for running in everything:
            running.process.wait()

    def publish_presets(self, in_force: str, further: str = "") -> None:
        """Publish the example presets, and `further`, and put one in force everywhere."""
        base = next(iter(self.hosts.values())).http
        texts = {path.stem: path.read_bytes() for path in sorted(self.presets.glob("*.toml"))}
        if further:
            texts[in_force] = further.encode()
        for name, text in texts.items():
            request = urllib.request.Request(f"{base}/v1/presets/{name}", text, method="PUT")
            urllib.request.urlopen(request, timeout=10).read()
        call_json("POST", f"{base}/v1/presets/{in_force}/use", {"author": "demo"}, 10)
        deadline = time.monotonic() + _READY_S
        while time.monotonic() < deadline:
            _, body = call_json("GET", f"{base}/v1/presets-in-force")
            rows = body.get("hosts", [])
            if rows and all(row["preset"] == in_force for row in rows):
                return
            time.sleep(0.2)
        raise TimeoutError(f"preset {in_force} is not in force everywhere: {body}")

    def _make_settings(self, index: int, name: str, http: int, peers: int) -> str:
        centres = self.deployment.data_centres
        seeds = [f"{LOOPBACK}:{port}" for _, port in self._host_ports[:3]]
        extra = {section: dict(values) for section, values in self._extra.items()}
        members = {"seeds": seeds, **extra.pop("members", {})}
        calls = {"services": [self.deployment.service], **extra.pop("calls", {})}
        sections: dict[str, dict[str, Any]] = {
            "listen": {"http": f"{LOOPBACK}:{http}", "peers": f"{LOOPBACK}:{peers}"},
            "platform": {"log": self.log_url, "host_list": self.list_url},
            "calls": calls,
            "members": members,
            **extra,
        }
        lines = [f'host = "{name}"', f'data_centre = "{centres[index % len(centres)]}"']
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    def _start_standin(self, name: str, kind: str, port: int, *arguments: str) -> None:
        command = [sys.executable, "-m", "quetzallock_standins", kind, f"--port={port}"]
        running = self._spawn(name, [*command, *arguments])
        self.standins[name] = running
        running.wait_until(lambda: is_open(port), f"listening on port {port}")

    def _spawn(self, name: str, command: list[str], http: str = "") -> Running:
        log = self.folder / f"{name}.log"
        with log.open("ab") as output:
            process = subprocess.Popen(
                command, stdout=output, stderr=output, stdin=subprocess.DEVNULL, env=os.environ
            )
        return Running(name, process, log, http)


def is_open(port: int) -> bool:
    """Return whether something listens on a loopback port."""
    with socket.socket() as probe:
        return probe.connect_ex((LOOPBACK, port)) == 0


def wait_ready(host: Running) -> None:
    """Wait until an entry host is ready.

    Raises:
        ProcessEndedError: It is not.
    """
    host.wait_until(lambda: call_json("GET", f"{host.http}/readyz", timeout_s=1)[0] == 200, "ready")


def read_cpu(process: psutil.Process) -> float:
    """Return the processor time in s that a process has spent."""
    times = process.cpu_times()
    return float(times.user + times.system)
