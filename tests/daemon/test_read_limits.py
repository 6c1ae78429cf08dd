"""Time limits of the reads of the configuration."""

import pytest

from quetzallock_core.cells.models import Bounds
from quetzallock_daemon.cells.const import READ_TIMEOUT_MS, STORE_RETRY_PAUSE_MS
from quetzallock_daemon.cells.read_limits import AnswerTimeLimit, choose_read_limits

ANSWER_MS = 100


@pytest.mark.parametrize("bound_ms", [1_000, 1_500, 2_000, 3_000, 4_000, 60_000])
@pytest.mark.parametrize("evacuation_ms", [0, 2_100, 5_000])
def test_two_reads_fit_into_the_bound_if_the_first_gets_no_answer(
    bound_ms: int, evacuation_ms: int
) -> None:
    """Guards against a time limit that is over the bound by itself."""
    limits = choose_read_limits(Bounds(config_apply_ms=bound_ms, evacuation_ms=evacuation_ms))
    first_ms = limits.wait_ms + limits.answer_ms
    assert first_ms + STORE_RETRY_PAUSE_MS + ANSWER_MS <= bound_ms


def test_slow_answers_and_missing_ones_raise_the_limit_until_answers_are_fast_again() -> None:
    """Guards against reads that never succeed while the store is slower than the limit."""
    limit = AnswerTimeLimit(500)
    limit.handle_no_answer()
    assert limit.current_ms == 1_000
    limit.handle_answer(700)
    assert limit.current_ms == 1_400
    for _ in range(3):
        limit.handle_no_answer()
    assert limit.current_ms == READ_TIMEOUT_MS
    limit.handle_answer(4)
    assert limit.current_ms == 500


def test_fast_answers_with_records_lower_the_limit_too() -> None:
    """Guards against the limit of an outage in which one silent read after it is over the bound."""
    limit = AnswerTimeLimit(500)
    for _ in range(3):
        limit.handle_no_answer()
    limit.handle_records(4)
    assert limit.current_ms == 500


def test_answers_that_bring_many_records_do_not_raise_the_limit() -> None:
    limit = AnswerTimeLimit(500)
    limit.handle_records(1_100)
    assert limit.current_ms == 500
