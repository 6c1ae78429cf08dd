"""Messages of the member list."""

from dataclasses import dataclass

from ..codec import message


@message(20)
@dataclass(frozen=True, slots=True)
class Rumour:
    """The state of one host; the one with the higher version wins."""

    host: str
    incarnation: int
    version: int
    state: str
    address: str
    data_centre: str


@message(21)
@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat; `full` requests the full member list."""

    sequence: int
    rumours: tuple[Rumour, ...]
    preset_offset: int
    full: bool = False


@message(22)
@dataclass(frozen=True, slots=True)
class PingAnswer:
    """The answer to the heartbeat `sequence`."""

    sequence: int
    rumours: tuple[Rumour, ...]
    preset_offset: int


@dataclass(frozen=True, slots=True)
class MembersChanged:
    """Event: `hosts` are now the hosts that may own racks and shards."""

    hosts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class PeerPresetSeen:
    """Event: the peer `host` has applied the preset stream up to `offset`."""

    host: str
    offset: int
