"""Evacuation end to end: hosts, store and workers as processes, and an owner that is killed."""

import signal
import time
from pathlib import Path

import pytest

from .processes import EntryHost, LocalPlatform, wait_until

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("platform")]

EVACUATION_S = 2.5
WORKERS_IN_A = {"w0", "w2"}
"""The stand-in assigns its workers to the data centres a and b in turn."""


def run_job(platform: LocalPlatform, host: EntryHost, job: str) -> set[str]:
    """Submit a job of more tasks than two workers run at once; return the workers that ran it."""
    body = {"spec": "300 8000", "steps": [{"count": 6, "cpu": 8_000, "memMb": 100}]}
    assert host.call("POST", f"/jobs/{job}", body)[0] == 200
    wait_until(lambda: host.call("GET", f"/jobs/{job}")[1].get("state") == "completed")
    starts = platform.send_command("record")["starts"]
    return {start[3] for start in starts if start[1].startswith(job)}


def test_evacuation_holds_over_compaction_and_the_loss_of_the_owner(tmp_path: Path) -> None:
    bounds = f"evacuationMs = {int(EVACUATION_S * 1_000)}\n[zones]\na = {{}}\nb = {{}}\n"
    platform = LocalPlatform(tmp_path, hosts=2, bounds=bounds)
    try:
        wait_until(lambda: platform.find_owner().count("worker.known") >= 4)
        host = platform.hosts[0]
        assert run_job(platform, host, f"{1:016x}") & WORKERS_IN_A
        platform.send_command("evacuate", "a")
        platform.send_command("evacuate", "z")
        platform.send_command("compact", "keyed.op")
        time.sleep(EVACUATION_S)
        assert not run_job(platform, host, f"{2:016x}") & WORKERS_IN_A
        assert [each.count("invalid evacuation request") for each in platform.hosts] == [1, 1]
        owner = platform.find_owner()
        assert owner.count("evacuation.requested") == 1
        owner.stop(signal.SIGKILL)
        host = next(each for each in platform.hosts if each is not owner)
        wait_until(lambda: host.count("worker.known") >= 4)
        assert not run_job(platform, host, f"{3:016x}") & WORKERS_IN_A
        platform.send_command("readmit", "a")
        wait_until(lambda: host.count("evacuation.ended") == 1)
        assert run_job(platform, host, f"{4:016x}") & WORKERS_IN_A
        assert platform.send_command("record")["broken"] == []
    finally:
        platform.close()
