"""Entry hosts as processes, while another writer leaves odd entries among those of the workers."""

import json
import signal

import pytest

from .processes import LocalPlatform, wait_until
from .test_odd_entries import ODD_KINDS, PATHS, change
from .test_processes import platform  # noqa: F401
from .test_records import ENTRY

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("platform")]

MAX_VALUE_BYTES = 4_000
"""The stand-in takes a value as part of a path."""

LASTING = {"spec": "lasts", "steps": [{"count": 4, "cpu": 500, "memMb": 100, "longRunning": True}]}
SHORT = {"spec": "300", "steps": [{"count": 2, "cpu": 500, "memMb": 100}]}


def write_entry(local: LocalPlatform, worker: str, value: bytes) -> None:
    local.send_command("entry", worker.encode().hex(), value.hex())


def write_odd_entries(local: LocalPlatform) -> None:
    """Write entries with each odd kind in each field, under odd keys, and over those of workers."""
    for path in PATHS:
        for kind, odd in ODD_KINDS.items():
            value = change(path, odd)
            if len(value) <= MAX_VALUE_BYTES:
                write_entry(local, f"odd-{path}-{kind}".replace(" ", "-"), value)
    for worker in ("i\r\nX-Injected: y", "\u65e5\u672c", "x" * 249, "two words"):
        write_entry(local, worker, json.dumps(ENTRY).encode())
    for worker in local.send_command("workers")["workers"]:
        write_entry(local, worker, change("born", None))
        write_entry(local, worker, b"\xff\xfe")


def list_live(local: LocalPlatform, job: str) -> list[str]:
    return [task for task in local.send_command("record")["live"] if task.startswith(job)]


def test_odd_entries_stop_no_host_and_no_job(
    platform: LocalPlatform,  # noqa: F811
) -> None:
    """One of them stopped the journal: nothing was accepted or, after a takeover, started."""
    lasting, short = "00000000000000a1", "00000000000000a2"
    owner = platform.find_owner()
    others = [host for host in platform.hosts if host is not owner]
    assert others[0].call("POST", f"/jobs/{lasting}", LASTING)[0] == 200
    wait_until(lambda: len(list_live(platform, lasting)) == 4)
    write_odd_entries(platform)
    wait_until(lambda: owner.count("invalid worker entry ignored") > len(PATHS))
    assert others[0].call("POST", f"/jobs/{short}", SHORT)[0] == 200
    wait_until(lambda: others[1].call("GET", f"/jobs/{short}")[1].get("state") == "completed")
    assert owner.stop(signal.SIGTERM) == 0
    wait_until(lambda: platform.find_owner() is not owner)
    assert others[0].call("POST", "/jobs/00000000000000a3", SHORT)[0] == 200
    wait_until(
        lambda: others[1].call("GET", "/jobs/00000000000000a3")[1].get("state") == "completed"
    )
    assert len(list_live(platform, lasting)) == 4
    assert platform.send_command("truth")["broken"] == []
    for host in platform.hosts:
        assert host.count("background coroutine failed") == 0
    assert all(host.process is not None and host.process.poll() is None for host in others)
