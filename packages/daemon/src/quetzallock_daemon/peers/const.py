"""Limits and timeouts of peer streams; times in ms."""

from typing import Final

MAX_FRAME_BYTES: Final = 4_000_000
MAX_QUEUED_FRAMES: Final = 2_000
"""Frames that wait for a connection; beyond this, the oldest are dropped without being counted."""
MAX_BACKLOG_BYTES: Final = 8_000_000
"""Unsent bytes of a connection beyond which new frames are dropped."""
CONNECT_TIMEOUT_MS: Final = 1_000
RECONNECT_PAUSE_MS: Final = 500
"""Pause after a failed or lost connection."""
