"""Names and limits of cells; times in ms unless a name says otherwise."""

from typing import Final

RUNS_PER_EPOCH: Final = 100_000
"""Run numbers of an epoch start at the epoch times this, so that they rise with each owner."""

OWNERSHIP_VALID_MS: Final = 3_000
"""How long an owner gives orders after the last proof that it owns its cell."""

MAX_LEASE_MS: Final = 6_000
"""Longest lease that is asked for: it bounds how long a lost worker's tasks wait."""

CLOCK_DRIFT: Final = 0.02
"""Share by which a worker's steady clock may be slow."""

LEASE_MARGIN_MS: Final = 150
"""Added to the computed end of a worker's lease before its tasks count as over."""

ORDER_TIMEOUT_MS: Final = 700
"""How long an order to a worker may stay without an answer before it is repeated."""

INVENTORY_POLL_WAIT_MS: Final = 1_000
"""How long a worker may keep an inventory call open while nothing ends."""

UNREACHABLE_TIMEOUT_MS: Final = 1_500
"""Silence after which a worker gets no new tasks."""

STALL_TIMEOUT_MS: Final = 2_500
"""Time without processor use after which a batch task counts as hanging."""

MAX_CLOCK_REFERENCES: Final = 4
"""So many other workers' clocks tell when an unreachable worker's lease has lapsed."""

UNVERIFIED_RECORD_AFTER_MS: Final = 1_000
"""Age of a doubt at which the journal is told when it ends."""

SUSPECT_MS: Final = 4_000
"""How long a worker that failed several jobs in a row gets only one task at a time."""

SUSPECT_FAILURES: Final = 2
"""Failures in a row, of different jobs, that make a worker suspect."""

RETRY_PAUSE_MS: Final = 150
"""Pause before a task that was refused or has failed is started again."""

COPY_FACTOR: Final = 1.8
"""A second copy starts when a task has run this many times the learned length."""

COPY_MIN_MS: Final = 400
"""Shortest age of a run that gets a second copy."""

PACE_STEP_MS: Final = 500
"""Shortest time between two changes of pace on one worker."""

MOVE_AFTER_MS: Final = 300
"""How long a halted filling task stays before it moves to another worker."""

MOVE_UNTIL_MS: Final = 1_500
"""Age up to which a halted task moves although its work is lost."""

SERVING_LOAD: Final = 0.6
"""Share of its processor that a serving task is expected to use at its busiest."""

DEFAULT_LENGTH_MS: Final = 1_500
"""Assumed length of a task of which nothing has been learned."""

METRIC_WINDOW_MS: Final = 500
"""Time that the figures in a worker's inventory cover."""
