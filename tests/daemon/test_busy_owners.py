"""Hosts that are busy with the cell for longer than a membership lasts."""

import pytest

from .emulated_hosts import EmulatedHosts

LOADING_MS = 2_400
TURN_MS = 1_800
JOINING_MS = 1_300
SETTLING_MS = 10_000
PLAY_MS = 30_000


def test_loading_the_cell_does_not_move_it(monkeypatch: pytest.MonkeyPatch) -> None:
    hosts = EmulatedHosts(monkeypatch, [70, 70])
    hosts.loading_ms = LOADING_MS
    hosts.run(SETTLING_MS)
    del hosts.takeovers[:]
    hosts.run(PLAY_MS)
    assert hosts.takeovers == []


def test_cell_does_not_leave_an_owner_that_is_late_with_all_work(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hosts = EmulatedHosts(monkeypatch, [70, 70])
    hosts.loading_ms = LOADING_MS // 2
    hosts.owner_turn_ms = TURN_MS
    hosts.run(SETTLING_MS)
    del hosts.takeovers[:]
    hosts.run(PLAY_MS)
    assert hosts.takeovers == []


def test_cell_leaves_an_owner_that_has_stopped_soon(monkeypatch: pytest.MonkeyPatch) -> None:
    hosts = EmulatedHosts(monkeypatch, [2_000, 2_000])
    hosts.run(SETTLING_MS)
    del hosts.takeovers[:]
    stopped = hosts.owner
    hosts.keep_busy(stopped, PLAY_MS)
    hosts.run(2_500)
    assert hosts.takeovers
    assert stopped not in hosts.takeovers


def test_loaded_cell_is_not_given_up_to_hosts_as_strong(monkeypatch: pytest.MonkeyPatch) -> None:
    """All hosts have joined; the one whose name counts as the weakest gets the cell."""
    hosts = EmulatedHosts(monkeypatch, [70] * 8)
    hosts.run(JOINING_MS)
    hosts.assign_cell("h0")
    hosts.run(SETTLING_MS)
    assert hosts.owner == "h0"
