"""Loading of the settings file that the platform writes."""

from pathlib import Path

import pytest

from quetzallock_core.exceptions import InvalidInputError
from quetzallock_platform.settings import load_settings

SETTINGS = """
node = "entry-a-1"
ip = "10.1.0.13"
internalPorts = [7720, 7735]
something = "new"

[listenAddresses]
frontend = "10.1.0.13:8161"
ready = "10.1.0.13:8167"

[limits]
cpuShare = 0.43
cores = 5

[bounds]
graceS = 6
holdMaxMs = 10000
stopMs = 200
status_s = 120

[platform]
address = "10.200.1.7:8169"
"""


def test_settings_are_read(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS)
    settings = load_settings(str(path), cells=1)
    assert settings.store == "10.200.1.7:8169"
    assert settings.host.peers == "10.1.0.13:7720"
    assert settings.host.grace_ms == 6_000
    assert settings.host.power == 2_150
    assert settings.host.bounds.lease_ms == 6_000
    assert settings.host.bounds.max_granted_lease_ms == 10_000
    assert settings.host.bounds.status_ms == 120_000


def test_all_findings_are_reported_with_their_path(tmp_path: Path) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace('"10.200.1.7:8169"', "5").replace("graceS = 6", ""))
    with pytest.raises(InvalidInputError) as caught:
        load_settings(str(path), cells=1)
    places = {finding.place for finding in caught.value.findings}
    assert places == {f"{path}: platform.address", f"{path}: bounds.graceS"}


def test_missing_file_is_a_finding(tmp_path: Path) -> None:
    with pytest.raises(InvalidInputError, match="No such file"):
        load_settings(str(tmp_path / "none.toml"), cells=1)


@pytest.mark.parametrize("value", ["999", "0", '"2 s"', "1500.5"])
def test_bound_of_the_configuration_that_cannot_be_kept_is_a_finding(
    tmp_path: Path, value: str
) -> None:
    path = tmp_path / "node.toml"
    path.write_text(SETTINGS.replace("graceS = 6", f"graceS = 6\nconfigApplyMs = {value}"))
    with pytest.raises(InvalidInputError, match="configApplyMs"):
        load_settings(str(path), cells=1)
