"""Leases of workers that start again under their id and carry out orders for their former boot."""

from random import Random

import pytest

from quetzallock_core.cells.const import CLOCK_DRIFT, LEASE_MARGIN_MS, MAX_ORDER_DELAY_MS
from quetzallock_core.cells.fences import TOKENS_PER_EPOCH
from quetzallock_core.cells.models import Bounds, Inventory, Resources
from quetzallock_core.cells.orders import StartRun
from quetzallock_core.cells.records import FencesRecord, OwnerRecord, WorkerRecord
from quetzallock_core.codec import decode, encode
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import make_spec

from .common import POLICY, make_step

UPTIME_MS = 20_000
"""Clock of the first boots: a lease end by it is far ahead of the clock of a next boot."""
BOUNDS = Bounds(max_granted_lease_ms=10_000)
LONGEST_MS = BOUNDS.longest_granted_ms
ORDINARY_MS = int(BOUNDS.lease_ms / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
WIDE = Resources(7_000, 2_000, 0)
"""Two tasks of this size fill a worker."""


def make_cluster(has_boot_fences: bool = True, workers: int = 2) -> CellCluster:
    """Return a cluster of workers that are full of lasting tasks and have been up for long."""
    cluster = CellCluster(workers=workers, bounds=BOUNDS, has_boot_fences=has_boot_fences)
    cluster.run(UPTIME_MS)
    step = make_step(2 * workers, needs=WIDE, lasting=True)
    cluster.submit(make_spec("lasts", step), POLICY, {0: None})
    cluster.run(500)
    return cluster


def restart(cluster: CellCluster, worker: str = "w0") -> None:
    """Start a worker again before its owner asks it, so that it gets orders for its former boot."""
    cluster.workers[worker].crash()
    cluster.revive(worker)
    for number in range(4):
        job = f"short{cluster.clock.now()}-{number}"
        cluster.submit(make_spec(job, make_step(4)), POLICY, {0: 50})
    cluster.run(40)
    boot = cluster.workers[worker]
    assert boot.lease_until > boot.clock_ms + BOUNDS.lease_ms, "no order for the former boot"


def list_lasting(cluster: CellCluster, worker: str = "w0") -> list[str]:
    """Return the lasting tasks that a worker runs."""
    return [task for task in cluster.workers[worker].runs if task.startswith("lasts")]


def check_tasks_wait_for_the_lease(cluster: CellCluster) -> None:
    """Cut off w0, which holds the longest lease, and check that its tasks run once, and again."""
    tasks = list_lasting(cluster)
    assert tasks
    cluster.join_worker()
    cluster.workers["w0"].is_isolated = True
    cluster.run(LONGEST_MS + 4_000)
    assert not cluster.ground_truth.violations
    restarted = {task for _, task, _, worker in cluster.ground_truth.starts if worker == "w2"}
    assert set(tasks) <= restarted


def test_tasks_wait_for_the_longest_lease_of_a_next_boot() -> None:
    """Guards against two runs at once: a next boot grants more than its owner has asked it for."""
    cluster = make_cluster()
    restart(cluster)
    cluster.run(1_500)
    check_tasks_wait_for_the_lease(cluster)


def replace_owner(cluster: CellCluster, settled_ms: int, is_planned: bool) -> list[str]:
    """Cut off a next boot and replace its owner; return the lasting tasks on that boot."""
    restart(cluster)
    cluster.run(settled_ms)
    tasks = list_lasting(cluster)
    assert tasks
    cluster.join_worker()
    cluster.workers["w0"].is_isolated = True
    if is_planned:
        cluster.hand_over()
    else:
        cluster.kill_owner()
        cluster.take_over()
    return tasks


def check_tasks_run_once(cluster: CellCluster, tasks: list[str]) -> None:
    """Check that tasks run again in time, and not beside their runs on the boot that was cut."""
    cluster.run(LONGEST_MS + 5_000)
    assert not cluster.ground_truth.violations
    restarted = {task for _, task, _, worker in cluster.ground_truth.starts if worker == "w2"}
    assert set(tasks) <= restarted


@pytest.mark.parametrize("settled_ms", [300, 1_500])
@pytest.mark.parametrize("is_planned", [False, True])
def test_next_owner_waits_for_the_longest_lease_of_a_next_boot(
    is_planned: bool, settled_ms: int
) -> None:
    """Guards against two runs at once where only the journal tells of the restart."""
    cluster = make_cluster()
    tasks = replace_owner(cluster, settled_ms, is_planned)
    check_tasks_run_once(cluster, tasks)


def test_end_of_the_previous_owner_does_not_shorten_the_longest_lease_of_a_next_boot() -> None:
    """Guards against two runs at once: an order names a lease end by the former boot's clock."""
    cluster = make_cluster()
    cluster.owner.cell.batches.unrecorded_owner = OwnerRecord(1, "host", "host:1", 1)
    tasks = replace_owner(cluster, settled_ms=600, is_planned=False)
    assert cluster.cell.state.unverified.previous_owner is not None
    cluster.cell.handle_previous_owner_gone(cluster.clock.now())
    check_tasks_run_once(cluster, tasks)


def test_next_owner_assumes_the_longest_lease_of_a_boot_that_the_journal_does_not_name() -> None:
    """Guards against two runs at once after an owner that ends before it sees the restart."""
    cluster = make_cluster()
    restart(cluster)
    cluster.kill_owner()
    cluster.take_over()
    cluster.run(1_500)
    check_tasks_wait_for_the_lease(cluster)


@pytest.mark.parametrize("held_ms", [0, 20, 2_500])
@pytest.mark.parametrize("is_planned", [False, True])
def test_next_owner_waits_for_a_next_boot_that_no_owner_has_read(
    is_planned: bool, held_ms: int
) -> None:
    """Guards against two runs at once: the journal names the former boot only.

    Its owner may have recorded by then that the worker is silent, and when its lease lapses.
    """
    cluster = make_cluster()
    worker = cluster.workers["w0"]
    worker.crash()
    cluster.revive("w0")
    step = make_step(2, needs=Resources(1_000, 2_000, 0), lasting=True, required_label="rack0")
    cluster.submit(make_spec("new", step), POLICY, {0: None})
    while not worker.runs:
        cluster.run(5)
    if held_ms:
        cluster.run(5)
    worker.is_isolated = True
    cluster.join_worker()
    cluster.run(held_ms)
    if is_planned:
        cluster.hand_over()
    else:
        cluster.kill_owner()
        cluster.take_over()
    cluster.run(LONGEST_MS + 6_000)
    assert not cluster.ground_truth.violations


def make_late_start(cluster: CellCluster, worker: str = "w0") -> StartRun:
    """Return a start order that was sent to the boot that a worker has now."""
    known = cluster.cell.state.workers[worker]
    cluster.behaviours["late.0.0.0"] = cluster.behaviours["lasts.0.0.0"]
    entry, until_ms = known.entry, known.clock_ms + BOUNDS.lease_ms
    run = cluster.cell.state.next_run_number()
    return StartRun(
        worker, entry.boot_ms, entry.address, "late.0.0.0", run, "", "", until_ms, known.fence
    )


@pytest.mark.parametrize("call", ["start", "poll"])
def test_next_boot_refuses_a_late_call_for_its_former_boot(call: str) -> None:
    """Guards against a longer lease, a second run and ends that are forgotten unread."""
    cluster = make_cluster()
    order = make_late_start(cluster)
    restart(cluster)
    cluster.run(2_000)
    worker = cluster.workers["w0"]
    worker.ends.clear()
    lease_until, runs, next_end = worker.lease_until, set(worker.runs), worker._next_end
    if call == "start":
        answer = worker.start(order, order.fence)
        assert answer.outcome == "fence"
        cluster.cell.answers.handle_start_answer(order, "fence", answer.clock_ms, 0)
    else:
        worker._end_run(worker.runs[list_lasting(cluster)[0]], "failed")
        runs = set(worker.runs)
        refused = worker.poll_inventory(order.fence, next_end + 400, order.until_ms)
        assert not isinstance(refused, Inventory)
        assert worker.ends
        boot = order.worker, order.boot_ms
        cluster.cell.answers.handle_inventory_refusal(boot, order.fence, refused.outcome)
    assert worker.lease_until == lease_until
    assert set(worker.runs) == runs
    assert not cluster.cell.state.fenced


def test_token_of_a_next_owner_still_ends_an_owner() -> None:
    """Guards against a refusal by a newer owner that is put down to the own tokens."""
    cluster = make_cluster()
    restart(cluster)
    cluster.run(1_000)
    former = cluster.owner
    cluster.take_over()
    cluster.run(300)
    assert former.cell.state.fenced or not former.is_running


def test_answer_with_a_clock_that_began_anew_keeps_further_orders_from_the_next_boot() -> None:
    """Guards against orders, and a cursor, that are sent to a boot which they are not meant for."""
    cluster = make_cluster()
    cluster.workers["w0"].crash()
    cluster.revive("w0")
    cluster.submit(make_spec("a", make_step(4)), POLICY, {0: 5_000})
    while not any(name.startswith("a.") for name in cluster.workers["w0"].runs):
        cluster.run(5)
    cluster.run(5)
    known = cluster.cell.state.workers["w0"]
    assert known.has_seen_next_boot
    assert not known.can_accept_task(cluster.clock.now())
    assert known.ack_cursor == 0
    assert known.renew_lease(BOUNDS.lease_ms, cluster.clock.now()) is None


@pytest.mark.parametrize("has_boot_fences", [False, True])
def test_worker_that_did_not_restart_is_waited_for_as_before(has_boot_fences: bool) -> None:
    """Guards against tasks that wait for a lease which no order can have extended so far."""
    cluster = make_cluster(has_boot_fences)
    cluster.run(1_000)
    known = cluster.cell.state.workers["w0"]
    assert known.compute_lapse_at() - cluster.clock.now() <= ORDINARY_MS
    assert not known.may_hold_longest_lease
    cluster.kill_owner()
    cluster.take_over()
    lapses = cluster.cell.state.unverified.find_last_lapses()
    assert lapses["w0"] - cluster.clock.now() <= ORDINARY_MS + 3_000


def read_record(cluster: CellCluster, worker: str = "w0") -> WorkerRecord:
    """Return the journal's record of a worker."""
    record = decode(cluster.journal[f"worker/{worker}"])
    assert isinstance(record, WorkerRecord)
    return record


def test_journal_learns_that_the_longest_lease_of_a_next_boot_is_over() -> None:
    """Guards against takeovers that wait for it for as long as the worker is up."""
    cluster = make_cluster()
    restart(cluster)
    cluster.run(1_000)
    assert read_record(cluster).may_hold_longest_lease
    cluster.run(LONGEST_MS + 1_000)
    assert not read_record(cluster).may_hold_longest_lease
    assert cluster.cell.state.workers["w0"].can_accept_task(cluster.clock.now())


def test_boot_that_follows_another_one_after_the_longest_delay_has_an_ordinary_lease() -> None:
    cluster = make_cluster()
    cluster.workers["w0"].crash()
    cluster.run(MAX_ORDER_DELAY_MS + 10_000)
    cluster.revive("w0")
    cluster.run(500)
    assert not cluster.cell.state.workers["w0"].may_hold_longest_lease


def test_tokens_are_epochs_until_the_journal_names_others() -> None:
    """Guards against tokens that hosts of earlier versions cannot exceed."""
    cluster = make_cluster(has_boot_fences=False)
    restart(cluster)
    cluster.run(1_000)
    assert {w.fence for w in cluster.cell.state.workers.values()} == {1}
    assert "fences" not in cluster.journal


def test_host_without_the_option_uses_the_tokens_that_the_journal_names() -> None:
    """Guards against an owner whose calls all workers refuse."""
    cluster = make_cluster()
    assert cluster.journal["fences"] == encode(FencesRecord(TOKENS_PER_EPOCH))
    cluster.has_boot_fences = False
    cluster.hand_over()
    cluster.run(1_000)
    assert cluster.owner.is_running
    assert not cluster.cell.state.fenced
    assert all(w.fence > 2 * TOKENS_PER_EPOCH for w in cluster.cell.state.workers.values())


def test_tokens_stay_below_those_of_the_next_epoch() -> None:
    """Guards against an owner that sees so many boots that it fences out the next one."""
    cluster = make_cluster()
    fences = cluster.cell.state.fences
    fences._last_token = 2 * TOKENS_PER_EPOCH - 2
    assert [fences.next_token() for _ in range(3)] == 3 * [2 * TOKENS_PER_EPOCH - 1]


def harm_workers(cluster: CellCluster, rng: Random) -> None:
    """Start some workers again within half a second, and cut some of them off soon after."""
    for worker in rng.sample(sorted(cluster.workers), rng.randrange(1, 3)):
        emulated = cluster.workers[worker]
        if not emulated.is_up or emulated.is_isolated:
            continue
        emulated.crash()
        cluster.schedule(rng.choice((0, 40, 300)), lambda w=worker: cluster.revive(w))  # type: ignore[misc]
        cut_after_ms = rng.choice((500, 1_500, 3_000))
        cut_ms = rng.randrange(1_000, 11_000)

        def set_cut(worker: str = worker, is_cut: bool = True) -> None:
            cluster.workers[worker].is_isolated = is_cut

        cluster.schedule(cut_after_ms, set_cut)
        cluster.schedule(cut_after_ms + cut_ms, lambda s=set_cut: s(is_cut=False))  # type: ignore[misc]


def play(seed: int, late_rate: float = 0.0, rounds: int = 6) -> CellCluster:
    """Play workers that are back under their ids and cut off, under one owner after the other."""
    rng = Random(seed)
    cluster = CellCluster(workers=4, seed=seed, bounds=BOUNDS, has_boot_fences=True)
    cluster.run(UPTIME_MS)
    step = make_step(6, needs=Resources(5_000, 2_000, 0), lasting=True)
    cluster.submit(make_spec("lasts", step), POLICY, {0: None})
    cluster.order_delay_rate = late_rate
    for number in range(rounds):
        harm_workers(cluster, rng)
        for part in range(8):
            job = make_spec(f"j{number}-{part}", make_step(3))
            cluster.submit(job, POLICY, {0: rng.choice((50, 200, 900))})
            cluster.run(rng.randrange(10, 900))
        draw = rng.random()
        if draw < 0.3:
            cluster.kill_owner()
            cluster.take_over()
        elif draw < 0.5:
            cluster.hand_over()
        cluster.run(rng.randrange(500, 6_000))
    cluster.order_delay_rate = 0.0
    cluster.run(UPTIME_MS)
    return cluster


@pytest.mark.parametrize("seed", range(20))
def test_no_task_runs_twice_while_workers_return_and_are_cut_off(seed: int) -> None:
    assert not play(seed).ground_truth.violations
