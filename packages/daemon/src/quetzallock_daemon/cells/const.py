"""Intervals, time limits and other constants of the cell tasks; times in ms."""

from typing import Final

JOIN_INTERVAL_MS: Final = 400
"""Interval of the join calls that keep up a host's membership."""

LATE_JOIN_MS: Final = 1_000
"""Time between two join calls from which on the later one is logged as late."""

CANDIDACY_CHECK_INTERVAL_MS: Final = 400
"""How often a host decides whether to join or leave the group of cell owners."""

OWNER_PROBE_INTERVAL_MS: Final = 1_000
"""How often a host probes the owner of the first cell."""

PROCESS_PROBE_INTERVAL_MS: Final = 500
"""How often a new owner asks whether the previous owner's process is over, while it matters."""

INCARNATION_BITS: Final = 32
"""Size of the random number that distinguishes a process from earlier ones of its host."""

LEAVE_POLL_INTERVAL_MS: Final = 20
"""How often a leaving host checks whether its last join call is still in flight."""

JOIN_TIMEOUT_MS: Final = 600
"""Time limit for a join or leave call. More than twice the time that a call takes while the store
is sixty times slower than usual."""

APPEND_TIMEOUT_MS: Final = 600
"""Time limit for an append, by the same rule. An append without an answer is repeated under its
sequence number."""

APPEND_PAUSE_MS: Final = 6
"""Pause before an append, so that records of one moment share it."""

STORE_RETRY_PAUSE_MS: Final = 150
"""Pause before a failed call to the store is repeated."""

STORE_UNAVAILABLE_AFTER_MS: Final = 700
"""How long an append may be in flight, or the store fail to answer, before new jobs are refused at
once."""

STORE_RETRY_AFTER_S: Final = 2
"""`Retry-After` of callers whose job is refused while the store is unavailable, in seconds."""

READ_TIMEOUT_MS: Final = 2_000
"""Time limit for reads of any length from the store, and for those of a store that is slow."""

SHORT_READ_TIMEOUT_MS: Final = 600
"""How long a read of owners or changes may be silent, by the rule of `JOIN_TIMEOUT_MS`."""

OWNERS_READ_INTERVAL_MS: Final = 1_000
"""How often a host reads which member owns which cell."""

MIN_OWNERS_READ_INTERVAL_MS: Final = 150
"""Minimum time between two of these reads when requests fail to reach an owner."""

ENTRIES_READ_INTERVAL_MS: Final = 300
"""How often a host that owns a cell reads changes of the workers' entries."""

CONFIG_WAIT_MS: Final = 1_000
"""How long a read of the configuration stays open while nothing changes."""

LATE_READ_MS: Final = 300
"""Time beyond its wait from which on a read of a followed topic is logged as late. While the store
answers, a read takes a few ms."""

EVACUATION_READS_PER_BOUND: Final = 5
"""Minimum number of such reads within the bound of evacuations. A read confirms only what the store
held when it was sent, so the view is up to twice as old as a read stays open."""

PLACEMENT_PAUSE_MS: Final = 8
"""Minimum pause before waiting tasks are placed, so that events of one moment share a round."""

PLACEMENT_PAUSE_FACTOR: Final = 3.0
"""Pause after a placement round, as a multiple of its duration. Bounds placement to a quarter of
the processor time."""

HAND_OVER_TIMEOUT_MS: Final = 1_000
"""How long the hand-over of a cell waits for the store."""

TICK_INTERVAL_MS: Final = 100
"""How often a cell processes what depends on time."""

LOAD_REPORT_INTERVAL_MS: Final = 1_000
"""Minimum time between two reports of an owner's load, which count all waiting steps."""

INVENTORY_POLL_SLACK_MS: Final = 1_200
"""Added to the wait of an inventory poll to get its time limit."""

INVENTORY_POLL_RETRY_PAUSE_MS: Final = 250
"""Pause after an inventory poll that failed, and while the owner may not give orders."""

OWNER_REQUEST_TIMEOUT_MS: Final = 700
"""How long a router waits for an owner's answer before it repeats the request."""

OVERLOAD_RETRY_AFTER_S: Final = 2
"""`Retry-After` of callers whose job is refused by an overloaded owner, in seconds."""

DEFAULT_DEADLINE_MS: Final = 3_000
"""Deadline of callers' requests that name none."""

DEFAULT_LOSS_SLACK_MS: Final = 200
"""Time after a request's last byte within which its connection may end without an answer, where the
deployment sets none."""

ANSWER_MARGIN_MS: Final = 60
"""How long before a caller's deadline its answer is sent."""

RETRY_AFTER_S: Final = 1
"""`Retry-After` of refused requests, in seconds."""

MAX_LOG_LINES_PER_S: Final = 60
"""Maximum log lines of one event in a second, except for warnings and errors. The next line of the
event reports how many were left out."""
