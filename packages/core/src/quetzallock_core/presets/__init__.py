"""Presets: sets of rules, switched in the order of the records of one log stream."""

from ..core import Core
from ..members import Members
from .const import PresetSettings
from .sync import Presets


def setup(core: Core, members: Members, settings: PresetSettings) -> Presets:
    """Create the preset state of this host and register it with `core`."""
    return Presets(core, members, settings)
