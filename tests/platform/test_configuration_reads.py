"""Reads of the configuration over connections to the store that carry no data any more."""

import json
from collections import Counter
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import pytest

from quetzallock_daemon.cells.configuration_follower import ConfigurationFollower
from quetzallock_daemon.helpers import run_in_background
from quetzallock_daemon.transport import HttpClient
from quetzallock_platform.store import CELLS_TOPIC, CONFIG_KEY, CONFIG_TOPIC, PlatformStore
from quetzallock_platform_standin.store import PARTITION_COUNT, StandinStore

from ..emulated_network import Answer, EmulatedNetwork

ADDRESS = "127.0.0.1:80"
CONFIG_APPLY_MS = 2_000
CONTACT_MS = 3_000
WAIT_POLL_INTERVAL_MS = 20


class EmulatedStore:
    """The stand-in's store behind an emulated network."""

    def __init__(self) -> None:
        self.network = EmulatedNetwork(self._handle)
        self._store = StandinStore()
        self.reads = 0

    def publish(self, version: int) -> None:
        """Publish a version of the configuration."""
        document = {"version": version, "routes": [], "limits": {}}
        self._store.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(document).encode())

    def _handle(self, target: str, answer: Answer) -> None:
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        if url.path == "/log-newest":
            _answer_json(answer, self._store.read_newest(query))
        elif url.path == "/log-owners":
            _answer_json(answer, self._store.list_owners(query, CELLS_TOPIC))
        else:
            self.reads += 1
            self._read(query, answer, self.network.read_ms() + int(query["waitMs"]))

    def _read(self, query: dict[str, str], answer: Answer, deadline: int) -> None:
        """Answer once there are records, or at the deadline."""
        if not self._store.has_records(query) and self.network.read_ms() < deadline:
            self.network.call_later_ms(WAIT_POLL_INTERVAL_MS, self._read, query, answer, deadline)
            return
        status, body = self._store.read(query)
        assert isinstance(body, bytes)
        answer(status, body)


def _answer_json(answer: Answer, document: dict[str, Any]) -> None:
    answer(200, json.dumps(document).encode())


class FollowingHost:
    """A follower of the configuration whose client has idle connections to the store.

    Attributes:
        versions: The versions that came into force.
    """

    def __init__(self, idle: int) -> None:
        self.store = EmulatedStore()
        self.network = self.store.network
        self.versions: list[int] = []
        client = PlatformStore(HttpClient(self.network, Counter()), ADDRESS, PARTITION_COUNT)
        self.store.publish(1)
        follower = ConfigurationFollower(
            self.network, client, lambda configuration: self.versions.append(configuration.version)
        )
        follower.start()
        self.network.run_until(lambda: self.store.reads, CONFIG_APPLY_MS)
        for _ in range(idle):
            run_in_background(client.read_owners())
        self.network.run_until(lambda: False, CONTACT_MS)
        assert self.versions == [1]
        assert len(self.network.connections) == 1 + idle

    def wait_for_next_read(self) -> None:
        """Let time pass until the store has got the next read of the changes."""
        reads = self.store.reads
        self.network.run_until(lambda: self.store.reads > reads, CONTACT_MS)


@pytest.mark.parametrize("idle", [0, 1, 3, 7])
def test_version_is_in_force_in_time_after_all_open_connections_went_silent(idle: int) -> None:
    """Guards against reads that meet the silent connections to the store one after the other.

    The version comes so long after the trouble that the host is in touch when it is due.
    """
    host = FollowingHost(idle)
    host.wait_for_next_read()
    host.network.silence_connections()
    host.network.run_until(lambda: False, CONTACT_MS - CONFIG_APPLY_MS)
    host.store.publish(2)
    acknowledged_at = host.network.read_ms()
    host.network.run_until(lambda: host.versions == [1, 2], 30_000)
    assert host.versions == [1, 2]
    assert host.network.read_ms() - acknowledged_at <= CONFIG_APPLY_MS
