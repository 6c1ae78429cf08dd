"""Constants of reports."""

from typing import Final

MIN_RECORDED_MS: Final = 1
"""Lower bound of the histograms."""
MAX_RECORDED_MS: Final = 60_000
"""Upper bound of the histograms."""
SIGNIFICANT_DIGITS: Final = 2
"""Number of significant decimal digits of the histograms."""
PEAK_WINDOW_MS: Final = 10_000
"""Length of the windows of which the one with the most requests is reported as the peak."""
"""Time after which a host that has not answered is reported as missing."""
MAX_LINES: Final = 12
MAX_COLUMNS: Final = 40
