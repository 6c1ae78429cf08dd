"""Settings of the preset stream."""

from dataclasses import dataclass
from typing import Final

STREAM: Final = "presets"


@dataclass(frozen=True, slots=True)
class PresetSettings:
    """Times in ms.

    Attributes:
        read_ms: Interval between reads of the stream.
        answer_ms: Time after which an operator's change without an outcome is answered `unknown`.
        rewrite_ms: Interval at which the full state is written again, well below the retention.
    """

    read_ms: int = 1_000
    answer_ms: int = 4_000
    rewrite_ms: int = 600_000
