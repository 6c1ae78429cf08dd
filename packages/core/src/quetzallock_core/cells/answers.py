"""Processes workers' answers to orders, and their refusals of inventory polls."""

from typing import Final

from .boots import handle_clock_of_next_boot, handle_misdirected
from .const import RETRY_PAUSE_MS
from .inventory import mark_started
from .jobs import Run
from .models import Boot
from .orders import StartRun, StopRun
from .run_ends import EndProof
from .state import CellState
from .workers import Worker

OTHER_BOOT: Final = "other boot"
"""Outcome of an order that another boot of the worker, or another worker, has received."""

_OUTCOMES_WITH_CLOCK: Final = ("ok", "old", "room")
"""Outcomes of orders whose answers certainly have the worker's clock, and that a boot gives which
has accepted the fencing token and the end of the lease."""

CAPACITY_REFUSAL_PAUSE_MS: Final = 250
"""How long a worker gets no task after it has refused one for lack of free capacity."""

BUSY_REFUSAL_PAUSE_MS: Final = 600
"""How long a worker gets no task after it has rejected an order as too busy."""


class OrderAnswers:
    """Processes the answers to start and stop orders, and refused inventory polls."""

    def __init__(self, state: CellState) -> None:
        self._state = state

    def handle_inventory_refusal(self, boot: Boot, fence: int, outcome: str) -> None:
        """Process the refusal of an inventory poll of `boot` with the token `fence`."""
        self._state.log_decision("hold.refused", worker=boot[0], born=boot[1], reason=outcome)
        worker = self._state.find_boot(boot)
        if outcome == "fence":
            self._handle_fence(boot[0], fence)
        if worker is None:
            return
        if outcome == OTHER_BOOT:
            handle_misdirected(self._state, worker, worker.polled_address)
        else:
            worker.unanswered_since = -1

    def _handle_fence(self, worker_id: str, fence: int) -> None:
        """Process that a worker has seen a higher token than `fence`.

        It is that of a newer owner, unless this one has called a later boot since.
        """
        worker = self._state.workers.get(worker_id)
        if worker is None and self._state.fences.rise_with_boots:
            return
        if worker is None or fence >= worker.fence:
            self._state.fenced = True

    def handle_start_answer(
        self, order: StartRun, outcome: str, clock_ms: int, asked_at: int
    ) -> None:
        """Process the answer to a start order that was sent at the local ms `asked_at`.

        `outcome` is empty when there was no answer.
        """
        worker, run = self._find_run(order)
        if outcome == "fence":
            self._handle_fence(order.worker, order.fence)
        if outcome and run is None:
            self._state.ended_runs.handle_start_answer(order)
        if worker is None or run is None:
            return
        if outcome:
            run.unanswered -= 1
        now = self._state.clock.now()
        if outcome == OTHER_BOOT:
            handle_misdirected(self._state, worker, order.address)
            return
        if outcome in _OUTCOMES_WITH_CLOCK and worker.is_answer_of_next_boot(clock_ms, asked_at):
            run.unanswered += 1
            handle_clock_of_next_boot(self._state, worker, run, clock_ms)
            return
        if outcome:
            worker.record_contact(clock_ms, asked_at, now)
        if outcome in ("ok", "old"):
            self._handle_begun(run, clock_ms, now)
            return
        if not outcome:
            self._state.log_decision(
                "start.unanswered", task=order.task, run=order.run, worker=order.worker
            )
            return
        self._handle_refusal(worker, run, outcome, now)

    def _handle_begun(self, run: Run, clock_ms: int, now: int) -> None:
        """Process the answer that a run is there, or was; it says nothing of a stop."""
        if run.state != "stopping":
            run.record_answer(clock_ms, now)
        run.is_acknowledged = True
        run.progressed_at = now
        if run.state == "ordered":
            run.advance("confirm")
            self._state.interruptions.handle_confirmed(run)
            mark_started(self._state, run.task.job)
        if run.task.spec.fills and self._state.start_window.needs_refill(now):
            self._state.is_start_due = True

    def _handle_refusal(self, worker: Worker, run: Run, outcome: str, now: int) -> None:
        state = self._state
        state.log_decision(
            "start.refused", task=run.task.name, run=run.number, worker=worker.id, reason=outcome
        )
        if outcome == "fence":
            return
        if outcome == "room":
            worker.blocked_until = now + CAPACITY_REFUSAL_PAUSE_MS
        elif outcome == "busy":
            worker.blocked_until = now + BUSY_REFUSAL_PAUSE_MS
        else:
            run.task.not_before = now + RETRY_PAUSE_MS
        if run.has_begun:
            return
        if run.unanswered:
            state.stop_with_gang(run, "an earlier copy of the refused order may arrive")
            return
        state.shares.refund(run.task.step.share_key, run.service_core_ms, now)
        state.end_run(run, "refuse", EndProof.REFUSED)
        state.stop_gang(run.task.step, "worker refused another task of the gang")
        state.is_start_due = True

    def handle_stop_answer(
        self, order: StopRun, outcome: str, clock_ms: int, asked_at: int
    ) -> None:
        """Process the answer to a stop order that was sent at the local ms `asked_at`.

        `outcome` is empty when there was no answer.
        """
        worker, run = self._find_run(order)
        if outcome == "fence":
            self._handle_fence(order.worker, order.fence)
        if worker is None or not outcome:
            return
        if outcome == OTHER_BOOT:
            handle_misdirected(self._state, worker, order.address)
            return
        if outcome in _OUTCOMES_WITH_CLOCK and worker.is_answer_of_next_boot(clock_ms, asked_at):
            handle_clock_of_next_boot(self._state, worker, None, clock_ms)
            return
        now = self._state.clock.now()
        worker.record_contact(clock_ms, asked_at, now)
        if outcome != "ok":
            return
        self._state.ended_runs.handle_stop_answer(order)
        if run is not None:
            run.record_answer(clock_ms + self._state.bounds.stop_ms, now)
            self._state.cancellations.handle_stop_answer(run, clock_ms)

    def _find_run(self, order: StartRun | StopRun) -> tuple[Worker | None, Run | None]:
        """Return the worker and the run of an order.

        The worker is None if the order went to another boot than the known one.
        """
        worker = self._state.find_boot((order.worker, order.boot_ms))
        if worker is None:
            return None, None
        run = worker.runs.get(order.task)
        if run is None or run.number != order.run:
            return worker, None
        return worker, run
