"""Submissions from a router whose configuration is older or newer than that of the owner."""

import pytest
from twisted.internet.defer import Deferred

from quetzallock_core.cells.models import QueuePolicy
from quetzallock_daemon.cells.ports import Configuration, Queue, RequestLimits
from quetzallock_daemon.cells.router import CallerAnswer, CallerRequest
from quetzallock_daemon.cells.service import HostService
from quetzallock_daemon.helpers import run_coroutine

from .emulated_hosts import EmulatedHosts

HOST = "shop.example"
OLD_ROUTES = ("/kept/", "/dropped/")
NEW_ROUTES = ("/kept/", "/added/")
SETTLING_MS = 10_000


def make_configuration(version: int, prefixes: tuple[str, ...]) -> Configuration:
    queues = tuple(
        Queue(HOST, prefix, 3_000, QueuePolicy(prefix.strip("/"), "desk", version=version))
        for prefix in prefixes
    )
    return Configuration(version, queues, RequestLimits())


def submit(monkeypatch: pytest.MonkeyPatch, is_router_behind: bool, prefix: str) -> int:
    """Return the status of a job that a router passes on to an owner of another version."""
    hosts = EmulatedHosts(monkeypatch, [2_000, 1_000])
    hosts.run(SETTLING_MS)
    versions = [make_configuration(1, OLD_ROUTES), make_configuration(2, NEW_ROUTES)]
    if not is_router_behind:
        versions.reverse()
    (router,) = (name for name in hosts.services if name != hosts.owner)
    hosts.services[router]._handle_configuration(versions[0])
    hosts.services[hosts.owner]._handle_configuration(versions[1])
    answers: list[CallerAnswer] = []
    request = CallerRequest("POST", HOST, f"{prefix}{1:016x}", b"")
    answered: Deferred[CallerAnswer] = run_coroutine(hosts.services[router].router.answer(request))
    answered.addCallback(answers.append)
    hosts.run(request.deadline_ms)
    return answers[0].status


def test_owner_accepts_no_job_of_a_route_that_its_configuration_has_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its workers have seen the newer version, and the router may be behind for seconds."""
    assert submit(monkeypatch, is_router_behind=True, prefix="/dropped/") != 200


def test_owner_accepts_a_job_of_a_kept_route_from_a_router_that_is_behind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    assert submit(monkeypatch, is_router_behind=True, prefix="/kept/") == 200


def test_owner_that_is_behind_accepts_a_job_of_an_added_route(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a rejection of what the router's newer configuration allows."""
    assert submit(monkeypatch, is_router_behind=False, prefix="/added/") == 200


def test_owner_with_an_unconfirmed_configuration_denies_no_route(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against callers that give up on a route which was added again under its name."""
    monkeypatch.setattr(HostService, "_is_configuration_current", lambda _: False)
    assert submit(monkeypatch, is_router_behind=True, prefix="/dropped/") == 503
