"""What may run on workers that a new owner has not heard of yet, and until when."""

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import islice

from ..clock import Clock
from .const import CLOCK_DRIFT, LEASE_MARGIN_MS, MOST_WITNESSES, PROOF_MS
from .contents import Contents
from .jobs import Task
from .models import HandOverRecord, Witness, WorkerRecord
from .workers import Worker

Life = tuple[str, int]


@dataclass(slots=True)
class Doubt:
    """A life of a worker that may run what this owner has not heard of.

    Attributes:
        record: What the journal says of it.
        lapse_at: Local ms at which its lease has lapsed at the latest.
        is_written: The journal has this owner's word on when the lease lapses.
    """

    record: WorkerRecord
    lapse_at: int
    is_written: bool = False


class Doubts:
    """Lives of workers, by id and birth, that may run what this owner has not heard of.

    Attributes:
        lives: The doubt on each of them.
        places: Which life of a worker may run a task, where the last owner gave the cell up
            in good order; None where that is not known.
    """

    def __init__(self, workers: Mapping[str, Worker], clock: Clock) -> None:
        self._workers = workers
        self._clock = clock
        self.lives: dict[Life, Doubt] = {}
        self.places: dict[str, Life] | None = None

    def restore(self, contents: Contents, lease_ms: int) -> None:
        """Doubt every worker that the journal names until it is heard of or its lease lapses."""
        longest_ms = int(lease_ms / (1 - CLOCK_DRIFT)) + PROOF_MS + LEASE_MARGIN_MS
        lapse_at = self._clock.now() + longest_ms
        for record in contents.workers:
            self.lives[record.worker, record.born] = Doubt(record, lapse_at)
        if contents.hand_over is not None:
            runs = contents.hand_over.runs
            self.places = {task: (worker, born) for task, worker, born in runs}

    def covers(self, task: Task) -> bool:
        """Tell whether `task` may run where this owner cannot see it."""
        if not self.lives or not task.job.is_loaded:
            return False
        if self.places is None:
            return True
        return self.places.get(task.name) in self.lives

    def end(self, worker_id: str) -> None:
        """A life of the worker has shown its inventory: it and the ones before hold no secrets.

        Until then an order of the last owner may still reach this life and be obeyed.
        """
        for known, born in list(self.lives):
            if known == worker_id:
                del self.lives[known, born]

    def take_lapsed(self) -> list[Life]:
        """Return the lives whose leases have lapsed; they are doubted no more."""
        now = self._clock.now()
        lapsed = [
            life
            for life, doubt in self.lives.items()
            if now >= doubt.lapse_at or self._is_lapsed(doubt.record)
        ]
        for life in lapsed:
            del self.lives[life]
        return lapsed

    def _is_lapsed(self, record: WorkerRecord) -> bool:
        """Tell whether a witness says that the lease in `record` has lapsed."""
        for witness in record.lapsed_by:
            worker = self._workers.get(witness.worker)
            if worker is None or worker.entry.born != witness.born:
                continue
            if worker.clock_ms > witness.clock_ms:
                return True
        return False

    def find_lapse(self, worker: Worker, now: int) -> int:
        """Return the local ms at which the lease of a worker that was never heard has lapsed."""
        doubt = self.lives.get((worker.id, worker.entry.born))
        return now if doubt is None else doubt.lapse_at

    def find_witnesses(self, lapse_at: int) -> tuple[Witness, ...]:
        """Return by which clocks of reachable workers the local ms `lapse_at` can be told."""
        now = self._clock.now()
        left = max(0, lapse_at - now)
        reachable = (w for w in self._workers.values() if w.is_reachable(now))
        return tuple(
            Witness(worker.id, worker.entry.born, worker.clock_ms + now - worker.clock_at + left)
            for worker in islice(reachable, MOST_WITNESSES)
        )

    def to_hand_over(self) -> HandOverRecord | None:
        """Return all runs that may go on, for the next owner; None where that is not known."""
        if self.lives and self.places is None:
            return None
        runs = [
            (run.task.name, worker.id, worker.entry.born)
            for worker in self._workers.values()
            for run in worker.runs.values()
        ]
        places = self.places or {}
        runs += [(task, *place) for task, place in places.items() if place in self.lives]
        return HandOverRecord(tuple(runs))
