"""Reports: counts and latencies, summed over all hosts, short enough for a phone screen."""

from ..core import Core
from ..members import Members
from .collector import Reports


def setup(core: Core, members: Members) -> Reports:
    """Create the report collector of this host and register it with `core`."""
    return Reports(core, members)
