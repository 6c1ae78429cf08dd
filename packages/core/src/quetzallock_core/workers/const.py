"""States and refusal codes of the worker protocol."""

from typing import Final

RUNNING: Final = "running"
FINISHED: Final = "finished"
FAILED: Final = "failed"
STOPPED: Final = "stopped"
LAPSED: Final = "lapsed"
CLOSED: Final = "closed"

ENDED_UNFINISHED_STATES: Final = frozenset({FAILED, STOPPED, LAPSED, CLOSED})
"""States of attempts that ended without finishing their task."""

REFUSED_STALE: Final = "stale_lease"
REFUSED_CLOSED: Final = "attempt_closed"
REFUSED_LATE: Final = "start_too_late"
REFUSED_BUSY: Final = "other_attempt_alive"
