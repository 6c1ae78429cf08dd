"""Workers that have announced to leave, and are polled although the platform's list lacks them."""

from .models import Boot, Resources, WorkerEntry


def make_unlisted_entry(boot: Boot, address: str) -> WorkerEntry:
    """Return an entry with which a boot that has left the platform's list can be polled."""
    return WorkerEntry(*boot, "", address, "", True, Resources(), (), "")
