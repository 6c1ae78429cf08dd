"""Names in the HTTP interface."""

from typing import Final

DEADLINE_HEADER: Final = "Deadline-Ms"
KEY_HEADER: Final = "Idempotency-Key"
REPEAT_HEADER: Final = "Idempotency-Repeat"
IDEMPOTENT_HEADER: Final = "Idempotent"
OUTCOME_HEADER: Final = "Quetzallock-Outcome"

IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
JOB_TIMEOUT_MS: Final = 5_000
KEY_LENGTH: Final = 200
