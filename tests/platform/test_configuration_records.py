"""Which version of the configuration a host applies after unusual reads from the store."""

import json
from typing import Final

import pytest

from quetzallock_daemon.cells.configuration_follower import ConfigurationFollower
from quetzallock_daemon.cells.const import STORE_RETRY_PAUSE_MS
from quetzallock_daemon.cells.ports import Configuration
from quetzallock_platform.store import CONFIG_TOPIC
from quetzallock_platform_standin.store import Partition

from ..emulated_network import EmulatedNetwork
from .test_records import ROUTE

APPLY_MS: Final = 2_000
LARGE_APPLY_MS: Final = 3_000
"""The bound where links are slow and configurations are large."""
INVALID: Final = json.dumps({"version": 3, "routes": "none"}).encode()


def make_version(version: int, route_count: int = 1) -> bytes:
    routes = [
        {**ROUTE, "name": f"r-{number}", "pathPrefix": f"/{number}/"}
        for number in range(route_count)
    ]
    return json.dumps({"version": version, "routes": routes}).encode()


class FollowedConfiguration:
    """A follower of the configuration, and when each version came into force.

    Attributes:
        evacuations_fail: Whoever is told of the evacuations raises an error.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.network = EmulatedNetwork(monkeypatch)
        self.network.put(CONFIG_TOPIC, "config", make_version(1))
        self.in_force_at: dict[int, int] = {}
        self.evacuations_fail = False
        ConfigurationFollower(
            self.network,
            self.network.make_platform_store(),
            self._handle_change,
            self._handle_evacuations,
        ).start()
        self.network.run(3_000)
        assert list(self.in_force_at) == [1]

    def _handle_change(self, configuration: Configuration) -> None:
        self.in_force_at[configuration.version] = self.network.now_ms

    def _handle_evacuations(self, _data_centres: frozenset[str], _confirmed_at: int) -> None:
        if self.evacuations_fail:
            raise TypeError("odd value")

    def replace_log(self, *versions: int) -> None:
        """Let the log begin anew with these versions, as if it had lost its records."""
        partition = Partition()
        self.network.store._partitions[CONFIG_TOPIC, 0] = partition
        for version in versions:
            self.network.store.put(CONFIG_TOPIC, "config", make_version(version))


def test_invalid_version_does_not_hide_the_valid_one_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One read returns both; the valid one stayed out of force until the next version."""
    followed = FollowedConfiguration(monkeypatch)
    followed.network.store.put(CONFIG_TOPIC, "config", make_version(2))
    followed.network.put(CONFIG_TOPIC, "config", INVALID)
    followed.network.run(APPLY_MS)
    assert 2 in followed.in_force_at


def test_invalid_version_does_not_undo_the_valid_one_before_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    followed = FollowedConfiguration(monkeypatch)
    followed.network.put(CONFIG_TOPIC, "config", make_version(2))
    followed.network.run(APPLY_MS)
    followed.network.put(CONFIG_TOPIC, "config", INVALID)
    followed.network.run(APPLY_MS)
    assert list(followed.in_force_at) == [1, 2]


def test_host_that_has_read_beyond_the_end_of_the_log_applies_the_next_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Versions below its offset were never read."""
    followed = FollowedConfiguration(monkeypatch)
    for version in range(2, 6):
        followed.network.put(CONFIG_TOPIC, "config", make_version(version))
        followed.network.run(1_000)
    followed.replace_log(5)
    followed.network.run(5_000)
    followed.network.put(CONFIG_TOPIC, "config", make_version(6))
    followed.network.run(APPLY_MS)
    assert 6 in followed.in_force_at


def test_reads_beyond_the_end_of_the_log_pause_like_failed_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A few hosts that read without a pause use up all reads that the store allows."""
    followed = FollowedConfiguration(monkeypatch)
    followed.network.put(CONFIG_TOPIC, "config", make_version(2))
    followed.network.run(1_000)
    followed.replace_log(2)
    followed.network.run(2_000)
    followed.network.calls_by_path.clear()
    followed.network.run(10_000)
    assert followed.network.calls_by_path.total() <= 2 * 10_000 / STORE_RETRY_PAUSE_MS


def test_record_that_a_read_cuts_off_is_read_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """The rest of it was never read, and the part that was is no valid version."""
    followed = FollowedConfiguration(monkeypatch)
    read_all = followed.network.store.read

    def read_half(query: dict[str, str]) -> tuple[int, bytes | dict[str, object]]:
        status, data = read_all(query)
        assert isinstance(data, bytes)
        followed.network.store.read = read_all  # type: ignore[method-assign]
        return status, data[: len(data) // 2]

    followed.network.store.read = read_half  # type: ignore[method-assign,assignment]
    followed.network.put(CONFIG_TOPIC, "config", make_version(2))
    followed.network.run(APPLY_MS)
    assert 2 in followed.in_force_at


def test_error_of_an_owner_does_not_keep_a_version_out_of_force(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Owners are told of the evacuations at each read, before the version was applied."""
    followed = FollowedConfiguration(monkeypatch)
    followed.evacuations_fail = True
    followed.network.put(CONFIG_TOPIC, "config", make_version(2))
    followed.network.run(APPLY_MS)
    assert 2 in followed.in_force_at


def test_large_version_is_read_whole_over_a_slow_link(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a time limit that cuts off an answer that is still arriving."""
    followed = FollowedConfiguration(monkeypatch)
    followed.network.link_bytes_per_ms = 250
    followed.network.put(CONFIG_TOPIC, "config", make_version(2, route_count=1_200))
    followed.network.run(LARGE_APPLY_MS)
    assert 2 in followed.in_force_at
