"""What may run on workers that a new owner has not heard of yet, and until when."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice

from ..clock import Clock
from .const import CLOCK_DRIFT, LEASE_MARGIN_MS, MAX_CLOCK_REFERENCES, OWNERSHIP_VALID_MS
from .contents import Contents
from .jobs import Task
from .models import ClockReference, HandOverRecord, WorkerRecord
from .workers import Worker

Boot = tuple[str, int]


@dataclass(slots=True)
class UnverifiedWorker:
    """A life of a worker that may run what this owner has not heard of.

    Attributes:
        record: What the journal says of it.
        lapse_at: Local ms at which its lease has lapsed at the latest.
        is_written: The journal has this owner's word on when the lease lapses.
    """

    record: WorkerRecord
    lapse_at: int
    is_recorded: bool = False


class UnverifiedWorkers:
    """Lives of workers, by id and birth, that may run what this owner has not heard of.

    Attributes:
        lives: The doubt on each of them.
        places: Which life of a worker may run a task, where the last owner gave the cell up
            in good order; None where that is not known.
    """

    def __init__(self, workers: Mapping[str, Worker], clock: Clock) -> None:
        self._workers = workers
        self._clock = clock
        self.by_boot: dict[Boot, UnverifiedWorker] = {}
        self.locations: dict[str, Boot] | None = None

    def restore(self, contents: Contents, lease_ms: int) -> None:
        """Doubt every worker that the journal names until it is heard of or its lease lapses."""
        longest_ms = int(lease_ms / (1 - CLOCK_DRIFT)) + OWNERSHIP_VALID_MS + LEASE_MARGIN_MS
        lapse_at = self._clock.now() + longest_ms
        for record in contents.workers:
            self.by_boot[record.worker, record.boot_ms] = UnverifiedWorker(record, lapse_at)
        if contents.hand_over is not None:
            runs = contents.hand_over.runs
            self.locations = {task: (worker, boot_ms) for task, worker, boot_ms in runs}

    def may_be_running(self, task: Task) -> bool:
        """Tell whether `task` may run where this owner cannot see it."""
        if not self.by_boot or not task.job.is_loaded:
            return False
        if self.locations is None:
            return True
        return self.locations.get(task.name) in self.by_boot

    def remove_worker(self, worker_id: str) -> None:
        """A life of the worker has shown its inventory: it and the ones before hold no secrets.

        Until then an order of the last owner may still reach this life and be obeyed.
        """
        for known, boot_ms in list(self.by_boot):
            if known == worker_id:
                del self.by_boot[known, boot_ms]

    def pop_lapsed(self) -> list[Boot]:
        """Return the lives whose leases have lapsed; they are doubted no more."""
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
        """Tell whether a witness says that the lease in `record` has lapsed."""
        for reference in record.lapsed_by:
            worker = self._workers.get(reference.worker)
            if worker is None or worker.entry.boot_ms != reference.boot_ms:
                continue
            if worker.clock_ms > reference.clock_ms:
                return True
        return False

    def find_lapse_at(self, worker: Worker, now: int) -> int:
        """Return the local ms at which the lease of a worker that was never heard has lapsed."""
        unverified_worker = self.by_boot.get((worker.id, worker.entry.boot_ms))
        return now if unverified_worker is None else unverified_worker.lapse_at

    def make_clock_references(self, lapse_at: int) -> tuple[ClockReference, ...]:
        """Return by which clocks of reachable workers the local ms `lapse_at` can be told."""
        now = self._clock.now()
        left = max(0, lapse_at - now)
        reachable = (w for w in self._workers.values() if w.is_reachable(now))
        return tuple(
            ClockReference(
                worker.id, worker.entry.boot_ms, worker.clock_ms + now - worker.clock_at + left
            )
            for worker in islice(reachable, MAX_CLOCK_REFERENCES)
        )

    def to_hand_over(self) -> HandOverRecord | None:
        """Return all runs that may go on, for the next owner; None where that is not known."""
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
        return HandOverRecord(tuple(runs))
