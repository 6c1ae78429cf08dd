"""Stable rendezvous hashing: every host computes the same owner from the same member list."""

from collections.abc import Iterable

import xxhash


def hash_text(text: str) -> int:
    """Return a 64-bit number that depends on `text` alone."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_to_range(key: str, size: int) -> int:
    """Return a number from 0 to `size` - 1 that depends on `key` alone."""
    return hash_text(key) % size


def choose_shard_owner(shard: int, hosts: Iterable[str]) -> str | None:
    """Return the host that owns a job shard, or None if there are no hosts."""
    return choose_owner(f"shard/{shard}", hosts)


def choose_owner(key: str, hosts: Iterable[str]) -> str | None:
    """Return the host with the highest rendezvous weight for `key`, or None without hosts.

    When a host joins or leaves, only the keys that it gains or owned change their owner.
    """
    return max(
        hosts,
        key=lambda host: (hash_text(f"{key}\x00{host}"), host),
        default=None,
    )
