"""Reports: what happened, summed over all hosts, for a reader on a phone."""

from ..core import Core
from ..members import Members
from .collector import Reports


def setup(core: Core, members: Members) -> Reports:
    """Return the report keeper of this host, attached to `core`."""
    return Reports(core, members)
