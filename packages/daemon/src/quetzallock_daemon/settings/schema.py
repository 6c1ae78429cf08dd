"""Validates settings files; reports all findings at once, each with file, key and reason."""

import ipaddress
from dataclasses import fields
from pathlib import Path
from typing import Any, Final

import voluptuous as vol

from quetzallock_core.exceptions import Finding, InvalidInputError
from quetzallock_core.host import HostSettings
from quetzallock_core.jobs.const import JobSettings
from quetzallock_core.members.const import MemberSettings
from quetzallock_core.placement.const import PlacementSettings
from quetzallock_core.presets.const import PresetSettings
from quetzallock_core.presets.schema import check_document, read_toml
from quetzallock_core.requests.const import RequestSettings

from .models import CallSettings, ListenSettings, PlatformSettings, Settings, TelemetrySettings

_NAME: Final = vol.All(str, vol.Match(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$", msg="is not a name"))
_POSITIVE: Final = vol.All(int, vol.Range(min=1))
_MAX_PORT: Final = 65_535


def check_address(value: object) -> str:
    """Return `value` if it is `ip:port`."""
    if not isinstance(value, str) or ":" not in value:
        raise vol.Invalid("expected ip:port")
    ip, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise vol.Invalid("the part before the port is not an IP address") from None
    if not port.isdigit() or not 0 < int(port) <= _MAX_PORT:
        raise vol.Invalid("the port is not in the range 1 to 65535")
    return value


def _check_traces(value: object) -> str:
    if isinstance(value, str) and (
        value in ("none", "log") or value.startswith(("http://", "https://"))
    ):
        return value
    raise vol.Invalid("expected none, log or the URL of a collector")


def _make_integer_fields(settings_class: type, *excluded: str) -> dict[vol.Optional, Any]:
    """Return a schema of the fields of a settings class, all positive integers."""
    names = [item.name for item in fields(settings_class) if item.name not in excluded]
    return {vol.Optional(name): _POSITIVE for name in names}


_SCHEMA: Final = vol.Schema(
    {
        vol.Required("host"): _NAME,
        vol.Required("data_centre"): _NAME,
        vol.Required("listen"): {
            vol.Required("http"): check_address,
            vol.Required("peers"): check_address,
        },
        vol.Required("platform"): {
            vol.Required("log"): vol.Url(),
            vol.Required("host_list"): vol.Url(),
            vol.Optional("timeout_ms"): _POSITIVE,
        },
        vol.Required("calls"): {
            vol.Required("services"): vol.All([_NAME], vol.Length(min=1)),
            vol.Optional("body_bytes"): _POSITIVE,
            vol.Optional("connections_per_worker"): _POSITIVE,
            vol.Optional("drain_ms"): _POSITIVE,
        },
        vol.Optional("telemetry", default=dict): {
            vol.Optional("statsd"): vol.Any("", check_address),
            vol.Optional("traces"): _check_traces,
            vol.Optional("sampled_percent"): vol.All(int, vol.Range(min=0, max=100)),
            vol.Optional("log_level"): vol.In(("DEBUG", "INFO", "WARNING", "ERROR")),
        },
        vol.Optional("members", default=dict): {
            vol.Optional("seeds"): [check_address],
            **_make_integer_fields(MemberSettings, "seeds"),
        },
        vol.Optional("placement", default=dict): _make_integer_fields(PlacementSettings),
        vol.Optional("jobs", default=dict): _make_integer_fields(JobSettings),
        vol.Optional("presets", default=dict): _make_integer_fields(PresetSettings),
        vol.Optional("requests", default=dict): _make_integer_fields(RequestSettings),
    }
)


def parse_settings(text: str, source: str) -> Settings:
    """Return the settings in `text`.

    Raises:
        InvalidInputError: All findings, each with `source`, key and reason.
    """
    checked = check_document(_SCHEMA, read_toml(text, source), source)
    seeds = tuple(checked["members"].pop("seeds", ()))
    services = tuple(checked["calls"].pop("services"))
    domains = HostSettings(
        MemberSettings(seeds=seeds, **checked["members"]),
        PlacementSettings(**checked["placement"]),
        JobSettings(**checked["jobs"]),
        PresetSettings(**checked["presets"]),
        RequestSettings(**checked["requests"]),
    )
    _check_relations(domains, source)
    return Settings(
        checked["host"],
        checked["data_centre"],
        ListenSettings(**checked["listen"]),
        PlatformSettings(**checked["platform"]),
        CallSettings(services=services, **checked["calls"]),
        TelemetrySettings(**checked["telemetry"]),
        domains,
    )


def _check_relations(domains: HostSettings, source: str) -> None:
    """Validate values that depend on one another."""
    placement, jobs = domains.placement, domains.jobs
    findings = []
    if placement.lease_ms < 3 * placement.sync_ms:
        reason = (
            "is less than three times placement.sync_ms: one lost answer would let the lease lapse"
        )
        findings.append(Finding(f"{source}: placement.lease_ms", reason))
    if jobs.task_lease_ms < 3 * placement.report_ms:
        reason = "is less than three times placement.report_ms: renewals would come too late"
        findings.append(Finding(f"{source}: jobs.task_lease_ms", reason))
    if domains.requests.request_ms > placement.request_ms:
        reason = "is more than placement.request_ms, for which lapsed slots stay reserved"
        findings.append(Finding(f"{source}: requests.request_ms", reason))
    if findings:
        raise InvalidInputError(findings)


def load_settings(path: str) -> Settings:
    """Return the settings in the file at `path`.

    Raises:
        InvalidInputError: The file cannot be read or is not valid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise InvalidInputError([Finding(path, f"cannot be read: {error}")]) from None
    return parse_settings(text, path)
