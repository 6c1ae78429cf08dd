"""What one worker is committed to, against a plain sum."""

from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.placement.commitment import Commitment
from quetzallock_core.workers.const import FINISHED, RUNNING
from quetzallock_core.workers.models import NOTHING, Resources, TaskStatus

CAPACITY = Resources(16_000, 64_000, 2)
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


@given(STEPS)
def test_granted_room_never_exceeds_the_worker(
    steps: list[tuple[str, str, Resources, int]],
) -> None:
    """All that was granted and can still be used fits, whatever the order of events."""
    commitment = Commitment()
    commitment.capacity = CAPACITY
    now = 0
    granted: dict[str, tuple[Resources, int]] = {}
    for kind, task, demand, number in steps:
        if kind == "wait":
            now += number
            commitment.expire_starts(now)
        elif kind == "reserve" and task not in commitment.tasks:
            if commitment.reserve(task, demand, now, number):
                granted[task] = (demand, now + number)
        elif kind == "commit" and task not in commitment.tasks:
            if commitment.commit(task, demand, now, now + number):
                granted[task] = (demand, now + number)
        elif kind == "run" and task in granted and now < granted[task][1]:
            status = TaskStatus(task, 1, RUNNING, granted[task][0])
            commitment.merge_tasks((status,))
            granted[task] = (granted[task][0], 2**60)
        elif kind == "finish" and task in commitment.tasks:
            commitment.merge_tasks((TaskStatus(task, 1, FINISHED, NOTHING),))
            commitment.forget_task(task, 1)
            granted.pop(task, None)
        total = NOTHING
        for held, until in granted.values():
            if now < until:
                total += held
        assert total.fits(CAPACITY)


def test_observed_use_counts_where_it_is_larger() -> None:
    commitment = Commitment()
    commitment.capacity = CAPACITY
    used = Resources(9_000, 10, 0)
    commitment.merge_tasks((TaskStatus("j/0", 1, RUNNING, Resources(1_000, 500), 0, used),))
    assert commitment.find_room(0) == Resources(7_000, 63_500, 2)


def test_room_for_a_lost_start_stays_taken_until_the_worker_rules_it_out() -> None:
    commitment = Commitment()
    commitment.capacity = CAPACITY
    assert commitment.commit("j/0", Resources(16_000, 1, 0), 0, until=9_000)
    assert not commitment.reserve("j/1", Resources(1, 1, 0), 60_000, 1_000)
    commitment.expire_starts(8_999)
    assert not commitment.reserve("j/1", Resources(1, 1, 0), 60_000, 1_000)
    commitment.expire_starts(9_000)
    assert commitment.reserve("j/1", Resources(1, 1, 0), 60_000, 1_000)
