"""Presets: which one is in force, by the order of one log stream."""

from ..core import Core
from ..members import Members
from .const import PresetSettings
from .sync import Presets


def setup(core: Core, members: Members, settings: PresetSettings) -> Presets:
    """Return the preset state of this host, attached to `core`."""
    return Presets(core, members, settings)
