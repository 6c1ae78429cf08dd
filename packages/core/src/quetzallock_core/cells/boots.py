"""Boots of workers: which one is known, and what proves that it is over.

The platform's list says where to ask, as others may write to it. A boot is over by the answer of
the next one, or of another worker at its address, or by its lease.
"""

from .ended_runs import compute_unconfirmed_until
from .jobs import Run
from .leaves import make_unlisted_entry
from .models import WorkerEntry
from .run_ends import EndProof
from .state import CellState
from .workers import Worker


def replace_boot(state: CellState, worker: Worker, entry: WorkerEntry, proof: EndProof) -> None:
    """Replace a worker by its next boot; `proof` shows that the previous boot is over.

    A start order whose run the previous boot has not listed, or that is unanswered, may have
    reached the next boot, or may still reach it. Such a run is stopped there before its task
    starts elsewhere.
    """
    unconfirmed_runs = [run for run in worker.runs.values() if run.unanswered or not run.is_listed]
    state.crashes.handle_loss(worker)
    for run in unconfirmed_runs:
        worker.remove(run)
    state.drop_worker(worker, "worker restarted", proof)
    successor = state.add_worker(entry)
    for run in unconfirmed_runs:
        state.ended_runs.add(run, successor.boot)
        run.unconfirmed_until = max(
            run.unconfirmed_until, compute_unconfirmed_until(run, state.bounds)
        )
        run.unanswered = 0
        run.is_listed = run.is_acknowledged = False
        run.is_unsent = True
        run.answered_clock_ms = -1
        state.add_run(successor, run)
        if run.state == "stopping":
            state.send_stop(run)
        else:
            state.stop_run(run, "start order may reach the next boot of the worker")


def handle_other_boot(state: CellState, worker: Worker, boot_ms: int, address: str) -> None:
    """Process that a poll of a boot was answered by another boot of the worker at `address`.

    Its runs end once the platform's list names the next boot, whose resources it tells, or by
    the lease, which the answer of another boot does not extend.
    """
    state.log_decision("worker.reborn", worker=worker.id, born=boot_ms, address=address)
    worker.is_listed = False
    worker.record_no_answer(state.clock.now())
    if not worker.is_next_boot(boot_ms, address):
        return
    worker.next_boot_ms = boot_ms
    if worker.next_entry is not None and worker.next_entry.boot_ms == boot_ms:
        replace_boot(state, worker, worker.next_entry, EndProof.NEXT_BOOT)
        state.is_start_due = True


def handle_clock_of_next_boot(
    state: CellState, worker: Worker, run: Run | None, clock_ms: int
) -> None:
    """Process that the next boot of a worker has answered an order, as its clock has begun anew.

    The boot that was asked is over, and gets no more orders; the next poll tells which boot has
    answered. If it has begun `run`, it grants the longest lease, as the order names the end of the
    lease by the clock of the boot that it was meant for.
    """
    now = state.clock.now()
    state.log_decision(
        "worker.clock_restarted",
        worker=worker.id,
        clock_ms=clock_ms,
        known_clock_ms=worker.clock_ms,
    )
    worker.next_boot_seen_at = now
    if run is not None:
        lapsed_at = now + state.bounds.longest_granted_ms
        run.unconfirmed_until = max(run.unconfirmed_until, lapsed_at)


def handle_misdirected(state: CellState, worker: Worker, address: str) -> None:
    """Process that a call to a boot was answered by another boot or worker.

    That ends the boot, and its runs, only at the address at which it has answered itstate. Any
    other address is from the platform's list alone, to which others may write.
    """
    if not worker.has_answered_at(address):
        state.log_decision("worker.misdirected", worker=worker.id, address=address)
        return
    state.ended_boots.add((worker.id, worker.entry.boot_ms))
    state.drop_worker(worker, "another boot answers at its address", EndProof.MISDIRECTED)
    state.is_start_due = True


def add_unlisted_leaving(state: CellState) -> None:
    """Add unverified boots whose entries have gone after they announced to leave, to poll them.

    They get no tasks. Their leases are renewed only after an answer.
    """
    for boot, address in state.unverified.list_leaving():
        if boot[0] in state.workers or boot in state.ended_boots:
            continue
        worker = state.add_worker(make_unlisted_entry(boot, address))
        worker.is_listed = False
        worker.is_lease_suspended = True
        state.drains.handle_entry(worker, worker.entry)
        state.drains.handle_unlisted(worker)
