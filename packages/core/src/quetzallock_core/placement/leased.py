"""State of one worker whose lease this host holds or requests."""

from ..workers.models import AttemptRef, StopTask, SyncWorker, TaskLease, WorkerInfo, WorkerState
from .commitment import Commitment
from .const import LEAVING_GRACE_MS, PlacementSettings
from .slots import SlotLedger


class LeasedWorker:
    """State of one worker at the host that is responsible for it.

    Attributes:
        leased_until: Local time in ms until which the lease is certain to be valid.
        answered_clock_ms: The worker's clock in its newest answer.
        renewals: Task leases to send to the worker with the next sync.
        acks: Ended attempts to acknowledge with the next sync.
        is_draining: Whether another host, which waits for the handover, owns the worker's rack.
        pending_stops: Attempts being stopped, each with the time of the next retry.
    """

    def __init__(self, info: WorkerInfo, lease_state: str) -> None:
        self.info = info
        self.lease_state = lease_state
        self.boot = ""
        self.epoch = 0
        self.version = 0
        self.answered_clock_ms = 0
        self.leased_until = 0
        self.next_sync_at = 0
        self.next_report_at = 0
        self.is_syncing = False
        self.reports_leaving = False
        self.is_draining = False
        self.leaving_since: int | None = None
        self.over_capacity_since: int | None = None
        self.next_eviction_at = 0
        self.commitment = Commitment()
        self.slots: SlotLedger | None = None
        self.renewals: dict[str, TaskLease] = {}
        self.acks: list[AttemptRef] = []
        self.pending_stops: dict[str, tuple[int, int]] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether the platform's list or the worker itself reports that it is leaving."""
        return self.info.leaving or self.reports_leaving

    def is_past_leaving_grace(self, now: int) -> bool:
        """Return whether the worker has been leaving for so long that no task may start on it."""
        return self.leaving_since is not None and now - self.leaving_since > LEAVING_GRACE_MS

    def has_lease(self, now: int) -> bool:
        """Return whether the lease is certain to be valid at `now`."""
        return self.lease_state == "held" and now < self.leased_until

    def accepts_new_work(self, now: int) -> bool:
        """Return whether tasks and slot leases may be placed on the worker at `now`."""
        return self.has_lease(now) and not self.is_leaving and not self.is_draining

    def is_drained(self, now: int) -> bool:
        """Return whether a draining worker can be handed over: no slot lease is valid any more."""
        if not self.is_draining:
            return False
        return self.slots is None or not self.slots.has_live_leases(now)

    def record_state(
        self, state: WorkerState, sync: SyncWorker, settings: PlacementSettings, sent_at: int
    ) -> None:
        """Record the worker's answer to `sync`, which was sent at `sent_at`."""
        if (self.boot, self.epoch) != (state.boot, state.epoch):
            self.reset()
        self.boot, self.epoch = state.boot, state.epoch
        self.version, self.answered_clock_ms = state.version, state.clock
        self.leased_until = sent_at + settings.lease_ms - settings.lease_margin_ms
        self.reports_leaving = state.leaving
        if not self.is_leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = sent_at
        self.commitment.capacity = state.capacity
        if state.complete:
            self.commitment.replace_tasks(state.tasks)
        else:
            self.commitment.merge_tasks(state.tasks)
        self.commitment.expire_starts(state.clock)
        self._remove_synced(sync)

    def _remove_synced(self, sync: SyncWorker) -> None:
        if sync.boot != self.boot:
            return
        for lease in sync.leases:
            if self.renewals.get(lease.task) == lease:
                del self.renewals[lease.task]
        for ack in sync.acks:
            if ack in self.acks:
                self.acks.remove(ack)
            self.commitment.remove_task(ack.task, ack.attempt)

    def handle_stop_answer(self, stop: StopTask) -> None:
        """End the retries of `stop`, unless another attempt is to be stopped by now."""
        pending = self.pending_stops.get(stop.task)
        if pending is not None and pending[0] == stop.attempt:
            del self.pending_stops[stop.task]

    def create_slot_ledger(self, state: WorkerState, now: int, settings: PlacementSettings) -> None:
        """Create the slot ledger.

        Slots on which requests of earlier holders may still run count as committed.
        """
        longest_use_ms = settings.slot_lease_ms + settings.request_ms
        inherited, until = state.busy_slots, now + settings.request_ms
        if state.up_ms < longest_use_ms:
            inherited, until = state.slots, now + longest_use_ms - state.up_ms
        self.slots = SlotLedger(state.slots, inherited, until, settings.request_ms)

    def reset(self) -> None:
        """Discard the state of an earlier lease."""
        self.boot, self.epoch, self.version, self.leased_until = "", 0, 0, 0
        self.commitment = Commitment()
        self.slots = None
        self.renewals.clear()
        self.acks.clear()
        self.pending_stops.clear()


LeasedWorkers = dict[str, LeasedWorker]
