"""Reads of the configuration over connections to the store that carry no data any more."""

import json
from typing import Final

import pytest

from quetzallock_daemon.cells.configuration_follower import ConfigurationFollower
from quetzallock_platform.store import CONFIG_KEY, CONFIG_TOPIC

from ..emulated_network import EmulatedNetwork

CONFIG_APPLY_MS: Final = 2_000
CONTACT_MS: Final = 3_000
OWNERS_REQUEST: Final = b"GET /log-owners?group=none HTTP/1.1\r\n\r\n"


class FollowingHost:
    """A follower of the configuration whose client has idle connections to the store.

    Attributes:
        versions: The versions that came into force.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, idle: int) -> None:
        self.network = EmulatedNetwork(monkeypatch)
        self.versions: list[int] = []
        self.publish(1)
        ConfigurationFollower(
            self.network,
            self.network.make_platform_store(),
            lambda configuration: self.versions.append(configuration.version),
        ).start()
        self.network.run(CONFIG_APPLY_MS)
        self.network.open_idle_connections(idle, OWNERS_REQUEST)
        assert self.versions == [1]
        assert len(self.network.transports) == 1 + idle

    def publish(self, version: int) -> None:
        """Publish a version of the configuration."""
        document = {"version": version, "routes": [], "limits": {}}
        self.network.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(document).encode())

    def wait_for_next_read(self) -> None:
        """Let time pass until the store has got the next read of the changes."""
        calls = self.network.calls_by_path
        reads = calls["/log-read"]
        while calls["/log-read"] == reads:
            self.network.run(1)


@pytest.mark.parametrize("idle", [0, 1, 3, 7])
def test_version_is_in_force_in_time_after_all_open_connections_went_silent(
    idle: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against reads that meet the silent connections to the store one after the other.

    The version comes so long after the trouble that the host is in touch when it is due.
    """
    host = FollowingHost(monkeypatch, idle)
    host.wait_for_next_read()
    host.network.silence_open_connections()
    host.network.run(CONTACT_MS - CONFIG_APPLY_MS)
    host.publish(2)
    host.network.run(CONFIG_APPLY_MS)
    assert host.versions == [1, 2]


def test_version_is_in_force_in_time_after_a_short_trouble_that_follows_on_an_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a read with the time limit of the outage, after a read that had records."""
    host = FollowingHost(monkeypatch, 0)
    for _ in range(2 * CONTACT_MS):
        host.network.silence_open_connections()
        host.network.run(1)
    host.publish(2)
    while host.versions == [1]:
        host.network.run(1)
    host.wait_for_next_read()
    host.network.silence_open_connections()
    host.network.run(CONTACT_MS - CONFIG_APPLY_MS)
    host.publish(3)
    host.network.run(CONFIG_APPLY_MS)
    assert host.versions == [1, 2, 3]
