"""Limits of peer streams; times in ms."""

from typing import Final

FRAME_BYTES: Final = 4_000_000
QUEUE_FRAMES: Final = 2_000
BACKLOG_BYTES: Final = 8_000_000
CONNECT_MS: Final = 1_000
RETRY_MS: Final = 500
