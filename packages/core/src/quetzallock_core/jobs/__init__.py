"""Jobs: batch work, its progress, and the entry hosts that own its shards."""

from ..core import Core
from ..placement.racks import Racks
from .client import JobClient
from .const import JobSettings
from .owner import ShardOwner
from .shards import Shards


def setup(core: Core, racks: Racks, settings: JobSettings) -> Shards:
    """Create the shards of this host and register them with `core`."""
    owners = tuple(ShardOwner(core, racks, settings, shard) for shard in range(settings.shards))
    return Shards(core, owners)


__all__ = ["JobClient", "JobSettings", "Shards", "setup"]
