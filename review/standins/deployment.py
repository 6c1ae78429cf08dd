"""A small deployment on loopback: store, workers, entry hosts started by the deploy file, callers."""

import asyncio
import json
import os
import random
import shlex
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from .http import call
from .store import Store
from .workers import TaskKind, Worker, World

ROOT = Path(__file__).resolve().parents[2]
QUEUE_HOST = "nony24.example"
SERVICE = "huvo11a"
ROUTES = {
    "quick": {"pathPrefix": "/lohu930/", "priority": 0, "targetCompletionMs": 250, "slackFactor": 1.5},
    "batch": {"pathPrefix": "/pufi791/", "priority": 2, "targetCompletionMs": 1000, "slackFactor": 2.0},
    "watch": {"pathPrefix": "/pule252/", "priority": 0, "targetCompletionMs": 2500, "slackFactor": 2.2},
}
CELL_PARTITION = 11
"""Partition of the only cell: `--cells=1` uses the last of the 12."""
ZONES = ("recife-a", "fortaleza-b", "natal-c", "joaopessoa-d")

SETTINGS = """node = "{name}"
role = "entry"
machineClass = "frontend"
serves = ["frontend"]
ip = "{ip}"
zone = "{zone}"
region = "nordeste"
internalPorts = [7720, 7735]
seeds = []
bootstrap = true
toleranceCounted = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "invocation"
[zones]
recife-a = "nordeste"
fortaleza-b = "nordeste"
natal-c = "nordeste"
joaopessoa-d = "nordeste"
[listenAddresses]
frontend = "{ip}:8161"
ready = "{ip}:8167"
[limits]
cpuShare = 0.43
cores = 1
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
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


class Host:
    """An entry host, which runs as a process by the command of the deploy file."""

    def __init__(self, name: str, ip: str, zone: str, folder: Path, store: str) -> None:
        self.name = name
        self.front = f"{ip}:8161"
        self.ready = f"{ip}:8167"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(SETTINGS.format(name=name, ip=ip, zone=zone, store=store))
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        kept = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment = kept | {
            "QUETZALLOCK_NODE_FILE": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)


def find_base() -> str:
    """Return the first three numbers of loopback addresses whose ports are free."""
    for _ in range(50):
        base = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        try:
            for last in (1, 2, 3, 4, 5, 6, 100, 200):
                for port in (7720, 8161, 8167, 9464):
                    with socket.socket() as one:
                        one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        one.bind((f"{base}.{last}", port))
        except OSError:
            continue
        return base
    raise RuntimeError("no free loopback addresses")


class Deployment:
    """Store, workers and entry hosts."""

    def __init__(self, record: str, hosts: int = 6) -> None:
        self.world = World(record)
        self.store = Store()
        self.workers: list[Worker] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.base = find_base()
        self._host_count = hosts
        self.hosts: list[Host] = []
        self.version = 0

    async def start(self, workers: int, cpu: int = 16_000, per_rack: int = 6) -> None:
        """Start everything and wait until the hosts are ready and an owner knows the workers."""
        address = await self.store.server.start(f"{self.base}.200")
        for number in range(workers):
            await self.add_worker(f"r1-{number // per_rack}", ZONES[number // per_rack % 4], cpu)
        self.publish()
        for number in range(self._host_count):
            zone = ZONES[number % len(ZONES)]
            host = Host(
                f"frontend-{zone}-{number}", f"{self.base}.{number + 1}", zone, self.folder, address
            )
            host.start()
            self.hosts.append(host)
        until = time.monotonic() + 20
        for host in self.hosts:
            while (await call(host.ready, "GET", "/readyz", "x", b"", 1.0))[0] != 200:
                if time.monotonic() > until:
                    raise RuntimeError(f"{host.name} is not ready")
                await asyncio.sleep(0.1)
        while self.find_owner() is None:
            if time.monotonic() > until:
                raise RuntimeError("no host owns the cell")
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)

    async def add_worker(self, rack: str, zone: str, cpu: int) -> Worker:
        """Start a new worker."""
        worker = Worker(self.world, self.store, SERVICE, rack, zone, cpu, 64_000)
        await worker.start(f"{self.base}.100")
        self.workers.append(worker)
        return worker

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        routes = [
            {"name": f"r-{name}", "host": QUEUE_HOST, "kind": "non_idempotent", "timeoutMs": 3000,
             "service": SERVICE, "maxAttempts": 2, **fields}
            for name, fields in ROUTES.items()
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": SERVICE, "enforcesCapacity": True}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())

    def find_owner(self) -> Host | None:
        """Return the running host that holds the cell's partition, as the store has it."""
        for group in self.store.groups.values():
            member = group.holder.get(CELL_PARTITION, "")
            for host in self.hosts:
                if host.name in member and host.process and host.process.poll() is None:
                    return host
        return None

    def path(self, route: str, job: str) -> str:
        """Return the path of a job."""
        return str(ROUTES[route]["pathPrefix"]) + job

    async def request(
        self, method: str, route: str, job: str, body: object = None, host: Host | None = None
    ) -> tuple[int, dict]:
        """Send a caller's request to a running host; record it and the answer."""
        running = [one for one in self.hosts if one.process and one.process.poll() is None]
        host = host or random.choice(running)
        data = b"" if body is None else json.dumps(body).encode()
        status, answer = await call(host.front, method, self.path(route, job), QUEUE_HOST, data, 3.0)
        try:
            document = json.loads(answer) if answer else {}
        except ValueError:
            document = {}
        self.world.write(f"{method} {job} at {host.name}: {status} {answer.decode(errors='replace')}")
        return status, document

    async def submit(self, route: str, body: dict, work_ms: float | None, attempts: int = 5) -> str | None:
        """Submit a job, with retries; return its id once it is accepted."""
        job = f"{random.getrandbits(64):016x}"
        for number, step in enumerate(body["steps"]):
            saves = step.get("checkpointing", False)
            for index in range(step["count"]):
                kind = TaskKind(step["cpu"], step["memMb"], work_ms, saves)
                self.world.kinds[f"{job}.0.{number}.{index}"] = kind
        for _ in range(attempts):
            status, _answer = await self.request("POST", route, job, body)
            if 200 <= status < 300:
                return job
            await asyncio.sleep(0.5)
        return None

    def close(self) -> None:
        """End all processes."""
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        for worker in self.workers:
            worker.is_up = False
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            Path(keep).mkdir(parents=True, exist_ok=True)
            for host in self.hosts:
                (Path(keep) / host.log.name).write_bytes(host.log.read_bytes())
        self._folder.cleanup()
