"""A deployment as the stand-ins make it up: data centres, racks, workers, entry hosts."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from quetzallock_core.workers.models import Resources

from .const import LOOPBACK


@dataclass(frozen=True, slots=True)
class WorkerKind:
    """What each worker of a deployment has.

    Attributes:
        service: Share of the worker that its backend server takes.
    """

    capacity: Resources
    slots: int
    connections: int
    service: Resources


@dataclass(frozen=True, slots=True)
class Deployment:
    """One user's deployment."""

    name: str
    service: str
    entry_hosts: int
    data_centres: tuple[str, ...]
    racks_per_data_centre: int
    workers_per_rack: int
    worker: WorkerKind

    def list_rows(self, worker_port: int) -> list[dict[str, str | int]]:
        """Return a row of the host list for each worker, all served on one port."""
        rows: list[dict[str, str | int]] = []
        for data_centre in self.data_centres:
            for rack in range(self.racks_per_data_centre):
                for index in range(self.workers_per_rack):
                    rows.append(
                        {
                            "worker": f"{data_centre}-{rack}-{index}",
                            "rack": f"{data_centre}-{rack}",
                            "data_centre": data_centre,
                            "address": f"{LOOPBACK}:{worker_port}",
                            "cpu_milli": self.worker.capacity.cpu_milli,
                            "memory_mb": self.worker.capacity.memory_mb,
                            "accelerators": self.worker.capacity.accelerators,
                        }
                    )
        return rows


def load_deployment(path: Path) -> Deployment:
    """Return the deployment in a TOML file."""
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    worker = document["worker"]
    return Deployment(
        document["name"],
        document["service"],
        document["entry_hosts"],
        tuple(document["data_centres"]),
        document["racks_per_data_centre"],
        document["workers_per_rack"],
        WorkerKind(
            Resources(worker["cpu_milli"], worker["memory_mb"], worker["accelerators"]),
            worker["slots"],
            worker["connections"],
            Resources(worker["service_cpu_milli"], worker["service_memory_mb"], 0),
        ),
    )
