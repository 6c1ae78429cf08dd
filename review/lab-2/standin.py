"""Stand-ins for the platform's store and workers, written from PROTOCOL.md only.

They run in the process of the test, on loopback addresses, and record all that they see.
"""

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PARTS = 12
HEARTBEAT_S = 1.1
HOLD_MAX_MS = 6_000
GANG_MS = 3_000
STOP_S = 0.05

Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, bytes] | None]]


class HttpServer:
    """A small HTTP/1.1 server; a handler that returns None leaves the call without an answer."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int = 0) -> str:
        self._server = await asyncio.start_server(self._serve, ip, port, limit=2**23)
        host, number = self._server.sockets[0].getsockname()[:2]
        return f"{host}:{number}"

    def stop(self) -> None:
        """Close the port, and reset all connections, as the end of the process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await self._handler(method, target, headers, body)
                if answer is None:
                    await asyncio.sleep(3_600)
                    return
                status, data = answer
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


def encode(value: object) -> bytes:
    return json.dumps(value).encode()


class Partition:
    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.epoch = -1
        self.sequence = 0
        self.answers: dict[int, bytes] = {}
        self.changed = asyncio.Event()

    def add(self, records: list[bytes], keyed: bool) -> int:
        offset = len(self.records)
        for record in records:
            if keyed:
                size = record[0]
                key, value = record[1 : 1 + size].decode(), record[1 + size :]
                if value:
                    self.newest[key] = (len(self.records), value)
                else:
                    self.newest.pop(key, None)
            self.records.append(record)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


def split(data: bytes) -> list[bytes]:
    records = []
    position = 0
    while position < len(data):
        size = int.from_bytes(data[position : position + 4], "big")
        records.append(data[position + 4 : position + 4 + size])
        position += 4 + size
    return records


class Group:
    """Members that share the partitions of their topic; a new one waits for the holder to join."""

    def __init__(self) -> None:
        self.generation = 0
        self.members: dict[str, list[float]] = {}
        self.wanted: dict[int, str] = {}
        self.held: dict[int, str] = {}
        self.since: dict[int, int] = {}

    def expire(self, now: float) -> None:
        gone = [name for name, (until, _) in self.members.items() if until < now]
        for name in gone:
            del self.members[name]
        if gone:
            self.deal()

    def deal(self) -> None:
        self.generation += 1
        names = list(self.members)
        if not names:
            self.wanted, self.held, self.since = {}, {}, {}
            return
        quota = -(-PARTS // len(names))
        count = dict.fromkeys(names, 0)
        wanted: dict[int, str] = {}
        # A joining member gets the first partitions of the others, so that the last ones stay.
        for part, name in sorted(self.wanted.items(), reverse=True):
            if name in count and count[name] < quota:
                wanted[part] = name
                count[name] += 1
        for part in range(PARTS):
            if part not in wanted:
                name = min(names, key=lambda n: count[n])
                wanted[part] = name
                count[name] += 1
        self.wanted = wanted
        self.release()

    def reassign_all(self) -> None:
        """Reassign every partition at once to the next member, without waiting for its holder."""
        names = list(self.members)
        following = dict(zip(names, names[1:] + names[:1], strict=True))
        self.generation += 1
        self.wanted = {part: following[name] for part, name in self.wanted.items()}
        self.held = dict(self.wanted)
        self.since = {}

    def release(self) -> None:
        for part, name in self.wanted.items():
            holder = self.held.get(part)
            if holder == name:
                self.since.pop(part, None)
                continue
            since = self.since.setdefault(part, self.generation)
            if holder not in self.members or self.members[holder][1] >= since:
                self.held[part] = name
                del self.since[part]


class Store:
    """The metadata store."""

    def __init__(self, log: Callable[..., None]) -> None:
        self._log = log
        self._parts: dict[tuple[str, int], Partition] = {}
        self._groups: dict[str, Group] = {}
        self._locks: dict[tuple[str, int], asyncio.Lock] = {}
        self.server = HttpServer(self._handle)
        self.workers: list[Worker] = []

    def part(self, topic: str, number: int) -> Partition:
        return self._parts.setdefault((topic, number), Partition())

    def reassign_all(self) -> None:
        """Reassign all partitions of all groups at once, without any request."""
        for group in self._groups.values():
            group.expire(time.monotonic())
            group.reassign_all()
            self._log("store", "all partitions reassigned", generation=group.generation)

    def put(self, topic: str, key: str, value: bytes) -> None:
        name = key.encode()
        self.part(topic, 0).add([bytes([len(name)]) + name + value], True)

    async def _handle(
        self, method: str, target: str, _headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes] | None:
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(0.002)
        if url.path == "/log-append":
            return await self._append(query, body)
        if url.path == "/log-read":
            return await self._read(query)
        if url.path == "/log-newest":
            return self._newest(query)
        document = json.loads(body) if body else {}
        now = time.monotonic()
        if url.path == "/log-owners":
            group = self._groups.setdefault(query["group"], Group())
            group.expire(now)
            rows = [["keyed.cells", part, name, 0] for part, name in group.held.items()]
            return 200, encode({"parts": rows})
        group = self._groups.setdefault(document["group"], Group())
        group.expire(now)
        name = document["member"]
        if url.path == "/log-leave":
            if group.members.pop(name, None) is not None:
                group.deal()
            return 200, b"{}"
        if url.path == "/log-join":
            is_new = name not in group.members
            group.members[name] = [now + document["ttlMs"] / 1_000, document["generation"]]
            if is_new:
                group.deal()
            group.release()
            rows = [
                [document["topics"][0], part, 0]
                for part, holder in group.held.items()
                if holder == name and group.wanted[part] == name
            ]
            answer = {"generation": group.generation, "ttlMs": document["ttlMs"], "parts": rows}
            return 200, encode(answer)
        return 404, b"{}"

    async def _append(self, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        key = query["topic"], int(query["part"])
        records = split(body)
        largest = max(map(len, records), default=0)
        if largest > RECORD_BYTES or sum(map(len, records)) > CALL_BYTES:
            self._log("store", "append too large", largest=largest, total=len(body))
            return 413, encode({"reason": "size"})
        async with self._locks.setdefault(key, asyncio.Lock()):
            await asyncio.sleep(0.002 + len(body) / 20e6)
            part = self.part(*key)
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            if epoch < part.epoch:
                return 409, encode({"reason": "fenced"})
            if epoch > part.epoch:
                part.answers = {}
            elif sequence in part.answers:
                return 200, part.answers[sequence]
            elif body and sequence != part.sequence + 1:
                return 409, encode({"reason": "seq", "sequence": part.sequence + 1})
            part.epoch, part.sequence = epoch, sequence
            offset = part.add(records, key[0].startswith("keyed."))
            answer = encode({"offset": offset, "end": len(part.records)})
            part.answers[sequence] = answer
            return 200, answer

    async def _read(self, query: dict[str, str]) -> tuple[int, bytes]:
        offset = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1_000
        part = self.part(query["topic"], int(query["part"]))
        while len(part.records) <= offset and time.monotonic() < until:
            try:
                await asyncio.wait_for(part.changed.wait(), until - time.monotonic())
            except TimeoutError:
                break
        data = len(part.records).to_bytes(8, "big") + bytes(8)
        limit = int(query.get("maxSize", "1024")) * 1_024
        for record in part.records[offset:]:
            if len(data) + len(record) > limit:
                break
            data += len(record).to_bytes(4, "big") + record
        return 200, data

    def _newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        part = self.part(query["topic"], int(query["part"]))
        keys = sorted(key for key in part.newest if key > query.get("after", ""))
        items: list[dict[str, object]] = []
        size = 0
        for key in keys:
            offset, value = part.newest[key]
            if len(items) == 500 or size + len(value) > 1_000_000 and items:
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        more = len(items) < len(keys)
        return 200, encode({"items": items, "hasMore": more, "end": len(part.records)})


class Run:
    def __init__(self, task: str, number: int, spec: dict[str, str], clock: int) -> None:
        self.task = task
        self.number = number
        self.duration_ms = int(spec.get("ms", "0"))
        self.cpu = int(spec.get("cpu", "0"))
        self.use = int(spec.get("use", spec.get("cpu", "0")))
        self.saves = spec.get("saves") == "1"
        self.fails = spec.get("fails") == "1"
        self.gang_size = int(spec.get("gang", "0"))
        self.started = clock
        self.saved = ""

    @property
    def gang(self) -> tuple[str, int]:
        """The run of a gang that it is a member of: its step and its number."""
        return self.task.rpartition(".")[0], self.number


def read_spec(text: str) -> dict[str, str]:
    """Return the words `name=value` of a job's text, which say what its tasks do."""
    return dict(word.partition("=")[::2] for word in text.split())


class Worker:
    """A worker, which lives through several boots under one id."""

    def __init__(
        self, store: Store, log: Callable[..., None], name: str, labels: list[str], cpu: int
    ) -> None:
        self._store = store
        self._log = log
        self.name = name
        self.labels = labels
        self.cpu = cpu
        self.server = HttpServer(self._handle)
        self.address = ""
        self.is_up = False
        self._sequence = 0
        self._tasks: list[asyncio.Task[None]] = []
        store.workers.append(self)

    async def start(self, ip: str, port: int = 0) -> None:
        """Begin a new boot, which knows nothing of the one before."""
        self.born = int(time.time() * 1_000)
        self._zero = time.monotonic()
        self.fence = 0
        self.lease = 0
        self.runs: dict[str, Run] = {}
        self.over: dict[str, int] = {}
        self.ends: list[list[object]] = []
        self._last_end = 0
        self.acked = 0
        self.ended = asyncio.Event()
        self.address = await self.server.start(ip, port)
        self.is_up = True
        self._sequence = 0
        self._log("worker", "up", worker=self.name, born=self.born)
        self._tasks = [asyncio.create_task(self._beat()), asyncio.create_task(self._work())]

    def crash(self) -> None:
        """End the process; its entry expires after three beats of silence."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        self._log("worker", "crash", worker=self.name, born=self.born, runs=sorted(self.runs))
        self.server.stop()
        for run in self.runs.values():
            self._break_gang(run)
        asyncio.get_running_loop().call_later(3 * HEARTBEAT_S, self._expire, self.born)

    def fail(self, task: str) -> None:
        """Let a run fail, as tasks may at any time."""
        self._end(self.runs[task], "failed")

    def _expire(self, born: int) -> None:
        if not self.is_up and self.born == born:
            self._store.put("keyed.servers", self.name, b"")

    @property
    def clock(self) -> int:
        return int((time.monotonic() - self._zero) * 1_000)

    async def _beat(self) -> None:
        while True:
            self._sequence += 1
            entry = {
                "service": "pool",
                "address": self.address,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 64_000, "gpu": 0},
                "labels": self.labels,
                "clockMs": self.clock,
                "sequence": self._sequence,
                "born": self.born,
            }
            self._store.put("keyed.servers", self.name, encode(entry))
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.01)
            clock = self.clock
            for run in list(self.runs.values()):
                age = clock - run.started
                if run.gang_size and len(self._list_members(run)) < run.gang_size:
                    if age > GANG_MS:
                        self._end(run, "alone")
                    continue
                if run.saves and age >= 500:
                    # The members of a gang name one point by one value.
                    owner = run.gang[0] if run.gang_size else self.name
                    run.saved = f"{owner}.{run.number}.{age // 500:04d}"
                if clock > self.lease:
                    self._end(run, "lapsed")
                elif run.duration_ms and age >= run.duration_ms:
                    self._end(run, "failed" if run.fails else "done")

    def _list_members(self, run: Run) -> list[tuple["Worker", Run]]:
        """Return the members of a gang's run that are present, on all workers that are up."""
        return [
            (worker, other)
            for worker in self._store.workers
            if worker.is_up
            for other in worker.runs.values()
            if other.gang_size and other.gang == run.gang
        ]

    def _break_gang(self, run: Run) -> None:
        if run.gang_size:
            for worker, other in self._list_members(run):
                if other is not run:
                    worker._end(other, "broken")

    def _end(self, run: Run, how: str) -> None:
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        self.over[run.task] = max(run.number, self.over.get(run.task, 0))
        self._last_end += 1
        self.ends.append([self._last_end, run.task, run.number, how, run.saved])
        self._log(
            "worker", "end", worker=self.name, task=run.task, run=run.number, how=how,
            end=self._last_end,
        )
        self.ended.set()
        self.ended = asyncio.Event()
        if run.gang_size and how == "done":
            for worker, other in self._list_members(run):
                worker._end(other, "done")
        elif how not in ("broken", "alone"):
            self._break_gang(run)

    async def _handle(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> tuple[int, bytes] | None:
        await asyncio.sleep(0.001)
        if target == "/healthz":
            return 200, b"{}"
        if headers.get("x-expected-instance", self.name) != self.name:
            return 421, encode({"clockMs": self.clock, "born": self.born})
        call = json.loads(body)
        if call.get("fencingToken", 0) < self.fence:
            return self._refuse("fence")
        self.fence = call.get("fencingToken", 0)
        if target == "/run-start":
            return self._start(call)
        if target == "/run-stop":
            self.over[call["task"]] = max(call["run"], self.over.get(call["task"], 0))
            run = self.runs.get(call["task"])
            if run is not None and run.number <= call["run"]:
                asyncio.get_running_loop().call_later(STOP_S, self._end, run, "stopped")
            self._log("worker", "stop", worker=self.name, task=call["task"], run=call["run"])
            return 200, encode({"clockMs": self.clock, "born": self.born})
        if target == "/pace":
            return 200, encode({"clockMs": self.clock, "born": self.born})
        return await self._hold(call)

    def _refuse(self, reason: str) -> tuple[int, bytes]:
        return 409, encode({"clockMs": self.clock, "born": self.born, "reason": reason})

    def _extend(self, until: int | None) -> None:
        if until is not None:
            self.lease = max(self.lease, min(until, self.clock + HOLD_MAX_MS))

    def _start(self, call: dict[str, object]) -> tuple[int, bytes]:
        task, number = str(call["task"]), int(str(call["run"]))
        until = int(str(call["untilMs"]))
        if until <= self.clock:
            return self._refuse("late")
        self._extend(until)
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, encode({"clockMs": self.clock, "born": self.born})
        if known is not None or number <= self.over.get(task, 0):
            return self._refuse("old")
        spec = read_spec(str(call["spec"]))
        if sum(run.cpu for run in self.runs.values()) + int(spec.get("cpu", "0")) > self.cpu:
            return self._refuse("room")
        self.runs[task] = Run(task, number, spec, self.clock)
        self._log(
            "worker", "start", worker=self.name, born=self.born, task=task, run=number,
            checkpoint=call.get("checkpoint", ""), fence=call.get("fencingToken"),
        )
        return 200, encode({"clockMs": self.clock, "born": self.born})

    async def _hold(self, call: dict[str, int]) -> tuple[int, bytes]:
        self._extend(call.get("untilMs"))
        self.acked = max(self.acked, call.get("ackCursor", 0))
        self.ends = [row for row in self.ends if int(str(row[0])) > self.acked]
        until = time.monotonic() + call.get("waitMs", 0) / 1_000
        while not self.ends and time.monotonic() < until:
            try:
                await asyncio.wait_for(self.ended.wait(), until - time.monotonic())
            except TimeoutError:
                break
        running = [[r.task, r.number, r.saved, 100, r.use] for r in self.runs.values()]
        answer = {
            "clockMs": self.clock,
            "born": self.born,
            "running": running,
            "finished": self.ends[:500],
        }
        return 200, encode(answer)
