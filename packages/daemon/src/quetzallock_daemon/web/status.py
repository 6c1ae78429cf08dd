"""Health, readiness and the report."""

from dataclasses import asdict

from twisted.web.http import Request

from quetzallock_core.reports.models import Report
from quetzallock_core.reports.text import judge_promises, render_report

from .context import WebContext
from .replies import write_error, write_json
from .routes import route


@route("GET", "/healthz")
def show_health(context: WebContext, request: Request) -> None:
    """Say that the process lives."""
    write_json(request, 200, {"status": "alive", "host": context.node.identity.host})


@route("GET", "/readyz")
def show_readiness(context: WebContext, request: Request) -> None:
    """Say whether the balancer may send callers here."""
    if context.is_draining:
        write_error(request, 503, "draining", "a planned stop has begun")
    elif not context.node.host.members.usable:
        write_error(request, 503, "joining", "no other host has been heard of yet")
    elif not context.node.host.racks.workers:
        write_error(request, 503, "no_workers", "the host list has not been read yet")
    else:
        write_json(request, 200, {"status": "ready"})


@route("GET", "/v1/report")
def show_report(context: WebContext, request: Request) -> None:
    """Sum up what all hosts counted."""

    def on_report(report: Report) -> None:
        body = asdict(report)
        body["text"] = render_report(report)
        body["promises"] = judge_promises(report.counts, not report.missing)
        write_json(request, 200, body)

    ticket = context.open_ticket(request, on_report)
    context.node.host.reports.query_all_hosts(ticket)
    context.node.carry_out()


@route("GET", "/v1/members")
def show_members(context: WebContext, request: Request) -> None:
    """List the entry hosts and what this one holds."""
    host = context.node.host
    rows = [
        {"host": name, "data_centre": host.members.data_centre_of(name)}
        for name in host.members.usable
    ]
    held = [
        {"worker": one.info.worker, "rack": one.info.rack, "lease": one.lease_state}
        for one in host.placer.leased_workers
    ]
    shards = [owner.shard for owner in host.shards.owned]
    write_json(request, 200, {"hosts": rows, "workers": held, "shards": shards})
