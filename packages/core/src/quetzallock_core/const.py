"""Constants shared by all domains; times are in milliseconds."""

from typing import Final

SECOND_MS: Final = 1_000
NO_OFFSET: Final = -1
PROTOCOL_VERSION: Final = 1
