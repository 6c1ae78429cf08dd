"""Sets up the entry hosts, workers and tasks that the measurements run."""

from collections.abc import Iterable
from dataclasses import replace
from random import Random

from quetzallock_core.core import Identity
from quetzallock_core.host import EntryHost, HostSettings, make_host
from quetzallock_core.members.const import MemberSettings
from quetzallock_core.placement.models import WorkersListed
from quetzallock_core.workers.models import WorkerInfo

from ..workers.models import WorkerShape
from ..workers.worker import WorkerModel
from .const import RACK_SIZE, WORKER_CAPACITY
from .loop import HostLoop

_WARM_UP_MS = 12_000
_INITIAL_UPTIME_MS = 60_000


def make_loop(
    hosts: int, workers: int, settings: HostSettings
) -> tuple[HostLoop, dict[str, EntryHost]]:
    """Return hosts that have run until members and leases are stable."""
    loop = HostLoop()
    settings = replace(settings, members=make_member_settings(hosts))
    entry_hosts = {}
    for index in range(hosts):
        identity = make_identity(index)
        host = make_host(identity, settings, loop.clock, Random(index))
        entry_hosts[identity.host] = host
        loop.add(identity.host, host.core)
    infos = make_worker_infos(workers)
    add_workers(loop, infos)
    for name in entry_hosts:
        loop.fire(name, WorkersListed(infos))
    loop.run(_WARM_UP_MS)
    return loop, entry_hosts


def make_identity(index: int, data_centre: str = "dc-1") -> Identity:
    """Return the identity of the host `host-INDEX`."""
    name = f"host-{index}"
    return Identity(name, index + 1, f"{name}:1", data_centre)


def make_member_settings(hosts: int) -> MemberSettings:
    """Return settings with which `hosts` hosts find each other."""
    return MemberSettings(seeds=("host-0:1", "host-1:1")) if hosts > 1 else MemberSettings()


def make_worker_infos(workers: int) -> tuple[WorkerInfo, ...]:
    """Return the platform's list of `workers` workers in full racks of one data centre."""
    return tuple(
        WorkerInfo(f"w{index}", f"rack-{index // RACK_SIZE}", "dc-1", f"10.0.0.1:{index}")
        for index in range(workers)
    )


def add_workers(loop: HostLoop, infos: Iterable[WorkerInfo]) -> None:
    """Add a model of each listed worker to the loop."""
    for info in infos:
        loop.workers[info.worker] = WorkerModel(
            info.worker, WorkerShape(WORKER_CAPACITY), "boot", booted_at=-_INITIAL_UPTIME_MS
        )
