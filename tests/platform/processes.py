"""Processes on loopback for tests: the stand-in for the platform and entry hosts."""

import json
import os
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from quetzallock_platform.settings import SETTINGS_VARIABLE
from quetzallock_standins.const import LOOPBACK
from quetzallock_standins.ports import find_ports


class EntryHost:
    """An entry host that runs as a process."""

    def __init__(
        self, name: str, folder: Path, store: str, power: float = 1.0, bounds: str = ""
    ) -> None:
        self.name = name
        self.front, self.ready, self.peers, self.metrics = find_ports(4)
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            f'node = "{name}"\nip = "{LOOPBACK}"\ninternalPorts = [{self.peers}, {self.peers}]\n'
            f'[listenAddresses]\nfrontend = "{LOOPBACK}:{self.front}"\n'
            f'ready = "{LOOPBACK}:{self.ready}"\n'
            f"[limits]\ncpuShare = {power}\ncores = 1\n[bounds]\ngraceS = 6\n{bounds}"
            f'[platform]\naddress = "{store}"\n'
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self._settings)}
        command = [sys.executable, "-m", "quetzallock_platform", f"--metrics-port={self.metrics}"]
        command.append("--boot-fences=True")
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(command, env=environment, stdout=log, stderr=log)

    def stop(self, number: signal.Signals) -> int:
        """Send a signal, wait for the process to end and return its exit code."""
        assert self.process is not None
        self.process.send_signal(number)
        return self.process.wait(timeout=15)

    def call(self, method: str, path: str, body: object = None) -> tuple[int, dict[str, object]]:
        """Send a request as a caller; return the status and the decoded body."""
        data = None if body is None else json.dumps(body).encode()
        request = urllib.request.Request(
            f"http://{LOOPBACK}:{self.front}{path}", data, {"Host": "desk.example"}, method=method
        )
        try:
            with urllib.request.urlopen(request, timeout=6) as response:
                return response.status, json.loads(response.read())
        except urllib.error.HTTPError as error:
            return error.code, json.loads(error.read() or b"{}")

    def fetch(self, port: int, path: str) -> tuple[int, str]:
        """Return status and text of a page of the process; status 0 if it cannot be reached."""
        try:
            with urllib.request.urlopen(f"http://{LOOPBACK}:{port}{path}", timeout=3) as response:
                return response.status, response.read().decode()
        except urllib.error.HTTPError as error:
            return error.code, ""
        except OSError:
            return 0, ""

    def read_text(self) -> str:
        """Return all output of the process so far."""
        return self._log.read_text()

    def read_log(self) -> list[dict[str, Any]]:
        """Return the structured log lines so far."""
        lines = self.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def count(self, event: str) -> int:
        """Return the number of log lines of an event."""
        return sum(line["event"] == event for line in self.read_log())


class LocalPlatform:
    """A stand-in for the platform with entry hosts."""

    def __init__(self, folder: Path, hosts: int, bounds: str = "") -> None:
        """Start the processes; `bounds` continues the hosts' settings after their bounds."""
        command = [sys.executable, "-m", "quetzallock_platform_standin.server", "--workers=4"]
        self._standin = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert self._standin.stdout is not None
        self.store = json.loads(self._standin.stdout.readline())["store"]
        self.hosts = [
            EntryHost(f"host{number}", folder, self.store, bounds=bounds) for number in range(hosts)
        ]
        for host in self.hosts:
            wait_until(lambda host=host: host.fetch(host.ready, "/readyz")[0] == 200)

    def send_command(self, *command: str) -> dict[str, Any]:
        """Send a command to the stand-in; return its record of what ran."""
        url = f"http://{self.store}/standin/{'/'.join(command)}"
        with urllib.request.urlopen(url, timeout=3) as response:
            return json.loads(response.read())

    def find_owner(self) -> EntryHost:
        """Return the host that owns the cell with the highest epoch."""
        return max(self.hosts, key=lambda host: find_owned_epoch(host.read_log()))

    def close(self) -> None:
        """End all processes that this object started."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        self._standin.kill()
        self._standin.wait()


def find_owned_epoch(lines: Iterable[dict[str, Any]]) -> int:
    """Return the highest epoch with which a host has owned the cell, 0 for none.

    Owners are ordered by epoch because log times have a resolution of 1 ms and can be equal.
    """
    return max((line["epoch"] for line in lines if line["event"] == "cell is owned"), default=0)


def wait_until(condition: object, timeout_s: float = 20.0) -> None:
    """Wait until `condition()` is true."""
    deadline = time.monotonic() + timeout_s
    while not condition():  # type: ignore[operator]
        assert time.monotonic() < deadline, "condition not met in time"
        time.sleep(0.05)
