"""For how long a host asks to stay a member of the group of cell owners."""

from quetzallock_core.cells.renewal import (
    MAX_MEMBERSHIP_TTL_MS,
    MIN_MEMBERSHIP_TTL_MS,
    MembershipDuration,
)

LATE_MS = 2_000
RENEWALS = 50


def test_late_host_stays_a_member_beyond_its_next_delay() -> None:
    duration = MembershipDuration()
    duration.record_delay(LATE_MS)
    assert MIN_MEMBERSHIP_TTL_MS + LATE_MS < duration.choose_ttl_ms() <= MAX_MEMBERSHIP_TTL_MS


def test_one_long_suspension_does_not_keep_a_membership_up_for_longer_than_the_limit() -> None:
    duration = MembershipDuration()
    duration.record_delay(100 * LATE_MS)
    assert duration.choose_ttl_ms() == MAX_MEMBERSHIP_TTL_MS
    for _ in range(RENEWALS):
        duration.record_delay(0)
    assert duration.choose_ttl_ms() < MIN_MEMBERSHIP_TTL_MS + 100


def test_end_of_one_load_does_not_shorten_the_membership_during_another() -> None:
    duration = MembershipDuration()
    duration.expect_long_work()
    duration.expect_long_work()
    duration.handle_work_done(0)
    assert duration.choose_ttl_ms() == MAX_MEMBERSHIP_TTL_MS
    duration.handle_work_done(0)
    assert duration.choose_ttl_ms() == MIN_MEMBERSHIP_TTL_MS
