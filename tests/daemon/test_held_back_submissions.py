"""Submissions under a newer version at an owner that cannot read the configuration."""

import json

import pytest

from quetzallock_daemon.cells.router import CallerAnswer, CallerRequest
from quetzallock_daemon.helpers import run_coroutine

from .emulated_hosts import STEP_MS
from .store_links import LinkedHosts

HOST = "shop.example"
SETTLING_MS = 6_000
READING_MS = 100
ROLLBACK_SLACK_MS = 250
TAKEOVER_MS = 1_000
SUBMISSIONS = 20
SUBMISSION_INTERVAL_MS = 100


def publish(hosts: LinkedHosts, version: int, *prefixes: str) -> None:
    """Write a version of the configuration with these routes."""
    routes = [
        {"name": prefix, "host": HOST, "pathPrefix": f"/{prefix}/", "service": "pool"}
        for prefix in prefixes
    ]
    document = {"version": version, "routes": routes, "services": [], "limits": {}}
    hosts.write_configuration(json.dumps(document).encode())


def accept_after_silence(
    monkeypatch: pytest.MonkeyPatch, silent_ms: int, phase_ms: int
) -> list[int]:
    """Return the versions that the owner applies as jobs of a newer one are accepted.

    The owner's connections to the store are silent for `silent_ms` while a router of the newer
    version submits.
    """
    hosts = LinkedHosts(monkeypatch, [2_000, 1_000])
    publish(hosts, 1, "kept")
    hosts.run(SETTLING_MS + phase_ms)
    name = hosts.owner
    (router,) = (service for host, service in hosts.services.items() if host != name)
    link = hosts.get_link(name)
    link.is_silent = True
    link.silence()
    publish(hosts, 2, "kept", "added")
    hosts.run(READING_MS)
    versions: list[int] = []

    def handle_answer(answer: CallerAnswer) -> None:
        configuration = hosts.services[name].router.configuration
        if answer.status == 200 and name == hosts.owner and configuration is not None:
            versions.append(configuration.version)

    for number in range(SUBMISSIONS):
        link.is_silent = number * SUBMISSION_INTERVAL_MS < silent_ms
        request = CallerRequest("POST", HOST, f"/added/{number:016x}", b"")
        run_coroutine(router.router.answer(request)).addCallback(handle_answer)
        hosts.run(SUBMISSION_INTERVAL_MS)
    return versions


@pytest.mark.parametrize("silent_ms", [800, 900, 1_000])
def test_owner_accepts_no_job_of_a_version_that_it_could_not_read(
    silent_ms: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against workers that see a version which the owner's callers are not served by yet."""
    versions: list[int] = []
    for phase_ms in range(0, 1_000, 300):
        versions += accept_after_silence(monkeypatch, silent_ms, phase_ms)
    assert versions
    assert set(versions) == {2}


def test_next_owner_soon_applies_the_version_of_the_jobs_that_it_takes_over(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against tasks of a version that their owner's callers are not served by yet.

    The connection is silent on which the next owner's read waits for a newer version.
    """
    hosts = LinkedHosts(monkeypatch, [2_000, 2_000])
    publish(hosts, 1, "kept")
    hosts.run(SETTLING_MS)
    first = hosts.owner
    (second,) = (host for host in hosts.services if host != first)
    hosts.server.silence_waiting_reads(hosts.get_link(second))
    publish(hosts, 2, "kept", "added")
    hosts.run(READING_MS)
    request = CallerRequest("POST", HOST, f"/added/{1:016x}", b"")
    run_coroutine(hosts.services[first].router.answer(request))
    hosts.run(READING_MS)
    hosts.assign_cell(second)
    owned = hosts.services[second]._owned
    for _ in range(TAKEOVER_MS // STEP_MS):
        if 0 not in owned or not owned[0].is_active:
            hosts.run(STEP_MS)
    assert owned[0].has_job(f"{1:016x}")
    hosts.run(ROLLBACK_SLACK_MS)
    configuration = hosts.services[second].router.configuration
    assert configuration is not None
    assert configuration.version == 2
