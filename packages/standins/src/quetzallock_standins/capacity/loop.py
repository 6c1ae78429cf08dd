"""Runs entry hosts in one process without sockets or faults, and counts their CPU and bytes.

Hosts answer each other at once, so that only the cost of their decisions is measured.
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
from ..workers.worker import WorkerModel

FRAME_HEADER_BYTES = 4


@dataclass(slots=True)
class Costs:
    """Costs of one host.

    Attributes:
        cpu_ms: Processor time in ms.
        messages: Number of messages by type.
        bytes_by_type: Bytes by type of message. A command counts with its answer, and a read of
            the log with the records that it returns.
    """

    cpu_ms: float = 0.0
    messages: Counter[str] = field(default_factory=Counter)
    bytes_by_type: Counter[str] = field(default_factory=Counter)

    def count_message(self, name: str, size: int) -> None:
        """Count a message of `size` bytes."""
        self.messages[name] += 1
        self.bytes_by_type[name] += size

    @property
    def total_bytes(self) -> int:
        """Bytes of all messages."""
        return sum(self.bytes_by_type.values())


class HostLoop:
    """Entry hosts, workers and the log on a manual clock.

    Attributes:
        cores: Hosts by name.
        costs: Costs of each host since the last `reset`.
        answers: Answers to callers by ticket.
    """

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
        """Advance the clock by `ms` milliseconds."""
        for _ in range(ms // self._tick_ms):
            self.clock.advance(self._tick_ms)
            for worker in self.workers.values():
                worker.advance(self.clock.now())
            for name, core in self.cores.items():
                self._run_timed(name, core.tick)
                self._run_effects(name)

    def fire(self, name: str, event: object, source: str = "") -> None:
        """Pass an event to a host and run all effects that follow from it."""
        self._run_timed(name, lambda: self.cores[name].fire(event, source))
        self._run_effects(name)

    def reset(self) -> None:
        """Reset the costs of all hosts."""
        for name in self.costs:
            self.costs[name] = Costs()

    def _run_timed(self, name: str, run: Callable[[], None]) -> None:
        started_at = time.process_time_ns()
        run()
        self.costs[name].cpu_ms += (time.process_time_ns() - started_at) / 1e6

    def _run_effects(self, name: str) -> None:
        pending = [(name, effect) for effect in self.cores[name].drain()]
        while pending:
            source, effect = pending.pop(0)
            target, event, origin = self._run_effect(source, effect)
            if target is None:
                continue
            self._run_timed(target, lambda t=target, e=event, o=origin: self.cores[t].fire(e, o))  # type: ignore[misc]
            pending.extend((target, further) for further in self.cores[target].drain())

    def _run_effect(self, source: str, effect: object) -> tuple[str | None, object, str]:
        now = self.clock.now()
        costs = self.costs[source]
        match effect:
            case Send(to, message):
                target = to.partition(":")[0]
                if target != source:
                    costs.count_message(
                        type(message).__name__, len(encode(message)) + FRAME_HEADER_BYTES
                    )
                return (target if target in self.cores else None), message, source
            case CallWorker(worker, command):
                answer = self.workers[worker].handle(command, now)
                costs.count_message(
                    type(command).__name__, len(encode(command)) + len(encode(answer))
                )
                return source, WorkerAnswered(worker, command, answer, now), ""
            case Append(stream, record):
                costs.count_message("Append", len(record))
                self.log.append(stream, record, now)
                return source, Appended(stream, True), ""
            case Read(stream, offset):
                page = self.log.read(stream, offset, now)
                size = sum(len(raw) for _, raw in page.records)
                costs.count_message("Read", size)
                done = ReadDone(
                    stream, True, offset, now, page.first, page.next_offset, page.records
                )
                return source, done, ""
            case Answer(ticket, body):
                self.answers[ticket] = body
        return None, None, ""
