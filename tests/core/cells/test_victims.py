"""The choice of victims on one worker, without a cell."""

from collections import Counter
from dataclasses import dataclass
from typing import Any, cast

from hypothesis import given
from hypothesis import strategies as st

from quetzallock_core.cells.jobs import Run
from quetzallock_core.cells.models import Resources
from quetzallock_core.cells.preemption import Candidate, choose_victims

RESOURCES = st.builds(
    Resources, st.integers(0, 8), st.integers(0, 8), st.sampled_from([0, 0, 0, 1])
)
QUEUES = {"a": 1, "b": 2, "c": 3}
SMALL = Resources(0, 4)
UNLIMITED = dict.fromkeys(QUEUES, 100)


@dataclass(frozen=True)
class NumberedRun:
    """What the choice reads of a run."""

    number: int


def make_candidate(
    number: int, queue: str, lost_core_ms: float, freed: Resources = SMALL
) -> Candidate:
    """Return a candidate whose priority is that of its queue."""
    run = cast(Run, cast(Any, NumberedRun(number)))
    return Candidate(run, queue, QUEUES[queue], lost_core_ms, freed)


CANDIDATES = st.lists(
    st.tuples(st.sampled_from(sorted(QUEUES)), st.integers(0, 50), RESOURCES), max_size=8
).map(
    lambda rows: [
        make_candidate(number, queue, float(lost), freed)
        for number, (queue, lost, freed) in enumerate(rows)
    ]
)


def sum_up(free: Resources, candidates: list[Candidate]) -> Resources:
    """Return what is free once `candidates` have ended."""
    return sum((one.freed for one in candidates), free)


def test_lower_priority_goes_first_even_if_it_loses_more_work() -> None:
    candidates = [make_candidate(1, "a", 1.0), make_candidate(2, "c", 99.0)]
    victims = choose_victims(Resources(0, 4), Resources(), candidates, UNLIMITED)
    assert victims == (candidates[1],)


def test_least_lost_work_goes_first_within_a_priority() -> None:
    candidates = [make_candidate(1, "b", 5.0), make_candidate(2, "b", 1.0)]
    victims = choose_victims(Resources(0, 4), Resources(), candidates, UNLIMITED)
    assert victims == (candidates[1],)


def test_one_large_run_goes_before_several_that_lose_more_work() -> None:
    several = [make_candidate(number, "b", 3.0) for number in range(3)]
    large = make_candidate(9, "b", 4.0, Resources(0, 12))
    victims = choose_victims(Resources(0, 12), Resources(), [*several, large], UNLIMITED)
    assert victims == (large,)


@given(RESOURCES, RESOURCES, CANDIDATES)
def test_victims_free_enough_and_none_is_superfluous(
    needs: Resources, free: Resources, candidates: list[Candidate]
) -> None:
    victims = choose_victims(needs, free, candidates, UNLIMITED)
    assert (victims is not None) == needs.fits_in(sum_up(free, candidates))
    if victims is None:
        return
    assert needs.fits_in(sum_up(free, list(victims)))
    for victim in victims:
        others = [one for one in victims if one is not victim]
        assert not needs.fits_in(sum_up(free, others))


@given(RESOURCES, RESOURCES, CANDIDATES)
def test_no_higher_priority_is_touched_than_needed(
    needs: Resources, free: Resources, candidates: list[Candidate]
) -> None:
    victims = choose_victims(needs, free, candidates, UNLIMITED)
    if not victims:
        return
    highest = min(victim.priority for victim in victims)
    lower = [one for one in candidates if one.priority > highest]
    assert not needs.fits_in(sum_up(free, lower))


@given(
    RESOURCES,
    RESOURCES,
    CANDIDATES,
    st.dictionaries(st.sampled_from(sorted(QUEUES)), st.integers(0, 2)),
)
def test_no_queue_loses_more_than_its_limit(
    needs: Resources, free: Resources, candidates: list[Candidate], left: dict[str, int]
) -> None:
    victims = choose_victims(needs, free, candidates, left)
    if victims is None:
        return
    assert needs.fits_in(sum_up(free, list(victims)))
    counts = Counter(victim.queue for victim in victims)
    assert all(count <= left.get(queue, 0) for queue, count in counts.items())
