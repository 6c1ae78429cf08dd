"""Cancels that arrive before the submission of their job, and the late copies of the latter."""

from collections.abc import Callable
from random import Random

import msgpack
import pytest

from quetzallock_core.cells.const import EARLY_CANCEL_KEPT_MS, MAX_EARLY_CANCELS
from quetzallock_core.cells.contents import read_contents
from quetzallock_core.cells.models import JobSpec
from quetzallock_core.cells.records import EarlyCancelRecord
from quetzallock_core.codec import encode
from quetzallock_standins.emulator import CellCluster
from quetzallock_standins.emulator.cluster import Owner, make_spec

from .common import POLICY, make_step

SETTLE_MS = 3_000
"""Longer than a task that may start waits for its start."""

MARGIN_MS = 1_000
MESSAGE_EXTENSION = 1
UNKNOWN_TAG = 9_999


def make_cluster() -> CellCluster:
    """Return a cluster of four workers whose inventories were read."""
    cluster = CellCluster()
    cluster.run(500)
    return cluster


def make_lasting(job: str) -> JobSpec:
    """Return a job that only a cancel ends."""
    return make_spec(job, make_step(lasting=True))


def cancel(cluster: CellCluster, job: str) -> str:
    """Cancel a job and return the outcome."""
    ticket = cluster.cancel(job)
    cluster.run(100)
    return cluster.owner.outcomes[ticket]


def submit(cluster: CellCluster, job: str) -> str:
    """Submit a lasting job and return the outcome, after the time for its tasks to start."""
    ticket = cluster.submit(make_lasting(job), POLICY, {0: None})
    cluster.run(SETTLE_MS)
    return cluster.owner.outcomes[ticket]


def list_cancel_keys(cluster: CellCluster) -> list[str]:
    """Return the keys of the cancels that the journal holds."""
    return [key for key in cluster.journal if key.startswith("cancelled/")]


def kill_and_replace_owner(cluster: CellCluster) -> None:
    """Let another owner take the cell over from one that has crashed."""
    cluster.kill_owner()
    cluster.take_over()


CHANGES_OF_OWNER: dict[str, Callable[[CellCluster], object]] = {
    "killed": kill_and_replace_owner,
    "handed over": CellCluster.hand_over,
}


def test_copy_of_a_submission_after_its_cancel_never_runs() -> None:
    """Guards against a lasting job that its caller has cancelled and nobody cancels again."""
    cluster = make_cluster()
    assert cancel(cluster, "a") == "unknown"
    assert submit(cluster, "a") == "accepted"
    assert not cluster.ground_truth.starts
    assert cluster.cell.find_state("a") == "cancelled"


def test_copy_that_arrives_before_the_cancel_is_durable_never_runs() -> None:
    cluster = make_cluster()
    ticket = cluster.cancel("a")
    assert submit(cluster, "a") == "accepted"
    assert cluster.owner.outcomes[ticket] == "unknown"
    assert not cluster.ground_truth.starts
    assert not list_cancel_keys(cluster)


@pytest.mark.parametrize("change", CHANGES_OF_OWNER)
def test_copy_that_reaches_the_next_owner_never_runs(change: str) -> None:
    """Guards against a cancel that only its owner remembers."""
    cluster = make_cluster()
    assert cancel(cluster, "a") == "unknown"
    for _ in range(2):
        CHANGES_OF_OWNER[change](cluster)
        cluster.run(SETTLE_MS)
    assert submit(cluster, "a") == "accepted"
    assert not cluster.ground_truth.starts
    assert cluster.cell.find_state("a") == "cancelled"


@pytest.mark.parametrize("change", CHANGES_OF_OWNER)
def test_job_of_a_late_copy_stays_cancelled_under_the_next_owner(change: str) -> None:
    cluster = make_cluster()
    cancel(cluster, "a")
    submit(cluster, "a")
    CHANGES_OF_OWNER[change](cluster)
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("a") == "cancelled"
    assert submit(cluster, "a") == "accepted"
    assert not cluster.ground_truth.starts
    assert not list_cancel_keys(cluster)


def test_cancel_of_an_unknown_job_is_answered_only_when_the_journal_holds_it() -> None:
    """Guards against an answered cancel that the next owner does not know."""
    cluster = make_cluster()
    cluster.is_store_up = False
    tickets = [cluster.cancel("a"), cluster.cancel("a")]
    cluster.run(1_000)
    assert not cluster.owner.outcomes
    cluster.is_store_up = True
    cluster.run(300)
    assert [cluster.owner.outcomes[ticket] for ticket in tickets] == ["unknown"] * 2
    assert list_cancel_keys(cluster) == ["cancelled/a"]


def test_repeated_cancel_has_the_same_outcome_and_writes_nothing() -> None:
    cluster = make_cluster()
    assert cancel(cluster, "a") == "unknown"
    ticket = cluster.cancel("a")
    assert cluster.owner.outcomes[ticket] == "unknown"
    assert not cluster.cell.batches.has_records()


def test_repeated_cancel_of_the_job_of_a_late_copy_has_the_same_outcome() -> None:
    cluster = make_cluster()
    cancel(cluster, "a")
    submit(cluster, "a")
    assert [cancel(cluster, "a") for _ in range(2)] == ["cancelled"] * 2


def test_job_is_unknown_between_its_cancel_and_the_late_copy() -> None:
    """Guards against showing a job that nobody has submitted."""
    cluster = make_cluster()
    cancel(cluster, "a")
    assert cluster.cell.find_state("a") is None
    kill_and_replace_owner(cluster)
    cluster.run(SETTLE_MS)
    assert cluster.cell.find_state("a") is None


@pytest.mark.parametrize("is_repeated", [False, True])
def test_copy_just_before_the_end_of_the_kept_time_never_runs(is_repeated: bool) -> None:
    """The time counts from the last cancel."""
    cluster = make_cluster()
    cancel(cluster, "a")
    if is_repeated:
        cluster.run(EARLY_CANCEL_KEPT_MS // 2)
        cancel(cluster, "a")
    cluster.run(EARLY_CANCEL_KEPT_MS - MARGIN_MS)
    submit(cluster, "a")
    assert not cluster.ground_truth.starts
    assert cluster.cell.find_state("a") == "cancelled"


@pytest.mark.parametrize("change", [None, *CHANGES_OF_OWNER])
def test_id_that_is_submitted_again_after_the_kept_time_is_a_new_job(change: str | None) -> None:
    """Guards against a job that is cancelled without cause, also by a later owner."""
    cluster = make_cluster()
    cancel(cluster, "a")
    cluster.run(EARLY_CANCEL_KEPT_MS + MARGIN_MS)
    assert submit(cluster, "a") == "accepted"
    if change is not None:
        CHANGES_OF_OWNER[change](cluster)
        cluster.run(SETTLE_MS)
    assert len(cluster.ground_truth.list_running("a")) == 2
    assert cluster.cell.find_state("a") == "running"
    assert not list_cancel_keys(cluster)


def test_flood_of_cancels_keeps_the_newest_ones_within_the_limit() -> None:
    """Guards against memory and a journal that grow with cancels of jobs that never existed."""
    cluster = make_cluster()
    excess = 200
    for number in range(MAX_EARLY_CANCELS + excess):
        cluster.cancel(f"a{number}")
        if number % 10 == 0:
            cluster.run(5)
    cluster.run(100)
    assert set(cluster.owner.outcomes.values()) == {"unknown"}
    assert len(cluster.owner.outcomes) == MAX_EARLY_CANCELS + excess
    assert cluster.cell.state.counters["cancel.evicted"] == excess
    assert len(list_cancel_keys(cluster)) == MAX_EARLY_CANCELS
    kill_and_replace_owner(cluster)
    cluster.run(SETTLE_MS)
    submit(cluster, f"a{excess}")
    assert not cluster.ground_truth.starts
    submit(cluster, "a0")
    assert len(cluster.ground_truth.list_running("a0")) == 2


def test_many_cancels_of_one_moment_share_an_append() -> None:
    cluster = make_cluster()
    for number in range(100):
        cluster.cell.cancel(f"a{number}", number)
    batch = cluster.cell.batches.pop_batch()
    cluster.cell.batches.handle_durable(batch)
    assert len(batch.cancel_calls) == 100
    assert not cluster.cell.batches.has_records()


def test_flood_between_two_appends_makes_no_batch_above_the_limit() -> None:
    """Guards against an append that the store rejects for its size, again and again."""
    cluster = make_cluster()
    for burst in range(3):
        for number in range(3 * MAX_EARLY_CANCELS):
            cluster.cell.cancel(f"a{burst}.{number}", number)
        batch = cluster.cell.batches.pop_batch()
        cluster.cell.batches.handle_durable(batch)
        written = [record.value for record in batch.records if record.key.startswith("cancelled/")]
        assert len(written) == MAX_EARLY_CANCELS * (1 if burst == 0 else 2)
        assert written.count(None) == (0 if burst == 0 else MAX_EARLY_CANCELS)


def test_cancel_that_is_renewed_before_its_deletion_is_written_leaves_nothing_behind() -> None:
    """Guards against a record that the next owner would apply to a new job of that id."""
    cluster = make_cluster()
    cancel(cluster, "a")
    early_cancels = cluster.cell.state.early_cancels
    cluster.clock.advance(EARLY_CANCEL_KEPT_MS)
    early_cancels.expire()
    cluster.cell.cancel("a", 1_000)
    assert early_cancels.pop("a")
    assert [(record.key, record.value) for record in early_cancels.pop_records()] == [
        ("cancelled/a", None)
    ]


def test_expired_cancel_causes_no_append_of_its_own() -> None:
    cluster = make_cluster()
    cancel(cluster, "a")
    cluster.clock.advance(EARLY_CANCEL_KEPT_MS)
    cluster.cell.state.early_cancels.expire()
    assert not cluster.cell.batches.has_records()


def test_job_that_an_earlier_version_has_accepted_after_the_cancel_goes_on() -> None:
    """Guards against cancelling a job long after it was accepted, in a rolling restart."""
    cluster = make_cluster()
    submit(cluster, "a")
    cluster.journal["cancelled/a"] = encode(EarlyCancelRecord(cluster.read_unix_ms()))
    kill_and_replace_owner(cluster)
    cluster.run(SETTLE_MS)
    submit(cluster, "b")
    assert cluster.cell.find_state("a") == "running"
    assert not list_cancel_keys(cluster)


def test_record_of_a_later_version_is_left_out_and_all_others_are_loaded() -> None:
    """What an earlier version makes of these records in a rolling restart."""
    cluster = make_cluster()
    submit(cluster, "a")
    unknown = msgpack.ExtType(MESSAGE_EXTENSION, msgpack.packb((UNKNOWN_TAG, 1)))
    cluster.journal["cancelled/b"] = msgpack.packb(unknown)
    contents = read_contents(cluster.journal)
    assert contents.unreadable == ["cancelled/b"]
    assert list(contents.jobs) == ["a"]
    assert len(contents.workers) == len(cluster.workers)


class RandomCallers:
    """Callers that submit and cancel the same few jobs in any order, under changes of owner.

    Attributes:
        acknowledged_at: Time of the first acknowledgement of a cancel, by job.
    """

    def __init__(self, seed: int) -> None:
        self.cluster = make_cluster()
        self.acknowledged_at: dict[str, int] = {}
        self._rng = Random(seed)
        self._cancels: list[tuple[Owner, int, str]] = []

    def act(self) -> None:
        """Make one call or inject one fault, and let some time pass."""
        cluster = self.cluster
        job = f"job{self._rng.randrange(12)}"
        action = self._rng.choices(
            ["submit", "cancel", "kill", "hand over", "store"], [8, 6, 1, 1, 1]
        )[0]
        if action == "submit":
            cluster.submit(make_lasting(job), POLICY, {0: None})
        elif action == "cancel":
            self._cancels.append((cluster.owner, cluster.cancel(job), job))
        elif action == "kill":
            kill_and_replace_owner(cluster)
        elif action == "hand over":
            cluster.hand_over()
        else:
            cluster.is_store_up = not cluster.is_store_up
        for _ in range(self._rng.randrange(40)):
            cluster.run(5)
            self._record_acknowledgements()

    def _record_acknowledgements(self) -> None:
        for owner, ticket, job in self._cancels:
            if ticket in owner.outcomes:
                self.acknowledged_at.setdefault(job, self.cluster.clock.now())


@pytest.mark.parametrize("seed", range(20))
def test_no_task_starts_after_the_cancel_of_its_job_was_acknowledged(seed: int) -> None:
    """Whichever comes first, the submission, its copies, the cancel or the next owner."""
    callers = RandomCallers(seed)
    cluster = callers.cluster
    for _ in range(100):
        callers.act()
    cluster.is_store_up = True
    cluster.run(SETTLE_MS)
    late_starts = [
        (started_at, task)
        for started_at, task, _, _ in cluster.ground_truth.starts
        if started_at > callers.acknowledged_at.get(task.partition(".")[0], started_at)
    ]
    assert not late_starts
    assert not cluster.ground_truth.violations
    assert sum(owner.cell.state.counters["job.cancelled_before"] for owner in cluster.owners)
