"""Records of the preset stream, messages between hosts, and events."""

from dataclasses import dataclass

from ..codec import message
from .schema import Preset


@message(40)
@dataclass(frozen=True, slots=True)
class PublishPreset:
    """Publish `text` as the preset `name`.

    It is valid if `base` is the offset at which that preset was last published, -1 if never.
    """

    name: str
    text: str
    base: int
    author: str
    nonce: int


@message(41)
@dataclass(frozen=True, slots=True)
class UsePreset:
    """Put the preset `name` in force; valid if `base` is the offset of the last switch."""

    name: str
    base: int
    author: str
    nonce: int


@message(42)
@dataclass(frozen=True, slots=True)
class PublishedPreset:
    """A published preset and the offset of its record."""

    name: str
    text: str
    offset: int
    author: str


@message(43)
@dataclass(frozen=True, slots=True)
class PresetState:
    """State of the preset stream up to `offset`.

    Attributes:
        in_force: Name of the preset in force, empty before the first switch.
        text: Text of that preset at the time of the switch.
        switched_at: Offset of the switch.
        switched_by: Author of the switch.
    """

    offset: int
    presets: tuple[PublishedPreset, ...] = ()
    in_force: str = ""
    text: str = ""
    switched_at: int = -1
    switched_by: str = ""


@message(44)
@dataclass(frozen=True, slots=True)
class FetchPresets:
    """Request the state of a peer if it is newer than `offset`."""

    offset: int


@message(45)
@dataclass(frozen=True, slots=True)
class QueryInForce:
    """Request the preset that a host applies."""

    query: int


@message(46)
@dataclass(frozen=True, slots=True)
class InForce:
    """Answer to `QueryInForce`."""

    query: int
    name: str
    switched_at: int


@dataclass(frozen=True, slots=True)
class PresetChanged:
    """Event: this host applies `preset` from now on."""

    preset: Preset
    switched_at: int


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Final answer to an operator's change.

    Attributes:
        outcome: `done`, `lost` (another change was recorded first), `not_run` or `unknown`.
        winner: Author of the change that was recorded first, if lost.
        retry_after_ms: Delay before a retry, if not run.
    """

    outcome: str
    winner: str = ""
    switched_at: int = -1
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class HostPreset:
    """The preset that one host applies; `name` is None if the host did not answer."""

    host: str
    name: str | None
    switched_at: int
