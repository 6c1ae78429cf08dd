"""Headers, methods and limits of the HTTP interface."""

from typing import Final

DEADLINE_HEADER: Final = "Deadline-Ms"
IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"
IDEMPOTENCY_REPEAT_HEADER: Final = "Idempotency-Repeat"
IDEMPOTENT_HEADER: Final = "Idempotent"
OUTCOME_HEADER: Final = "Quetzallock-Outcome"

IDEMPOTENT_METHODS: Final = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
JOB_TIMEOUT_MS: Final = 5_000
MAX_KEY_LENGTH: Final = 200
