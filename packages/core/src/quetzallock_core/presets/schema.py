"""The text of a preset: TOML, checked as a whole."""

import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, Final

import voluptuous as vol

from ..exceptions import Finding, InvalidInputError

_PERCENT: Final = vol.All(int, vol.Range(min=0, max=100))
_POSITIVE: Final = vol.All(int, vol.Range(min=1))


@dataclass(frozen=True, slots=True)
class RequestRules:
    """How latency-critical requests are treated.

    Attributes:
        policy: Name of a request policy.
        deadline_ms: Deadline of a request that names none.
        long_ms: Learned length from which on work counts as long.
        long_percent: Most slots that long work may take.
        retry_percent: Retries allowed, as a share of first tries.
    """

    policy: str = "deadline"
    deadline_ms: int = 1_000
    long_ms: int = 250
    long_percent: int = 50
    retry_percent: int = 10


@dataclass(frozen=True, slots=True)
class BatchRules:
    """How batch work is treated.

    Attributes:
        reserve_percent: Share of each worker that batch work leaves to services.
        paused: Whether no new attempt is started.
        eviction_pause_ms: Least time between two evictions on one worker.
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
            vol.Optional("long_ms"): _POSITIVE,
            vol.Optional("long_percent"): _PERCENT,
            vol.Optional("retry_percent"): _PERCENT,
        },
        vol.Optional("batch", default=dict): {
            vol.Optional("reserve_percent"): _PERCENT,
            vol.Optional("paused"): bool,
            vol.Optional("eviction_pause_ms"): _POSITIVE,
        },
    }
)


def check_document(schema: vol.Schema, document: Mapping[str, Any], source: str) -> dict[str, Any]:
    """Return `document` as `schema` normalises it.

    Raises:
        InvalidInputError: All findings, each with `source`, key and reason.
    """
    try:
        checked: dict[str, Any] = schema(document)
    except vol.MultipleInvalid as error:
        findings = [
            Finding(f"{source}: {'.'.join(map(str, one.path)) or 'top level'}", one.msg)
            for one in error.errors
        ]
        raise InvalidInputError(sorted(findings, key=str)) from None
    return checked


def read_toml(text: str, source: str) -> dict[str, Any]:
    """Return the TOML document in `text`.

    Raises:
        InvalidInputError: The text is not TOML; the place has line and column.
    """
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise InvalidInputError([Finding(source, str(error))]) from None


def parse_preset(text: str, source: str) -> Preset:
    """Return the preset in `text`.

    Raises:
        InvalidInputError: The text is not a preset.
    """
    checked = check_document(_SCHEMA, read_toml(text, source), source)
    return Preset(
        checked["name"], RequestRules(**checked["requests"]), BatchRules(**checked["batch"])
    )
