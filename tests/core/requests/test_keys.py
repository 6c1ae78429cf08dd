"""Idempotency keys across entry hosts, membership changes and the death of the key's owner."""

from quetzallock_core.helpers.hashing import choose_owner
from tests.common import FakeCluster

HOSTS = ("host-0", "host-1", "host-2")


def find_key(owner: str) -> str:
    """Return a key that the host `owner` owns."""
    return next(
        key
        for key in map("order-{}".format, range(100))
        if choose_owner(f"key/{key}", HOSTS) == owner
    )


def send_request(cluster: FakeCluster, host: str, key: str, repeat: bool = False) -> str:
    """Send a request with a key and return its outcome."""
    ticket = cluster.request(host, key, repeat=repeat)
    cluster.run(2_500)
    return str(cluster.answers[(host, ticket)].outcome)


def count_runs(cluster: FakeCluster, key: str) -> int:
    """Return how often the request with this key ran."""
    return sum(execution.key == key for execution in cluster.executions)


def test_repeat_at_another_host_returns_the_first_response(cluster: FakeCluster) -> None:
    key = find_key("host-2")
    assert send_request(cluster, "host-0", key) == "whole"
    assert send_request(cluster, "host-1", key, repeat=True) == "whole"
    assert count_runs(cluster, key) == 1


def test_repeat_after_the_death_of_the_keys_owner_is_unknown(cluster: FakeCluster) -> None:
    key = find_key("host-2")
    assert send_request(cluster, "host-0", key) == "whole"
    cluster.kill_host("host-2")
    cluster.run(6_000)
    assert send_request(cluster, "host-1", key, repeat=True) == "unknown"
    assert count_runs(cluster, key) == 1


def test_keys_are_handed_over_when_their_owner_drains(cluster: FakeCluster) -> None:
    key = find_key("host-2")
    assert send_request(cluster, "host-0", key) == "whole"
    cluster.hosts["host-2"].host.leave()
    cluster.run(5_000)
    cluster.kill_host("host-2")
    assert send_request(cluster, "host-1", key) == "whole"
    assert count_runs(cluster, key) == 1


def test_keys_are_handed_over_to_a_host_that_joins(cluster: FakeCluster) -> None:
    cluster.kill_host("host-2")
    cluster.run(6_000)
    key = find_key("host-2")
    assert send_request(cluster, "host-0", key) == "whole"
    cluster.start_host("host-2")
    cluster.run(6_000)
    assert send_request(cluster, "host-1", key) == "whole"
    assert count_runs(cluster, key) == 1


def test_key_of_a_request_that_was_not_run_can_be_claimed_again(cluster: FakeCluster) -> None:
    key = find_key("host-2")
    cluster.connections_to_refuse = 99
    assert send_request(cluster, "host-0", key) == "not_run"
    cluster.connections_to_refuse = 0
    assert send_request(cluster, "host-1", key, repeat=False) == "whole"
    assert count_runs(cluster, key) == 1
