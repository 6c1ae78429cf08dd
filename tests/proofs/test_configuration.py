"""The rules of the configuration under drawn and recorded faults of hosts, links and the store."""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from .config_scenario import CONFIG_FAULTS, ConfigScenario

REPLAYS = tomllib.loads(Path(__file__).with_name("config_replays.toml").read_text(encoding="utf-8"))
FAULTS_PER_SCENARIO = 8
JUDGED_MS = 3_600
"""Time within which hosts that were broken are in touch and past the bound of the last version."""

NAMES = st.sampled_from(sorted(CONFIG_FAULTS))
WAIT_MS = st.integers(0, 60).map(lambda steps: 20 * steps)
FAULTS = st.fixed_dictionaries(
    {
        "fault": NAMES,
        "hosts": st.sampled_from([["h0", "h1", "h2"], ["h0"], ["h1", "h2"]]),
        "lasts_ms": st.sampled_from([100, 300, 700, 2_000, 6_000]),
        "connections": st.sampled_from([0, 1, 3, 7]),
        "wait_ms": WAIT_MS,
        "versions": st.sets(st.sampled_from(["before", "amid", "after"])).map(sorted),
    }
)
SECOND_FAULTS = st.none() | st.tuples(NAMES, st.sampled_from(["h0", "h1", "h2"]), WAIT_MS)


@pytest.fixture
def scenario() -> Iterator[ConfigScenario]:
    """Return hosts with a first version in force."""
    scenario = ConfigScenario()
    yield scenario
    scenario.close()


@settings(max_examples=20, phases=[Phase.generate], report_multiple_bugs=False)
@given(
    faults=st.lists(
        st.tuples(FAULTS, SECOND_FAULTS),
        min_size=FAULTS_PER_SCENARIO,
        max_size=FAULTS_PER_SCENARIO,
    )
)
def test_versions_are_in_force_in_time_and_never_revert_under_any_faults(faults: list[Any]) -> None:
    scenario = ConfigScenario()
    try:
        for first, second in faults:
            break_scenario(scenario, first, second)
            assert not scenario.check.violations
        assert not scenario.settle_and_check()
    finally:
        scenario.close()


def break_scenario(
    scenario: ConfigScenario, first: dict[str, Any], second: tuple[str, str, int] | None
) -> None:
    """Play a fault, beside a second one if there is one, and let time pass until it is judged."""
    if second is None:
        scenario.break_for(**first)
    else:
        name, host, wait_ms = second
        scenario.begin(name, host)
        scenario.run(wait_ms)
        scenario.break_for(**first)
        scenario.run(wait_ms)
        scenario.end(name, host)
        scenario.publish()
    scenario.run(JUDGED_MS)


@pytest.mark.parametrize("replay", REPLAYS["replay"], ids=lambda replay: replay["name"])
def test_replay_keeps_versions_in_force(replay: dict[str, Any], scenario: ConfigScenario) -> None:
    for step, arguments in replay["steps"]:
        getattr(scenario, step)(**arguments)
    assert not scenario.settle_and_check()
