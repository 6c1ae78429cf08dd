"""How long the cell has no owner when its host is stopped as planned."""

import pytest

from quetzallock_core.cells.renewal import MIN_MEMBERSHIP_TTL_MS
from quetzallock_daemon.cells.const import JOIN_INTERVAL_MS

from .emulated_hosts import EmulatedHosts

SETTLING_MS = 10_000
MAX_GAP_MS = 100
PHASES = 8
PHASE_MS = 60


@pytest.mark.parametrize("phase", range(PHASES))
def test_planned_stop_of_the_owner_leaves_the_cell_to_another_at_once(
    monkeypatch: pytest.MonkeyPatch, phase: int
) -> None:
    """The stop comes at any moment between two renewals of the next owner."""
    hosts = EmulatedHosts(monkeypatch, [2_000] * 4)
    hosts.run(SETTLING_MS + phase * PHASE_MS)
    del hosts.takeovers[:]
    stopped = hosts.owner
    hosts.services[stopped].drain()
    hosts.run(MAX_GAP_MS)
    assert len(hosts.takeovers) == 1
    assert stopped not in hosts.takeovers


def test_host_that_dies_right_after_loading_the_cell_is_replaced_as_soon_as_any(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    hosts = EmulatedHosts(monkeypatch, [2_000] * 4)
    hosts.run(SETTLING_MS)
    hosts.services[hosts.owner].drain()
    hosts.run(2 * MAX_GAP_MS)
    dead = hosts.owner
    del hosts.takeovers[:]
    hosts.keep_busy(dead, SETTLING_MS)
    hosts.run(MIN_MEMBERSHIP_TTL_MS + JOIN_INTERVAL_MS + MAX_GAP_MS)
    assert hosts.takeovers
    assert dead not in hosts.takeovers
