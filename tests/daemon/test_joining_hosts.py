"""What happens to the cell when another host joins the group of cell owners."""

import pytest

from .emulated_hosts import EmulatedHosts

POWER = 2_000
SETTLING_MS = 10_000


def test_joining_host_does_not_load_the_cell_before_its_owner_has_given_it_up(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    hosts = EmulatedHosts(monkeypatch, [POWER])
    hosts.run(SETTLING_MS)
    caplog.clear()
    with caplog.at_level("INFO"):
        hosts.add_host("h1", POWER)
        hosts.run(SETTLING_MS)
        assert hosts.takeovers == ["h0", "h1"]
    changes = [record.message for record in caplog.records if record.message.startswith("cell is")]
    assert changes[:3] == ["cell is handed over", "cell is given up", "cell is taken over"]
