"""Reserves room for attempts on held workers, starts them and stops them."""

import logging

from ..core import Core
from ..effects import CallWorker, WorkerAnswered
from ..helpers.ejection import Ejector
from ..workers.const import FAILED, FINISHED, RUNNING
from ..workers.models import (
    AttemptRef,
    CommandResult,
    Resources,
    StartTask,
    StopTask,
    TaskStatus,
)
from .const import PlacementSettings
from .leased import LeasedWorker, LeasedWorkers
from .models import (
    AcknowledgeEnds,
    CapacityRequest,
    CapacityReserved,
    CloseAttempt,
    QueryAttempts,
    RenewTaskLeases,
    Reservation,
    ReserveCapacity,
    StartAttempt,
)
from .reporter import Reporter

_LOGGER = logging.getLogger(__name__)


class Attempts:
    """Acts on the attempts that run, or shall run, on held workers."""

    def __init__(
        self, core: Core, settings: PlacementSettings, held: LeasedWorkers, reporter: Reporter
    ) -> None:
        self._core = core
        self._settings = settings
        self._held = held
        self._reporter = reporter
        self._ejector = Ejector()
        core.listen(ReserveCapacity, self._on_reserve)
        core.listen(StartAttempt, self._on_start)
        core.listen(CloseAttempt, self._on_close)
        core.listen(RenewTaskLeases, self._on_renew)
        core.listen(AcknowledgeEnds, self._on_acknowledge)
        core.listen(QueryAttempts, self._on_ask)
        core.listen(WorkerAnswered, self._on_answered)

    def note_health(self, held: LeasedWorker, changed: tuple[TaskStatus, ...], now: int) -> None:
        """Pass over a worker for some time that fails one task after another."""
        for status in changed:
            if status.state not in (FAILED, FINISHED):
                continue
            if self._ejector.record(held.info.worker, status.state == FINISHED, now):
                self._core.counters["placement.workers_ejected"] += 1
                _LOGGER.warning("worker %s fails all that it starts", held.info.worker)

    def relieve(self, held: LeasedWorker, pause_ms: int, now: int) -> None:
        """Evict all tasks of a leaving worker, or one where it is over its room for some time."""
        if held.is_leaving:
            for status in held.commitment.tasks.values():
                if status.state == RUNNING:
                    self.stop(held, status.task, status.attempt, now)
            return
        if Resources().fits(held.commitment.get_free_capacity(now)):
            held.over_since = None
            return
        if held.over_since is None:
            held.over_since = now
        is_patient = now - held.over_since < self._settings.overload_ms
        victim = held.commitment.pick_victim()
        if is_patient or now < held.next_eviction or victim is None:
            return
        held.next_eviction = now + pause_ms
        self._core.counters["placement.evictions"] += 1
        self.stop(held, victim.task, victim.attempt, now)

    def stop(self, held: LeasedWorker, task: str, attempt: int, now: int) -> None:
        """Stop an attempt; tried again until the worker has answered."""
        held.closes[task] = (attempt, now + self._settings.sync_ms)
        if held.may_act(now):
            self._call(held, StopTask(held.boot, held.epoch, task, attempt))

    def retry_stops(self, held: LeasedWorker, now: int) -> None:
        """Try stops again that the worker has not answered."""
        for task, (attempt, retry_at) in list(held.closes.items()):
            if now >= retry_at:
                self.stop(held, task, attempt, now)

    def _call(self, held: LeasedWorker, command: StartTask | StopTask) -> None:
        self._core.emit(CallWorker(held.info.worker, command))

    def _on_reserve(self, ask: ReserveCapacity, source: str) -> None:
        now = self._core.clock.now()
        usable = [
            held
            for held in self._held.values()
            if held.info.rack == ask.rack
            and held.may_grant(now)
            and not self._ejector.is_ejected(held.info.worker, now)
        ]
        reservations, refused = [], []
        for wanted in ask.requests:
            reservation = self._reserve(usable, wanted, now)
            if reservation is None:
                refused.append(AttemptRef(wanted.task, wanted.attempt))
            else:
                reservations.append(reservation)
        answer = CapacityReserved(ask.rack, tuple(reservations), tuple(refused), bool(usable))
        self._core.send(source, answer)

    def _reserve(
        self, usable: list[LeasedWorker], wanted: CapacityRequest, now: int
    ) -> Reservation | None:
        """Reserve on the roomier of two workers picked at random, or on any that has room."""
        allowed = [held for held in usable if held.info.worker not in wanted.avoid]
        order = self._core.rng.sample(allowed, len(allowed))
        first = sorted(
            order[:2], key=lambda held: -held.commitment.get_free_capacity(now).cpu_milli
        )
        ttl = self._settings.reservation_ms
        for held in first + order[2:]:
            if held.commitment.reserve(wanted.task, wanted.demand, now, ttl):
                worker = held.info.worker
                return Reservation(wanted.task, wanted.attempt, worker, held.boot, held.clock)
        return None

    def _on_start(self, start: StartAttempt, _source: str) -> None:
        now = self._core.clock.now()
        held = self._held.get(start.worker)
        if held is None or not held.may_act(now) or held.boot != start.boot:
            return
        if held.commitment.is_running(start.task, start.attempt):
            self._reporter.report(held, (held.commitment.tasks[start.task],))
            return
        has_room = held.commitment.commit(start.task, start.demand, now, start.until)
        if held.is_leaving or not has_room:
            self.stop(held, start.task, start.attempt, now)
            return
        self._core.counters["placement.starts"] += 1
        command = StartTask(
            held.boot,
            held.epoch,
            start.task,
            start.attempt,
            start.demand,
            start.run_ms,
            start.progress_ms,
            start.until,
        )
        self._call(held, command)

    def _on_close(self, close: CloseAttempt, _source: str) -> None:
        held = self._held.get(close.worker)
        if held is not None:
            self.stop(held, close.task, close.attempt, self._core.clock.now())

    def _on_ask(self, ask: QueryAttempts, source: str) -> None:
        held = self._held.get(ask.worker)
        if held is not None and held.may_act(self._core.clock.now()):
            self._reporter.answer(held, ask, source)

    def _on_renew(self, renew: RenewTaskLeases, _source: str) -> None:
        held = self._held.get(renew.worker)
        if held is None or held.boot != renew.boot:
            return
        for lease in renew.leases:
            held.renewals[lease.task] = lease

    def _on_acknowledge(self, ends: AcknowledgeEnds, _source: str) -> None:
        held = self._held.get(ends.worker)
        if held is not None and held.boot == ends.boot:
            held.acks.extend(end for end in ends.ends if end not in held.acks)

    def _on_answered(self, event: WorkerAnswered, _source: str) -> None:
        held = self._held.get(event.worker)
        command, result = event.command, event.answer
        if held is None or not isinstance(command, StartTask | StopTask):
            return
        is_current = (command.boot, command.epoch) == (held.boot, held.epoch)
        if not isinstance(result, CommandResult) or result.status is None or not is_current:
            return
        if isinstance(command, StartTask) and held.is_past_grace(self._core.clock.now()):
            self._core.counters["placement.leaving_started"] += result.ok
        held.closes.pop(command.task, None)
        held.commitment.merge_tasks((result.status,))
        self._reporter.report(held, (result.status,))
