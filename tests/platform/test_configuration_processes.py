"""Versions of the configuration after trouble with the store, with hosts as separate processes."""

import subprocess
import sys
from pathlib import Path

import pytest

pytestmark = [pytest.mark.process, pytest.mark.xdist_group("platform")]


def test_routes_are_added_and_removed_in_time_after_store_connections_went_silent(
    tmp_path: Path,
) -> None:
    """Guards against hosts that try one silent connection to the store after the other."""
    command = [sys.executable, "-m", "tests.soak.config_lab", "--trouble=silent", "--ms=300"]
    options = ["--hosts=7", "--rounds=3", "--routes=2", "--moves", "--seed=5", f"--keep={tmp_path}"]
    ended = subprocess.run(
        [*command, *options], capture_output=True, text=True, timeout=150, check=False
    )
    assert ended.returncode == 0, ended.stdout + ended.stderr
