"""Measures the fixed costs of a real daemon: memory and processor time of an idle process."""

import tempfile
import time
from pathlib import Path

import psutil

from ..processes import LocalDeployment, read_cpu_seconds
from .models import Series

_MEASURE_S = 10.0


def measure_base() -> list[Series]:
    """Return memory and CPU of one daemon by the number of workers that it leases.

    1, 2 or 6 entry hosts share the 24 workers of the deployment `aveia`.
    """
    memory, private, cpu = [], [], []
    for hosts in (1, 2, 6):
        with tempfile.TemporaryDirectory() as folder:
            local = LocalDeployment("aveia", Path(folder), entry_hosts=hosts)
            try:
                local.start()
                time.sleep(4)
                usage = _measure_usage([running.process.pid for running in local.hosts.values()])
            finally:
                local.stop()
        leased_workers = 24 / hosts
        cpu.append((leased_workers, sum(process_usage[0] for process_usage in usage) / hosts))
        memory.append((leased_workers, sum(process_usage[1] for process_usage in usage) / hosts))
        private.append((leased_workers, sum(process_usage[2] for process_usage in usage) / hosts))
    role, size = "process", "workers held"
    return [
        Series(role, "CPU, % of a core", size, tuple(cpu)),
        Series(role, "resident, MB", size, tuple(memory)),
        Series(role, "private, MB", size, tuple(private)),
    ]


def _measure_usage(pids: list[int]) -> list[tuple[float, float, float]]:
    """Return CPU in % of a core, resident and private MB of each process."""
    processes = [psutil.Process(pid) for pid in pids]
    cpu_times_before = [read_cpu_seconds(process) for process in processes]
    time.sleep(_MEASURE_S)
    usage = []
    for process, cpu_before in zip(processes, cpu_times_before, strict=True):
        cpu_percent = (read_cpu_seconds(process) - cpu_before) / _MEASURE_S * 100
        info = process.memory_full_info()
        usage.append((cpu_percent, info.rss / 1e6, info.uss / 1e6))
    return usage
