"""Members: which entry hosts are alive, by gossip among a few neighbours."""

from ..core import Core
from .const import MemberSettings
from .gossip import Members
from .models import MembersChanged


def setup(core: Core, settings: MemberSettings) -> Members:
    """Return the member list, attached to `core`."""
    return Members(core, settings)


__all__ = ["Members", "MembersChanged", "setup"]
