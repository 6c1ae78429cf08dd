"""HTTP handlers that publish presets, put one in force and show what is in force."""

from typing import Final

import voluptuous as vol
from twisted.web.http import Request

from quetzallock_core.exceptions import Finding, InvalidInputError
from quetzallock_core.presets.catalog import find_preset
from quetzallock_core.presets.errors import LostRaceError, UnknownPresetError
from quetzallock_core.presets.models import ChangeOutcome, HostPreset
from quetzallock_core.presets.schema import check_document, parse_preset

from ..helpers import read_body
from .context import WebContext, get_header
from .jobs import parse_json
from .replies import write_error, write_failure, write_json
from .routes import route

_USE_SCHEMA: Final = vol.Schema(
    {
        vol.Required("author"): vol.All(str, vol.Length(min=1, max=64)),
        vol.Optional("base"): int,
    }
)


@route("GET", "/v1/presets")
def list_presets(context: WebContext, request: Request) -> None:
    """List the published presets and the one in force."""
    state = context.node.host.presets.state
    body = {
        "in_force": state.in_force,
        "switched_at": state.switched_at,
        "switched_by": state.switched_by,
        "presets": [
            {
                "name": preset.name,
                "offset": preset.offset,
                "author": preset.author,
                "text": preset.text,
            }
            for preset in state.presets
        ],
    }
    write_json(request, 200, body)


@route("GET", "/v1/presets-in-force")
def show_in_force(context: WebContext, request: Request) -> None:
    """Return the preset that each host uses."""

    def on_rows(rows: tuple[HostPreset, ...]) -> None:
        state = context.node.host.presets.state
        hosts = [
            {"host": row.host, "preset": row.name, "switched_at": row.switched_at} for row in rows
        ]
        body = {"in_force": state.in_force, "switched_at": state.switched_at, "hosts": hosts}
        write_json(request, 200, body)

    ticket = context.open_ticket(request, on_rows)
    context.node.host.presets.query_all_hosts(ticket)
    context.node.run_effects()


@route("PUT", "/v1/presets/(?P<name>[^/]+)")
def publish_preset(context: WebContext, request: Request, name: str) -> None:
    """Publish a preset; the body is its TOML text.

    The call fails if the header `Base` has a number other than the offset of the preset's newest
    version.
    """
    try:
        text = read_body(request).decode("utf-8")
    except UnicodeDecodeError as error:
        raise InvalidInputError([Finding("body", f"is not UTF-8: {error}")]) from None
    preset = parse_preset(text, "body")
    if preset.name != name:
        raise InvalidInputError([Finding("body: name", f"is {preset.name!r}, not {name!r}")])
    base_text = get_header(request, "Base")
    base = int(base_text) if base_text.lstrip("-").isdigit() else None
    author = get_header(request, "Author") or "unnamed"
    ticket = context.open_ticket(request, lambda outcome: _write_outcome(request, outcome))
    context.node.host.presets.publish(ticket, name, text, author, base)
    context.node.run_effects()


@route("POST", "/v1/presets/(?P<name>[^/]+)/use")
def use_preset(context: WebContext, request: Request, name: str) -> None:
    """Put a preset in force.

    The call fails if the body has a `base` other than the offset of the newest switch.
    """
    checked = check_document(_USE_SCHEMA, parse_json(request), "body")
    if find_preset(context.node.host.presets.state, name) is None:
        raise UnknownPresetError(name)
    ticket = context.open_ticket(request, lambda outcome: _write_outcome(request, outcome))
    context.node.host.presets.use(ticket, name, checked["author"], checked.get("base"))
    context.node.run_effects()


def _write_outcome(request: Request, outcome: ChangeOutcome) -> None:
    if outcome.outcome == "done":
        body = {"outcome": "done", "switched_at": outcome.switched_at}
        write_json(request, 200, body)
    elif outcome.outcome == "lost":
        write_failure(request, LostRaceError(outcome.winner, outcome.switched_at))
    else:
        status = 503 if outcome.outcome == "not_run" else 504
        write_error(
            request,
            status,
            outcome.outcome,
            "the log did not answer",
            retry_after_ms=max(1_000, outcome.retry_after_ms),
            outcome=outcome.outcome,
        )
