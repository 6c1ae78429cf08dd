"""Idempotency keys across entry hosts and across the death of the key's host."""

from quetzallock_core.helpers.hashing import choose_owner
from tests.common import FakeCluster

HOSTS = ("host-0", "host-1", "host-2")


def find_key(owner: str) -> str:
    """Return a key that the host `owner` keeps."""
    return next(
        key
        for key in map("order-{}".format, range(100))
        if choose_owner(f"key/{key}", HOSTS) == owner
    )


def ask(cluster: FakeCluster, host: str, key: str, repeat: bool = False) -> str:
    """Make a keyed request and return the outcome."""
    ticket = cluster.request(host, key, repeat=repeat)
    cluster.run(2_500)
    return str(cluster.answers[(host, ticket)].outcome)


def count_runs(cluster: FakeCluster, key: str) -> int:
    """Return how often a request ran."""
    return sum(execution.key == key for execution in cluster.executions)


def test_repeat_at_another_host_gets_the_first_answer(cluster: FakeCluster) -> None:
    key = find_key("host-2")
    assert ask(cluster, "host-0", key) == "whole"
    assert ask(cluster, "host-1", key, repeat=True) == "whole"
    assert count_runs(cluster, key) == 1


def test_repeat_after_the_death_of_the_keys_host_is_unknown(cluster: FakeCluster) -> None:
    key = find_key("host-2")
    assert ask(cluster, "host-0", key) == "whole"
    cluster.kill_host("host-2")
    cluster.run(6_000)
    assert ask(cluster, "host-1", key, repeat=True) == "unknown"
    assert count_runs(cluster, key) == 1


def test_keys_move_with_a_planned_stop(cluster: FakeCluster) -> None:
    key = find_key("host-2")
    assert ask(cluster, "host-0", key) == "whole"
    cluster.hosts["host-2"].host.leave()
    cluster.run(5_000)
    cluster.kill_host("host-2")
    assert ask(cluster, "host-1", key) == "whole"
    assert count_runs(cluster, key) == 1


def test_keys_move_to_a_host_that_joins(cluster: FakeCluster) -> None:
    cluster.kill_host("host-2")
    cluster.run(6_000)
    key = find_key("host-2")
    assert ask(cluster, "host-0", key) == "whole"
    cluster.start_host("host-2")
    cluster.run(6_000)
    assert ask(cluster, "host-1", key) == "whole"
    assert count_runs(cluster, key) == 1


def test_key_of_a_request_that_was_not_run_is_free_again(cluster: FakeCluster) -> None:
    key = find_key("host-2")
    cluster.connections_to_refuse = 99
    assert ask(cluster, "host-0", key) == "not_run"
    cluster.connections_to_refuse = 0
    assert ask(cluster, "host-1", key, repeat=False) == "whole"
    assert count_runs(cluster, key) == 1
