"""The check of what hosts do with versions of the configuration finds each way to break it."""

from quetzallock_standins.emulator.configuration import (
    NO_ROUTE,
    STEADY_PREFIX,
    ConfigurationCheck,
    ConfigurationOperator,
    PublishedVersion,
)


class Clock:
    """A time in ms that the test sets."""

    now = 0


def make_check() -> tuple[Clock, ConfigurationCheck, PublishedVersion, PublishedVersion]:
    """Return a check of two versions, confirmed at 0 and 10,000 ms."""
    clock = Clock()
    operator = ConfigurationOperator(lambda: clock.now, lambda _: None)
    check = ConfigurationCheck(operator)
    check.record_disturbance("h", 0)
    old = operator.publish()
    clock.now = 10_000
    return clock, check, old, operator.publish()


def find_added(old: PublishedVersion, new: PublishedVersion) -> str:
    """Return the prefix of the route that `new` adds."""
    return (set(new.services) - set(old.services)).pop()


def test_added_route_that_is_not_served_in_time_is_reported() -> None:
    _, check, old, new = make_check()
    check.record("h", 1, find_added(old, new), NO_ROUTE, 12_000)
    assert not check.violations
    check.record("h", 1, find_added(old, new), NO_ROUTE, 12_020)
    assert len(check.violations) == 1


def test_request_run_by_the_old_service_is_reported() -> None:
    _, check, old, _ = make_check()
    check.record("h", 1, STEADY_PREFIX, old.services[STEADY_PREFIX], 12_020)
    assert len(check.violations) == 1


def test_host_is_not_judged_by_the_bound_until_it_is_in_touch() -> None:
    _, check, old, new = make_check()
    check.record_disturbance("h", 12_000)
    check.record("h", 1, find_added(old, new), NO_ROUTE, 15_000)
    assert not check.violations
    check.record("h", 1, find_added(old, new), NO_ROUTE, 15_020)
    assert len(check.violations) == 1


def test_return_to_an_older_version_is_reported_out_of_touch_too() -> None:
    _, check, old, new = make_check()
    check.record_disturbance("h", 10_100)
    check.record("h", 1, STEADY_PREFIX, new.services[STEADY_PREFIX], 10_100)
    check.record("h", 1, STEADY_PREFIX, old.services[STEADY_PREFIX], 10_350)
    assert not check.violations
    check.record("h", 2, STEADY_PREFIX, old.services[STEADY_PREFIX], 10_360)
    assert not check.violations
    check.record("h", 1, STEADY_PREFIX, old.services[STEADY_PREFIX], 10_360)
    assert len(check.violations) == 1


def test_outcome_that_no_version_allows_is_reported() -> None:
    """Guards against an invalid configuration that counts as a newer version."""
    _, check, _, _ = make_check()
    check.record("h", 1, STEADY_PREFIX, "unknown", 5_000)
    assert len(check.violations) == 1
