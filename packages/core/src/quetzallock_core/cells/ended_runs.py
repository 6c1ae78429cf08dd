"""Ended runs whose start orders may still arrive, and are to be rejected by the next boots.

The boot on which a run has ended rejects later copies of its start order. The next boot under the
same id does not know the run and would carry such a copy out, so it is told to stop the run first.
Until it has answered, the task does not start elsewhere.

The journal need not hold these runs: a worker refuses the orders of an earlier owner once any call
of the next owner has reached it. A boot under another id refuses orders that are not addressed to
it. What remains is a copy that arrives after the start of the next boot and before the first call
of the owner, which reads the platform's list once in each tick.
"""

from dataclasses import dataclass
from typing import Any, Protocol

from ..clock import Clock
from .const import (
    MAX_ENDED_RUNS,
    MAX_ORDER_DELAY_MS,
    ORDER_TIMEOUT_MS,
)
from .jobs import Run, Task
from .models import Boot, Bounds
from .orders import Effect, StartRun, StopRun
from .workers import Worker


class StoppingState(Protocol):
    """What the ended runs need of the state of a cell."""

    workers: dict[str, Worker]
    clock: Clock
    is_start_due: bool

    def emit(self, effect: Effect) -> None:
        """Add `effect` to those that are to be carried out."""

    def log_decision(self, event: str, **inputs: Any) -> None:
        """Count a decision and emit it for the log."""


@dataclass(slots=True)
class EndedRun:
    """An ended run with start orders that have no answer.

    Attributes:
        boot: Boot that rejects later copies of its start order.
        unanswered: Number of start orders without an answer.
        expires_at: Local ms from which on no copy arrives any more.
        asked_boot: Boot that was sent the last stop, if any.
        resend_at: Local ms at which that stop is sent again unless it is answered.
    """

    task: str
    number: int
    boot: Boot
    unanswered: int
    expires_at: int
    asked_boot: Boot | None = None
    resend_at: int = 0

    def must_ask(self, boot: Boot, now: int) -> bool:
        """Return whether a stop is to be sent to `boot`, which does not reject the run yet."""
        return boot != self.asked_boot or now >= self.resend_at


class EndedRuns:
    """The ended runs of a cell whose start orders may still arrive, oldest first."""

    def __init__(self, state: StoppingState) -> None:
        self._state = state
        self._runs: dict[tuple[str, int], EndedRun] = {}
        self._unrejected: dict[str, set[int]] = {}

    def may_start(self, task: Task) -> bool:
        """Return whether no boot that is known may still begin an ended run of `task`.

        The wait ends with the boot's answer, with the boot, or when no copy arrives any more.
        """
        return task.spec.speculative or task.name not in self._unrejected

    def add(self, run: Run, boot: Boot) -> None:
        """Remember a run that is over, or is being stopped, on `boot`."""
        if not run.unanswered:
            return
        key = run.task.name, run.number
        expires_at = self._state.clock.now() + MAX_ORDER_DELAY_MS
        self._runs.pop(key, None)
        self._runs[key] = EndedRun(*key, boot, run.unanswered, expires_at)
        if len(self._runs) > MAX_ENDED_RUNS:
            del self._runs[next(iter(self._runs))]

    def handle_start_answer(self, order: StartRun) -> None:
        """Process the answer to a start order whose run is not known any more."""
        ended_run = self._runs.get((order.task, order.run))
        if ended_run is None:
            return
        ended_run.unanswered -= 1
        if not ended_run.unanswered:
            del self._runs[order.task, order.run]

    def handle_stop_answer(self, order: StopRun) -> None:
        """Process the answer of a boot that rejects the run from now on."""
        ended_run = self._runs.get((order.task, order.run))
        if ended_run is not None and ended_run.boot[0] == order.worker:
            ended_run.boot = (order.worker, order.boot_ms)
            self._handle_rejected(ended_run)

    def _handle_rejected(self, ended_run: EndedRun) -> None:
        """Process that the known boot rejects a run, so that its task may start."""
        numbers = self._unrejected.get(ended_run.task)
        if numbers is None:
            return
        numbers.discard(ended_run.number)
        if not numbers:
            del self._unrejected[ended_run.task]
            self._state.is_start_due = True

    def stop_on_new_boots(self) -> None:
        """Order the boots that do not reject the runs yet to stop them."""
        now = self._state.clock.now()
        self._unrejected.clear()
        for key, ended_run in list(self._runs.items()):
            if now >= ended_run.expires_at:
                del self._runs[key]
                continue
            worker = self._state.workers.get(ended_run.boot[0])
            if worker is None or worker.boot == ended_run.boot:
                continue
            self._unrejected.setdefault(ended_run.task, set()).add(ended_run.number)
            if ended_run.must_ask(worker.boot, now):
                self._send_stop(ended_run, worker, now)

    def _send_stop(self, ended_run: EndedRun, worker: Worker, now: int) -> None:
        if ended_run.asked_boot is None:
            self._state.log_decision(
                "run.rejected_on_new_boot",
                task=ended_run.task,
                run=ended_run.number,
                worker=worker.id,
            )
        ended_run.asked_boot = worker.boot
        ended_run.resend_at = now + ORDER_TIMEOUT_MS
        entry = worker.entry
        self._state.emit(
            StopRun(
                worker.id,
                entry.boot_ms,
                entry.address,
                ended_run.task,
                ended_run.number,
                worker.fence,
            )
        )


def compute_unconfirmed_until(run: Run, bounds: Bounds) -> int:
    """Return the local ms at which no start order of `run` can be at work on a next boot.

    An order without an answer may be carried out late, and the boot then grants the longest lease,
    as its clock has started anew. Nothing renews that lease while the boot does not answer.
    """
    delay_ms = MAX_ORDER_DELAY_MS if run.unanswered else ORDER_TIMEOUT_MS
    return max(run.ordered_at, run.last_sent_at) + delay_ms + bounds.longest_granted_ms
