"""Jobs: what batch work exists, how far it is, and who says so."""

from ..core import Core
from ..placement.racks import Racks
from .client import JobClient
from .const import JobSettings
from .owner import ShardOwner
from .shards import Shards


def setup(core: Core, racks: Racks, settings: JobSettings) -> Shards:
    """Return the shards of this host, attached to `core`."""
    owners = tuple(ShardOwner(core, racks, settings, shard) for shard in range(settings.shards))
    return Shards(core, owners)


__all__ = ["JobClient", "JobSettings", "Shards", "setup"]
