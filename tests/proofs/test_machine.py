"""Runs the fault machine on a fixed set of examples."""

from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from .lasting_machine import LastingMachine
from .machine import FaultMachine

EXAMPLES = 25
STEPS = 30


def test_promises_hold_under_any_faults() -> None:
    run_state_machine_as_test(
        FaultMachine, settings=settings(max_examples=EXAMPLES, stateful_step_count=STEPS)
    )


def test_long_running_tasks_run_again_in_calm() -> None:
    options = settings(
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        derandomize=True,
        phases=[Phase.generate],
    )
    run_state_machine_as_test(LastingMachine, settings=options)
