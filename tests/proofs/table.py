"""Writes docs/PROOFS.md when run as `python -m tests.proofs.table`."""

from collections import Counter
from pathlib import Path
from typing import Final

from tests.proofs.pairs import ALL, PARTIAL, PROMISES

PATH: Final = Path(__file__).parents[2] / "docs" / "PROOFS.md"

PROCESS_TESTS: Final = {
    "kill": "kill",
    "freeze": "freeze",
    "log down": "outage",
    "log slow": "slow",
    "answers lost": "slow",
    "kill while log down": "kill in outage",
    "host stops": "stop",
    "worker fails all": "workers",
    "worker crashes": "workers",
    "worker leaves": "workers",
    "answers break": "workers",
}

# Violations that were found in the project's own code, before it was corrected.
OWN_FAULTS: Final = {
    ("one place", "worker cut"): "own code, before 'Prove the promises with a state machine': "
    "the task finished on the unreachable worker, and again elsewhere",
    ("room", "worker crashes"): "own code, same commit: 9 requests on 8 slots",
    ("preset", "records expire"): "own code, same commit: the preset in force was lost",
    ("resume", "records expire"): "own code, same commit: the shard's state was empty",
    ("resume", "worker fails all"): "own code, before 'Prove every promise under each fault': "
    "the task was parked after four failures on one worker",
    ("stop", "kill"): "own code, same commit: requests that waited for their key were cut off",
}

MUTANT_DETECTED: Final = {
    "room": "mutant that ignores commitments: over-committed, or more requests than slots",
    "one place": "mutant that does not wait for the end of an attempt: two runs overlap",
    "resume": "mutant that discards progress: the next attempt lost work",
    "whole": "mutant that returns late answers: another answer's body",
    "not run": "mutant that reports an unknown outcome as not run: it had run",
    "orders": "mutant without idempotency keys: the request ran twice",
    "leaving": "mutant that ignores leaving: work reached the worker",
    "stop": "mutant that stops without draining: callers without answer",
    "preset": "mutant that accepts every switch: two winners, or a new host without it",
}

MACHINE: Final = "tests/proofs/test_machine.py"
HEADER: Final = """# Proofs

What must always hold, and how it is tested. A row is a pair of a promise and a fault. All checks
compare outcomes: the answers to callers and what workers ran. `scenario` runs work on three entry
hosts, four workers and a log, on a fake network and clock, with the fault in it
(`tests/proofs/scenario.py`); its mutant is the same scenario with the promise's guard removed,
which must be detected. `process` tests do the same with real daemons. `machine` is the Hypothesis
state machine of faults in any order, in pairs (`make soak` runs it with random seeds).

States: *proved*: the promise held and the mutant was detected. *partial*: it held, but no mutant
was detected under this fault, so that the check is not known to be able to fail there. *not
proved*: no test. *known red*: see KNOWN-RED.txt.

This file is written by `python -m tests.proofs.table`; a test compares it.
"""


def list_rows() -> list[tuple[str, str, str, str, str, str]]:
    """Return the rows of the table."""
    rows = [_make_row(promise, fault) for promise, fault in ALL]
    for promise in PROMISES:
        if promise in ("leaving", "stop"):
            rows.append((promise, "any two at once", "none", "none", "none", "not proved"))
        else:
            rows.append((promise, "any two at once", MACHINE, "machine", "no mutant", "partial"))
    return rows


def _make_row(promise: str, fault: str) -> tuple[str, str, str, str, str, str]:
    test = f"test_pairs.py [{promise}-{fault}]"
    kind = "scenario"
    if fault in PROCESS_TESTS:
        test += f", test_faults.py [{PROCESS_TESTS[fault]}]"
        kind += ", process"
    if (promise, fault) in PARTIAL:
        return promise, fault, test, kind, "no mutant detected", "partial"
    detected = OWN_FAULTS.get((promise, fault), MUTANT_DETECTED[promise])
    return promise, fault, test, kind, detected, "proved"


def render() -> str:
    """Render the page."""
    rows = list_rows()
    counts = Counter(row[-1] for row in rows)
    states = ", ".join(f"{counts[state]} {state}" for state in ("proved", "partial", "not proved"))
    lines = [HEADER, f"{len(rows)} pairs: {states}, 0 known red.", "", "Promises:", ""]
    lines += [f"- *{short}*: {promise}" for short, promise in PROMISES.items()]
    lines += ["", "| promise | fault | test | kind | failed first | state |", "| --- " * 6 + "|"]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    PATH.write_text(render(), encoding="utf-8")
