"""Tests of the member lists of several hosts."""

from tests.common import FakeCluster

ALL = ("host-0", "host-1", "host-2")


def list_reachable(cluster: FakeCluster) -> set[tuple[str, ...]]:
    """Return the distinct member lists of the hosts."""
    return {fake.host.members.reachable for fake in cluster.hosts.values()}


def test_hosts_find_each_other_by_seeds(cluster: FakeCluster) -> None:
    assert list_reachable(cluster) == {ALL}


def test_killed_host_is_removed_everywhere(cluster: FakeCluster) -> None:
    cluster.kill_host("host-1")
    cluster.run(4_000)
    assert list_reachable(cluster) == {("host-0", "host-2")}


def test_restarted_host_refutes_its_death(cluster: FakeCluster) -> None:
    cluster.kill_host("host-1")
    cluster.run(60_000)
    cluster.start_host("host-1")
    cluster.run(6_000)
    assert list_reachable(cluster) == {ALL}


def test_restart_before_failure_detection_keeps_one_entry(cluster: FakeCluster) -> None:
    cluster.kill_host("host-1")
    cluster.run(300)
    cluster.start_host("host-1")
    cluster.run(10_000)
    assert list_reachable(cluster) == {ALL}


def test_host_that_is_restarted_while_partitioned_rejoins(cluster: FakeCluster) -> None:
    """Guards against member lists that differ permanently.

    A seed host was partitioned, restarted and reconnected (seed 198 of the fault machine).
    """
    cluster.isolated_hosts.add("host-1")
    cluster.run(10_000)
    cluster.kill_host("host-1")
    cluster.start_host("host-1")
    cluster.run(10_000)
    cluster.isolated_hosts.clear()
    cluster.run(10_000)
    assert list_reachable(cluster) == {ALL}


def test_leaving_host_is_removed_at_once(cluster: FakeCluster) -> None:
    cluster.hosts["host-2"].host.leave()
    cluster.run(1_500)
    assert list_reachable(cluster) == {("host-0", "host-1")}


def test_partitioned_groups_merge_again(cluster: FakeCluster) -> None:
    cluster.isolated_hosts.add("host-0")
    cluster.run(30_000)
    assert list_reachable(cluster) == {("host-0",), ("host-1", "host-2")}
    cluster.heal()
    cluster.run(10_000)
    assert list_reachable(cluster) == {ALL}
