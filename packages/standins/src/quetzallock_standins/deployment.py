"""Description of a deployment that the stand-ins emulate: data centres, racks, workers, hosts."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

from quetzallock_core.workers.models import Resources

from .const import LOOPBACK


@dataclass(frozen=True, slots=True)
class WorkerSpec:
    """Resources of each worker of a deployment.

    Attributes:
        service: Part of the capacity that the backend server uses.
    """

    capacity: Resources
    slots: int
    connections: int
    service: Resources


@dataclass(frozen=True, slots=True)
class Deployment:
    """Size of one user's deployment."""

    name: str
    service: str
    entry_hosts: int
    data_centres: tuple[str, ...]
    racks_per_data_centre: int
    workers_per_rack: int
    worker: WorkerSpec

    def list_rows(self, worker_port: int) -> list[dict[str, str | int]]:
        """Return a row of the host list for each worker; all of them share one address."""
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
    """Return the deployment that a TOML file describes."""
    document = tomllib.loads(path.read_text(encoding="utf-8"))
    worker = document["worker"]
    return Deployment(
        document["name"],
        document["service"],
        document["entry_hosts"],
        tuple(document["data_centres"]),
        document["racks_per_data_centre"],
        document["workers_per_rack"],
        WorkerSpec(
            Resources(worker["cpu_milli"], worker["memory_mb"], worker["accelerators"]),
            worker["slots"],
            worker["connections"],
            Resources(worker["service_cpu_milli"], worker["service_memory_mb"], 0),
        ),
    )
