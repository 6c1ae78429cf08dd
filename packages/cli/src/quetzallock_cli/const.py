"""Exit codes and defaults of the command line."""

from typing import Final

EXIT_FAILED: Final = 1
EXIT_INPUT: Final = 2
EXIT_NOT_RUN: Final = 3
EXIT_UNKNOWN: Final = 4

DEFAULT_HOST: Final = "http://127.0.0.1:8080"
HOST_VARIABLE: Final = "QUETZALLOCK_HOST"
CALL_TIMEOUT_S: Final = 10
