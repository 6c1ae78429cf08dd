"""A small deployment on loopback: daemons as processes, and the stand-ins that they speak to."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from standin import Store, Worker

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "desk.example"
PREFIX = "/jobs/"
CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-jobs",
            "host": HOST,
            "pathPrefix": PREFIX,
            "kind": "non_idempotent",
            "timeoutMs": 3000,
            "targetCompletionMs": 1000,
            "priority": 0,
            "service": "pool",
            "maxAttempts": 3,
            "slackFactor": 2.0,
        }
    ],
    "services": [
        {
            "name": "pool",
            "healthPath": "/healthz",
            "maxConnections": 64,
            "protocol": "h1",
            "tls": False,
            "enforcesCapacity": True,
            "standby": False,
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}
SETTINGS = """node = "{name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "zone-a"
region = "region-a"
internalPorts = [{peer}, {peer}]
seeds = []
bootstrap = true
toleranceCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1100
contracts = ["base", "drain", "config", "cost", "recover", "sched", "platform", "sharing"]
orders = "invocation"
[zones]
zone-a = "region-a"
[listenAddresses]
frontend = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerBoundMs = 5000
recoveryS = 12
holdMaxMs = 6000
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remoteFactor = 1.5
checkpointS = 0.5
restoreMs = 100
noticeMs = 4500
fencingEnforced = true
leaseMs = 3000
thawMs = 300
paceMs = 100
harmMs = 4000
[platform]
address = "{store}"
form = "log"
writesPerS = 600
readsPerS = 2000
parts = 12
appendMs = 2.0
partitionMbS = 20.0
readMbS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
ttlMinMs = 1000
"""


class CannotRunError(Exception):
    """The deployment did not come up, so that the case says nothing."""


class Daemon:
    """One daemon process, on a loopback address of its own."""

    def __init__(self, name: str, ip: str, folder: Path, store: str) -> None:
        self.name = name
        self.ip = ip
        self._folder = folder
        front, ready, peer = find_ports(ip, 3)
        self.front = (ip, front)
        self.ready = (ip, ready)
        self.settings = folder / f"{name}.toml"
        self.settings.write_text(
            SETTINGS.format(name=name, ip=ip, peer=peer, front=front, ready=ready, store=store)
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["QUETZALLOCK_NODE_FILE"] = str(self.settings)
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "quetzallock_platform", "--cells=1"],
                cwd=REPOSITORY, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def read_log(self) -> list[dict[str, object]]:
        text = (self._folder / f"{self.name}.log").read_text(errors="replace")
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def count(self, event: str) -> int:
        return sum(line.get("event") == event for line in self.read_log())


def find_ports(ip: str, count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for item in sockets:
        item.bind((ip, 0))
    ports = [item.getsockname()[1] for item in sockets]
    for item in sockets:
        item.close()
    return ports


class Lab:
    """Daemons, a store and workers; `log` adds a line to the record."""

    def __init__(self, record: Path) -> None:
        self._record = record.open("w")
        self._zero = time.monotonic()
        self.folder = Path(tempfile.mkdtemp(prefix="quetzallock-review-"))
        self.lines: list[dict[str, object]] = []
        # Jobs whose starts and ends are only counted, as there are very many.
        self.counted_jobs: dict[str, dict[str, int]] = {}
        self.store = Store(self.log)
        self.workers: dict[str, Worker] = {}
        self.daemons: list[Daemon] = []
        # Addresses drawn for each run, so that the port of the metrics page is free on them.
        self.net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"

    def now(self) -> float:
        return time.monotonic() - self._zero

    def log(self, who: str, event: str, **fields: object) -> None:
        counts = self.counted_jobs.get(str(fields.get("task", "")).partition(".")[0])
        if counts is not None and event in ("start", "end"):
            counts[event] = counts.get(event, 0) + 1
            counts["last_run"] = max(counts.get("last_run", 0), int(str(fields["run"])))
            return
        line = {"t": round(self.now(), 3), "who": who, "event": event, **fields}
        self.lines.append(line)
        self._record.write(json.dumps(line) + "\n")
        self._record.flush()

    async def start(self, workers: list[tuple[str, list[str], int]], daemons: int = 3) -> None:
        store = await self.store.server.start(f"{self.net}.1")
        self.store.put("keyed.op", "config", json.dumps(CONFIG).encode())
        for name, labels, cpu in workers:
            worker = Worker(self.store, self.log, name, labels, cpu)
            self.workers[name] = worker
            await worker.start(f"{self.net}.2")
        for number in range(daemons):
            daemon = Daemon(f"entry-{number}", f"{self.net}.{10 + number}", self.folder, store)
            self.daemons.append(daemon)
            daemon.start()
        await self._wait_until_serving()

    async def _wait_until_serving(self) -> None:
        """Wait until all daemons are ready and the owner has listed all workers."""
        until = self.now() + 25
        while self.now() < until:
            await asyncio.sleep(0.2)
            ready = [await self.call(d.ready, "GET", "/readyz", quiet=True) for d in self.daemons]
            pending = await self.call(self.daemons[0].front, "GET", PREFIX, quiet=True)
            known = sum(daemon.count("worker.known") for daemon in self.daemons)
            if all(s == 200 for s, _ in ready) and pending[0] == 200 and known >= len(self.workers):
                await asyncio.sleep(1.5)
                self.log("lab", "serving")
                return
        raise CannotRunError("the daemons did not come up")

    def find_owner(self) -> Daemon:
        def newest(daemon: Daemon) -> int:
            lines = [line for line in daemon.read_log() if line.get("event") == "cell is owned"]
            return max((int(str(line["epoch"])) for line in lines), default=-1)

        return max(self.daemons, key=newest)

    async def call(
        self, address: tuple[str, int], method: str, path: str, body: object = None,
        deadline_ms: int = 3_000, quiet: bool = False,
    ) -> tuple[int, dict[str, object]]:
        """Send a requester's call; status 0 stands for no answer."""
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
            "Connection: close\r\n\r\n"
        )
        sent = self.now()
        status, answer = 0, {}
        try:
            async with asyncio.timeout(deadline_ms / 1_000 + 0.5):
                reader, writer = await asyncio.open_connection(*address)
                writer.write(head.encode() + data)
                text = await reader.read()
                writer.close()
            top, _, rest = text.partition(b"\r\n\r\n")
            status = int(top.split(b" ", 2)[1])
            answer = json.loads(rest or b"{}")
        except (OSError, TimeoutError, ValueError, IndexError):
            pass
        if not quiet:
            self.log(
                "requester", "answer", to=f"{address[0]}:{address[1]}", method=method, path=path,
                bytes=len(data), sent=round(sent, 3), status=status, answer=answer,
            )
        return status, answer

    async def submit(self, job: str, body: object, daemon: int = 0) -> int:
        return (await self.call(self.daemons[daemon].front, "POST", PREFIX + job, body))[0]

    async def state(self, job: str, daemon: int = 0) -> str:
        status, answer = await self.call(self.daemons[daemon].front, "GET", PREFIX + job)
        return str(answer.get("state", status))

    def close(self) -> None:
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.poll() is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def run(case: Callable[[Lab, bool], "asyncio.Future[str]"], folder: Path, limit_s: float) -> None:
    """Play a case and exit with 1 if it returns what was broken, 0 if nothing, else 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(folder / "record.txt")

    async def play() -> str:
        try:
            async with asyncio.timeout(limit_s):
                return await case(lab, trouble)
        finally:
            for worker in lab.workers.values():
                worker.server.stop()
            lab.store.server.stop()

    try:
        broken = asyncio.run(play())
    except Exception as error:  # The case could not run, whatever the cause.
        print(f"cannot run: {type(error).__name__}: {error}")
        lab.log("lab", "cannot run", error=f"{type(error).__name__}: {error}")
        code = 2
    else:
        print(f"broken: {broken}" if broken else "held")
        lab.log("lab", "verdict", broken=broken, trouble=trouble)
        code = 1 if broken else 0
    finally:
        lab.close()
    sys.exit(code)
