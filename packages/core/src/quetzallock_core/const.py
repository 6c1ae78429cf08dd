"""Constants shared by all domains."""

from typing import Final

SECOND_MS: Final = 1_000
NO_OFFSET: Final = -1
"""Offset that stands for the absence of a record."""
PROTOCOL_VERSION: Final = 1
