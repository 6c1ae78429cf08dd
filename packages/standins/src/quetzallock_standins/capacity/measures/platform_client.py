"""Measurements of the client of the platform."""

import json
import time
from functools import partial

from quetzallock_daemon.platform.models import parse_host_list

from ..memory import measure_memory
from ..models import Series
from .registry import MEASURES


@MEASURES.register("platform client")
def measure_host_list() -> list[Series]:
    """Measure size, CPU time to parse and memory of the host list by the number of workers."""
    size, cpu, memory = [], [], []
    for count in (24, 470, 4_700):
        body = _make_host_list(count)
        workers, used_kb = measure_memory(partial(parse_host_list, body))
        assert len(workers) == count
        started_at = time.process_time_ns()
        parse_host_list(body)
        cpu.append((count, (time.process_time_ns() - started_at) / 1e6))
        size.append((count, len(body) / 1e3))
        memory.append((count, used_kb))
    role, name = "platform client", "workers in all"
    return [
        Series(role, "host list, KB", name, tuple(size)),
        Series(role, "host list, ms to read", name, tuple(cpu)),
        Series(role, "host list, KB of memory", name, tuple(memory)),
    ]


def _make_host_list(workers: int) -> bytes:
    """Return the platform's answer that lists `workers` workers."""
    rows = [
        {
            "worker": f"dc-1-{index // 10}-{index % 10}",
            "rack": f"dc-1-{index // 10}",
            "data_centre": "dc-1",
            "address": f"10.1.{index // 250}.{index % 250}:8000",
            "cpu_milli": 16_000,
            "memory_mb": 64_000,
            "accelerators": 1,
            "state": "live",
        }
        for index in range(workers)
    ]
    return json.dumps({"workers": rows}).encode()
