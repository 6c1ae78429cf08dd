"""Runs the fault machine with random seeds for a given time and prints the seeds that fail.

`python -m tests.proofs.soak --seconds=60`, or `--seed=N` to run one seed again.
"""

import logging
import sys
import time
from random import SystemRandom

import fire
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from .machine import FaultMachine

_EXAMPLES = 40
_STEPS = 10
_SEED_BITS = 32


def run_seed(number: int) -> bool:
    """Run one seed and return whether all promises held."""

    class Machine(FaultMachine):
        """Subclass for this run, since Hypothesis sets the seed on the class."""

    options = settings(
        max_examples=_EXAMPLES,
        stateful_step_count=_STEPS,
        deadline=None,
        database=None,
        derandomize=False,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    try:
        run_state_machine_as_test(seed(number)(Machine), settings=options)
    except AssertionError as error:
        print(f"seed {number} fails:\n{error}", flush=True)
        notes = getattr(error, "__notes__", [])
        print("\n".join(notes), flush=True)
        return False
    return True


def soak(seconds: float = 60, seed: int | None = None) -> None:
    """Run seeds until the time is over; the exit status is 1 if one failed."""
    logging.disable(logging.CRITICAL)
    if seed is not None:
        sys.exit(0 if run_seed(seed) else 1)
    deadline = time.monotonic() + seconds
    failed, done = [], 0
    while time.monotonic() < deadline:
        number = SystemRandom().getrandbits(_SEED_BITS)
        done += 1
        if not run_seed(number):
            failed.append(number)
    print(f"{done} seeds of {_EXAMPLES} examples, {len(failed)} failed: {failed}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    fire.Fire(soak)
