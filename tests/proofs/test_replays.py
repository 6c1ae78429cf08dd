"""Replays recorded sequences of faults, each of which once violated a promise."""

import tomllib
from pathlib import Path
from typing import Any

import pytest

from .lasting_machine import LastingMachine
from .outcomes import find_request_violations, find_running_violations

REPLAYS = tomllib.loads(Path(__file__).with_name("replays.toml").read_text(encoding="utf-8"))


@pytest.mark.parametrize("replay", REPLAYS["replay"], ids=lambda replay: replay["name"])
def test_replay_violates_no_promise(replay: dict[str, Any]) -> None:
    machine = LastingMachine()
    machine.settle(seed=replay["seed"])
    for rule, arguments in replay["steps"]:
        getattr(machine, rule)(**arguments)
        assert not find_running_violations(machine.cluster)
        assert not find_request_violations(machine.cluster, machine.callers)
        machine.presets_never_revert()
    assert not machine.settle_and_check()
