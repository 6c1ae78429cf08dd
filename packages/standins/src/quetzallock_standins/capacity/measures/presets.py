"""Measurements of the presets."""

from quetzallock_core.codec import encode
from quetzallock_core.presets.models import PresetState, PublishedPreset

from ..models import Series
from .registry import MEASURES

_PRESET_BYTES = 300


@MEASURES.register("presets")
def measure_presets() -> list[Series]:
    """Measure the presets' state as peers and rewrites of the log send it, by number of presets."""
    text = "x" * _PRESET_BYTES
    points = []
    for count in (3, 12, 60):
        presets = tuple(PublishedPreset(f"p{i}", text, i, "operator") for i in range(count))
        state = PresetState(1, presets, "p0", text, 1, "operator")
        points.append((count, len(encode(state)) / 1e3))
    return [Series("presets", "state, KB", "presets", tuple(points))]
