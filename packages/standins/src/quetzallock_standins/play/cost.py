"""Measures what one request costs in a daemon: added time, and processor time."""

import http.client
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import psutil

from ..const import LOOPBACK, WORK_HEADER
from ..processes import LocalDeployment, read_cpu_seconds
from .verdict import find_quantile

_WARM: Final = 100
_REQUESTS: Final = 1_000
_SETTLE_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Times in ms of one request after another.

    Attributes:
        direct_p50: Median straight to the backend server.
        through_p50: Median through a daemon.
        cpu: Processor time of the daemon for a request, what it spends idle taken off.
    """

    direct_p50: float
    through_p50: float
    cpu: float

    @property
    def added_p50(self) -> float:
        """Median time that the daemon adds."""
        return self.through_p50 - self.direct_p50


def measure_cost(name: str) -> Cost:
    """Return the cost of a request on an idle machine."""
    with tempfile.TemporaryDirectory() as folder:
        local = LocalDeployment(name, Path(folder), entry_hosts=1)
        try:
            local.start()
            local.publish_presets("ordinary")
            time.sleep(_SETTLE_S)
            return _measure(local)
        finally:
            local.stop()


def _measure(local: LocalDeployment) -> Cost:
    running = next(iter(local.hosts.values()))
    service = local.deployment.service
    worker = local.deployment.list_rows(0)[0]["worker"]
    through = http.client.HTTPConnection(running.http.removeprefix("http://"))
    direct = http.client.HTTPConnection(LOOPBACK, local.worker_port)
    process = psutil.Process(running.process.pid)
    _repeat(through, f"/v1/call/{service}/stock", _WARM)
    idle_share = _watch_idle(process)
    before, began = read_cpu_seconds(process), time.monotonic()
    through_times = _repeat(through, f"/v1/call/{service}/stock", _REQUESTS)
    spent, took = read_cpu_seconds(process) - before, time.monotonic() - began
    direct_times = _repeat(direct, f"/workers/{worker}/services/{service}/stock", _REQUESTS)
    cpu = (spent - idle_share * took) * 1_000 / _REQUESTS
    return Cost(find_quantile(direct_times, 0.5), find_quantile(through_times, 0.5), cpu)


def _repeat(connection: http.client.HTTPConnection, path: str, number: int) -> list[float]:
    times = []
    for _ in range(number):
        began = time.perf_counter()
        connection.request("GET", path, headers={WORK_HEADER: "0"})
        connection.getresponse().read()
        times.append((time.perf_counter() - began) * 1_000)
    return sorted(times)


def _watch_idle(process: psutil.Process) -> float:
    """Return the share of a core that the daemon spends without requests."""
    before = read_cpu_seconds(process)
    time.sleep(_SETTLE_S)
    return (read_cpu_seconds(process) - before) / _SETTLE_S


def render_cost(cost: Cost) -> str:
    """Return the cost as text."""
    return (
        f"p50 direct {cost.direct_p50:.2f} ms, through a daemon {cost.through_p50:.2f} ms:"
        f" added {cost.added_p50:.2f} ms (target 2); processor time {cost.cpu:.2f} ms a request"
    )
