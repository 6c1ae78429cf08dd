"""Cells that the store assigns to another host, and back, between two joins of their owner."""

import pytest

from quetzallock_daemon.cells.owner import CellOwner

from .emulated_hosts import EmulatedHosts

SETTLING_MS = 10_000
AWAY_MS = 700
"""Longer than the interval between two joins of the other host, shorter than a membership."""
RETURN_MS = 1_500


def get_owner(hosts: EmulatedHosts, name: str) -> CellOwner | None:
    """Return the owner of the cell on a host."""
    return hosts.services[name]._owned.get(0)


def take_cell_away_and_back(hosts: EmulatedHosts, *, does_other_load: bool) -> str:
    """Let another host own the cell while its owner takes no turn, and return the owner's name."""
    hosts.run(SETTLING_MS)
    name = hosts.owner
    other = next(host for host in hosts.services if host != name)
    hosts.keep_busy(name, AWAY_MS)
    if not does_other_load:
        hosts.keep_busy(other, AWAY_MS)
    hosts.assign_cell(other)
    hosts.run(AWAY_MS - 100)
    hosts.assign_cell(name)
    return name


def test_owner_is_not_confirmed_after_another_one_has_loaded_the_cell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It went on with orders to the workers that the owner between had not called.

    It knew neither the jobs, ends and cancels that the owner between had recorded nor its runs.
    """
    hosts = EmulatedHosts(monkeypatch, [2_000] * 4)
    name = take_cell_away_and_back(hosts, does_other_load=True)
    back_at = hosts.now
    old = get_owner(hosts, name)
    assert old is not None
    assert old.epoch < hosts.journal_epoch
    hosts.run(RETURN_MS)
    assert old.ownership_confirmed_at < back_at
    assert old.is_stopped
    new = get_owner(hosts, name)
    assert new is not None
    assert new.epoch > old.epoch
    assert new.may_order


def test_owner_goes_on_if_no_other_one_has_loaded_the_cell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hosts = EmulatedHosts(monkeypatch, [2_000] * 4)
    name = take_cell_away_and_back(hosts, does_other_load=False)
    old = get_owner(hosts, name)
    assert old is not None
    hosts.run(RETURN_MS)
    assert get_owner(hosts, name) is old
    assert hosts.now - old.ownership_confirmed_at < RETURN_MS // 2
    assert old.may_order
