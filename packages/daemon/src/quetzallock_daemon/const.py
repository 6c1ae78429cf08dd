"""Exit codes and times of the daemon."""

from typing import Final

EXIT_DRAINED: Final = 0
EXIT_FAILED: Final = 1
EXIT_BAD_SETTINGS: Final = 2
EXIT_ADDRESS_IN_USE: Final = 3
EXIT_CUT_OFF: Final = 4

IDLE_TICK_MS: Final = 100
BUSY_TICK_MS: Final = 20
STATS_MS: Final = 5_000
HOST_LIST_MS: Final = 2_000
SECOND_MS: Final = 1_000
