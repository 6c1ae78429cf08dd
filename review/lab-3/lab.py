"""Starts entry hosts with the deploy file's command and a stand-in, on loopback, and ends them."""

import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
SERVER = Path(__file__).resolve().parent / "standin.py"
HOST_HEADER = "desk.example"
EXIT_BROKEN, EXIT_HELD, EXIT_UNUSABLE = 1, 0, 2


class LabError(Exception):
    """The case could not run."""


urllib.request.install_opener(urllib.request.build_opener(urllib.request.ProxyHandler({})))


def now_ms() -> int:
    return int(time.monotonic() * 1_000)


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


def make_environment() -> dict[str, str]:
    paths = [REPOSITORY / "target" / "deps", REPOSITORY / "packages" / "standins" / "src"]
    kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
    return kept | {"PYTHONPATH": os.pathsep.join(map(str, paths)), "PYTHONDONTWRITEBYTECODE": "1"}


def call(url: str, method: str = "GET", body: Any = None, timeout_s: float = 6.0) -> tuple[int, Any]:
    """Return status and decoded body; status 0 without an answer."""
    data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
    headers = {"Host": HOST_HEADER, "X-Deadline-Ms": "3000", "Content-Type": "application/json"}
    request = urllib.request.Request(url, data, headers, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout_s) as response:
            return response.status, json.loads(response.read() or b"{}")
    except urllib.error.HTTPError as error:
        return error.code, json.loads(error.read() or b"{}")
    except (OSError, ValueError):
        return 0, {}


class EntryHost:
    """An entry host as a process; the address of each host is its own loopback address."""

    def __init__(self, number: int, folder: Path, ip: str, store: str, bounds: str) -> None:
        self.name = f"frontend-{number}"
        self.ip = ip
        self.log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.toml"
        self._settings.write_text(
            f'node = "{self.name}"\nmachineClass = "frontend"\nip = "{ip}"\nzone = "wien-a"\n'
            f"internalPorts = [7720, 7735]\n[listenAddresses]\n"
            f'frontend = "{ip}:8161"\nready = "{ip}:8167"\n'
            f"[limits]\ncpuShare = 1.07\ncores = 1\nmemoryMb = 300\n[bounds]\n{bounds}\n"
            f'[platform]\naddress = "{store}"\nform = "log"\nparts = 12\n'
            "recordBytes = 262144\ncallBytes = 2097152\n"
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split(" ")
        environment = make_environment() | {"QUETZALLOCK_NODE_FILE": str(self._settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, env=environment, cwd=REPOSITORY, stdout=log, stderr=log
            )

    def url(self, path: str) -> str:
        return f"http://{self.ip}:8161{path}"

    def is_ready(self) -> bool:
        try:
            with urllib.request.urlopen(f"http://{self.ip}:8167/readyz", timeout=1) as response:
                return response.status == 200
        except OSError:
            return False

    def read_events(self, event: str) -> list[dict[str, Any]]:
        lines = self.log.read_text(errors="replace").splitlines()
        rows = [json.loads(line) for line in lines if line.startswith("{")]
        return [row for row in rows if row.get("event") == event]


class Lab:
    """The processes of a case; `close` ends them all."""

    def __init__(self, case: Path, hosts: int, server: list[str], bounds: str) -> None:
        self.record_file = (case / "record.txt").open("w")
        self._folder = tempfile.TemporaryDirectory(prefix="quetzallock-case-")
        self.folder = Path(self._folder.name)
        self.started_at = now_ms()
        self.hosts: list[EntryHost] = []
        self.server = subprocess.Popen(
            ["python3", *server], env=make_environment(), stdout=subprocess.PIPE
        )
        assert self.server.stdout is not None
        line = self.server.stdout.readline()
        if not line:
            raise LabError("the stand-in did not start")
        self.store = json.loads(line)["store"]
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        self.hosts = [
            EntryHost(n, self.folder, f"{net}.{n}", self.store, bounds) for n in range(1, hosts + 1)
        ]
        try:
            self.wait_for(lambda: all(host.is_ready() for host in self.hosts), 20, "hosts are up")
        except BaseException:
            self.close()
            raise

    def record(self, text: str) -> None:
        line = f"{(now_ms() - self.started_at) / 1_000:8.3f}  {text}"
        self.record_file.write(line + "\n")
        self.record_file.flush()

    def wait_for(self, condition: Any, timeout_s: float, what: str) -> None:
        deadline = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > deadline:
                raise LabError(f"not in time: {what}")
            time.sleep(0.05)

    def command(self, *words: str) -> dict[str, Any]:
        status, answer = call(f"http://{self.store}/standin/{'/'.join(words)}", timeout_s=5)
        if status != 200:
            raise LabError(f"the stand-in refused {words}")
        return answer

    def call_host(self, number: int, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        status, answer = call(self.hosts[number].url(path), method, body)
        size = f" {len(body)} bytes" if isinstance(body, bytes) else ""
        self.record(f"{method} {path}{size} -> {status} {json.dumps(answer)[:160]}")
        return status, answer

    def record_runs(self, record: dict[str, Any], first: int = 0, last: int = 1 << 64) -> None:
        """Record the starts and ends of the tasks of the jobs from `first` to `last`."""
        rows = [(at, f"start {task} run {run} on {w}", task) for at, task, run, w in record["starts"]]
        rows += [(at, f"end {task} run {run} {how}", task) for at, task, run, how in record["ends"]]
        for at, text, task in sorted(rows):
            if first <= int(task.partition(".")[0], 16) <= last:
                self.record(f"at {(at - self.started_at) / 1_000:.3f}: {text}")

    def close(self) -> None:
        for process in [*(host.process for host in self.hosts), self.server]:
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        self.record_file.close()
        assert self.server.stdout is not None
        self.server.stdout.close()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for host in self.hosts:
                Path(kept, host.log.name).write_bytes(host.log.read_bytes())
        self._folder.cleanup()


def run_case(play: Any) -> None:
    """Exit with the status of a case; `play` returns whether the rule held.

    A script that is asked to stop, or that fails itself, ends its processes and could not run.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_UNUSABLE))
    try:
        held = play()
    except Exception as error:
        print(f"the case could not run: {error!r}")
        sys.exit(EXIT_UNUSABLE)
    print("the rule held" if held else "the rule was broken")
    sys.exit(EXIT_HELD if held else EXIT_BROKEN)
