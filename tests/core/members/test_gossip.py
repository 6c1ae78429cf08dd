"""Member lists of several hosts."""

from tests.common import FakeCluster

ALL = ("host-0", "host-1", "host-2")


def list_usable(cluster: FakeCluster) -> set[tuple[str, ...]]:
    """Return the member lists that hosts have."""
    return {fake.host.members.usable for fake in cluster.hosts.values()}


def test_hosts_find_each_other_by_seeds(cluster: FakeCluster) -> None:
    assert list_usable(cluster) == {ALL}


def test_killed_host_is_dropped_by_all(cluster: FakeCluster) -> None:
    cluster.kill_host("host-1")
    cluster.run(4_000)
    assert list_usable(cluster) == {("host-0", "host-2")}


def test_restarted_host_contradicts_its_former_death(cluster: FakeCluster) -> None:
    cluster.kill_host("host-1")
    cluster.run(60_000)
    cluster.start_host("host-1")
    cluster.run(6_000)
    assert list_usable(cluster) == {ALL}


def test_restart_faster_than_detection_keeps_one_entry(cluster: FakeCluster) -> None:
    cluster.kill_host("host-1")
    cluster.run(300)
    cluster.start_host("host-1")
    cluster.run(10_000)
    assert list_usable(cluster) == {ALL}


def test_restarted_seed_and_cut_host_agree_again(cluster: FakeCluster) -> None:
    """Seed 198 of the fault machine: each side held a different list for good."""
    cluster.cut_hosts.add("host-1")
    cluster.run(10_000)
    cluster.kill_host("host-1")
    cluster.start_host("host-1")
    cluster.run(10_000)
    cluster.cut_hosts.clear()
    cluster.run(10_000)
    assert list_usable(cluster) == {ALL}


def test_leaving_host_is_dropped_at_once(cluster: FakeCluster) -> None:
    cluster.hosts["host-2"].host.leave()
    cluster.run(1_500)
    assert list_usable(cluster) == {("host-0", "host-1")}


def test_parted_groups_find_each_other_again(cluster: FakeCluster) -> None:
    cluster.cut_hosts.add("host-0")
    cluster.run(30_000)
    assert list_usable(cluster) == {("host-0",), ("host-1", "host-2")}
    cluster.heal()
    cluster.run(10_000)
    assert list_usable(cluster) == {ALL}
