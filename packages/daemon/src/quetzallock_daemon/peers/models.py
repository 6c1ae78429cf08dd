"""Messages that only peer streams use."""

from dataclasses import dataclass

from quetzallock_core.codec import message


@message(140)
@dataclass(frozen=True, slots=True)
class Hello:
    """First frame of a stream: its sender and the version of the protocol."""

    host: str
    incarnation: int
    version: int
