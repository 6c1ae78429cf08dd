"""Output and exit codes of the command line."""

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from quetzallock_standins.processes import LocalDeployment

ROOT = Path(__file__).parents[2]
PRESETS = ROOT / "examples" / "aveia" / "presets"
NUMBERS = re.compile(r"\d+(\.\d+)?")


def run(*arguments: str, host: str = "") -> subprocess.CompletedProcess[str]:
    """Run the command line as a process in the root of the repository."""
    command = [sys.executable, "-m", "quetzallock_cli", *arguments]
    env = os.environ | {"QUETZALLOCK_HOST": host, "PAGER": "cat"}
    return subprocess.run(command, capture_output=True, text=True, cwd=ROOT, env=env, check=False)


def hide_numbers(text: str) -> str:
    """Replace numbers, which differ from run to run."""
    return NUMBERS.sub("N", text)


def test_check_settings(snapshot: SnapshotAssertion) -> None:
    result = run("check", "settings", "examples/aveia/quetzallockd.toml")
    assert (result.returncode, result.stdout) == snapshot


def test_check_preset_with_faults(tmp_path: Path, snapshot: SnapshotAssertion) -> None:
    path = tmp_path / "bad.toml"
    path.write_text('nam = "x"\n[batch]\nreserve_percent = 200\n', encoding="utf-8")
    result = run("check", "preset", str(path))
    assert (result.returncode, result.stderr.replace(str(tmp_path), "DIR")) == snapshot


def test_unreachable_host_has_code_cause_and_hint(snapshot: SnapshotAssertion) -> None:
    result = run("report", host="http://127.0.0.1:1")
    assert (result.returncode, result.stderr) == snapshot
    assert "Traceback" not in result.stderr


@pytest.mark.process
@pytest.mark.xdist_group("process")
class TestWithDaemons:
    """Commands that call running daemons."""

    def test_report_fits_a_phone(self, local: LocalDeployment, snapshot: SnapshotAssertion) -> None:
        result = run("report", host=next(iter(local.hosts.values())).http)
        lines = result.stdout.strip().splitlines()
        assert result.returncode == 0
        assert len(lines) <= 12
        assert max(map(len, lines)) <= 40
        assert hide_numbers(result.stdout) == snapshot

    def test_job_from_submission_to_cancellation(
        self, local: LocalDeployment, snapshot: SnapshotAssertion
    ) -> None:
        host = next(iter(local.hosts.values())).http
        size = ["--cpu_milli=100", "--memory_mb=10", "--run_ms=60000"]
        submitted = run("job", "submit", "--team=t", "--job=cli-1", *size, host=host)
        shown = run("job", "show", "cli-1", host=host)
        cancelled = run("job", "cancel", "cli-1", host=host)
        missing = run("job", "show", "cli-2", host=host)
        assert submitted.stdout == snapshot
        assert shown.returncode == cancelled.returncode == 0
        assert (missing.returncode, missing.stderr) == snapshot

    def test_preset_race_names_the_winner(self, local: LocalDeployment) -> None:
        host = next(iter(local.hosts.values())).http
        assert run("preset", "publish", str(PRESETS / "peak.toml"), host=host).returncode in (0, 2)
        listed = run("preset", "list", host=host).stdout
        assert "* ordinary" in listed
        where = run("preset", "where", host=host)
        assert where.stdout.startswith("ordinary in force on 2 of 2 hosts")
        first = run("preset", "use", "peak", "--author=ana", host=host)
        lost = run("preset", "use", "ordinary", "--base=0", "--author=bea", host=host)
        back = run("preset", "use", "ordinary", "--author=ana", host=host)
        assert first.returncode == back.returncode == 0
        assert lost.returncode == 2
        assert "lost_race" in lost.stderr
        assert "ana" in lost.stderr
