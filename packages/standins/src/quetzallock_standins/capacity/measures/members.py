"""Measurements of the gossip between hosts."""

import gc
from random import Random

from quetzallock_core.codec import decode, encode
from quetzallock_core.core import Core
from quetzallock_core.members import setup
from quetzallock_core.members.models import PingAnswer, Rumour

from ..const import CPU_MS_PER_PERCENT
from ..hosts import make_identity, make_member_settings
from ..loop import HostLoop
from ..memory import measure_memory
from ..models import Series
from .registry import MEASURES

_DATA_CENTRES = 10
_WARM_UP_MS = 60_000
_FAILED_HOSTS = 3
_SECONDS_PER_FAILURE = 5
_SECONDS = _FAILED_HOSTS * _SECONDS_PER_FAILURE


@MEASURES.register("peer and membership")
def measure_members() -> list[Series]:
    """Measure the gossip of one host while other hosts fail, one every five seconds."""
    cpu, sent, memory = [], [], []
    for count in (15, 60, 300):
        loop = HostLoop(tick_ms=250)
        for index in range(count):
            loop.add(f"host-{index}", _make_member(loop, index, count))
        loop.run(_WARM_UP_MS)
        loop.reset()
        for failed in range(_FAILED_HOSTS):
            loop.cores.pop(f"host-{count - 1 - failed}")
            loop.run(_SECONDS_PER_FAILURE * 1_000)
        spent = loop.costs["host-2"]
        cpu.append((count, spent.cpu_ms / _SECONDS / CPU_MS_PER_PERCENT))
        sent.append((count, spent.total_bytes / _SECONDS))
        memory.append((count, _measure_member_list(count)))
    role, size = "peer and membership", "hosts"
    return [
        Series(role, "CPU, % of a core", size, tuple(cpu)),
        Series(role, "bytes/s", size, tuple(sent)),
        Series(role, "memory, KB", size, tuple(memory)),
    ]


def _make_member(loop: HostLoop, index: int, count: int) -> Core:
    identity = make_identity(index, f"dc-{index % _DATA_CENTRES}")
    core = Core(identity, loop.clock, Random(index))
    setup(core, make_member_settings(count))
    return core


def _measure_member_list(count: int) -> float:
    """Return the memory in KB of a list of `count` hosts."""
    core = _make_member(HostLoop(), 0, 1)
    raw = encode(
        tuple(
            Rumour(f"host-{index}", index, 1, "alive", f"10.0.0.{index}:7000", "dc-1")
            for index in range(1, count)
        )
    )

    def receive_list() -> None:
        core.fire(PingAnswer(0, decode(raw), -1), "host-1")
        core.drain()
        gc.collect()

    return measure_memory(receive_list)[1]
