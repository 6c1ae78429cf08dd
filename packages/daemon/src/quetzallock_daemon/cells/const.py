"""Timeouts and periods of the cell tasks; times in ms."""

from typing import Final

MEMBERSHIP_TTL_MS: Final = 1_500
"""Silence after which the platform gives a host's cells to another host."""

JOIN_INTERVAL_MS: Final = 400
"""Period of the calls that keep a host's membership."""

CANDIDACY_CHECK_INTERVAL_MS: Final = 400
"""Period of looking whether this host is to be a member."""

OWNER_PROBE_INTERVAL_MS: Final = 1_000
"""Period of asking the owner for a sign of life."""

INCARNATION_BITS: Final = 32
"""Size of the random number that tells a process from earlier ones of its host."""

LEAVE_POLL_INTERVAL_MS: Final = 20
"""Period of looking whether a join is still under way before a host leaves the group."""

JOIN_TIMEOUT_MS: Final = 600
"""More than twice what a store that is sixty times slower than usual takes for a call."""

APPEND_TIMEOUT_MS: Final = 600
"""The same for appends; one that has no answer is repeated under its sequence."""

APPEND_PAUSE_MS: Final = 6
"""Pause before an append, so that records of one moment share it."""

STORE_RETRY_PAUSE_MS: Final = 150
STORE_UNAVAILABLE_AFTER_MS: Final = 700
"""Age of an append, or of the loss of the store, from which on new jobs are refused at once."""

STORE_RETRY_AFTER_S: Final = 2
"""When a caller is asked to come back while the store is away."""

READ_TIMEOUT_MS: Final = 2_000
OWNERS_READ_INTERVAL_MS: Final = 1_000
"""Period of reading which host owns which cell."""

MIN_OWNERS_READ_INTERVAL_MS: Final = 150
"""Shortest time between two readings when a call finds its owner gone."""

ENTRIES_READ_INTERVAL_MS: Final = 300
"""Period of reading the workers' entries, by owners only."""

CONFIG_WAIT_MS: Final = 1_000
"""How long a read of the configuration stays open while nothing changes."""

PLACEMENT_PAUSE_MS: Final = 8
"""Pause before waiting tasks are placed, so that events of one moment share a round."""

PLACEMENT_PAUSE_FACTOR: Final = 3.0
"""A round of placing rests this many times as long as the last one took."""

HAND_OVER_TIMEOUT_MS: Final = 1_000
"""How long giving up a cell waits for the store."""

TICK_INTERVAL_MS: Final = 100
INVENTORY_POLL_SLACK_MS: Final = 1_200
"""Added to the waiting time of an inventory call for its timeout."""

INVENTORY_POLL_RETRY_PAUSE_MS: Final = 250
INVENTORY_POLL_PAUSE_MS: Final = 15
"""Pause between two inventory calls, so that ends of one moment share one."""

COLOCATED_POLL_WAIT_MS: Final = 400
"""Waiting time of an inventory call to a worker where filling tasks stand beside serving ones."""

OWNER_REQUEST_TIMEOUT_MS: Final = 700
"""How long a router waits for the owner's answer before it asks again."""

DEFAULT_DEADLINE_MS: Final = 3_000
ANSWER_MARGIN_MS: Final = 60
"""How long before a caller's deadline its answer is sent."""

RETRY_AFTER_S: Final = 1
MAX_LOG_LINES_PER_S: Final = 60
"""Budget of log lines of one event; what goes beyond is counted in the next line."""
