"""Checks the promises with real processes: kill -9, SIGSTOP, SIGTERM, log and worker faults."""

import subprocess
import sys
from pathlib import Path

import pytest

FAULTS = ["kill", "replace", "freeze", "outage", "slow", "kill in outage", "stop", "workers"]


@pytest.mark.process
@pytest.mark.xdist_group("process")
@pytest.mark.parametrize("fault", FAULTS)
def test_promises_hold(fault: str, tmp_path: Path) -> None:
    command = [
        sys.executable,
        "-m",
        "quetzallock_standins",
        "play",
        f"--fault={fault}",
        "--entry-hosts=3",
        "--judge-time=False",
        f"--out={tmp_path}",
    ]
    done = subprocess.run(command, capture_output=True, text=True, timeout=240, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
