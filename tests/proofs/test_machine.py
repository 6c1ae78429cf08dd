"""Runs the fault machine on a fixed set of examples."""

from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from .machine import FaultMachine

EXAMPLES = 25
STEPS = 30


def test_promises_hold_under_any_faults() -> None:
    run_state_machine_as_test(
        FaultMachine, settings=settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
    )
