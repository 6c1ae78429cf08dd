"""How long an urgent task waits for a placement round of its cell's owner."""

from collections import Counter
from dataclasses import dataclass, field

from twisted.internet.task import Clock

from quetzallock_daemon.cells.const import PLACEMENT_PAUSE_FACTOR, PLACEMENT_PAUSE_MS
from quetzallock_daemon.cells.load_meter import LoadMeter
from quetzallock_daemon.cells.placement import PlacementRounds

FULL_ROUND_S = 0.05
URGENT_ROUND_S = 0.001
STEP_S = 0.001
PAUSE_S = PLACEMENT_PAUSE_MS / 1_000


@dataclass
class SlowCell:
    """A cell whose rounds take time, as with many best-effort tasks that wait."""

    clock: Clock
    full_at: list[float] = field(default_factory=list)
    urgent_at: list[float] = field(default_factory=list)

    def start_waiting_tasks(self) -> None:
        self.full_at.append(self.clock.seconds())
        self.clock.rightNow += FULL_ROUND_S

    def start_urgent_tasks(self) -> None:
        self.urgent_at.append(self.clock.seconds())
        self.clock.rightNow += URGENT_ROUND_S


def make_rounds() -> tuple[Clock, SlowCell, PlacementRounds]:
    """Return rounds after a first one over all tasks, and the clock that they take time of."""
    clock = Clock()
    cell = SlowCell(clock)
    meter = LoadMeter(0, Counter())
    rounds = PlacementRounds(clock, cell, lambda: None, meter, clock.seconds)  # type: ignore[arg-type]
    rounds.schedule()
    advance(clock, PAUSE_S + STEP_S)
    assert len(cell.full_at) == 1
    return clock, cell, rounds


def advance(clock: Clock, duration_s: float) -> None:
    until_s = clock.seconds() + duration_s
    while clock.seconds() < until_s:
        clock.advance(STEP_S)


def test_urgent_task_does_not_wait_for_the_pause_after_a_long_round() -> None:
    """It waited three times as long as the last round had taken."""
    clock, cell, rounds = make_rounds()
    ready_at = clock.seconds()
    rounds.schedule()
    advance(clock, 2 * PAUSE_S)
    assert len(cell.full_at) == 1
    assert cell.urgent_at[0] - ready_at <= PAUSE_S + 2 * STEP_S


def test_all_tasks_follow_after_the_pause_of_a_long_round() -> None:
    """A best-effort task that could start would otherwise wait for the next event."""
    clock, cell, rounds = make_rounds()
    rounds.schedule()
    advance(clock, PLACEMENT_PAUSE_FACTOR * FULL_ROUND_S + 2 * PAUSE_S)
    assert len(cell.full_at) == 2
    assert cell.full_at[1] - cell.full_at[0] >= (1 + PLACEMENT_PAUSE_FACTOR) * FULL_ROUND_S


def test_rounds_over_all_tasks_take_a_bounded_share_of_the_time() -> None:
    clock, cell, rounds = make_rounds()
    while clock.seconds() < 5:
        rounds.schedule()
        clock.advance(STEP_S)
    full_s = len(cell.full_at) * FULL_ROUND_S
    assert full_s <= clock.seconds() / (1 + PLACEMENT_PAUSE_FACTOR) + FULL_ROUND_S
    assert len(cell.urgent_at) > len(cell.full_at)


def test_no_round_is_run_while_nothing_may_start() -> None:
    clock, cell, _ = make_rounds()
    advance(clock, 1)
    assert len(cell.full_at) == 1
    assert not cell.urgent_at


def test_stopped_owner_runs_no_rounds() -> None:
    clock, cell, rounds = make_rounds()
    rounds.schedule()
    advance(clock, 2 * PAUSE_S)
    rounds.schedule()
    rounds.stop()
    advance(clock, 1)
    assert len(cell.full_at) == 1
