"""Entry hosts in one process that answer each other at once, with bytes and time counted.

It measures the decisions alone: no sockets, no faults.
"""

import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any

from quetzallock_core.clock import ManualClock
from quetzallock_core.codec import encode
from quetzallock_core.core import Core
from quetzallock_core.effects import (
    Answer,
    Append,
    Appended,
    CallWorker,
    Read,
    ReadDone,
    Send,
    WorkerAnswered,
)

from ..log.model import LogModel
from ..workers.model import WorkerModel

FRAME_BYTES = 4


@dataclass(slots=True)
class Costs:
    """What was spent: CPU in ms, messages and bytes by type of message."""

    cpu_ms: float = 0.0
    messages: Counter[str] = field(default_factory=Counter)
    sent: Counter[str] = field(default_factory=Counter)

    def note(self, name: str, size: int) -> None:
        """Count a message."""
        self.messages[name] += 1
        self.sent[name] += size

    @property
    def total_bytes(self) -> int:
        """All bytes."""
        return sum(self.sent.values())


class Loop:
    """Hosts by name; `measured` is the one whose costs are kept."""

    def __init__(self, tick_ms: int = 100) -> None:
        self.clock = ManualClock(1_000)
        self.cores: dict[str, Core] = {}
        self.workers: dict[str, WorkerModel] = {}
        self.log = LogModel(3_600_000)
        self.log.faults.appends_per_second = 1_000_000
        self.costs: dict[str, Costs] = {}
        self.answers: dict[int, Any] = {}
        self._tick_ms = tick_ms
        self._rng = Random(1)

    def add(self, name: str, core: Core) -> None:
        """Add a host."""
        self.cores[name] = core
        self.costs[name] = Costs()

    def run(self, ms: int) -> None:
        """Let `ms` milliseconds pass."""
        for _ in range(ms // self._tick_ms):
            self.clock.advance(self._tick_ms)
            for worker in self.workers.values():
                worker.advance(self.clock.now())
            for name, core in self.cores.items():
                self._spend(name, core.tick)
                self._settle(name)

    def fire(self, name: str, event: object, source: str = "") -> None:
        """Hand an event to a host."""
        self._spend(name, lambda: self.cores[name].fire(event, source))
        self._settle(name)

    def reset(self) -> None:
        """Begin to count anew."""
        for name in self.costs:
            self.costs[name] = Costs()

    def _spend(self, name: str, run: Callable[[], None]) -> None:
        began = time.process_time_ns()
        run()
        self.costs[name].cpu_ms += (time.process_time_ns() - began) / 1e6

    def _settle(self, name: str) -> None:
        pending = [(name, effect) for effect in self.cores[name].drain()]
        while pending:
            source, effect = pending.pop(0)
            target, event, origin = self._carry_out(source, effect)
            if target is None:
                continue
            self._spend(target, lambda t=target, e=event, o=origin: self.cores[t].fire(e, o))  # type: ignore[misc]
            pending.extend((target, one) for one in self.cores[target].drain())

    def _carry_out(self, source: str, effect: object) -> tuple[str | None, object, str]:
        now = self.clock.now()
        costs = self.costs[source]
        match effect:
            case Send(to, message):
                target = to.partition(":")[0]
                if target != source:
                    costs.note(type(message).__name__, len(encode(message)) + FRAME_BYTES)
                return (target if target in self.cores else None), message, source
            case CallWorker(worker, command):
                answer = self.workers[worker].handle(command, now)
                costs.note(type(command).__name__, len(encode(command)) + len(encode(answer)))
                return source, WorkerAnswered(worker, command, answer, now), ""
            case Append(stream, record):
                costs.note("Append", len(record))
                self.log.append(stream, record, now)
                return source, Appended(stream, True), ""
            case Read(stream, offset):
                page = self.log.read(stream, offset, now)
                size = sum(len(raw) for _, raw in page.records)
                costs.note("Read", size)
                done = ReadDone(
                    stream, True, offset, now, page.first, page.next_offset, page.records
                )
                return source, done, ""
            case Answer(ticket, body):
                self.answers[ticket] = body
        return None, None, ""
