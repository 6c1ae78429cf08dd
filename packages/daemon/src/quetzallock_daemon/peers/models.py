"""The first frame of a peer stream."""

from dataclasses import dataclass

from quetzallock_core.codec import message


@message(140)
@dataclass(frozen=True, slots=True)
class Hello:
    """Who sends on this stream, and which version of the protocol."""

    host: str
    life: int
    version: int
