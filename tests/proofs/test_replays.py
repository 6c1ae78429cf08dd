"""Replays recorded sequences of faults, each of which once violated a promise."""

import tomllib
from pathlib import Path
from typing import Any

import pytest

from .machine import FaultMachine
from .outcomes import find_request_violations, find_running_violations, heal_and_settle

REPLAYS = tomllib.loads(Path(__file__).with_name("replays.toml").read_text(encoding="utf-8"))


@pytest.mark.parametrize("replay", REPLAYS["replay"], ids=lambda replay: replay["name"])
def test_replay_violates_no_promise(replay: dict[str, Any]) -> None:
    machine = FaultMachine()
    machine.settle(seed=replay["seed"])
    for rule, arguments in replay["steps"]:
        getattr(machine, rule)(**arguments)
        assert not find_running_violations(machine.cluster)
        assert not find_request_violations(machine.cluster, machine.callers)
        machine.presets_never_revert()
    assert not heal_and_settle(machine.cluster, machine.callers)
