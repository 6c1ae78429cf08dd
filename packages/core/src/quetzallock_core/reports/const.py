"""Limits of reports."""

from typing import Final

LOWEST_MS: Final = 1
HIGHEST_MS: Final = 60_000
DIGITS: Final = 2
CREST_WINDOW_MS: Final = 10_000
ANSWER_MS: Final = 1_000
LINES: Final = 12
COLUMNS: Final = 40
