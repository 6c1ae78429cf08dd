"""Tests of each promise under each fault, and of the detection of its mutant."""

from functools import cache

import pytest

from tests.proofs.faults import FAULTS
from tests.proofs.mutants import apply_mutant
from tests.proofs.pairs import PROMISES, PROVED
from tests.proofs.scenario import run_scenario

SEED = 1


@cache
def run_once(fault: str) -> dict[str, list[str]]:
    """Return the violations in the scenario with this fault."""
    return run_scenario(fault, SEED)


@pytest.mark.parametrize(
    ("promise", "fault"),
    [
        pytest.param(promise, fault, marks=pytest.mark.xdist_group(fault))
        for fault in FAULTS
        for promise in PROMISES
    ],
)
def test_promise_holds(promise: str, fault: str) -> None:
    assert run_once(fault).get(promise, []) == []


@pytest.mark.parametrize(("promise", "fault"), PROVED)
def test_mutant_is_detected(promise: str, fault: str) -> None:
    with apply_mutant(promise):
        violations = run_scenario(fault, SEED)
    assert violations.get(promise)
