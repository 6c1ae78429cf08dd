"""Measures the base of a real daemon: memory and processor time of an idle process."""

import tempfile
import time
from pathlib import Path

import psutil

from ..processes import LocalDeployment, read_cpu_seconds
from .models import Series

_WATCH_S = 10.0


def measure_base() -> list[Series]:
    """Return memory and CPU of one daemon by the number of entry hosts it shares workers with."""
    memory, private, cpu = [], [], []
    for hosts in (1, 2, 6):
        with tempfile.TemporaryDirectory() as folder:
            local = LocalDeployment("aveia", Path(folder), entry_hosts=hosts)
            try:
                local.start()
                time.sleep(4)
                usage = _watch([running.process.pid for running in local.hosts.values()])
            finally:
                local.stop()
        held = 24 / hosts
        cpu.append((held, sum(one[0] for one in usage) / hosts))
        memory.append((held, sum(one[1] for one in usage) / hosts))
        private.append((held, sum(one[2] for one in usage) / hosts))
    role, size = "process", "workers held"
    return [
        Series(role, "CPU, % of a core", size, tuple(cpu)),
        Series(role, "resident, MB", size, tuple(memory)),
        Series(role, "private, MB", size, tuple(private)),
    ]


def _watch(pids: list[int]) -> list[tuple[float, float, float]]:
    """Return CPU in % of a core, resident and private MB of each process."""
    processes = [psutil.Process(pid) for pid in pids]
    before = [read_cpu_seconds(process) for process in processes]
    time.sleep(_WATCH_S)
    usage = []
    for process, began in zip(processes, before, strict=True):
        spent = (read_cpu_seconds(process) - began) / _WATCH_S * 100
        info = process.memory_full_info()
        usage.append((spent, info.rss / 1e6, info.uss / 1e6))
    return usage
