"""Workers that may run tasks which a new owner has not seen yet.

After a takeover a task must not start while a run of an earlier owner may still be going on or be
among the ends that the worker has yet to list. So each boot of a worker that the journal names is
unverified until an inventory with all its ends is read or its lease lapses.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from heapq import nlargest

from ..clock import Clock
from .const import CLOCK_DRIFT, LEASE_MARGIN_MS, MAX_CLOCK_REFERENCES, OWNERSHIP_VALID_MS
from .contents import Contents
from .isolation import is_past_crash_risk, may_have_begun
from .jobs import Task
from .models import Boot, Bounds
from .records import ClockReference, HandOverRecord, LeasesRecord, OwnerRecord, WorkerRecord
from .workers import Worker


@dataclass(slots=True)
class UnverifiedWorker:
    """A boot of a worker that may run tasks which this owner has not seen yet.

    Attributes:
        record: The journal's record of the boot.
        lapse_at: Local ms at which its lease has lapsed at the latest.
        is_lapse_recorded: This owner has written to the journal when the lease lapses.
        is_lapse_handed_over: The hand-over record, which is deleted, said so, and this owner has
            not written it yet.
        is_hidden: The journal's record of the worker names another boot, and this owner has not
            written one of this boot yet.
    """

    record: WorkerRecord
    lapse_at: int
    is_lapse_recorded: bool = False
    is_lapse_handed_over: bool = False
    is_hidden: bool = False


class UnverifiedWorkers:
    """The boots of workers that may run tasks which this owner has not seen yet.

    Attributes:
        by_boot: The unverified workers by boot.
        locations: The boots that may run each task, as recorded by an owner that handed the cell
            over; None after any other takeover. A task may have several runs: one that is being
            stopped beside a new one, or copies.
        unbegun: Task and boot of those of its runs that had not begun when it did so.
        worked: Task and boot of those that had worked past their risky time.
        leaving: Address at which each boot that has announced to leave has last answered, as
            recorded by an owner that handed the cell over.
        previous_owner: The process that may have renewed the leases until now, if recorded.
    """

    def __init__(self, workers: Mapping[str, Worker], clock: Clock) -> None:
        self._workers = workers
        self._clock = clock
        self.by_boot: dict[Boot, UnverifiedWorker] = {}
        self.locations: dict[str, tuple[Boot, ...]] | None = None
        self.unbegun: set[tuple[str, Boot]] = set()
        self.worked: set[tuple[str, Boot]] = set()
        self.leaving: dict[Boot, str] = {}
        self.previous_owner: OwnerRecord | None = None
        self._bounds = Bounds()

    def _compute_longest_wait_ms(self, record: WorkerRecord) -> int:
        """Return how long after a takeover a lease may last that is not known to end sooner."""
        lease_ms = self._bounds.lease_ms
        if record.may_hold_longest_lease:
            lease_ms = max(lease_ms, self._bounds.max_granted_lease_ms)
        return int(lease_ms / (1 - CLOCK_DRIFT)) + OWNERSHIP_VALID_MS + LEASE_MARGIN_MS

    def restore(self, contents: Contents, bounds: Bounds) -> None:
        """Mark every worker in the journal as unverified.

        An owner that handed the cell over has recorded when the leases lapse, and the record of a
        worker whose lease is suspended says so too. Any other lease may have been renewed until the
        previous owner's right to order ended. Orders that were meant for an earlier boot may have
        extended it further.
        """
        now = self._clock.now()
        self._bounds = bounds
        self.previous_owner = contents.owner
        remaining_ms: dict[Boot, int] = {}
        if isinstance(contents.hand_over, HandOverRecord):
            self.locations = _group_by_task(contents.hand_over.runs)
            unbegun = contents.hand_over.unbegun
            self.unbegun = {(task, (worker, boot_ms)) for task, worker, boot_ms in unbegun}
            worked = contents.hand_over.worked
            self.worked = {(task, (worker, boot_ms)) for task, worker, boot_ms in worked}
        if contents.hand_over is not None:
            leases = contents.hand_over.leases
            remaining_ms = {(worker, boot_ms): left_ms for worker, boot_ms, left_ms in leases}
            leaving = contents.hand_over.leaving
            self.leaving = {(worker, boot_ms): address for worker, boot_ms, address in leaving}
        recorded = {(record.worker, record.boot_ms) for record in contents.workers}
        hidden = self._find_hidden(recorded, remaining_ms)
        for record in (*contents.workers, *hidden):
            boot = (record.worker, record.boot_ms)
            longest_ms = self._compute_longest_wait_ms(record)
            left_ms = min(longest_ms, remaining_ms.get(boot, longest_ms))
            if record.lapses_in_ms >= 0:
                left_ms = min(left_ms, record.lapses_in_ms)
            lapse_at = now + left_ms
            unverified_worker = UnverifiedWorker(record, lapse_at)
            unverified_worker.is_lapse_handed_over = boot in remaining_ms
            unverified_worker.is_hidden = boot not in recorded
            self.by_boot[boot] = unverified_worker

    def _find_hidden(
        self, recorded: set[Boot], remaining_ms: Mapping[Boot, int]
    ) -> list[WorkerRecord]:
        """Return records of the boots that may run tasks by the hand-over record only.

        An owner of an earlier version may have written the record of another boot over theirs.
        """
        boots = {boot for boot, left_ms in remaining_ms.items() if left_ms > 0}
        boots.update(*(self.locations or {}).values())
        return [WorkerRecord(worker, "", boot_ms) for worker, boot_ms in sorted(boots - recorded)]

    def list_renewable(self) -> list[UnverifiedWorker]:
        """Return those whose leases the previous owner, and no other, may have renewed."""
        owner = self.previous_owner
        if owner is None:
            return []
        return [
            unverified_worker
            for unverified_worker in self.by_boot.values()
            if unverified_worker.record.epoch == owner.epoch
        ]

    def handle_previous_owner_gone(self, gone_at: int) -> None:
        """Process that the process of the previous owner was over at the local ms `gone_at`.

        Each order sent by then names the end of its lease, by the clock of the boot that it was
        meant for, so that a late one does not extend the lease of this boot either.
        """
        for unverified_worker in self.list_renewable():
            wait_ms = self._compute_longest_wait_ms(unverified_worker.record)
            lapse_at = gone_at + wait_ms - OWNERSHIP_VALID_MS
            if lapse_at < unverified_worker.lapse_at:
                unverified_worker.lapse_at = lapse_at
                unverified_worker.is_lapse_recorded = False
        self.previous_owner = None

    def may_be_running(self, task: Task) -> bool:
        """Return whether an unverified worker may be running `task`."""
        if not self.by_boot or not task.job.is_loaded:
            return False
        if self.locations is None:
            return True
        return any(boot in self.by_boot for boot in self.locations.get(task.name, ()))

    def remove_worker(self, worker_id: str) -> bool:
        """Drop all boots of a worker whose inventory was read.

        One process at a time runs under an id. The boot that has answered was asked after the
        journal was read, so each boot that the journal names is this one or was over before it
        began, whichever has the higher `born`: clocks may be set back between two boots. Before the
        first inventory, a delayed order of the previous owner could still start a task there.

        Returns:
            Whether there were any.
        """
        boots = [boot for boot in self.by_boot if boot[0] == worker_id]
        for boot in boots:
            del self.by_boot[boot]
        return bool(boots)

    def is_leaving(self, boot: Boot) -> bool:
        """Return whether an unverified boot has announced to leave, so that it is polled."""
        return boot in self.leaving and boot in self.by_boot

    def list_leaving(self) -> list[tuple[Boot, str]]:
        """Return such boots, and the address at which each has last answered."""
        return [(boot, address) for boot, address in self.leaving.items() if boot in self.by_boot]

    def has_boot_of(self, worker_id: str) -> bool:
        """Return whether a boot of the worker is unverified."""
        return any(known == worker_id for known, _ in self.by_boot)

    def find_replaced(self, workers: Iterable[Worker]) -> set[str]:
        """Return the ids of those of `workers` of which another boot is unverified."""
        known = Counter(worker_id for worker_id, _ in self.by_boot)
        return {w.id for w in workers if known[w.id] > (w.boot in self.by_boot)}

    def has_recorded_lapse(self, boot: Boot) -> bool:
        """Return whether the journal says when the lease of an unverified boot has lapsed."""
        unverified_worker = self.by_boot.get(boot)
        return unverified_worker is not None and unverified_worker.record.is_suspended

    def _is_readable(self, record: WorkerRecord) -> bool:
        """Return whether a clock that the record refers to is known to this owner."""
        return any(self._find_reference(reference) for reference in record.lapsed_by)

    def _find_reference(self, reference: ClockReference) -> Worker | None:
        worker = self._workers.get(reference.worker)
        if worker is None or worker.entry.boot_ms != reference.boot_ms:
            return None
        return worker

    def list_unrecorded_lapses(self) -> list[UnverifiedWorker]:
        """Return the unverified workers of which the journal has no lease end that can be read.

        A worker that answers is none of them, as its lease is renewed.
        """
        return [
            unverified_worker
            for boot, unverified_worker in self.by_boot.items()
            if not unverified_worker.is_lapse_recorded
            and not self._is_readable(unverified_worker.record)
            and self._find_answering(boot) is None
        ]

    def list_unlisted_lapses(self) -> list[UnverifiedWorker]:
        """Return those that only the deleted hand-over record and the journal name.

        Before the platform's list is read, only hidden boots are among them. Listed workers are
        asked at once.
        """
        return [
            unverified_worker
            for boot, unverified_worker in self.by_boot.items()
            if unverified_worker.is_hidden
            or (
                unverified_worker.is_lapse_handed_over
                and self._workers
                and boot[0] not in self._workers
            )
        ]

    def find_last_lapses(self) -> dict[str, int]:
        """Return, by worker id, the local ms at which the leases of all its boots have lapsed."""
        lapses: dict[str, int] = {}
        for (worker_id, _), unverified_worker in self.by_boot.items():
            lapses[worker_id] = max(unverified_worker.lapse_at, lapses.get(worker_id, 0))
        return lapses

    def pop_lapsed(self) -> list[Boot]:
        """Remove and return the boots whose leases have lapsed."""
        now = self._clock.now()
        lapsed = [
            boot
            for boot, unverified_worker in self.by_boot.items()
            if self._has_lapsed(boot, unverified_worker, now)
        ]
        for boot in lapsed:
            del self.by_boot[boot]
        return lapsed

    def _has_lapsed(self, boot: Boot, unverified_worker: UnverifiedWorker, now: int) -> bool:
        """Return whether the lease of a boot has lapsed.

        The lease of a boot that has answered may have been renewed since the journal was read.
        """
        worker = self._find_answering(boot)
        if worker is not None:
            return now >= worker.compute_lapse_at()
        return now >= unverified_worker.lapse_at or self._is_lapsed(unverified_worker.record)

    def _find_answering(self, boot: Boot) -> Worker | None:
        """Return the worker of a boot that has listed its runs, if not yet all of its ends."""
        worker = self._workers.get(boot[0])
        if worker is None or worker.boot != boot or worker.inventory_at < 0:
            return None
        return worker

    def _is_lapsed(self, record: WorkerRecord) -> bool:
        """Return whether the lease in `record` has lapsed by any of its clock references."""
        for reference in record.lapsed_by:
            worker = self._find_reference(reference)
            if worker is not None and worker.clock_ms > reference.clock_ms:
                return True
        return False

    def compute_longest_lease(self, boot: Boot, asked_at: int, lease_ms: int) -> int:
        """Return how long the lease of a boot may still last, in ms.

        Args:
            boot: The boot.
            asked_at: Local ms from which the time is counted.
            lease_ms: Duration of a lease.
        """
        unverified_worker = self.by_boot.get(boot)
        if unverified_worker is None:
            return lease_ms
        return max(0, min(lease_ms, unverified_worker.lapse_at - asked_at))

    def compute_lapse_at(self, worker: Worker, now: int) -> int:
        """Return the local ms at which the lease of a worker without any inventory has lapsed."""
        unverified_worker = self.by_boot.get((worker.id, worker.entry.boot_ms))
        if unverified_worker is not None:
            return unverified_worker.lapse_at
        if not worker.runs:
            return now
        lease_ms = int(self._bounds.lease_ms / (1 - CLOCK_DRIFT)) + LEASE_MARGIN_MS
        if worker.may_hold_longest_lease:
            lease_ms = max(lease_ms, self._bounds.longest_granted_ms)
        return now + lease_ms + OWNERSHIP_VALID_MS

    def handle_next_boot(self, boot: Boot) -> None:
        """Process that the platform's list names `boot`, and the journal a former one of its id.

        The previous owner may not have seen the restart, so that its orders have begun runs on the
        next boot, which holds the longest lease.
        """
        for known, unverified_worker in self.by_boot.items():
            record = unverified_worker.record
            if known[0] != boot[0] or known == boot or record.may_hold_longest_lease:
                continue
            before_ms = self._compute_longest_wait_ms(record)
            record = replace(record, may_hold_longest_lease=True, lapsed_by=())
            unverified_worker.record = record
            unverified_worker.lapse_at += self._compute_longest_wait_ms(record) - before_ms
            unverified_worker.is_lapse_recorded = False

    def may_hold_longest_lease(self, boot: Boot) -> bool:
        """Return whether the journal says so of a boot that is unverified."""
        unverified_worker = self.by_boot.get(boot)
        return unverified_worker is not None and unverified_worker.record.may_hold_longest_lease

    def make_clock_references(self, lapse_at: int) -> tuple[ClockReference, ...]:
        """Convert the local ms `lapse_at` to the clocks of some reachable workers.

        A reading may have waited here for long before it was processed, so it counts as taken when
        its call was sent. The workers whose readings leave the least open are used.
        """
        now = self._clock.now()
        left = max(0, lapse_at - now)
        reachable = (w for w in self._workers.values() if w.is_reachable(now))
        closest = nlargest(MAX_CLOCK_REFERENCES, reachable, key=lambda w: w.clock_asked_at)
        return tuple(
            ClockReference(
                worker.id,
                worker.entry.boot_ms,
                worker.clock_ms + now - worker.clock_asked_at + left,
            )
            for worker in closest
        )

    def to_hand_over_record(self) -> HandOverRecord | LeasesRecord:
        """Return the record of the leases, with all runs that may be going on if they are known."""
        leases = tuple(self._list_leases())
        if self.by_boot and self.locations is None:
            return LeasesRecord(leases, self._list_announced())
        runs = []
        unbegun = []
        worked = []
        for worker in self._workers.values():
            for run in worker.runs.values():
                runs.append((run.task.name, worker.id, worker.entry.boot_ms))
                if not may_have_begun(run, worker):
                    unbegun.append(runs[-1])
                elif is_past_crash_risk(run, worker) or worker.boot in run.task.worked_on:
                    worked.append(runs[-1])
        locations = self.locations or {}
        runs += [
            (task, *boot)
            for task, boots in locations.items()
            for boot in boots
            if boot in self.by_boot
        ]
        return HandOverRecord(
            tuple(dict.fromkeys(runs)),
            leases,
            tuple(unbegun),
            tuple(worked),
            leaving=self._list_announced(),
        )

    def _list_announced(self) -> tuple[tuple[str, int, str], ...]:
        """Return worker, boot and last answering address of those that have announced to leave."""
        addresses = dict(self.list_leaving())
        for worker in self._workers.values():
            if worker.entry.is_draining and worker.answered_address:
                addresses[worker.boot] = worker.answered_address
        return tuple((*boot, address) for boot, address in addresses.items())

    def _list_leases(self) -> list[tuple[str, int, int]]:
        """Return worker, boot and the ms until its lease has lapsed, of all that may run tasks.

        A boot that no owner has had an answer of got no order and no lease; it is listed too, as
        the journal has a record of it.
        """
        now = self._clock.now()
        lapses = {boot: unverified.lapse_at for boot, unverified in self.by_boot.items()}
        for worker in self._workers.values():
            if worker.inventory_at >= 0:
                lapses[worker.boot] = worker.compute_last_lapse_at(self._bounds)
            elif worker.contact_at < 0 and not worker.runs:
                lapses.setdefault(worker.boot, now)
        return [(*boot, max(0, lapse_at - now)) for boot, lapse_at in lapses.items()]


def _group_by_task(runs: Iterable[tuple[str, str, int]]) -> dict[str, tuple[Boot, ...]]:
    """Return all boots that may run each task."""
    boots: dict[str, tuple[Boot, ...]] = {}
    for task, worker, boot_ms in runs:
        boots[task] = (*boots.get(task, ()), (worker, boot_ms))
    return boots
