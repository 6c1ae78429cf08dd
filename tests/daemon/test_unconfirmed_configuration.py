"""Requests of no known route at a host that cannot read the configuration."""

import pytest

from quetzallock_core.cells.models import Bounds
from quetzallock_daemon.cells.ports import ConfigPage, StoreUnavailableError
from quetzallock_daemon.cells.router import CallerAnswer, CallerRequest
from quetzallock_daemon.helpers import run_coroutine, sleep

from .emulated_hosts import EmulatedHosts, EmulatedStore
from .test_outdated_routers import HOST, OLD_ROUTES, make_configuration


def ask_for_unknown_route(monkeypatch: pytest.MonkeyPatch, unread_ms: int) -> CallerAnswer:
    """Return the answer of a host whose reads have failed for so long."""
    hosts = EmulatedHosts(monkeypatch, [1_000], Bounds(config_apply_ms=2_000))
    configuration = make_configuration(1, OLD_ROUTES)
    fails = False

    async def read(store: EmulatedStore, *_limits: int) -> ConfigPage:
        await sleep(store._reactor, 500)
        if fails:
            raise StoreUnavailableError("no answer")
        return ConfigPage(configuration, 0)

    monkeypatch.setattr(EmulatedStore, "read_configuration", read)
    monkeypatch.setattr(EmulatedStore, "read_configuration_changes", read)
    hosts.add_host("h9", 1_000)
    hosts.run(5_000)
    fails = True
    hosts.run(unread_ms)
    answers: list[CallerAnswer] = []
    request = CallerRequest("GET", HOST, "/added/", b"")
    run_coroutine(hosts.services["h9"].router.answer(request)).addCallback(answers.append)
    return answers[0]


def test_host_does_not_deny_a_route_that_may_have_been_added_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that give up on a route which other hosts serve."""
    answer = ask_for_unknown_route(monkeypatch, unread_ms=4_000)
    assert (answer.status, answer.code) == (503, "configuration_unconfirmed")
    assert answer.retry_after_s is not None


def test_host_that_reads_the_configuration_denies_an_unknown_route(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answer = ask_for_unknown_route(monkeypatch, unread_ms=0)
    assert (answer.status, answer.code) == (404, "no_such_queue")
