"""Phases of a drain, and what an exiting host reports of its callers' requests."""

from collections import Counter
from itertools import pairwise

import pytest

from quetzallock_daemon.cells.drain import Drain, Phase, derive_drain_times
from quetzallock_daemon.cells.open_requests import OpenRequests

GRACE_MS = 6_000
LOSS_SLACK_MS = 200


def give_up() -> None:
    """Answer no request."""


class SetClock:
    """A clock that tests set."""

    def __init__(self) -> None:
        self.ms = 50_000

    def now(self) -> int:
        return self.ms


@pytest.mark.parametrize("grace_ms", [200, 1_000, 2_000, 4_000, 6_000, 30_000])
@pytest.mark.parametrize("slack_ms", [0, 200, 5_000])
def test_phases_follow_each_other_and_end_within_the_grace(grace_ms: int, slack_ms: int) -> None:
    clock = SetClock()
    drain = Drain(clock, derive_drain_times(grace_ms, slack_ms))
    assert drain.phase is Phase.SERVING
    drain.begin()
    phases = []
    for _ in range(grace_ms):
        phases.append(drain.phase)
        clock.ms += 1
    assert all(earlier <= later for earlier, later in pairwise(phases))
    assert phases[0] > Phase.SERVING
    assert phases[-1] is Phase.OVER
    assert phases.count(Phase.FLUSHING) >= min(slack_ms, 1)


def test_report_tells_each_unanswered_request_and_when_it_was_read() -> None:
    """Guards against requests that are given up while a host drains and leave no trace."""
    clock = SetClock()
    drain = Drain(clock, derive_drain_times(GRACE_MS, LOSS_SLACK_MS))
    counters: Counter[str] = Counter()
    requests = OpenRequests(clock, drain, counters)
    requests.add("GET", "/before", give_up)
    clock.ms += 100
    drain.begin()
    clock.ms += 3_500
    requests.remove(requests.add("GET", "/answered", give_up))
    requests.add("POST", "/after", give_up)
    clock.ms += 1_700
    report = requests.report()
    assert report["drain_ms"] == 5_200
    assert report["in_flight"] == 2
    assert report["unanswered"] == [
        {"method": "GET", "path": "/before", "age_ms": 5_300, "read_after_ms": -100},
        {"method": "POST", "path": "/after", "age_ms": 1_700, "read_after_ms": 3_500},
    ]
    assert report["requests"] == {"closing": 2}
    assert counters == {"drain.requests.closing": 2, "drain.requests.unanswered": 2}
