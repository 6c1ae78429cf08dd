"""Load of many long-running jobs on a large cell whose workers leave and whose owners change."""

from hashlib import sha256
from typing import Final

from quetzallock_core.cells.models import QueuePolicy, Resources, StepSpec
from quetzallock_core.cells.orders import Effect
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec
from quetzallock_standins.emulator.owners import Owner

CAPACITY: Final = Resources(32_000, 128_000, 0)
ROUND_INTERVAL_MS: Final = 20
"""Interval of placement rounds, which are less frequent than the inventories that cause them."""
LASTING_POLICY: Final = QueuePolicy("serving", "pool", 0, 3, 2.2, 2_500, 1)
SHORT_POLICY: Final = QueuePolicy("short", "pool", 0, 2, 2.0, 1_000, 1)
FILLS_POLICY: Final = QueuePolicy("best effort", "pool", 2, 4, 2.0, 1_000, 1)
NEEDS_CPU: Final = (4_800, 5_600, 6_400, 7_200, 8_000)
TASKS_PER_JOB: Final = 14
JOBS_PER_BURST: Final = 19
BURST_INTERVAL_MS: Final = 2_000
SECONDS: Final = 14
FLOOD_S: Final = 8
LEAVE_FROM_S: Final = 6
LEAVE_INTERVAL_MS: Final = 50
LEAVE_AFTER_MS: Final = 8_000
LEAVING_SHARE: Final = 0.3
HAND_OVERS_S: Final = (5, 8)


class RecordedCluster(CellCluster):
    """A cluster with placement rounds at an interval, and a digest of all that owners decide."""

    def __init__(self, **arguments: object) -> None:
        self.digest = sha256()
        self._round_at = -ROUND_INTERVAL_MS
        super().__init__(**arguments)  # type: ignore[arg-type]

    def take_over(self) -> Owner:
        """Start a new owner, whose effects are recorded."""
        owner = super().take_over()
        pop_effects = owner.cell.pop_effects

        def record_effects() -> list[Effect]:
            effects = pop_effects()
            for effect in effects:
                self.digest.update(repr(effect).encode())
            return effects

        owner.cell.pop_effects = record_effects  # type: ignore[method-assign]
        return owner

    def run_effects(self, owner: Owner) -> None:
        """Run the effects, with a placement round if the last one is long enough ago."""
        now = self.clock.now()
        if owner.cell.state.is_start_due:
            if now - self._round_at < ROUND_INTERVAL_MS:
                owner.cell.state.is_start_due = False
            else:
                self._round_at = now
        super().run_effects(owner)


def make_cluster(workers: int, seed: int = 1) -> RecordedCluster:
    """Return a cluster without jobs."""
    cluster = RecordedCluster(workers=workers, capacity=CAPACITY, seed=seed)
    cluster.run(500)
    return cluster


def submit_lasting(cluster: CellCluster, number: int, jobs: int) -> None:
    """Submit long-running jobs of several sizes."""
    for index in range(jobs):
        needs = Resources(NEEDS_CPU[(number + index) % len(NEEDS_CPU)], 13_000, 0)
        step = StepSpec(TASKS_PER_JOB, needs, lasting=True, image=f"s{index % 5}", target_ms=45)
        cluster.submit(make_spec(f"lasting{number}-{index}", step), LASTING_POLICY, {0: None})


def submit_others(cluster: CellCluster, number: int, jobs: int) -> None:
    """Submit short and best-effort jobs."""
    for index in range(jobs):
        needs = Resources(2_000 + 700 * (index % 4), 6_000, 0)
        short = StepSpec(6, needs, estimate_ms=500)
        cluster.submit(make_spec(f"short{number}-{index}", short), SHORT_POLICY, {0: 540.0})
        fills = StepSpec(
            8, Resources(3_500, 6_400, 0), 900, saves=True, fills=True, image=f"f{index % 9}"
        )
        cluster.submit(make_spec(f"fills{number}-{index}", fills), FILLS_POLICY, {0: 1_900.0})


def drain(cluster: CellCluster, worker_id: str) -> None:
    """Let a worker announce that it leaves, and leave later."""
    worker = cluster.workers[worker_id]
    worker.drain()
    cluster.schedule(LEAVE_AFTER_MS, worker.crash)


def play_flood(
    cluster: CellCluster, lasting_jobs: int, other_jobs: int, seconds: int = SECONDS
) -> None:
    """Submit more long-running jobs than fit while workers leave and owners are replaced."""
    leaving = [f"w{number}" for number in range(int(LEAVING_SHARE * len(cluster.workers)))]
    for second in range(seconds):
        if second < FLOOD_S and second * 1_000 % BURST_INTERVAL_MS == 0:
            submit_lasting(cluster, second, lasting_jobs)
        submit_others(cluster, second, other_jobs)
        if second in HAND_OVERS_S:
            cluster.hand_over()
        for _ in range(1_000 // LEAVE_INTERVAL_MS):
            if second >= LEAVE_FROM_S and leaving:
                drain(cluster, leaving.pop())
            cluster.run(LEAVE_INTERVAL_MS)
