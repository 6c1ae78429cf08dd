"""Placement: leases of workers, their committed resources and leases of their slots."""

from ..core import Core
from ..members import Members
from .const import PlacementSettings
from .placer import Placer
from .racks import Racks
from .reporter import Reporter


def setup(
    core: Core, members: Members, racks: Racks, settings: PlacementSettings, shards: int
) -> Placer:
    """Return the placer of this host, attached to `core`."""
    reporter = Reporter(core, members, settings, shards)
    return Placer(core, racks, reporter, settings)


__all__ = ["Placer", "PlacementSettings", "Racks", "setup"]
