"""The platform's store: partitions of records, keyed topics and groups, as PROTOCOL.md tells."""

import asyncio
import base64
import json
import time
from dataclasses import dataclass, field

from .http import Request, Server

PARTS = 12
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
KEPT_ANSWERS = 5
APPEND_S = 0.002
ANSWER_S = 0.002
NEWEST_ITEMS = 500
NEWEST_BYTES = 1_000_000


def split(data: bytes) -> list[bytes]:
    """Return the records of a call, each after its length."""
    records, at = [], 0
    while at + 4 <= len(data):
        size = int.from_bytes(data[at : at + 4], "big")
        records.append(data[at + 4 : at + 4 + size])
        at += 4 + size
    return records


@dataclass
class Partition:
    """One partition of a keyed topic."""

    records: list[bytes] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    epoch: int = -1
    sequence: int = 0
    answers: dict[int, bytes] = field(default_factory=dict)
    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def append(self, records: list[bytes]) -> int:
        """Append records and return the offset of the first one."""
        offset = len(self.records)
        for record in records:
            size = record[0]
            key, value = record[1 : 1 + size].decode(), record[1 + size :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(record)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return offset


@dataclass
class Group:
    """A group: its members with the end of their membership, and who holds and shall hold what."""

    generation: int = 0
    members: dict[str, float] = field(default_factory=dict)
    holder: dict[int, str] = field(default_factory=dict)
    target: dict[int, str] = field(default_factory=dict)

    def rebalance(self) -> None:
        """Distribute the partitions evenly after a change; a holder keeps what it may, the last first."""
        self.generation += 1
        names = sorted(self.members)
        self.holder = {part: name for part, name in self.holder.items() if name in self.members}
        if not names:
            self.target = {}
            return
        most = -(-PARTS // len(names))
        counts = dict.fromkeys(names, 0)
        target: dict[int, str] = {}
        for part in reversed(range(PARTS)):
            name = self.target.get(part, "")
            if name in counts and counts[name] < most:
                target[part] = name
                counts[name] += 1
        for part in range(PARTS):
            if part not in target:
                name = min(names, key=lambda other: counts[other])
                target[part] = name
                counts[name] += 1
        self.target = target
        self.settle()

    def settle(self) -> None:
        """Give the partitions that nobody holds to those who shall hold them."""
        for part, name in self.target.items():
            self.holder.setdefault(part, name)


class Store:
    """The store. `refused` counts appends that broke its limits."""

    def __init__(self) -> None:
        self.partitions: dict[tuple[str, int], Partition] = {}
        self.groups: dict[str, Group] = {}
        self.refused: list[str] = []
        self.is_down = False
        self.server = Server(self.handle)

    def get(self, topic: str, part: int) -> Partition:
        """Return a partition, which is created on first use."""
        return self.partitions.setdefault((topic, part), Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Write a record as the operator or a worker does; an empty value drops the key."""
        self.get(topic, 0).append([bytes([len(key)]) + key.encode() + value])

    async def go_down(self, seconds: float) -> None:
        """Answer all calls with 503 for a while, in which the members' times pause."""
        self.is_down = True
        await asyncio.sleep(seconds)
        self.is_down = False
        for group in self.groups.values():
            group.members = {name: until + seconds for name, until in group.members.items()}

    def expire_members(self) -> None:
        """Drop the members whose time has passed."""
        now = time.monotonic()
        for group in self.groups.values():
            late = [name for name, until in group.members.items() if until < now]
            for name in late:
                del group.members[name]
            if late:
                group.rebalance()

    async def handle(self, request: Request) -> tuple[int, bytes]:
        """Handle one call."""
        if self.is_down:
            return 503, b"{}"
        self.expire_members()
        name = request.path.strip("/").replace("-", "_")
        handler = getattr(self, "do_" + name, None)
        if handler is None:
            return 404, b"{}"
        status, answer = await handler(request)
        await asyncio.sleep(ANSWER_S)
        return status, answer if isinstance(answer, bytes) else json.dumps(answer).encode()

    async def do_log_append(self, request: Request) -> tuple[int, object]:
        """Append records all or nothing, under the rules of epochs and sequence numbers."""
        query = request.query
        part = self.get(query["topic"], int(query["part"]))
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            epoch, sequence = int(query["epoch"]), int(query["sequence"])
            if epoch < part.epoch:
                return 409, {"reason": "fenced"}
            if not request.body:
                if epoch > part.epoch:
                    part.epoch, part.sequence, part.answers = epoch, sequence, {}
                return 200, {"offset": len(part.records), "end": len(part.records)}
            if epoch == part.epoch and sequence in part.answers:
                return 200, part.answers[sequence]
            if epoch == part.epoch and sequence != part.sequence + 1:
                return 409, {"reason": "seq", "sequence": part.sequence + 1}
            records = split(request.body)
            largest = max(len(record) for record in records)
            if largest > RECORD_BYTES or sum(map(len, records)) > CALL_BYTES:
                self.refused.append(f"{query['topic']}/{query['part']}: record of {largest} bytes")
                return 400, {"reason": "size"}
            if epoch > part.epoch:
                part.answers = {}
            offset = part.append(records)
            part.epoch, part.sequence = epoch, sequence
            answer = json.dumps({"offset": offset, "end": len(part.records)}).encode()
            part.answers[sequence] = answer
            for old in sorted(part.answers)[:-KEPT_ANSWERS]:
                del part.answers[old]
            return 200, answer

    async def do_log_read(self, request: Request) -> tuple[int, object]:
        """Read records from an offset on; wait for the first one."""
        query = request.query
        part = self.get(query["topic"], int(query["part"]))
        offset = int(query["from"])
        until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while len(part.records) <= offset and time.monotonic() < until:
            try:
                async with asyncio.timeout(until - time.monotonic()):
                    await part.changed.wait()
            except TimeoutError:
                break
        data = len(part.records).to_bytes(8, "big") + bytes(8)
        limit = int(query.get("maxSize", "1024")) * 1024
        for record in part.records[offset:]:
            if len(data) + len(record) > limit:
                break
            data += len(record).to_bytes(4, "big") + record
        return 200, data

    async def do_log_newest(self, request: Request) -> tuple[int, object]:
        """Return a page of the newest record of each key."""
        query = request.query
        part = self.get(query["topic"], int(query["part"]))
        items, size = [], 0
        keys = sorted(key for key in part.newest if key > query.get("after", ""))
        for key in keys:
            offset, value = part.newest[key]
            if len(items) == NEWEST_ITEMS or (items and size + len(value) > NEWEST_BYTES):
                break
            size += len(value)
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
        end = len(part.records)
        return 200, {"items": items, "hasMore": len(items) < len(keys), "end": end}

    async def do_log_join(self, request: Request) -> tuple[int, object]:
        """Join a group or stay in it; give up what is not listed any more."""
        body = json.loads(request.body)
        group = self.groups.setdefault(body["group"], Group())
        name = body["member"]
        is_new = name not in group.members
        group.members[name] = time.monotonic() + body["ttlMs"] / 1000
        if is_new:
            group.rebalance()
        if body["generation"] >= group.generation:
            for part, holder in list(group.holder.items()):
                if holder == name and group.target.get(part) != name:
                    del group.holder[part]
            group.settle()
        topic = body["topics"][0]
        rows = [
            [topic, part, 0]
            for part in range(PARTS)
            if group.holder.get(part) == name and group.target.get(part) == name
        ]
        return 200, {"generation": group.generation, "parts": rows}

    async def do_log_leave(self, request: Request) -> tuple[int, object]:
        """Leave a group."""
        body = json.loads(request.body)
        group = self.groups.setdefault(body["group"], Group())
        if group.members.pop(body["member"], None) is not None:
            group.rebalance()
        return 200, {}

    async def do_log_owners(self, request: Request) -> tuple[int, object]:
        """Return who holds each partition."""
        group = self.groups.setdefault(request.query["group"], Group())
        rows = [["keyed.cells", part, name, 0] for part, name in sorted(group.holder.items())]
        return 200, {"owners": rows}
