"""Members: the list of live entry hosts, maintained by gossip among ring neighbours."""

from ..core import Core
from .const import MemberSettings
from .gossip import Members
from .models import MembersChanged


def setup(core: Core, settings: MemberSettings) -> Members:
    """Create the member list and register it with `core`."""
    return Members(core, settings)


__all__ = ["Members", "MembersChanged", "setup"]
