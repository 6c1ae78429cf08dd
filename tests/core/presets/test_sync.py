"""Tests of presets on several hosts: races, restarts and outages of the log."""

from tests.common import PRESET, FakeCluster

PEAK = 'name = "peak"\n'


def publish_both(cluster: FakeCluster) -> None:
    """Publish two presets and put the first in force."""
    cluster.publish("host-0", "ordinary", PRESET, "ana")
    cluster.publish("host-0", "peak", PEAK, "ana")
    cluster.run(2_000)
    cluster.use("host-0", "ordinary", "ana")
    cluster.run(3_000)


def list_in_force(cluster: FakeCluster) -> set[str]:
    """Return the distinct presets that the hosts apply."""
    return {fake.host.presets.state.in_force for fake in cluster.hosts.values()}


def test_switch_is_in_force_everywhere_within_four_seconds(cluster: FakeCluster) -> None:
    publish_both(cluster)
    ticket = cluster.use("host-1", "peak", "bea")
    cluster.run_until(lambda: ("host-1", ticket) in cluster.answers, 4_000)
    cluster.run(4_000)
    assert list_in_force(cluster) == {"peak"}


def test_lost_race_reports_winner(cluster: FakeCluster) -> None:
    publish_both(cluster)
    base = cluster.hosts["host-1"].host.presets.state.switched_at
    first = cluster.use("host-1", "peak", "bea", base)
    second = cluster.use("host-2", "ordinary", "cem", base)
    cluster.run(4_000)
    outcomes = [cluster.answers[("host-1", first)], cluster.answers[("host-2", second)]]
    assert sorted(outcome.outcome for outcome in outcomes) == ["done", "lost"]
    lost = next(outcome for outcome in outcomes if outcome.outcome == "lost")
    assert lost.winner in ("bea", "cem")
    assert len(list_in_force(cluster)) == 1


def test_host_started_during_outage_applies_preset(cluster: FakeCluster) -> None:
    publish_both(cluster)
    cluster.log.faults.down = True
    cluster.kill_host("host-2")
    cluster.start_host("host-2")
    cluster.run(5_000)
    assert list_in_force(cluster) == {"ordinary"}


def test_change_during_outage_is_not_run(cluster: FakeCluster) -> None:
    publish_both(cluster)
    cluster.log.faults.down = True
    cluster.run(3_000)
    ticket = cluster.use("host-0", "peak", "bea")
    assert cluster.answers[("host-0", ticket)].outcome == "not_run"
    cluster.heal()
    cluster.run(8_000)
    assert list_in_force(cluster) == {"ordinary"}


def test_preset_survives_expiry_of_its_records(cluster: FakeCluster) -> None:
    publish_both(cluster)
    cluster.log.retention_ms = 20_000
    cluster.run(120_000)
    for name in ("host-0", "host-1", "host-2"):
        cluster.kill_host(name)
    for name in ("host-0", "host-1", "host-2"):
        cluster.start_host(name)
    cluster.run(6_000)
    assert list_in_force(cluster) == {"ordinary"}


def test_switch_is_answered_done_after_lost_log_answer(cluster: FakeCluster) -> None:
    publish_both(cluster)
    cluster.log.faults.lose_answers = 1
    ticket = cluster.use("host-0", "peak", "bea")
    cluster.run(5_000)
    assert cluster.answers[("host-0", ticket)].outcome == "done"
    assert list_in_force(cluster) == {"peak"}
