"""Request policies: admission, order of dispatch, share of long work and retry budget."""

from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.presets.schema import RequestRules
from quetzallock_core.requests.budget import RetryBudget
from quetzallock_core.requests.durations import DurationEstimates
from quetzallock_core.requests.policies import BaselinePolicy, DeadlinePolicy, PendingRequest


def make_policy(durations: dict[str, float], **rules: int) -> DeadlinePolicy:
    """Return a policy with a converged duration estimate for each kind."""
    estimates = DurationEstimates()
    for kind, duration in durations.items():
        for _ in range(100):
            estimates.record(kind, duration)
    for _ in range(400):
        estimates.record("common", min(durations.values()))
    return DeadlinePolicy(RequestRules(**rules), estimates)


def make_request(ticket: int, kind: str = "short", deadline: int = 1_000) -> PendingRequest:
    """Return a request that arrived at 0 ms."""
    return PendingRequest(ticket, kind, deadline, True, 0)


def test_refuses_on_arrival_what_would_miss_its_deadline() -> None:
    policy = make_policy({"short": 100})
    admitted = [policy.admit(make_request(n, deadline=1_010), 2, 0) is None for n in range(40)]
    assert admitted.count(True) == 19
    assert policy.admit(make_request(99), 2, 0) >= 900


def test_long_work_takes_only_its_share_of_slots() -> None:
    policy = make_policy({"short": 10, "long": 400}, long_percent=25)
    for number in range(4):
        assert policy.admit(make_request(number, "long", 5_000), 8, 0) is None
    assert policy.admit(make_request(9, "short", 9_000), 8, 0) is None
    sent = []
    while request := policy.pop(8, 0):
        policy.record_dispatch(request)
        sent.append(request.kind)
    assert sent == ["long", "long", "short"]


def test_requests_of_equal_duration_are_not_long_work() -> None:
    """Where all requests exceed `long_ms`, none must be limited to the share of long work.

    A load of half the capacity, all of one such kind, could use only a quarter of the slots.
    """
    policy = make_policy({"only": 300}, long_ms=250, long_percent=25)
    for number in range(8):
        assert policy.admit(make_request(number, "only", 5_000), 8, 0) is None
    sent = []
    while request := policy.pop(8, 0):
        policy.record_dispatch(request)
        sent.append(request)
    assert len(sent) == 8


def test_first_requests_are_not_classified_as_long() -> None:
    """The initial value of the overall mean must not bias the first comparisons.

    It is 20 ms; compared with it, a service that takes 300 ms counted as long work.
    """
    estimates = DurationEstimates()
    for _ in range(5):
        estimates.record("only", 300)
    assert not estimates.is_long("only", 250)


def test_earliest_deadline_is_sent_first() -> None:
    policy = make_policy({"short": 10})
    for ticket, deadline in ((1, 900), (2, 300), (3, 600)):
        policy.admit(make_request(ticket, deadline=deadline), 8, 0)
    order = [policy.pop(8, 0), policy.pop(8, 0), policy.pop(8, 0)]
    assert [request.ticket for request in order if request] == [2, 3, 1]


def test_request_that_will_miss_its_deadline_is_removed_before_it_is_sent() -> None:
    policy = make_policy({"short": 100})
    policy.admit(make_request(1, deadline=1_000), 1, 0)
    assert policy.pop_unmeetable(850) is None
    assert policy.pop_unmeetable(950) is not None


def test_baseline_refuses_nothing_before_its_deadline() -> None:
    policy = BaselinePolicy(RequestRules(), DurationEstimates())
    assert all(policy.admit(make_request(n), 1, 0) is None for n in range(100))
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
        request = make_request(ticket, "long" if is_long else "short", deadline)
        if policy.admit(request, 4, 0) is None:
            admitted.add(ticket)
    left = []
    for now in range(0, 3_200, 100):
        while unmeetable := policy.pop_unmeetable(now):
            left.append(unmeetable.ticket)
        if request := policy.pop(4, now):
            left.append(request.ticket)
    assert sorted(left) == sorted(admitted)
    assert policy.count() == 0
