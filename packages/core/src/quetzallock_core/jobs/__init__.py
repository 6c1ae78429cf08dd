"""Jobs: what batch work exists, how far it is, and who says so."""

from ..core import Core
from ..members import Members
from ..placement.placer import Placer
from .client import JobClient
from .const import JobSettings
from .owner import ShardOwner
from .shards import Shards


def setup(core: Core, members: Members, placer: Placer, settings: JobSettings) -> Shards:
    """Return the shards of this host, attached to `core`."""
    owners = tuple(
        ShardOwner(core, members, placer, settings, shard) for shard in range(settings.shards)
    )
    return Shards(core, owners)


__all__ = ["JobClient", "JobSettings", "Shards", "setup"]
