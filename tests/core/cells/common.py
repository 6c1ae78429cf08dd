"""Jobs and clusters that the tests of cells share."""

from typing import Any

from quetzallock_core.cells.models import Inventory, JobSpec, QueuePolicy, Resources, StepSpec
from quetzallock_core.cells.orders import Decision, Effect
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import Owner, make_spec

CAPACITY = Resources(16_000, 64_000, 0)
SERVING_POLICY = QueuePolicy("serving", "pool", 0, 3, 2.2, 2_500, 1)
BEST_EFFORT_POLICY = QueuePolicy("best effort", "pool", 2, 4, 2.0, 1_000, 1)
POLICY = QueuePolicy("queue", "pool", 0, 2, 2.0, 1_000, 1)
SMALL = Resources(1_000, 2_000, 0)


class TracedCluster(CellCluster):
    """A cluster that keeps the decisions of its owners."""

    def __init__(self, **fields: Any) -> None:
        self.decisions: list[Decision] = []
        super().__init__(**fields)

    def run_effects(self, owner: Owner) -> None:
        """Keep the decisions among the effects, and run all of them."""
        if owner.cell.state.is_start_due:
            owner.cell.start_waiting_tasks()
        effects: list[Effect] = owner.cell.pop_effects()
        self.decisions += [effect for effect in effects if isinstance(effect, Decision)]
        for effect in effects:
            owner.cell.state.emit(effect)
        super().run_effects(owner)

    def list_inputs(self, event: str) -> list[dict[str, object]]:
        """Return the inputs of the decisions on an event."""
        return [decision.inputs for decision in self.decisions if decision.event == event]


def answer_as_next_boot(cluster: CellCluster, worker: str) -> None:
    """Let the next boot of a worker answer a poll, and the owner read the platform's list."""
    cell, now = cluster.cell, cluster.clock.now()
    answer = cluster.workers[worker].poll_inventory(cluster.owner.epoch, 0, None)
    assert isinstance(answer, Inventory)
    cell.handle_inventory(cell.state.workers[worker].boot, answer, now)
    cell.handle_entries(cluster._list_entries())


def make_step(count: int = 2, **fields: object) -> StepSpec:
    """Return a step of small tasks."""
    return StepSpec(**{"count": count, "needs": SMALL, "estimate_ms": 500, **fields})  # type: ignore[arg-type]


def submit_plain(
    cluster: CellCluster, job: str, count: int = 2, duration_ms: float = 500
) -> JobSpec:
    """Submit a job of one step of small tasks."""
    spec = make_spec(job, make_step(count))
    cluster.submit(spec, POLICY, {0: duration_ms})
    return spec
