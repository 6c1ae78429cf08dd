"""The pairs of promise and fault, and whether a mutant was detected in each."""

from typing import Final

from tests.proofs.faults import FAULTS
from tests.proofs.mutants import MUTANTS

PROMISES: Final = {
    "room": "no host is committed beyond what it has",
    "one place": "no task runs in two places at once",
    "resume": "evicted work resumes, exactly once",
    "whole": "every caller gets the whole answer to its own request",
    "not run": "a request that is answered not run did not run",
    "orders": "a non-idempotent request runs at most once",
    "leaving": "a leaving backend server gets no new work",
    "stop": "a planned shutdown cuts off no request in flight",
    "preset": "an accepted preset is in force everywhere and never reverts",
}

# The promise held in these pairs, but the scenario with the guard removed held too, so the check is
# not known to be able to fail there.
PARTIAL: Final = frozenset(
    {
        ("leaving", "cut from workers"),
        ("leaving", "kill while log down"),
        ("preset", "kill while log down"),
        ("preset", "log down"),
        ("resume", "kill while log down"),
        ("resume", "log down"),
    }
)

ALL: Final = tuple((promise, fault) for promise in PROMISES for fault in FAULTS)
PROVED: Final = tuple(pair for pair in ALL if pair not in PARTIAL)

assert set(PROMISES) == set(MUTANTS)
