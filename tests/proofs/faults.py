"""Faults by name, each with functions that start and end it."""

from collections.abc import Callable
from dataclasses import dataclass

from quetzallock_core.registry import Registry
from tests.common import FakeCluster, make_spec


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault; both functions take the cluster and a number that selects the target."""

    begin: Callable[[FakeCluster, int], None]
    end: Callable[[FakeCluster, int], None]


FAULTS: Registry[Fault] = Registry("fault")


def pick_host(cluster: FakeCluster, target: int) -> str:
    """Return the name of the entry host that `target` selects."""
    return f"host-{target % 3}"


def pick_worker(cluster: FakeCluster, target: int) -> str:
    """Return the name of the worker that `target` selects."""
    return f"worker-{target % len(cluster.workers)}"


def _kill(cluster: FakeCluster, target: int) -> None:
    cluster.kill_host(pick_host(cluster, target))


def _restart(cluster: FakeCluster, target: int) -> None:
    if pick_host(cluster, target) not in cluster.hosts:
        cluster.start_host(pick_host(cluster, target))


def _set_log(name: str, value: object) -> Callable[[FakeCluster, int], None]:
    def change(cluster: FakeCluster, target: int) -> None:
        setattr(cluster.log.faults, name, value)

    return change


def _do_nothing(cluster: FakeCluster, target: int) -> None:
    """Do nothing, for faults that need no action to start or to end."""


def _cut_links(cluster: FakeCluster, target: int) -> None:
    host = pick_host(cluster, target)
    for worker in list(cluster.workers)[::2]:
        cluster.cut_links.add((host, worker))


def _break_answers(cluster: FakeCluster, target: int) -> None:
    cluster.answers_to_break += 4 + target % 4


def _refuse_connections(cluster: FakeCluster, target: int) -> None:
    cluster.connections_to_refuse = 1 + target % 4


def _leave(cluster: FakeCluster, target: int) -> None:
    fake = cluster.hosts.get(pick_host(cluster, target))
    if fake is not None and not fake.is_frozen:
        fake.host.leave()


def _restart_stopped(cluster: FakeCluster, target: int) -> None:
    cluster.kill_host(pick_host(cluster, target))
    _restart(cluster, target)


def _mark_leaving(cluster: FakeCluster, target: int) -> None:
    cluster.send_worker_list_to_all(leaving=[pick_worker(cluster, target)])


def _unmark_leaving(cluster: FakeCluster, target: int) -> None:
    cluster.send_worker_list_to_all()


_FAULTS = {
    "kill": Fault(_kill, _restart),
    "cut": Fault(
        lambda cluster, target: cluster.isolated_hosts.add(pick_host(cluster, target)),
        lambda cluster, target: cluster.isolated_hosts.discard(pick_host(cluster, target)),
    ),
    "cut from workers": Fault(_cut_links, lambda cluster, target: cluster.cut_links.clear()),
    "cut from log": Fault(
        lambda cluster, target: cluster.hosts_without_log.add(pick_host(cluster, target)),
        lambda cluster, target: cluster.hosts_without_log.discard(pick_host(cluster, target)),
    ),
    "freeze": Fault(
        lambda cluster, target: cluster.freeze_host(pick_host(cluster, target)),
        lambda cluster, target: cluster.thaw_host(pick_host(cluster, target)),
    ),
    "log down": Fault(_set_log("down", True), _set_log("down", False)),
    "log slow": Fault(_set_log("slow_ms", 900), _set_log("slow_ms", 0)),
    "answers lost": Fault(_set_log("lose_answers", 3), _set_log("lose_answers", 0)),
    "records expire": Fault(
        lambda cluster, target: setattr(cluster.log, "retention_ms", 60_000), _do_nothing
    ),
    "worker paused": Fault(
        lambda cluster, target: cluster.pause_worker(pick_worker(cluster, target)),
        lambda cluster, target: cluster.resume_worker(pick_worker(cluster, target)),
    ),
    "worker crashes": Fault(
        lambda cluster, target: cluster.crash_worker(pick_worker(cluster, target)), _do_nothing
    ),
    "worker removed": Fault(
        lambda cluster, target: cluster.remove_worker(pick_worker(cluster, target)),
        lambda cluster, target: cluster.restore_worker(pick_worker(cluster, target)),
    ),
    "worker cut": Fault(
        lambda cluster, target: cluster.isolated_workers.add(pick_worker(cluster, target)),
        lambda cluster, target: cluster.isolated_workers.discard(pick_worker(cluster, target)),
    ),
    "worker leaves": Fault(_mark_leaving, _unmark_leaving),
    "host stops": Fault(_leave, _restart_stopped),
    "answers break": Fault(_break_answers, _do_nothing),
    "connections refused": Fault(_refuse_connections, _do_nothing),
}


def _cancel_burst(cluster: FakeCluster, target: int) -> None:
    """Submit forty jobs at once and cancel them soon after."""
    host = next((name for name, fake in cluster.hosts.items() if not fake.is_frozen), None)
    if host is None:
        return
    jobs = [f"burst-{index}" for index in range(40)]
    for job in jobs:
        cluster.submit(host, make_spec(job, 2, 2_000))
    cluster.run(600 + 200 * (target % 5))
    for job in jobs:
        cluster.cancel(host, job)


def _race_operators(cluster: FakeCluster, target: int) -> None:
    """Switch the preset on all hosts at the same time, four times."""
    for step in range(4):
        for name, fake in cluster.hosts.items():
            if not fake.is_frozen:
                cluster.use(name, "ordinary", f"{name}-{step}")
        cluster.run(300)


def _kill_in_outage(cluster: FakeCluster, target: int) -> None:
    cluster.log.faults.down = True
    cluster.run(700)
    _kill(cluster, target)


def _end_outage(cluster: FakeCluster, target: int) -> None:
    cluster.log.faults.down = False
    _restart(cluster, target)


_FAULTS |= {
    "worker fails all": Fault(_do_nothing, _do_nothing),
    "burst of cancellations": Fault(_cancel_burst, _do_nothing),
    "operator race": Fault(_race_operators, _do_nothing),
    "kill while log down": Fault(_kill_in_outage, _end_outage),
}
for _name, _fault in _FAULTS.items():
    FAULTS.register(_name)(_fault)
