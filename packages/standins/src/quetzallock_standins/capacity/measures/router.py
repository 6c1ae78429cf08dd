"""Measurements of the routing of requests."""

import time

from quetzallock_core.host import EntryHost, HostSettings
from quetzallock_core.requests.const import WHOLE
from quetzallock_core.requests.models import Dispatch, DispatchDone, RequestArrived, Response

from ..const import CPU_MS_PER_PERCENT, RACK_SIZE
from ..hosts import make_loop
from ..models import Series
from .registry import MEASURES

_REQUEST_SECONDS = 5
_SLOT_SECONDS = 10


@MEASURES.register("router")
def measure_router() -> list[Series]:
    """Measure the decisions of one router on requests that are answered at once."""
    cpu = []
    for per_s in (20, 100, 400):
        loop, hosts = make_loop(1, RACK_SIZE, HostSettings())
        host = hosts["host-0"]
        loop.run(3_000)
        loop.reset()
        started_at = time.process_time_ns()
        for number in range(per_s * _REQUEST_SECONDS):
            _answer_request(host, number, loop.clock.now())
            if number % per_s == 0:
                loop.clock.advance(100)
        spent_ms = (time.process_time_ns() - started_at) / 1e6
        cpu.append((per_s, spent_ms / _REQUEST_SECONDS / CPU_MS_PER_PERCENT))
    return [Series("router", "CPU of decisions, % of a core", "requests/s", tuple(cpu))]


def _answer_request(host: EntryHost, number: int, now: int) -> None:
    host.core.fire(RequestArrived(number, "GET desk/stock", now + 1_000, True))
    for effect in host.core.drain():
        if isinstance(effect, Dispatch):
            response = Response(200, (), b"")
            done = DispatchDone(effect.ticket, effect.number, effect.worker, WHOLE, response)
            host.core.fire(done)
    host.core.drain()


@MEASURES.register("router, slot leases")
def measure_slots() -> list[Series]:
    """Measure the slot leases of one host by the number of racks that it uses."""
    sent = []
    for racks in (1, 4, 20):
        settings = HostSettings()
        loop, _ = make_loop(2, racks * RACK_SIZE, settings)
        loop.reset()
        loop.run(_SLOT_SECONDS * 1_000)
        total = sum(
            costs.bytes_by_type["RequestSlots"] + costs.bytes_by_type["SlotsLeased"]
            for costs in loop.costs.values()
        )
        used = min(racks, settings.requests.racks)
        sent.append((used, total / _SLOT_SECONDS))
    return [Series("router", "bytes/s of slot leases, one host", "racks used", tuple(sent))]
