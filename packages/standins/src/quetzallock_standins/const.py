"""Constants of the stand-ins."""

from typing import Final

SECOND_MS: Final = 1_000
LOOPBACK: Final = "127.0.0.1"
WORK_HEADER: Final = "X-Work-Ms"
REQUEST_HEADER: Final = "X-Request-Id"
NOT_STARTED_HEADER: Final = "X-Not-Started"
