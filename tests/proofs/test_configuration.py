"""The rules of the configuration under drawn and recorded faults of the store and the links."""

import tomllib
from pathlib import Path
from typing import Any

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from .config_machine import ConfigMachine
from .config_scenario import ConfigScenario

REPLAYS = tomllib.loads(Path(__file__).with_name("config_replays.toml").read_text(encoding="utf-8"))
EXAMPLES = 25
STEPS = 8


def test_versions_are_in_force_in_time_and_never_revert_under_any_faults() -> None:
    options = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        phases=[Phase.generate],
        report_multiple_bugs=False,
    )
    run_state_machine_as_test(ConfigMachine, settings=options)


@pytest.mark.parametrize("replay", REPLAYS["replay"], ids=lambda replay: replay["name"])
def test_replay_keeps_versions_in_force(replay: dict[str, Any]) -> None:
    scenario = ConfigScenario()
    try:
        for step, arguments in replay["steps"]:
            getattr(scenario, step)(**arguments)
        assert not scenario.settle_and_check()
    finally:
        scenario.close()
