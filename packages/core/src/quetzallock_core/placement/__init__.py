"""Placement: who may place on a worker, and what each worker is committed to."""

from ..core import Core
from ..members import Members
from .const import PlacementSettings
from .placer import Placer


def setup(core: Core, members: Members, settings: PlacementSettings) -> Placer:
    """Return the placer of this host, attached to `core`."""
    return Placer(core, members, settings)
