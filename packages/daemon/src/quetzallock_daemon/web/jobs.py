"""HTTP handlers that submit, show and cancel jobs."""

import json
import uuid
from typing import Any, Final

import voluptuous as vol
from twisted.web.http import Request

from quetzallock_core.exceptions import Finding, InvalidInputError
from quetzallock_core.jobs.const import (
    ACCEPTED,
    CANCELLED,
    CONFLICT,
    FOUND,
    NOT_RUN,
    UNKNOWN_JOB,
)
from quetzallock_core.jobs.errors import JobConflictError, UnknownJobError
from quetzallock_core.jobs.models import JobReply, JobSpec
from quetzallock_core.presets.schema import check_document
from quetzallock_core.workers.models import Resources

from ..helpers import read_body
from ..telemetry.traces import TRACEPARENT
from .const import JOB_TIMEOUT_MS
from .context import WebContext, get_header
from .replies import write_error, write_failure, write_json
from .routes import route

_NAME: Final = vol.All(str, vol.Match(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$", msg="is not a name"))
_SCHEMA: Final = vol.Schema(
    {
        vol.Optional("job"): _NAME,
        vol.Required("team"): _NAME,
        vol.Optional("tasks", default=1): vol.All(int, vol.Range(min=1, max=1_000)),
        vol.Required("cpu_milli"): vol.All(int, vol.Range(min=1)),
        vol.Required("memory_mb"): vol.All(int, vol.Range(min=1)),
        vol.Optional("accelerators", default=0): vol.All(int, vol.Range(min=0)),
        vol.Required("run_ms"): vol.All(int, vol.Range(min=1)),
        vol.Optional("urgent", default=False): bool,
    }
)
_STATUS_BY_OUTCOME: Final = {ACCEPTED: 201, FOUND: 200, CANCELLED: 200}


def parse_json(request: Request) -> dict[str, Any]:
    """Return the object in the request's body.

    Raises:
        InvalidInputError: The body is not a JSON object.
    """
    try:
        body = json.loads(read_body(request))
    except (ValueError, UnicodeDecodeError) as error:
        raise InvalidInputError([Finding("body", f"is not JSON: {error}")]) from None
    if not isinstance(body, dict):
        raise InvalidInputError([Finding("body", "is not a JSON object")])
    return body


def _parse_spec(context: WebContext, request: Request) -> JobSpec:
    checked = check_document(_SCHEMA, parse_json(request), "body")
    demand = Resources(checked["cpu_milli"], checked["memory_mb"], checked["accelerators"])
    if not context.node.host.racks.could_fit(demand):
        place = "body: cpu_milli, memory_mb, accelerators"
        raise InvalidInputError([Finding(place, "no worker is large enough for one task")])
    return JobSpec(
        checked.get("job") or f"job-{uuid.uuid4().hex}",
        checked["team"],
        checked["tasks"],
        demand,
        checked["run_ms"],
        checked["urgent"],
    )


@route("POST", "/v1/jobs")
def submit_job(context: WebContext, request: Request) -> None:
    """Submit a job."""
    spec = _parse_spec(context, request)
    span = context.tracing.start("submit", get_header(request, TRACEPARENT))

    def on_reply(reply: JobReply) -> None:
        span.end(outcome=reply.outcome, job=reply.job)
        _write_reply(request, reply)

    ticket = context.open_ticket(request, on_reply)
    context.node.host.jobs.submit(ticket, spec, JOB_TIMEOUT_MS, span.traceparent)
    context.node.run_effects()


@route("GET", "/v1/jobs/(?P<job>[^/]+)")
def show_job(context: WebContext, request: Request, job: str) -> None:
    """Return the state of a job."""
    ticket = context.open_ticket(request, lambda reply: _write_reply(request, reply))
    context.node.host.jobs.show(ticket, job, JOB_TIMEOUT_MS)
    context.node.run_effects()


@route("DELETE", "/v1/jobs/(?P<job>[^/]+)")
def cancel_job(context: WebContext, request: Request, job: str) -> None:
    """Cancel a job; its finished tasks stay finished."""
    ticket = context.open_ticket(request, lambda reply: _write_reply(request, reply))
    context.node.host.jobs.cancel(ticket, job, JOB_TIMEOUT_MS)
    context.node.run_effects()


def _write_reply(request: Request, reply: JobReply) -> None:
    status = _STATUS_BY_OUTCOME.get(reply.outcome)
    if status is not None:
        counts = {count.state: count.count for count in reply.counts}
        body = {"job": reply.job, "outcome": reply.outcome, "tasks": counts}
        write_json(request, status, body)
    elif reply.outcome == UNKNOWN_JOB:
        write_failure(request, UnknownJobError(reply.job))
    elif reply.outcome == CONFLICT:
        write_failure(request, JobConflictError(reply.reason))
    else:
        status = 503 if reply.outcome == NOT_RUN else 504
        write_error(
            request,
            status,
            reply.outcome,
            reply.reason,
            retry_after_ms=reply.retry_after_ms,
            outcome=reply.outcome,
        )
