"""Latency-critical requests from callers to backend servers."""

from ..core import Core
from ..members import Members
from ..placement.racks import Racks
from .const import RequestSettings
from .keys import IdempotencyKeys
from .router import Router
from .slots import SlotPool


def setup(core: Core, members: Members, racks: Racks, settings: RequestSettings) -> Router:
    """Return the request router of this host, attached to `core`."""
    pool = SlotPool(core, racks, settings)
    keys = IdempotencyKeys(core, members, settings)
    return Router(core, pool, keys, settings)
