"""What a host knows of one worker that it holds or asks for."""

from ..workers.models import AttemptRef, SyncWorker, TaskLease, WorkerInfo, WorkerState
from .commitment import Commitment
from .const import LEAVING_GRACE_MS, PlacementSettings
from .slots import SlotLedger


class LeasedWorker:
    """The state of one worker at the host responsible for it.

    Attributes:
        held_until: Local time in ms up to which the lease surely holds.
        clock: The worker's clock in its newest answer.
        renewals: Task leases to hand to the worker with the next sync.
        acks: Ends to acknowledge with the next sync.
        is_draining: Whether the worker falls to another host, which waits for it.
        closes: Attempts being stopped, each with the time of the next try.
    """

    def __init__(self, info: WorkerInfo, lease_state: str) -> None:
        self.info = info
        self.lease_state = lease_state
        self.boot = ""
        self.epoch = 0
        self.version = 0
        self.clock = 0
        self.held_until = 0
        self.next_sync = 0
        self.next_report = 0
        self.syncing = False
        self.says_leaving = False
        self.is_draining = False
        self.leaving_since: int | None = None
        self.over_since: int | None = None
        self.next_eviction = 0
        self.commitment = Commitment()
        self.slots: SlotLedger | None = None
        self.renewals: dict[str, TaskLease] = {}
        self.acks: list[AttemptRef] = []
        self.closes: dict[str, tuple[int, int]] = {}

    @property
    def is_leaving(self) -> bool:
        """Whether the platform's list or the worker itself says that it is leaving."""
        return self.info.leaving or self.says_leaving

    def is_past_grace(self, now: int) -> bool:
        """Tell whether the worker has been leaving for so long that nothing may start on it."""
        return self.leaving_since is not None and now - self.leaving_since > LEAVING_GRACE_MS

    def may_act(self, now: int) -> bool:
        """Tell whether the lease surely holds at `now`."""
        return self.lease_state == "held" and now < self.held_until

    def may_grant(self, now: int) -> bool:
        """Tell whether new work may be put on the worker at `now`."""
        return self.may_act(now) and not self.is_leaving and not self.is_draining

    def is_drained(self, now: int) -> bool:
        """Tell whether the worker can be handed over: no slot lease of this host goes on."""
        if not self.is_draining:
            return False
        return self.slots is None or not self.slots.has_live_leases(now)

    def take_state(
        self, state: WorkerState, sync: SyncWorker, settings: PlacementSettings, asked_at: int
    ) -> None:
        """Take in the worker's answer to `sync`, which was sent at `asked_at`."""
        if (self.boot, self.epoch) != (state.boot, state.epoch):
            self.forget()
        self.boot, self.epoch = state.boot, state.epoch
        self.version, self.clock = state.version, state.clock
        self.held_until = asked_at + settings.lease_ms - settings.lease_margin_ms
        self.says_leaving = state.leaving
        if not self.is_leaving:
            self.leaving_since = None
        elif self.leaving_since is None:
            self.leaving_since = asked_at
        self.commitment.capacity = state.capacity
        if state.complete:
            self.commitment.replace_tasks(state.tasks)
        else:
            self.commitment.merge_tasks(state.tasks)
        self.commitment.expire_starts(state.clock)
        self._settle_sync(sync)

    def _settle_sync(self, sync: SyncWorker) -> None:
        if sync.boot != self.boot:
            return
        for lease in sync.leases:
            if self.renewals.get(lease.task) == lease:
                del self.renewals[lease.task]
        for ack in sync.acks:
            if ack in self.acks:
                self.acks.remove(ack)
            self.commitment.forget_task(ack.task, ack.attempt)

    def take_slots(self, state: WorkerState, now: int, settings: PlacementSettings) -> None:
        """Begin a slot ledger; what may be under way counts as taken."""
        over_ms = settings.slot_lease_ms + settings.request_ms
        inherited, until = state.busy_slots, now + settings.request_ms
        if state.up_ms < over_ms:
            inherited, until = state.slots, now + over_ms - state.up_ms
        self.slots = SlotLedger(state.slots, inherited, until, settings.request_ms)

    def forget(self) -> None:
        """Forget all that was known under an earlier lease."""
        self.boot, self.epoch, self.version, self.held_until = "", 0, 0, 0
        self.commitment = Commitment()
        self.slots = None
        self.renewals.clear()
        self.acks.clear()
        self.closes.clear()


LeasedWorkers = dict[str, LeasedWorker]
