"""Validation of settings files: reports all findings at once, each with file, key and reason."""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from quetzallock_core.exceptions import InvalidInputError
from quetzallock_daemon.settings import load_settings, parse_settings

EXAMPLES = Path(__file__).parents[2] / "examples"

INVALID_SETTINGS = """
host = "a b"
data_center = "typo"
[listen]
http = "localhost:80"
peers = "127.0.0.1:99999"
[platform]
log = "not a url"
host_list = "http://127.0.0.1:2"
[calls]
services = []
drain_ms = 0
[telemetry]
traces = "maybe"
sampled_percent = 101
"""


def list_findings(text: str) -> list[str]:
    """Return the findings for a settings text."""
    with pytest.raises(InvalidInputError) as caught:
        parse_settings(text, "entry.toml")
    return [str(finding) for finding in caught.value.findings]


def test_all_findings_come_at_once(snapshot: SnapshotAssertion) -> None:
    assert list_findings(INVALID_SETTINGS) == snapshot


def test_broken_toml_names_line_and_column(snapshot: SnapshotAssertion) -> None:
    assert list_findings('host = "a\n') == snapshot


@pytest.mark.parametrize("name", ["aveia", "helmbuch"])
def test_examples_are_valid(name: str) -> None:
    settings = load_settings(str(EXAMPLES / name / "quetzallockd.toml"))
    assert settings.host.startswith(name)


def test_values_that_do_not_fit_together_are_found(snapshot: SnapshotAssertion) -> None:
    text = (EXAMPLES / "aveia" / "quetzallockd.toml").read_text(encoding="utf-8")
    text += "\n[placement]\nlease_ms = 1500\n[jobs]\ntask_lease_ms = 5000\n"
    text += "[requests]\nrequest_ms = 9000\n"
    assert list_findings(text) == snapshot


def test_missing_file_is_a_finding() -> None:
    with pytest.raises(InvalidInputError) as caught:
        load_settings("/nonexistent.toml")
    assert caught.value.findings[0].place == "/nonexistent.toml"
