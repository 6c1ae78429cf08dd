"""Records of the preset stream, messages between hosts, and events."""

from dataclasses import dataclass

from ..codec import message
from .schema import Preset


@message(40)
@dataclass(frozen=True, slots=True)
class PublishPreset:
    """Publish `text` as the preset `name`; valid where `base` is the name's newest offset."""

    name: str
    text: str
    base: int
    author: str
    nonce: int


@message(41)
@dataclass(frozen=True, slots=True)
class UsePreset:
    """Put the preset `name` in force; valid where `base` is the offset of the last switch."""

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
    """All that the stream says up to `offset`.

    Attributes:
        in_force: Name of the preset in force, empty before the first switch.
        text: Its text as it was when the switch was made.
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
    """Ask a peer for its state, unless it is not newer than `offset`."""

    offset: int


@message(45)
@dataclass(frozen=True, slots=True)
class QueryInForce:
    """Ask a host which preset it acts on."""

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
    """Event: this host acts on `preset` from now on."""

    preset: Preset
    switched_at: int


@dataclass(frozen=True, slots=True)
class ChangeOutcome:
    """Final answer to an operator's change.

    Attributes:
        outcome: `done`, `lost` (another change won), `not_run` or `unknown`.
        winner: Author of the change that won, if lost.
        retry_after_ms: When to come back, if not run.
    """

    outcome: str
    winner: str = ""
    switched_at: int = -1
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class HostPreset:
    """The preset that one host acts on; `name` is None where it did not answer."""

    host: str
    name: str | None
    switched_at: int
