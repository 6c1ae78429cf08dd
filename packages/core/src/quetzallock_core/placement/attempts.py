"""Reserves capacity for attempts on leased workers, starts them and stops them."""

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
    """Reserves, starts, evicts and stops attempts on leased workers."""

    def __init__(
        self, core: Core, settings: PlacementSettings, workers: LeasedWorkers, reporter: Reporter
    ) -> None:
        self._core = core
        self._settings = settings
        self._workers = workers
        self._reporter = reporter
        self._ejector = Ejector()
        core.listen(ReserveCapacity, self._on_reserve)
        core.listen(StartAttempt, self._on_start)
        core.listen(CloseAttempt, self._on_close)
        core.listen(RenewTaskLeases, self._on_renew)
        core.listen(AcknowledgeEnds, self._on_acknowledge)
        core.listen(QueryAttempts, self._on_query)
        core.listen(WorkerAnswered, self._on_answered)

    def record_ends(self, worker: LeasedWorker, changed: tuple[TaskStatus, ...], now: int) -> None:
        """Record ended tasks, and eject a worker for some time after consecutive failures."""
        for status in changed:
            if status.state not in (FAILED, FINISHED):
                continue
            if self._ejector.record(worker.info.worker, status.state == FINISHED, now):
                self._core.counters["placement.workers_ejected"] += 1
                _LOGGER.warning(
                    "worker %s ejected from placement after consecutive task failures",
                    worker.info.worker,
                )

    def evict(self, worker: LeasedWorker, pause_ms: int, now: int) -> None:
        """Stop all tasks of a leaving worker, or one task of a worker that is over its capacity.

        The latter only after `overload_ms` over capacity, and not again within `pause_ms`.
        """
        if worker.is_leaving:
            for status in worker.commitment.tasks.values():
                if status.state == RUNNING:
                    self.stop(worker, status.task, status.attempt, now)
            return
        if Resources().fits(worker.commitment.get_free_capacity(now)):
            worker.over_capacity_since = None
            return
        if worker.over_capacity_since is None:
            worker.over_capacity_since = now
        is_tolerated = now - worker.over_capacity_since < self._settings.overload_ms
        victim = worker.commitment.choose_eviction()
        if is_tolerated or now < worker.next_eviction_at or victim is None:
            return
        worker.next_eviction_at = now + pause_ms
        self._core.counters["placement.evictions"] += 1
        self.stop(worker, victim.task, victim.attempt, now)

    def stop(self, worker: LeasedWorker, task: str, attempt: int, now: int) -> None:
        """Stop an attempt, with retries until the worker answers."""
        worker.pending_stops[task] = (attempt, now + self._settings.sync_ms)
        if worker.has_lease(now):
            self._send_command(worker, StopTask(worker.boot, worker.epoch, task, attempt))

    def retry_stops(self, worker: LeasedWorker, now: int) -> None:
        """Retry stops that the worker has not answered."""
        for task, (attempt, retry_at) in list(worker.pending_stops.items()):
            if now >= retry_at:
                self.stop(worker, task, attempt, now)

    def _send_command(self, worker: LeasedWorker, command: StartTask | StopTask) -> None:
        self._core.emit(CallWorker(worker.info.worker, command))

    def _on_reserve(self, message: ReserveCapacity, source: str) -> None:
        now = self._core.clock.now()
        candidates = [
            worker
            for worker in self._workers.values()
            if worker.info.rack == message.rack
            and worker.accepts_new_work(now)
            and not self._ejector.is_ejected(worker.info.worker, now)
        ]
        reservations, refused = [], []
        for request in message.requests:
            reservation = self._reserve(candidates, request, now)
            if reservation is None:
                refused.append(AttemptRef(request.task, request.attempt))
            else:
                reservations.append(reservation)
        answer = CapacityReserved(
            message.rack, tuple(reservations), tuple(refused), bool(candidates)
        )
        self._core.send(source, answer)

    def _reserve(
        self, candidates: list[LeasedWorker], request: CapacityRequest, now: int
    ) -> Reservation | None:
        """Reserve capacity on the freer of two random workers, or else on any that has enough."""
        allowed = [worker for worker in candidates if worker.info.worker not in request.avoid]
        order = self._core.rng.sample(allowed, len(allowed))
        first = sorted(
            order[:2], key=lambda worker: -worker.commitment.get_free_capacity(now).cpu_milli
        )
        ttl = self._settings.reservation_ms
        for worker in first + order[2:]:
            if worker.commitment.reserve(request.task, request.demand, now, ttl):
                name = worker.info.worker
                return Reservation(
                    request.task, request.attempt, name, worker.boot, worker.answered_clock_ms
                )
        return None

    def _on_start(self, start: StartAttempt, _source: str) -> None:
        now = self._core.clock.now()
        worker = self._workers.get(start.worker)
        if worker is None or not worker.has_lease(now) or worker.boot != start.boot:
            return
        if worker.commitment.is_running(start.task, start.attempt):
            self._reporter.report(worker, (worker.commitment.tasks[start.task],))
            return
        has_capacity = worker.commitment.commit(start.task, start.demand, now, start.until)
        if worker.is_leaving or not has_capacity:
            self.stop(worker, start.task, start.attempt, now)
            return
        self._core.counters["placement.starts"] += 1
        command = StartTask(
            worker.boot,
            worker.epoch,
            start.task,
            start.attempt,
            start.demand,
            start.run_ms,
            start.progress_ms,
            start.until,
        )
        self._send_command(worker, command)

    def _on_close(self, close: CloseAttempt, _source: str) -> None:
        worker = self._workers.get(close.worker)
        if worker is not None:
            self.stop(worker, close.task, close.attempt, self._core.clock.now())

    def _on_query(self, query: QueryAttempts, source: str) -> None:
        worker = self._workers.get(query.worker)
        if worker is not None and worker.has_lease(self._core.clock.now()):
            self._reporter.answer_query(worker, query, source)

    def _on_renew(self, renew: RenewTaskLeases, _source: str) -> None:
        worker = self._workers.get(renew.worker)
        if worker is None or worker.boot != renew.boot:
            return
        for lease in renew.leases:
            worker.renewals[lease.task] = lease

    def _on_acknowledge(self, ends: AcknowledgeEnds, _source: str) -> None:
        worker = self._workers.get(ends.worker)
        if worker is not None and worker.boot == ends.boot:
            worker.acks.extend(end for end in ends.ends if end not in worker.acks)

    def _on_answered(self, event: WorkerAnswered, _source: str) -> None:
        worker = self._workers.get(event.worker)
        command, result = event.command, event.answer
        if worker is None or not isinstance(command, StartTask | StopTask):
            return
        is_current = (command.boot, command.epoch) == (worker.boot, worker.epoch)
        if not isinstance(result, CommandResult) or result.status is None or not is_current:
            return
        if isinstance(command, StartTask) and worker.is_past_leaving_grace(self._core.clock.now()):
            self._core.counters["placement.leaving_started"] += result.ok
        if isinstance(command, StopTask):
            worker.handle_stop_answer(command)
        worker.commitment.merge_tasks((result.status,))
        self._reporter.report(worker, (result.status,))
