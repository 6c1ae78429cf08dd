"""End-to-end tests with entry hosts and the stand-in for the platform as separate processes."""

import signal
import time
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from itertools import product
from pathlib import Path

import pytest

from .processes import EntryHost, LocalPlatform, wait_until

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("platform")]


SETTLE_S = 1.0
"""Time for the cell to reach its owner after the last host has joined the group."""


@pytest.fixture
def platform(tmp_path: Path) -> Iterator[LocalPlatform]:
    """Three entry hosts and four workers."""
    local = LocalPlatform(tmp_path, hosts=3)
    try:
        wait_until(
            lambda: all(host.count("host joins the group of cell owners") for host in local.hosts)
        )
        time.sleep(SETTLE_S)
        wait_until(lambda: any(host.count("cell is owned") for host in local.hosts))
        wait_until(lambda: local.find_owner().count("worker.known") >= 4)
        yield local
    finally:
        local.close()


JOB = {"spec": "300", "steps": [{"count": 1, "cpu": 500}]}


def submit(host: EntryHost, job: str, payload: str = "300", count: int = 3) -> int:
    body = {
        "spec": payload,
        "steps": [{"count": count, "cpu": 500, "memMb": 100, "longRunning": payload == "lasts"}],
    }
    return host.call("POST", f"/jobs/{job}", body)[0]


def state(host: EntryHost, job: str) -> object:
    return host.call("GET", f"/jobs/{job}")[1].get("state")


def test_jobs_are_served_by_every_host(platform: LocalPlatform) -> None:
    for number, host in enumerate(platform.hosts):
        assert submit(host, f"{number:016x}") == 200
    other = platform.hosts[-1]
    for number in range(3):
        wait_until(lambda number=number: state(other, f"{number:016x}") == "completed")
    assert other.call("GET", "/jobs/ffffffffffffffff")[0] == 410
    assert other.call("GET", "/jobs/")[1] == {"pending": 0}
    assert other.call("GET", "/nowhere/")[0] == 404
    assert other.call("POST", "/jobs/0000000000000009", {"steps": []})[0] == 400
    assert other.call("POST", "/jobs/xyz", {"steps": []})[0] == 400
    status, page = other.fetch(other.metrics, "/metrics")
    assert status == 200
    assert 'quetzallock_events_total{event="answers.post.200"} 1.0' in page
    assert "quetzallock_latency_seconds_bucket" in page
    assert platform.send_command("truth")["broken"] == []


def test_killed_owner_is_replaced_and_its_tasks_finish_without_a_restart(
    platform: LocalPlatform,
) -> None:
    owner = platform.find_owner()
    others = [host for host in platform.hosts if host is not owner]
    assert submit(others[0], "00000000000000aa", "2500") == 200
    wait_until(lambda: state(others[0], "00000000000000aa") == "running")
    owner.stop(signal.SIGKILL)
    wait_until(lambda: platform.find_owner() is not owner)
    wait_until(lambda: state(others[1], "00000000000000aa") == "completed")
    ground_truth = platform.send_command("truth")
    assert ground_truth["broken"] == []
    assert ground_truth["starts"] == 3


def test_stopped_owner_hands_its_cell_over(platform: LocalPlatform) -> None:
    owner = platform.find_owner()
    others = [host for host in platform.hosts if host is not owner]
    assert submit(others[0], "00000000000000bb", "1500") == 200
    assert owner.stop(signal.SIGTERM) == 0
    assert owner.count("host is stopped") == 1
    wait_until(lambda: state(others[0], "00000000000000bb") == "completed")
    assert platform.send_command("truth")["broken"] == []


def test_copy_of_a_submission_after_its_cancel_never_runs(platform: LocalPlatform) -> None:
    """Guards against lasting jobs that nobody cancels again, also by an owner that took over."""
    owner = platform.find_owner()
    host, other = [host for host in platform.hosts if host is not owner]
    for job in ("00000000000000c1", "00000000000000c2"):
        assert host.call("DELETE", f"/jobs/{job}")[0] == 410
    assert submit(other, "00000000000000c1", "lasts") == 200
    assert state(host, "00000000000000c1") == "cancelled"
    owner.stop(signal.SIGKILL)
    wait_until(lambda: platform.find_owner() is not owner)
    wait_until(lambda: submit(other, "00000000000000c2", "lasts") == 200)
    wait_until(lambda: state(host, "00000000000000c2") == "cancelled")
    time.sleep(SETTLE_S)
    assert platform.send_command("truth")["starts"] == 0


def test_submission_is_not_refused_while_its_outcome_is_unknown(platform: LocalPlatform) -> None:
    host = platform.hosts[0]
    platform.send_command("mode", "lossy")
    assert submit(host, "00000000000000cc") in (200, 504)
    platform.send_command("mode", "up")
    wait_until(lambda: state(host, "00000000000000cc") == "completed")
    assert submit(host, "00000000000000cc") == 200
    ground_truth = platform.send_command("truth")
    assert ground_truth["broken"] == []
    assert ground_truth["starts"] == 3


def test_submission_is_refused_at_once_while_the_store_is_unavailable(
    platform: LocalPlatform,
) -> None:
    platform.send_command("mode", "down")
    host = platform.hosts[0]
    wait_until(lambda: host.count("store is lost") == 1)
    time.sleep(1.0)
    submit(host, "00000000000000e0")
    started_s = time.monotonic()
    status, body = host.call("POST", "/jobs/00000000000000e1", JOB)
    assert (status, body["error"]) == (503, "store_away")
    assert time.monotonic() - started_s < 1.0
    platform.send_command("mode", "up")
    wait_until(lambda: host.count("store is back") == 1)
    assert host.call("GET", "/jobs/00000000000000e1")[0] == 410
    assert submit(host, "00000000000000e1") == 200


def test_configuration_is_followed_over_a_compacted_history(platform: LocalPlatform) -> None:
    platform.send_command("configuration", "5")
    wait_until(lambda: all(h.count("configuration is in force") >= 2 for h in platform.hosts))
    platform.send_command("compact", "keyed.op")
    platform.send_command("configuration", "9")
    wait_until(lambda: all(h.count("configuration is in force") >= 3 for h in platform.hosts))


def test_hosts_serve_the_routes_of_the_newest_version(platform: LocalPlatform) -> None:
    first = platform.send_command("configuration", "next")["configuration"]
    assert_served(platform, first["prefixes"])
    newest = first
    while set(first["prefixes"]) <= set(newest["prefixes"]):
        newest = platform.send_command("configuration", "next")["configuration"]
    assert_served(platform, newest["prefixes"], set(first["prefixes"]) - set(newest["prefixes"]))
    assert platform.send_command("record")["configurations"][-1] == newest


def assert_served(
    platform: LocalPlatform, prefixes: Iterable[str], removed: Iterable[str] = ()
) -> None:
    for prefixes_of_status, status in ((prefixes, 200), (removed, 404)):
        for prefix, host in product(prefixes_of_status, platform.hosts):
            wait_until(lambda h=host, p=prefix, s=status: h.call("GET", p)[0] == s)


def test_reload_is_logged_and_submissions_still_succeed(platform: LocalPlatform) -> None:
    host = platform.hosts[0]
    assert host.process is not None
    host.process.send_signal(signal.SIGHUP)
    wait_until(lambda: host.count("settings are reloaded") == 1)
    assert submit(host, "00000000000000dd") == 200


def test_append_without_an_answer_is_repeated_well_within_the_deadline(
    platform: LocalPlatform,
) -> None:
    host = platform.find_owner()
    with ThreadPoolExecutor(1) as pool:
        platform.send_command("mode", "mute")
        started_s = time.monotonic()
        answer = pool.submit(submit, host, "00000000000000f0")
        time.sleep(0.2)
        platform.send_command("mode", "up")
        assert answer.result() == 200
    assert time.monotonic() - started_s < 1.2
