"""HTTP handlers for health, readiness, the report and the members."""

from dataclasses import asdict

from twisted.web.http import Request

from quetzallock_core.reports.models import Report
from quetzallock_core.reports.text import check_promises, render_report

from .context import WebContext
from .replies import write_error, write_json
from .routes import route


@route("GET", "/healthz")
def show_health(context: WebContext, request: Request) -> None:
    """Answer that the process is alive."""
    write_json(request, 200, {"status": "alive", "host": context.node.identity.host})


@route("GET", "/readyz")
def show_readiness(context: WebContext, request: Request) -> None:
    """Answer whether load balancers may send callers to this host."""
    if context.is_draining:
        write_error(request, 503, "draining", "the host is shutting down")
    elif not context.node.host.members.reachable:
        write_error(request, 503, "joining", "no other host has been found yet")
    elif not context.node.host.racks.workers:
        write_error(request, 503, "no_workers", "the host list has not been read yet")
    else:
        write_json(request, 200, {"status": "ready"})


@route("GET", "/v1/report")
def show_report(context: WebContext, request: Request) -> None:
    """Return the report on the counters of all hosts."""

    def on_report(report: Report) -> None:
        body = asdict(report)
        body["text"] = render_report(report)
        body["promises"] = check_promises(report.counts, not report.missing)
        write_json(request, 200, body)

    ticket = context.open_ticket(request, on_report)
    context.node.host.reports.query_all_hosts(ticket)
    context.node.run_effects()


@route("GET", "/v1/members")
def show_members(context: WebContext, request: Request) -> None:
    """List the entry hosts, and the worker leases and shards of this one."""
    host = context.node.host
    hosts = [
        {"host": name, "data_centre": host.members.data_centre_of(name)}
        for name in host.members.reachable
    ]
    leases = [
        {"worker": worker.info.worker, "rack": worker.info.rack, "lease": worker.lease_state}
        for worker in host.placer.leased_workers
    ]
    shards = [owner.shard for owner in host.shards.owned]
    write_json(request, 200, {"hosts": hosts, "workers": leases, "shards": shards})
