"""Workers: they run tasks under leases and fence numbers, as PROTOCOL.md tells."""

import asyncio
import json
import secrets
import time
from dataclasses import dataclass, field

from .http import Request, Server
from .store import Store

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
STEP_S = 0.02
MAX_ENDS = 500


@dataclass
class TaskKind:
    """What a task needs and how long it works; None for a task that lasts."""

    cpu: int
    memory_mb: int
    work_ms: float | None
    saves: bool = False


@dataclass
class Run:
    """A run on a worker."""

    task: str
    number: int
    kind: TaskKind
    started: float
    worked_ms: float = 0.0
    stop_at: float | None = None


class World:
    """What really happened: submitted tasks, starts and ends, in a record file.

    `noted` has when an end `done` was taken note of: its worker's `ackCursor` has reached it, and
    the worker's lease had not lapsed since the end.
    """

    def __init__(self, path: str) -> None:
        self.began = time.monotonic()
        self.kinds: dict[str, TaskKind] = {}
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.noted: dict[tuple[str, int], float] = {}
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115

    def now(self) -> float:
        """Return the seconds since the beginning."""
        return time.monotonic() - self.began

    def write(self, text: str) -> None:
        """Write a line to the record."""
        self._file.write(f"{self.now():9.3f} {text}\n")
        self._file.flush()

    def add_start(self, task: str, run: int, worker: str) -> None:
        """Record a start."""
        self.starts.append((self.now(), task, run, worker))
        self.write(f"start {task} run {run} on {worker}")

    def add_end(self, task: str, run: int, worker: str, how: str) -> None:
        """Record an end."""
        self.ends.append((self.now(), task, run, worker, how))
        self.write(f"end {task} run {run} on {worker}: {how}")


@dataclass
class Worker:
    """One life of a worker."""

    world: World
    store: Store
    service: str
    rack: str
    zone: str
    cpu: int
    memory_mb: int
    hold_max_ms: int = 6000
    stop_ms: int = 400
    id: str = field(default_factory=lambda: "i-" + secrets.token_hex(5))
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    started: float = field(default_factory=time.monotonic)
    fence: int = 0
    until_ms: float = 0
    runs: dict[str, Run] = field(default_factory=dict)
    over: dict[str, int] = field(default_factory=dict)
    finished: list[tuple[int, str, int, str, str]] = field(default_factory=list)
    last_end: int = 0
    sequence: int = 0
    is_up: bool = True
    lapsed_at: float = -1.0
    ended_at: dict[int, float] = field(default_factory=dict)
    ended: asyncio.Event = field(default_factory=asyncio.Event)

    async def start(self, ip: str) -> None:
        """Serve, register and work."""
        self.server = Server(self.handle)
        self.address = await self.server.start(ip)
        self.tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._work())]

    def clock_ms(self) -> float:
        """Return the steady clock of this life."""
        return (time.monotonic() - self.started) * 1000

    async def _beat(self) -> None:
        while self.is_up:
            self.sequence += 1
            entry = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "1.0",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born,
                "capacity": {"cpu": self.cpu, "memMb": self.memory_mb, "gpu": 0},
                "labels": ["a", self.rack],
            }
            self.store.put("keyed.servers", self.id, json.dumps(entry).encode())
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        last = time.monotonic()
        while self.is_up:
            await asyncio.sleep(STEP_S)
            now = time.monotonic()
            step_ms, last = (now - last) * 1000, now
            if self.clock_ms() >= self.until_ms:
                self.lapsed_at = self.world.now()
                for run in list(self.runs.values()):
                    self._end(run, "lapsed")
            for run in list(self.runs.values()):
                run.worked_ms += step_ms
                if run.stop_at is not None and now >= run.stop_at:
                    self._end(run, "stopped")
                elif run.kind.work_ms is not None and run.worked_ms >= run.kind.work_ms:
                    self._end(run, "done")

    def _saved(self, run: Run) -> str:
        steps = int(run.worked_ms // 500) if run.kind.saves else 0
        return f"{steps:016x}" if steps else ""

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.over[run.task] = max(self.over.get(run.task, 0), run.number)
        self.last_end += 1
        self.finished.append((self.last_end, run.task, run.number, how, self._saved(run)))
        self.world.add_end(run.task, run.number, self.id, how)
        self.ended_at[self.last_end] = self.world.now()
        ended, self.ended = self.ended, asyncio.Event()
        ended.set()

    def crash(self) -> list[Run]:
        """Crash: all that runs is gone, connections break; the entry goes after some silence."""
        self.is_up = False
        lost = list(self.runs.values())
        for run in lost:
            self.world.add_end(run.task, run.number, self.id, "lost with its worker")
        self.runs = {}
        self.server.crash()
        loop = asyncio.get_running_loop()
        loop.call_later(
            HEARTBEAT_S * MISSED_HEARTBEATS, self.store.put, "keyed.servers", self.id, b""
        )
        return lost

    async def handle(self, request: Request) -> tuple[int, bytes]:
        """Handle an order or an inventory call."""
        if request.headers.get("x-expected-instance", self.id) != self.id:
            return 421, b""
        body = json.loads(request.body)
        if body.get("fencingToken", 0) < self.fence:
            return self._answer(409, "fence")
        self.fence = body["fencingToken"]
        if request.path == "/run-start":
            return self._start_run(body)
        if request.path == "/run-stop":
            return self._stop_run(body)
        if request.path == "/pace":
            return self._answer(200)
        return await self._hold(body)

    def _answer(self, status: int, reason: str = "") -> tuple[int, bytes]:
        answer: dict[str, object] = {"clockMs": int(self.clock_ms()), "born": self.born}
        if reason:
            answer["reason"] = reason
        return status, json.dumps(answer).encode()

    def _extend(self, until_ms: float) -> None:
        self.until_ms = max(self.until_ms, min(until_ms, self.clock_ms() + self.hold_max_ms))

    def _start_run(self, body: dict) -> tuple[int, bytes]:
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            self._extend(body["untilMs"])
            return self._answer(200)
        if known is not None or number <= self.over.get(task, 0):
            self._extend(body["untilMs"])
            return self._answer(409, "old")
        if body["untilMs"] <= self.clock_ms():
            return self._answer(409, "late")
        kind = self.world.kinds.get(task)
        if kind is None:
            return self._answer(400)
        cpu = sum(run.kind.cpu for run in self.runs.values()) + kind.cpu
        memory = sum(run.kind.memory_mb for run in self.runs.values()) + kind.memory_mb
        if cpu > self.cpu or memory > self.memory_mb:
            self._extend(body["untilMs"])
            return self._answer(409, "room")
        self._extend(body["untilMs"])
        run = Run(task, number, kind, time.monotonic())
        if body.get("checkpoint"):
            run.worked_ms = int(body["checkpoint"], 16) * 500
        self.runs[task] = run
        self.world.add_start(task, number, self.id)
        return self._answer(200)

    def _stop_run(self, body: dict) -> tuple[int, bytes]:
        run = self.runs.get(body["task"])
        if run is not None and run.number == body["run"]:
            run.stop_at = run.stop_at or time.monotonic() + self.stop_ms / 4000
        else:
            self.over[body["task"]] = max(self.over.get(body["task"], 0), body["run"])
        return self._answer(200)

    def _forget(self, cursor: int) -> None:
        for number, task, run, how, _saved in self.finished:
            if number <= cursor and how == "done" and self.ended_at[number] > self.lapsed_at:
                self.world.noted[task, run] = self.world.now()
        self.finished = [row for row in self.finished if row[0] > cursor]

    async def _hold(self, body: dict) -> tuple[int, bytes]:
        if "untilMs" in body:
            self._extend(body["untilMs"])
        self._forget(body.get("ackCursor", 0))
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self.finished:
            try:
                async with asyncio.timeout(wait_s):
                    await self.ended.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, self._saved(run), 100, run.kind.cpu]
            for run in self.runs.values()
        ]
        answer = {
            "clockMs": int(self.clock_ms()),
            "born": self.born,
            "running": running,
            "finished": self.finished[:MAX_ENDS],
        }
        return 200, json.dumps(answer).encode()
