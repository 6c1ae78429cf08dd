"""Evacuated data centres: which they are, and whether the owner's view of them is recent enough."""

from .const import ORDER_TIMEOUT_MS
from .models import WorkerEntry
from .state import CellState
from .workers import Worker


class Evacuations:
    """The evacuation requests as the owner of a cell knows them.

    Attributes:
        data_centres: The data centres that are evacuated.
    """

    def __init__(self, state: CellState) -> None:
        self._state = state
        self.data_centres: frozenset[str] = frozenset()
        self._confirmed_at: int | None = None
        self._reported: frozenset[str] = frozenset()
        self._was_current = True

    @property
    def is_active(self) -> bool:
        """Whether the deployment sets a bound for evacuations."""
        return self._state.bounds.evacuation_ms > 0

    def is_view_current(self) -> bool:
        """Return whether tasks may start: the view is recent enough to keep the bound.

        A call is abandoned after `ORDER_TIMEOUT_MS`. Until then, the bound of no request that the
        view lacks may have passed. Copies that the network delays longer are outside the bound.
        """
        if not self.is_active:
            return True
        if self._confirmed_at is None:
            return False
        age_ms = self._state.clock.now() - self._confirmed_at
        return age_ms + ORDER_TIMEOUT_MS < self._state.bounds.evacuation_ms

    def handle_requests(self, data_centres: frozenset[str], confirmed_at: int) -> None:
        """Replace the evacuated data centres, unless a later read is known.

        Args:
            data_centres: All data centres that are evacuated.
            confirmed_at: Local ms at which the read that confirms them was sent.
        """
        if not self.is_active:
            return
        if self._confirmed_at is not None and confirmed_at < self._confirmed_at:
            return
        if data_centres != self.data_centres or not self.is_view_current():
            self._state.is_start_due = True
        self.data_centres = data_centres
        self._confirmed_at = confirmed_at
        for worker in self._state.workers.values():
            worker.is_evacuated = worker.entry.data_centre in data_centres
        self.report()

    def update_worker(self, worker: Worker, entry: WorkerEntry) -> None:
        """Apply the requests to a worker whose entry was read; `worker.entry` is the last one."""
        if not self.is_active:
            return
        worker.is_evacuated = entry.data_centre in self.data_centres
        until = self._state.clock.now() + entry.cold_remaining_ms
        is_colder = entry.cold_remaining_ms > worker.entry.cold_remaining_ms
        if worker.cold_until is None or is_colder:
            worker.cold_until = until
        else:
            worker.cold_until = min(worker.cold_until, until)

    def report(self) -> None:
        """Log the requests that have begun or ended, and whether the view has become too old.

        A new owner logs the requests once it knows the workers.
        """
        state = self._state
        is_current = self.is_view_current()
        if is_current != self._was_current:
            self._was_current = is_current
            state.log_decision("evacuation.view_current" if is_current else "evacuation.view_stale")
        if not state.workers:
            return
        for data_centre in sorted(self.data_centres - self._reported):
            self._log("evacuation.requested", data_centre)
        for data_centre in sorted(self._reported - self.data_centres):
            self._log("evacuation.ended", data_centre)
        self._reported = self.data_centres

    def _log(self, event: str, data_centre: str) -> None:
        workers = [
            worker
            for worker in self._state.workers.values()
            if worker.entry.data_centre == data_centre
        ]
        runs = sum(len(worker.runs) for worker in workers)
        self._state.log_decision(event, data_centre=data_centre, workers=len(workers), runs=runs)
