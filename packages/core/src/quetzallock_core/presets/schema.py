"""Schema of presets, which are TOML documents."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import voluptuous as vol

from ..exceptions import Finding, InvalidInputError

_PERCENT: Final = vol.All(int, vol.Range(min=0, max=100))
_POSITIVE_INT: Final = vol.All(int, vol.Range(min=1))


@dataclass(frozen=True, slots=True)
class RequestRules:
    """Rules for latency-critical requests.

    Attributes:
        policy: Name of the request policy.
        deadline_ms: Default deadline of a request.
        long_ms: Minimum estimated duration of long work, which must also take much longer than the
            average request.
        long_percent: Maximum share of slots for long work.
        retry_percent: Maximum number of retries, as a share of first attempts.
    """

    policy: str = "deadline"
    deadline_ms: int = 1_000
    long_ms: int = 250
    long_percent: int = 50
    retry_percent: int = 10


@dataclass(frozen=True, slots=True)
class BatchRules:
    """Rules for batch work.

    Attributes:
        reserve_percent: Share of each worker that is reserved for services.
        paused: Whether starts of new attempts are suspended.
        eviction_pause_ms: Minimum time between two evictions on one worker.
    """

    reserve_percent: int = 50
    paused: bool = False
    eviction_pause_ms: int = 10_000


@dataclass(frozen=True, slots=True)
class Preset:
    """A set of rules; one is in force at any moment."""

    name: str
    requests: RequestRules = field(default_factory=RequestRules)
    batch: BatchRules = field(default_factory=BatchRules)


_SCHEMA: Final = vol.Schema(
    {
        vol.Required("name"): vol.All(str, vol.Length(min=1, max=64)),
        vol.Optional("requests", default=dict): {
            vol.Optional("policy"): vol.In(("deadline", "baseline")),
            vol.Optional("deadline_ms"): vol.All(int, vol.Range(min=10, max=60_000)),
            vol.Optional("long_ms"): _POSITIVE_INT,
            vol.Optional("long_percent"): _PERCENT,
            vol.Optional("retry_percent"): _PERCENT,
        },
        vol.Optional("batch", default=dict): {
            vol.Optional("reserve_percent"): _PERCENT,
            vol.Optional("paused"): bool,
            vol.Optional("eviction_pause_ms"): _POSITIVE_INT,
        },
    }
)


def check_document(schema: vol.Schema, document: Mapping[str, Any], source: str) -> dict[str, Any]:
    """Validate `document` and return it normalised by `schema`.

    Raises:
        InvalidInputError: The document is invalid; the findings name `source`, key and reason.
    """
    try:
        checked: dict[str, Any] = schema(document)
    except vol.MultipleInvalid as error:
        findings = [
            Finding(f"{source}: {'.'.join(map(str, invalid.path)) or 'top level'}", invalid.msg)
            for invalid in error.errors
        ]
        raise InvalidInputError(sorted(findings, key=str)) from None
    return checked


def read_toml(text: str, source: str) -> dict[str, Any]:
    """Parse the TOML document in `text`.

    Raises:
        InvalidInputError: The text is not TOML; the finding contains line and column.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidInputError([Finding(source, str(error))]) from None


def parse_preset(text: str, source: str) -> Preset:
    """Parse the preset in `text`.

    Raises:
        InvalidInputError: The text is not a valid preset.
    """
    checked = check_document(_SCHEMA, read_toml(text, source), source)
    return Preset(
        checked["name"], RequestRules(**checked["requests"]), BatchRules(**checked["batch"])
    )
