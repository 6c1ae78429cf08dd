"""Measures the latency that a daemon adds to a request and the processor time that it uses."""

import http.client
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import psutil

from ..const import LOOPBACK, WORK_HEADER
from ..processes import LocalDeployment, read_cpu_seconds
from .verdict import compute_quantile

_WARM_UP_REQUESTS: Final = 100
_REQUESTS: Final = 1_000
_IDLE_S: Final = 3.0


@dataclass(frozen=True, slots=True)
class Cost:
    """Times in ms for a request, measured with one request at a time.

    Attributes:
        direct_p50: Median latency of requests that go directly to the backend server.
        through_p50: Median latency through a daemon.
        cpu: Processor time of the daemon for a request, without what it uses when idle.
    """

    direct_p50: float
    through_p50: float
    cpu: float

    @property
    def added_p50(self) -> float:
        """Median latency that the daemon adds."""
        return self.through_p50 - self.direct_p50


def measure_cost(name: str) -> Cost:
    """Return the cost of a request on an idle machine."""
    with tempfile.TemporaryDirectory() as folder:
        local = LocalDeployment(name, Path(folder), entry_hosts=1)
        try:
            local.start()
            local.publish_presets("ordinary")
            time.sleep(_IDLE_S)
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
    _time_requests(through, f"/v1/call/{service}/stock", _WARM_UP_REQUESTS)
    idle_share = _measure_idle_share(process)
    cpu_before, started_at = read_cpu_seconds(process), time.monotonic()
    through_times = _time_requests(through, f"/v1/call/{service}/stock", _REQUESTS)
    cpu_s, elapsed_s = read_cpu_seconds(process) - cpu_before, time.monotonic() - started_at
    direct_times = _time_requests(direct, f"/workers/{worker}/services/{service}/stock", _REQUESTS)
    cpu = (cpu_s - idle_share * elapsed_s) * 1_000 / _REQUESTS
    return Cost(compute_quantile(direct_times, 0.5), compute_quantile(through_times, 0.5), cpu)


def _time_requests(connection: http.client.HTTPConnection, path: str, count: int) -> list[float]:
    times = []
    for _ in range(count):
        started_at = time.perf_counter()
        connection.request("GET", path, headers={WORK_HEADER: "0"})
        connection.getresponse().read()
        times.append((time.perf_counter() - started_at) * 1_000)
    return sorted(times)


def _measure_idle_share(process: psutil.Process) -> float:
    """Return the share of a core that the daemon uses without requests."""
    cpu_before = read_cpu_seconds(process)
    time.sleep(_IDLE_S)
    return (read_cpu_seconds(process) - cpu_before) / _IDLE_S


def render_cost(cost: Cost) -> str:
    """Return the cost as text."""
    return (
        f"p50 direct {cost.direct_p50:.2f} ms, through a daemon {cost.through_p50:.2f} ms:"
        f" added {cost.added_p50:.2f} ms (target 2); processor time {cost.cpu:.2f} ms a request"
    )
