"""Workers that may run tasks which a new owner has not seen yet.

After a takeover a task must not start while a run of an earlier owner may still be going on. So
each boot of a worker that the journal names is unverified until its inventory is read or its lease
lapses.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice

from ..clock import Clock
from .const import CLOCK_DRIFT, LEASE_MARGIN_MS, MAX_CLOCK_REFERENCES, OWNERSHIP_VALID_MS
from .contents import Contents
from .jobs import Task
from .models import Boot, ClockReference, HandOverRecord, WorkerRecord
from .workers import Worker


@dataclass(slots=True)
class UnverifiedWorker:
    """A boot of a worker that may run tasks which this owner has not seen yet.

    Attributes:
        record: The journal's record of the boot.
        lapse_at: Local ms at which its lease has lapsed at the latest.
        is_lapse_recorded: This owner has written to the journal when the lease lapses.
    """

    record: WorkerRecord
    lapse_at: int
    is_lapse_recorded: bool = False


class UnverifiedWorkers:
    """The boots of workers that may run tasks which this owner has not seen yet.

    Attributes:
        by_boot: The unverified workers by boot.
        locations: The boot that may run each task, as recorded by an owner that handed the cell
            over; None after any other takeover.
    """

    def __init__(self, workers: Mapping[str, Worker], clock: Clock) -> None:
        self._workers = workers
        self._clock = clock
        self.by_boot: dict[Boot, UnverifiedWorker] = {}
        self.locations: dict[str, Boot] | None = None

    def restore(self, contents: Contents, lease_ms: int) -> None:
        """Mark every worker in the journal as unverified.

        An owner that handed the cell over has recorded when the leases lapse. After any other
        takeover they may have been renewed until the previous owner's right to order ended.
        """
        now = self._clock.now()
        longest_ms = int(lease_ms / (1 - CLOCK_DRIFT)) + OWNERSHIP_VALID_MS + LEASE_MARGIN_MS
        remaining_ms: dict[Boot, int] = {}
        if contents.hand_over is not None:
            runs = contents.hand_over.runs
            self.locations = {task: (worker, boot_ms) for task, worker, boot_ms in runs}
            leases = contents.hand_over.leases
            remaining_ms = {(worker, boot_ms): left_ms for worker, boot_ms, left_ms in leases}
        for record in contents.workers:
            boot = (record.worker, record.boot_ms)
            lapse_at = now + min(longest_ms, remaining_ms.get(boot, longest_ms))
            self.by_boot[boot] = UnverifiedWorker(record, lapse_at)

    def may_be_running(self, task: Task) -> bool:
        """Return whether an unverified worker may be running `task`."""
        if not self.by_boot or not task.job.is_loaded:
            return False
        if self.locations is None:
            return True
        return self.locations.get(task.name) in self.by_boot

    def remove_worker(self, worker_id: str) -> None:
        """Drop the entries of a worker whose inventory was read, and those of its earlier boots.

        Before the first inventory, a delayed order of the previous owner could still start a task
        there.
        """
        for known, boot_ms in list(self.by_boot):
            if known == worker_id:
                del self.by_boot[known, boot_ms]

    def pop_lapsed(self) -> list[Boot]:
        """Remove and return the boots whose leases have lapsed."""
        now = self._clock.now()
        lapsed = [
            boot
            for boot, unverified_worker in self.by_boot.items()
            if now >= unverified_worker.lapse_at or self._is_lapsed(unverified_worker.record)
        ]
        for boot in lapsed:
            del self.by_boot[boot]
        return lapsed

    def _is_lapsed(self, record: WorkerRecord) -> bool:
        """Return whether the lease in `record` has lapsed by any of its clock references."""
        for reference in record.lapsed_by:
            worker = self._workers.get(reference.worker)
            if worker is None or worker.entry.boot_ms != reference.boot_ms:
                continue
            if worker.clock_ms > reference.clock_ms:
                return True
        return False

    def compute_lapse_at(self, worker: Worker, now: int) -> int:
        """Return the local ms at which the lease of a worker without any answer has lapsed."""
        unverified_worker = self.by_boot.get((worker.id, worker.entry.boot_ms))
        return now if unverified_worker is None else unverified_worker.lapse_at

    def make_clock_references(self, lapse_at: int) -> tuple[ClockReference, ...]:
        """Convert the local ms `lapse_at` to the clocks of some reachable workers."""
        now = self._clock.now()
        left = max(0, lapse_at - now)
        reachable = (w for w in self._workers.values() if w.is_reachable(now))
        return tuple(
            ClockReference(
                worker.id, worker.entry.boot_ms, worker.clock_ms + now - worker.clock_read_at + left
            )
            for worker in islice(reachable, MAX_CLOCK_REFERENCES)
        )

    def to_hand_over_record(self) -> HandOverRecord | None:
        """Return the record of all runs that may be going on, or None if some are unknown."""
        if self.by_boot and self.locations is None:
            return None
        runs = [
            (run.task.name, worker.id, worker.entry.boot_ms)
            for worker in self._workers.values()
            for run in worker.runs.values()
        ]
        locations = self.locations or {}
        runs += [
            (task, *location) for task, location in locations.items() if location in self.by_boot
        ]
        return HandOverRecord(tuple(runs), tuple(self._list_leases()))

    def _list_leases(self) -> list[tuple[str, int, int]]:
        """Return worker, boot and the ms until its lease has lapsed, of all that may run tasks."""
        now = self._clock.now()
        lapses = {boot: unverified.lapse_at for boot, unverified in self.by_boot.items()}
        for worker in self._workers.values():
            if worker.contact_at >= 0:
                lapses[worker.id, worker.entry.boot_ms] = worker.compute_lapse_at()
        return [(*boot, max(0, lapse_at - now)) for boot, lapse_at in lapses.items()]
