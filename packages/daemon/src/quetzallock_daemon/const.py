"""Exit codes and intervals of the daemon; times in ms."""

from typing import Final

EXIT_DRAINED: Final = 0
EXIT_FAILED: Final = 1
EXIT_INVALID_SETTINGS: Final = 2
EXIT_ADDRESS_IN_USE: Final = 3
EXIT_DRAIN_TIMEOUT: Final = 4

IDLE_TICK_INTERVAL_MS: Final = 100
BUSY_TICK_INTERVAL_MS: Final = 20
STATSD_INTERVAL_MS: Final = 5_000
HOST_LIST_INTERVAL_MS: Final = 2_000
SECOND_MS: Final = 1_000
