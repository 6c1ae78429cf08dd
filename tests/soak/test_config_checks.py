"""Tests of the checks of the configuration: each allowed case beside one that breaks the rule."""

from pathlib import Path
from random import Random

import pytest

from .config_checks import (
    CONFIG_APPLY_MS,
    ROLLBACK_SLACK_MS,
    Probe,
    list_config_findings,
)
from .config_probers import choose_prefixes
from .deployment import Disturbances
from .fault_log import CONTACT_MS, Span
from .starvation import read_wait_ms

JOBS, OLD, NEW = "/jobs/", "/added-1/", "/added-2/"
ADDED_AT, SWAPPED_AT = 10_000, 20_000
IN_FORCE_AT = SWAPPED_AT + CONFIG_APPLY_MS
RECORD = [
    {"version": 1, "acknowledged_at": 1_000, "prefixes": [JOBS]},
    {"version": 4, "acknowledged_at": ADDED_AT, "prefixes": [JOBS, OLD]},
    {"version": 5, "acknowledged_at": SWAPPED_AT, "prefixes": [JOBS, NEW]},
]


def ask(sent_at: float, prefix: str, status: int, boot: int = 1, took: float = 5) -> Probe:
    return Probe("host0", boot, prefix, sent_at, status, sent_at + took)


def find(*probes: Probe, spans: tuple[Span, ...] = (), host: str = "host0") -> list[str]:
    return list_config_findings(probes, RECORD, {host: list(spans)})


@pytest.mark.parametrize(("prefix", "status", "right"), [(NEW, 404, 200), (OLD, 200, 404)])
class TestLateVersions:
    """A version must be in force `CONFIG_APPLY_MS` after its acknowledgement."""

    def test_answer_by_an_older_version_is_found(
        self, prefix: str, status: int, right: int
    ) -> None:
        assert find(ask(IN_FORCE_AT, prefix, status)) == []
        assert len(find(ask(IN_FORCE_AT + 1, prefix, status))) == 1
        assert find(ask(IN_FORCE_AT + 1, prefix, right)) == []

    def test_fault_of_the_host_within_the_contact_time_excuses(
        self, prefix: str, status: int, right: int
    ) -> None:
        fault = (19_000.0, 20_500.0)
        in_touch_at = fault[1] + CONTACT_MS
        late, in_touch = ask(in_touch_at - 1, prefix, status), ask(in_touch_at, prefix, status)
        assert find(late, spans=(fault,)) == []
        assert len(find(in_touch, spans=(fault,))) == 1
        assert len(find(late, spans=(fault,), host="host1")) == 1
        assert find(in_touch, spans=((19_000.0, float("inf")),)) == []

    def test_fault_that_begins_after_the_request_excuses_nothing(
        self, prefix: str, status: int, right: int
    ) -> None:
        fault = (IN_FORCE_AT + 2.0, IN_FORCE_AT + 500.0)
        assert len(find(ask(IN_FORCE_AT + 1, prefix, status), spans=(fault,))) == 1

    def test_missing_and_uncertain_answers_are_no_findings(
        self, prefix: str, status: int, right: int
    ) -> None:
        for other in (0, 429, 503, 504):
            assert find(ask(IN_FORCE_AT + 1, prefix, other)) == []


def test_new_version_may_be_in_force_before_the_old_one_must() -> None:
    assert find(ask(SWAPPED_AT - 3, NEW, 200, took=5)) == []
    assert len(find(ask(SWAPPED_AT - 9, NEW, 200, took=5))) == 1


def test_route_that_never_existed_is_found_when_it_is_served() -> None:
    assert find(ask(5_000, "/never/", 404)) == []
    assert len(find(ask(5_000, "/never/", 200))) == 1


def test_route_in_all_versions_is_found_when_it_is_refused() -> None:
    assert len(find(ask(SWAPPED_AT + 10, JOBS, 404))) == 1


def test_repeated_wrong_answers_are_one_finding() -> None:
    late = [ask(IN_FORCE_AT + 1 + number, NEW, 404) for number in range(5)]
    assert len(find(*late)) == 1
    assert "5 times" in find(*late)[0]


OUT_OF_TOUCH: Span = (0, float("inf"))
SHOWN_AT = SWAPPED_AT + 100


@pytest.mark.parametrize(("shown", "wrong"), [((NEW, 200), (OLD, 200)), ((NEW, 200), (NEW, 404))])
class TestRegression:
    """A host that has shown a version may not return to an older one, even out of touch."""

    def test_return_to_an_older_version_is_found(
        self, shown: tuple[str, int], wrong: tuple[str, int]
    ) -> None:
        effect = ask(SHOWN_AT, *shown)
        allowed = ask(effect.answered_at + ROLLBACK_SLACK_MS, *wrong)
        late = ask(effect.answered_at + ROLLBACK_SLACK_MS + 1, *wrong)
        assert find(effect, allowed, spans=(OUT_OF_TOUCH,)) == []
        assert len(find(effect, late, spans=(OUT_OF_TOUCH,))) == 1

    def test_next_boot_or_another_host_may_be_older(
        self, shown: tuple[str, int], wrong: tuple[str, int]
    ) -> None:
        effect = ask(SHOWN_AT, *shown)
        assert find(effect, ask(SHOWN_AT + 1_000, *wrong, boot=2), spans=(OUT_OF_TOUCH,)) == []
        other = Probe("host1", 1, wrong[0], SHOWN_AT + 1_000, wrong[1], SHOWN_AT + 1_005)
        assert find(effect, other, spans=(OUT_OF_TOUCH,)) == []


def test_refusal_shows_the_removal_only_after_the_route_was_seen() -> None:
    refused, served = ask(SHOWN_AT, OLD, 404), ask(SHOWN_AT + 500, OLD, 200)
    assert find(refused, served, spans=(OUT_OF_TOUCH,)) == []
    seen = ask(ADDED_AT + 100, OLD, 200)
    assert len(find(seen, refused, served, spans=(OUT_OF_TOUCH,))) == 1


def test_request_sent_before_the_effect_was_seen_may_be_older() -> None:
    slow = ask(SHOWN_AT - 10, OLD, 200, took=2_000)
    assert find(slow, ask(SHOWN_AT, NEW, 200), spans=(OUT_OF_TOUCH,)) == []


def test_probes_ask_for_added_removed_and_unknown_routes() -> None:
    published = [(JOBS,), (JOBS, OLD), (JOBS, NEW)]
    asked = {prefix for seed in range(50) for prefix in choose_prefixes(published, Random(seed))}
    assert asked == {JOBS, OLD, NEW, "/never/"}
    assert choose_prefixes([], Random(1)) == ["/never/"]


def test_overlapping_faults_are_one_span_until_the_thing_is_sound() -> None:
    disturbances = Disturbances()
    disturbances.end()
    assert disturbances.spans == []
    disturbances.begin()
    disturbances.begin()
    assert [end for _begin, end in disturbances.spans] == [float("inf")]
    disturbances.end()
    disturbances.end()
    ((begin, end),) = disturbances.spans
    assert begin <= end < float("inf")


def test_wait_for_a_processor_is_a_disturbance_beside_one_that_lasts() -> None:
    disturbances = Disturbances()
    disturbances.begin()
    disturbances.add(0)
    disturbances.end()
    (wait, fault) = disturbances.spans
    assert wait[0] == 0
    assert wait[1] < float("inf")
    assert fault[1] < float("inf")


def test_wait_is_read_from_the_kernel_and_an_ended_process_has_none(tmp_path: Path) -> None:
    (tmp_path / "7").mkdir()
    (tmp_path / "7" / "schedstat").write_text("9000000 3126000000 12\n")
    assert read_wait_ms(7, tmp_path) == 3_126
    assert read_wait_ms(8, tmp_path) == 0
