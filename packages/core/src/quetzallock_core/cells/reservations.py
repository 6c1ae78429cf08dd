"""Capacity that workers keep for tasks that are about to start there."""

from .jobs import Run, StepRun, Task
from .placement import Placement
from .workers import Reservation, Worker


class Reservations:
    """The reservations of a cell, one for each task at most.

    They are not in the journal: a new owner starts without any, and decides again.

    Attributes:
        by_task: The reservations by the task that they are for.
    """

    def __init__(self) -> None:
        self.by_task: dict[Task, Reservation] = {}
        self._by_awaited_run: dict[Run, list[Reservation]] = {}

    def has_step(self, step: StepRun) -> bool:
        """Return whether capacity is kept for a task of `step`."""
        return any(task.step is step for task in self.by_task)

    def reserve_for_move(
        self, run: Run, target: Worker, expires_at: int = 0, awaited: tuple[Run, ...] = ()
    ) -> None:
        """Keep capacity on `target` for the task of `run` until that run has ended.

        Args:
            run: The run that is being stopped.
            target: Another worker.
            expires_at: Local ms until which the capacity is kept also after the end, so that no
                other waiting task takes it before the task starts again.
            awaited: Runs on `target` whose ends free what is missing there.
        """
        self._add(
            Reservation(
                run.task,
                target,
                moved_run=run,
                awaited=dict.fromkeys(awaited),
                expires_at=expires_at,
            )
        )

    def reserve_for_waiting(
        self, task: Task, worker: Worker, awaited: tuple[Run, ...], expires_at: int
    ) -> None:
        """Keep what is free on `worker`, and what the `awaited` runs free, for a task."""
        self._add(Reservation(task, worker, awaited=dict.fromkeys(awaited), expires_at=expires_at))

    def _add(self, reservation: Reservation) -> None:
        self.release(reservation.task)
        self.by_task[reservation.task] = reservation
        for run in reservation.awaited:
            self._by_awaited_run.setdefault(run, []).append(reservation)
        reservation.worker.reserve(reservation)

    def release(self, task: Task) -> None:
        """Free the capacity that is kept for `task`, if any."""
        reservation = self.by_task.pop(task, None)
        if reservation is None:
            return
        for run in reservation.awaited:
            self._by_awaited_run[run].remove(reservation)
            if not self._by_awaited_run[run]:
                del self._by_awaited_run[run]
        reservation.worker.release(reservation)

    def is_awaited(self, run: Run) -> bool:
        """Return whether capacity is kept that the end of `run` frees."""
        return run in self._by_awaited_run

    def find_usable(self, task: Task, placement: Placement, now: int) -> Worker | None:
        """Return the worker that keeps capacity for `task`, if it may start there now."""
        reservation = self.by_task.get(task)
        if reservation is None or not reservation.is_free:
            return None
        worker = reservation.worker
        if not worker.can_accept_task(now):
            return None
        worker.release(reservation)
        obstacle = placement.find_obstacle(task, worker)
        worker.reserve(reservation)
        return worker if obstacle is None else None

    def handle_start(self, run: Run) -> None:
        """Release the reservation of a task of which `run` was added to a worker."""
        reservation = self.by_task.get(run.task)
        if reservation is not None and reservation.moved_run is not run:
            self.release(run.task)

    def handle_end(self, run: Run) -> None:
        """Process the end of a run: a move is over, or an awaited run has freed its resources."""
        reservation = self.by_task.get(run.task)
        if reservation is not None and reservation.moved_run is run:
            if reservation.expires_at and not run.task.job.is_over:
                reservation.moved_run = None
            else:
                self.release(run.task)
        for claim in self._by_awaited_run.pop(run, ()):
            del claim.awaited[run]
            claim.worker.update_reservation(claim)

    def release_worker(self, worker: Worker) -> None:
        """Release all reservations on a worker that is gone."""
        for reservation in list(worker.reservations.values()):
            self.release(reservation.task)

    def release_unusable(self, now: int) -> list[Task]:
        """Release reservations that have expired or whose worker is leaving, but those of moves.

        Returns:
            The tasks whose reservations have expired.
        """
        expired = []
        for reservation in list(self.by_task.values()):
            if reservation.moved_run is not None:
                continue
            if now >= reservation.expires_at:
                expired.append(reservation.task)
            elif _is_usable(reservation.worker, now):
                continue
            self.release(reservation.task)
        return expired


def _is_usable(worker: Worker, now: int) -> bool:
    """Return whether `worker` may still get the task that it keeps capacity for."""
    if worker.entry.is_draining or worker.is_evacuated or worker.is_overcommitted:
        return False
    return worker.is_listed and worker.is_reachable(now)
