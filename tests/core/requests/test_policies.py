"""Request policies: what they admit, in which order, and within which budgets."""

from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.presets.schema import RequestRules
from quetzallock_core.requests.budget import RetryBudget
from quetzallock_core.requests.durations import DurationEstimates
from quetzallock_core.requests.policies import BaselinePolicy, DeadlinePolicy, PendingRequest


def make_policy(lengths: dict[str, float], **rules: int) -> DeadlinePolicy:
    """Return a policy that has learned lengths by kind."""
    learned = DurationEstimates()
    for kind, length in lengths.items():
        for _ in range(100):
            learned.record(kind, length)
    for _ in range(400):
        learned.record("common", min(lengths.values()))
    return DeadlinePolicy(RequestRules(**rules), learned)


def make_waiting(ticket: int, kind: str = "short", deadline: int = 1_000) -> PendingRequest:
    """Return a request that has just arrived."""
    return PendingRequest(ticket, kind, deadline, True, 0)


def test_refuses_at_once_what_would_be_late() -> None:
    policy = make_policy({"short": 100})
    admitted = [policy.admit(make_waiting(n, deadline=1_010), 2, 0) is None for n in range(40)]
    assert admitted.count(True) == 19
    assert policy.admit(make_waiting(99), 2, 0) >= 900


def test_long_work_takes_only_its_share_of_slots() -> None:
    policy = make_policy({"short": 10, "long": 400}, long_percent=25)
    for number in range(4):
        assert policy.admit(make_waiting(number, "long", 5_000), 8, 0) is None
    assert policy.admit(make_waiting(9, "short", 9_000), 8, 0) is None
    sent = []
    while waiting := policy.pop(8, 0):
        policy.record_dispatch(waiting)
        sent.append(waiting.kind)
    assert sent == ["long", "long", "short"]


def test_work_is_not_long_where_all_of_it_is() -> None:
    """Half a load of one kind above `long_ms` was held to a quarter of the slots."""
    policy = make_policy({"only": 300}, long_ms=250, long_percent=25)
    for number in range(8):
        assert policy.admit(make_waiting(number, "only", 5_000), 8, 0) is None
    sent = []
    while waiting := policy.pop(8, 0):
        policy.record_dispatch(waiting)
        sent.append(waiting)
    assert len(sent) == 8


def test_first_requests_are_not_taken_for_long() -> None:
    """The mean of all began at a guess of 20 ms, and a service of 300 ms was long beside it."""
    learned = DurationEstimates()
    for _ in range(5):
        learned.record("only", 300)
    assert not learned.is_long("only", 250)


def test_most_pressing_request_goes_first() -> None:
    policy = make_policy({"short": 10})
    for ticket, deadline in ((1, 900), (2, 300), (3, 600)):
        policy.admit(make_waiting(ticket, deadline=deadline), 8, 0)
    order = [policy.pop(8, 0), policy.pop(8, 0), policy.pop(8, 0)]
    assert [waiting.ticket for waiting in order if waiting] == [2, 3, 1]


def test_hopeless_request_is_given_up_before_it_is_sent() -> None:
    policy = make_policy({"short": 100})
    policy.admit(make_waiting(1, deadline=1_000), 1, 0)
    assert policy.pop_unmeetable(850) is None
    assert policy.pop_unmeetable(950) is not None


def test_baseline_refuses_nothing_before_its_deadline() -> None:
    policy = BaselinePolicy(RequestRules(), DurationEstimates())
    assert all(policy.admit(make_waiting(n), 1, 0) is None for n in range(100))
    assert policy.pop_unmeetable(999) is None
    assert policy.pop_unmeetable(1_000) is not None


@given(st.lists(st.sampled_from(["first", "retry"]), max_size=300), st.integers(0, 100))
def test_retries_stay_within_their_share(events: list[str], percent: int) -> None:
    budget = RetryBudget(percent)
    first = retries = 0
    for event in events:
        if event == "first":
            budget.deposit()
            first += 1
        else:
            retries += budget.spend()
    assert retries <= 10 + first * percent / 100 + 1e-6


@given(st.lists(st.tuples(st.integers(1, 3_000), st.booleans()), max_size=60))
def test_every_admitted_request_leaves_the_queue_once(arrivals: list[tuple[int, bool]]) -> None:
    policy = make_policy({"short": 50, "long": 400})
    admitted = set()
    for ticket, (deadline, is_long) in enumerate(arrivals):
        waiting = make_waiting(ticket, "long" if is_long else "short", deadline)
        if policy.admit(waiting, 4, 0) is None:
            admitted.add(ticket)
    left = []
    for now in range(0, 3_200, 100):
        while hopeless := policy.pop_unmeetable(now):
            left.append(hopeless.ticket)
        if waiting := policy.pop(4, now):
            left.append(waiting.ticket)
    assert sorted(left) == sorted(admitted)
    assert policy.count() == 0
