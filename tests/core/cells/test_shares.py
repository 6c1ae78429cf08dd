"""Service of queues and turns between them, without a cell."""

from collections.abc import Iterator

from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.cells.contests import MIN_STARTS_PER_TURN, Contest
from quetzallock_core.cells.models import QueuePolicy
from quetzallock_core.cells.records import JobRecord, LearnedRecord
from quetzallock_core.cells.shares import (
    CREDIT_STARTS,
    HALF_LIFE_MS,
    IDLE_AFTER_MS,
    MAX_CREDIT_SHARE,
    ShareKey,
    Shares,
)
from quetzallock_core.codec import decode, encode

A, B = ShareKey("a", lasting=False), ShareKey("b", lasting=False)

JOB_RECORD_WITHOUT_WEIGHT = bytes.fromhex(
    "c75c0194ccd6c7310197ccd4a161a17091c72301dc0011ccd302c70a0194ccd2cd03e8cd07d000cd01f490c2c2c2a0"
    "a000c2c2a000c2c0000000c7190198ccd5a171a4706f6f6c0102cb4000000000000000cd03e807cf0000018bcfe568"
    "00"
)
"""Record of a job that commit e7cc571, which knows no weights, has encoded."""

LEARNED_RECORD_WITHOUT_SERVICES = bytes.fromhex(
    "c72c0194ccda9193a173a162cb40040000000000009192a173cb40440000000000009192a171cb407f400000000000"
)
"""Record of learned estimates by the same commit."""

QUEUES = st.lists(st.tuples(st.floats(0.05, 20), st.integers(1, 40_000)), min_size=2, max_size=5)
"""Weight and core-ms of one start, by queue."""


def test_records_of_an_older_build_load() -> None:
    """Otherwise a cell would lose its jobs or estimates with the upgrade of its owner."""
    job = decode(JOB_RECORD_WITHOUT_WEIGHT)
    assert isinstance(job, JobRecord)
    assert job.policy == QueuePolicy("q", "pool", 1, 2, 2.0, 1_000, 7, weight=1.0)
    learned = decode(LEARNED_RECORD_WITHOUT_SERVICES)
    assert learned == LearnedRecord((("s", "b", 2.5),), (("s", 40.0),), (("q", 500.0),), ())


def test_weight_and_services_survive_the_journal() -> None:
    policy = QueuePolicy("q", "pool", weight=2.5)
    learned = LearnedRecord((), (), (), (("q", True, 40.0),))
    assert decode(encode((policy, learned))) == (policy, learned)


def serve(shares: Shares, costs: dict[ShareKey, int], slots: int, now: int) -> list[ShareKey]:
    """Start tasks of queues that always wait, as many as there are slots; return their queues."""
    weights = {key: 1.0 for key in costs}
    return serve_weighted(shares, weights, costs, slots, now)


def serve_weighted(
    shares: Shares,
    weights: dict[ShareKey, float],
    costs: dict[ShareKey, int],
    slots: int,
    now: int,
) -> list[ShareKey]:
    """Do the same with weights."""
    started: list[ShareKey] = []

    def start(step: ShareKey) -> Iterator[None]:
        while len(started) < slots:
            started.append(step)
            shares.charge(step, costs[step], now)
            yield

    contest: Contest[ShareKey] = Contest(shares, weights, now)
    for key in costs:
        contest.add(key, key)
    for _ in costs:
        contest.finish_step(start)
    return started


@given(QUEUES, st.integers(1, 12), st.integers(10, 900))
def test_waiting_queues_are_kept_level(
    queues: list[tuple[float, int]], slots: int, interval_ms: int
) -> None:
    """Otherwise one of them gets less than its weight, however long it waits."""
    keys = [ShareKey(str(number), lasting=False) for number in range(len(queues))]
    weights = {key: weight for key, (weight, _) in zip(keys, queues, strict=True)}
    costs = {key: cost for key, (_, cost) in zip(keys, queues, strict=True)}
    shares = Shares()
    for round_number in range(60):
        now = round_number * interval_ms
        serve_weighted(shares, weights, costs, slots, now)
        levels = [shares.compute_level(key, weights[key], now) for key in keys]
        largest_turn = max(MIN_STARTS_PER_TURN * costs[key] / weights[key] for key in keys)
        assert max(levels) - min(levels) <= largest_turn * 1.001


@given(st.integers(0, 20_000), st.integers(IDLE_AFTER_MS + 1, 60_000), st.floats(0.05, 20))
def test_idle_queue_returns_with_bounded_credit(
    earlier_core_ms: int, idle_ms: int, weight: float
) -> None:
    """Otherwise it would take all capacity until it has made up for the time it was idle."""
    shares = Shares()
    shares.limit_credit({A: 1.0, B: weight}, 0)
    shares.charge(B, earlier_core_ms, 0)
    for now in range(0, idle_ms, 100):
        shares.charge(A, 1_600, now)
    shares.limit_credit({A: 1.0, B: weight}, idle_ms)
    level = shares.compute_level(A, 1.0, idle_ms)
    credit = max(MAX_CREDIT_SHARE * level, CREDIT_STARTS * 1_600)
    assert shares.compute_level(B, weight, idle_ms) >= (level - credit) * 0.999


def test_queue_that_keeps_waiting_is_not_raised() -> None:
    """Otherwise a queue that is behind since its turn has not come would lose its claim."""
    shares = Shares()
    for now in range(0, 10_000, 500):
        shares.limit_credit({A: 1.0, B: 1.0}, now)
        shares.charge(A, 50_000, now)
    assert shares.compute_level(B, 1.0, 10_000) == 0


@given(st.lists(st.integers(1, 30), min_size=1, max_size=8), st.integers(0, 200))
def test_each_step_is_finished_once_and_in_the_order_of_its_queue(
    counts: list[int], slots: int
) -> None:
    """Otherwise a step would be left out of the round, or the value density disregarded."""
    shares = Shares()
    contest: Contest[int] = Contest(shares, {A: 1.0, B: 2.0}, 0)
    started: list[int] = []

    def start(step: int) -> Iterator[None]:
        for _ in range(counts[step]):
            if len(started) == slots:
                return
            started.append(step)
            shares.charge((A, B)[step % 2], 1_000, 0)
            yield

    for step in range(len(counts)):
        contest.add((A, B)[step % 2], step)
    finished = [contest.finish_step(start)[1] for _ in counts]
    assert sorted(finished) == list(range(len(counts)))
    for queue in (0, 1):
        own = [step for step in finished if step % 2 == queue]
        assert own == sorted(own)
    assert len(started) == min(slots, sum(counts))


def test_service_counts_in_the_contests_that_follow_in_the_same_round() -> None:
    """A queue that took the capacity for its early jobs would also come first with late ones."""
    shares = Shares()
    contests: list[Contest[str]] = [Contest(shares, {A: 1.0, B: 1.0}, 0) for _ in range(2)]
    for contest in contests:
        contest.add(A, "a")
        contest.add(B, "b")
    started: list[str] = []

    def start(step: str) -> Iterator[None]:
        started.append(step)
        shares.charge(A if step == "a" else B, 5_000 if step == "a" else 1_000, 0)
        yield

    for contest in contests:
        contest.finish_step(start)
        contest.finish_step(start)
    assert started == ["a", "b", "b", "a"]


def test_lone_queue_gets_all_slots_after_the_others_have_gone() -> None:
    """Otherwise capacity would stay idle for a queue that has nothing to run."""
    shares = Shares()
    assert set(serve(shares, {A: 1_000, B: 1_000}, 10, 0)) == {A, B}
    assert serve(shares, {A: 1_000}, 10, 100) == [A] * 10


@given(st.dictionaries(st.text(max_size=5), st.floats(0, 1e9), max_size=5), st.booleans())
def test_restored_service_is_that_of_the_record(services: dict[str, float], lasting: bool) -> None:
    rows = [(queue, lasting, round(core_ms)) for queue, core_ms in services.items()]
    shares = Shares()
    shares.restore(rows, 1_000)
    assert sorted(shares.list_services(1_000)) == sorted(rows)
    half = dict(rows and [(row[0], row[2] / 2) for row in rows])
    for queue, _, core_ms in shares.list_services(1_000 + HALF_LIFE_MS):
        assert abs(core_ms - half[queue]) <= 1


def test_accounts_of_queues_that_are_gone_are_dropped() -> None:
    """Otherwise the record would grow with each queue that the configuration ever had."""
    shares = Shares()
    shares.charge(A, 1_000, 0)
    shares.limit_credit({B: 1.0}, 100_000)
    shares.drop_negligible(100_000)
    assert [row[0] for row in shares.list_services(100_000)] == ["b"]


def test_refused_start_is_taken_back() -> None:
    """Otherwise a queue whose starts are refused would be held back for service it never got."""
    shares = Shares()
    shares.charge(A, 1_000, 0)
    shares.refund(A, 1_000, 0)
    assert shares.compute_level(A, 1.0, 0) == 0
