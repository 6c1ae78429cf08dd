"""Records when processes of a course waited for a processor: the machine slowed them, no fault did.

The kernel counts the time in which a process could have run and did not. Time in which a process
keeps the processor to itself does not count, so a host that blocks itself is not excused.
"""

from pathlib import Path
from typing import Final

from .deployment import Disturbances, SoakDeployment, Span, now_ms
from .fault_log import FaultLog

STARVED_MS: Final = 500
"""Wait between two samples from which on a process counts as slowed down."""
SAMPLE_PAUSE_MS: Final = 100
_NS_PER_MS: Final = 1_000_000


def read_wait_ms(pid: int | str, proc: Path = Path("/proc")) -> float:
    """Return how long a process has waited for a processor, 0 if it has ended."""
    try:
        fields = (proc / str(pid) / "schedstat").read_text().split()
    except OSError:
        return 0.0
    return int(fields[1]) / _NS_PER_MS if len(fields) > 1 else 0.0


class StarvationWatch:
    """Samples how long processes waited, and records what disturbed which host.

    A wait of the test or of the stand-in disturbs all hosts: their paths to the store lead there.

    Attributes:
        waits: Begin and end of each wait of any process.
    """

    def __init__(self, deployment: SoakDeployment, log: FaultLog) -> None:
        self._deployment = deployment
        self._log = log
        self._waited: dict[int | str, float] = {}
        self.waits: list[Span] = []

    def sample(self) -> None:
        """Read the waits since the last sample."""
        deployment = self._deployment
        for pid in ("self", deployment.standin_pid):
            self._record("the test or the stand-in", pid, deployment.store_disturbances)
        for host in deployment.hosts:
            if host.process is not None:
                self._record(host.name, host.process.pid, host.process_disturbances)

    def _record(self, name: str, pid: int | str, disturbances: Disturbances) -> None:
        waited = read_wait_ms(pid)
        before = self._waited.get(pid, waited)
        self._waited[pid] = waited
        if waited - before >= STARVED_MS:
            began_at = now_ms() - (waited - before)
            disturbances.add(began_at)
            self.waits.append((began_at, now_ms()))
            self._log.add(f"{name} waited {waited - before:.0f} ms for a processor")
