"""Committed resources of one worker, compared with a plain sum of what was granted."""

from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.placement.commitment import Commitment
from quetzallock_core.workers.const import FINISHED, RUNNING
from quetzallock_core.workers.models import NOTHING, Resources, TaskStatus

CAPACITY = Resources(16_000, 64_000, 2)
FOREVER = 2**60
DEMANDS = st.builds(Resources, st.integers(1, 9_000), st.integers(1, 30_000), st.integers(0, 1))
TASKS = st.sampled_from([f"job/{index}" for index in range(6)])
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("reserve"), TASKS, DEMANDS, st.integers(1, 5_000)),
        st.tuples(st.just("commit"), TASKS, DEMANDS, st.integers(1, 5_000)),
        st.tuples(st.just("run"), TASKS, DEMANDS, st.just(0)),
        st.tuples(st.just("finish"), TASKS, DEMANDS, st.just(0)),
        st.tuples(st.just("wait"), TASKS, DEMANDS, st.integers(0, 4_000)),
    ),
    max_size=30,
)


class CommitmentModel:
    """A commitment, and a separate record of all grants that can still be used."""

    def __init__(self) -> None:
        self.commitment = Commitment()
        self.commitment.capacity = CAPACITY
        self.now = 0
        self.granted: dict[str, tuple[Resources, int]] = {}

    def apply(self, kind: str, task: str, demand: Resources, number: int) -> None:
        """Apply one step."""
        is_known = task in self.commitment.tasks
        if kind == "wait":
            self.now += number
            self.commitment.expire_starts(self.now)
        elif kind in ("reserve", "commit") and not is_known:
            self._grant(kind, task, demand, number)
        elif kind == "run" and self.now < self.granted.get(task, (NOTHING, 0))[1]:
            self.granted[task] = (self.granted[task][0], FOREVER)
            status = TaskStatus(task, 1, RUNNING, self.granted[task][0])
            self.commitment.merge_tasks((status,))
        elif kind == "finish" and is_known:
            self.commitment.merge_tasks((TaskStatus(task, 1, FINISHED, NOTHING),))
            self.commitment.remove_task(task, 1)
            self.granted.pop(task, None)

    def _grant(self, kind: str, task: str, demand: Resources, number: int) -> None:
        if kind == "reserve":
            is_granted = self.commitment.reserve(task, demand, self.now, number)
        else:
            is_granted = self.commitment.commit(task, demand, self.now, self.now + number)
        if is_granted:
            self.granted[task] = (demand, self.now + number)

    def sum_granted(self) -> Resources:
        """Return the sum of the grants that can still be used."""
        total = NOTHING
        for demand, until in self.granted.values():
            if self.now < until:
                total += demand
        return total


@given(STEPS)
def test_granted_capacity_never_exceeds_the_worker(
    steps: list[tuple[str, str, Resources, int]],
) -> None:
    """The grants that can still be used fit the worker, whatever the order of events."""
    model = CommitmentModel()
    for step in steps:
        model.apply(*step)
        assert model.sum_granted().fits(CAPACITY)


def test_measured_usage_counts_if_it_is_larger() -> None:
    commitment = Commitment()
    commitment.capacity = CAPACITY
    used = Resources(9_000, 10, 0)
    commitment.merge_tasks((TaskStatus("j/0", 1, RUNNING, Resources(1_000, 500), 0, used),))
    assert commitment.get_free_capacity(0) == Resources(7_000, 63_500, 2)


def test_capacity_for_a_lost_start_stays_reserved_until_the_worker_refuses_it() -> None:
    commitment = Commitment()
    commitment.capacity = CAPACITY
    assert commitment.commit("j/0", Resources(16_000, 1, 0), 0, until=9_000)
    assert not commitment.reserve("j/1", Resources(1, 1, 0), 60_000, 1_000)
    commitment.expire_starts(8_999)
    assert not commitment.reserve("j/1", Resources(1, 1, 0), 60_000, 1_000)
    commitment.expire_starts(9_000)
    assert commitment.reserve("j/1", Resources(1, 1, 0), 60_000, 1_000)
