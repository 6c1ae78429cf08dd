"""New jobs that an owner rejects because it is late with all work."""

from collections import Counter
from typing import Any

from twisted.internet.task import Clock

from quetzallock_core.cells.load import OVERLOAD_LAG_MS
from quetzallock_core.cells.models import Bounds, JobSpec, QueuePolicy
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.const import OVERLOAD_RETRY_AFTER_S
from quetzallock_daemon.cells.drain import Drain, derive_drain_times
from quetzallock_daemon.cells.messages import OwnerAnswer, OwnerRequest, SubmitJobRequest
from quetzallock_daemon.cells.owner import CellOwner
from quetzallock_daemon.cells.ports import Configuration, Queue, RequestLimits
from quetzallock_daemon.cells.router import CallerAnswer, CallerRequest, Router
from quetzallock_daemon.helpers import run_coroutine

JOB = "5c0e7a21d94b36f8"
POLICY = QueuePolicy("queue", "pool")
LATE_TICKS = 10


def make_owner() -> CellOwner:
    """Return an owner whose ownership is confirmed, without store and workers."""
    unused: Any = None
    owner = CellOwner(
        Clock(), 0, 1, Bounds(), unused, unused, lambda _: None, Counter(), lambda *_: None
    )
    owner.is_active = True
    owner.ownership_confirmed_at = owner.clock.now()
    return owner


def submit(owner: CellOwner, ticket: int) -> list[OwnerAnswer]:
    """Submit the job and return the answers given at once."""
    answers: list[OwnerAnswer] = []
    owner.handle_request(SubmitJobRequest(ticket, 0, JobSpec(JOB, "", ()), POLICY), answers.append)
    return answers


def make_late(owner: CellOwner) -> None:
    """Let the owner's ticks be late for some time."""
    for _ in range(LATE_TICKS):
        owner.load_control.record_lag(2 * OVERLOAD_LAG_MS)


def test_late_owner_rejects_a_new_job_at_once_and_keeps_nothing_of_it() -> None:
    owner = make_owner()
    make_late(owner)
    assert submit(owner, 1) == [OwnerAnswer(1, "overloaded")]
    assert JOB not in owner.cell.state.jobs
    assert not owner.cell.batches.has_records()


def test_late_owner_does_not_reject_a_job_that_it_has_taken_in() -> None:
    owner = make_owner()
    assert submit(owner, 1) == []
    make_late(owner)
    assert submit(owner, 2) == []


class OwnAddress:
    """Owners of cells, all of them this host."""

    def find_address(self, cell: int) -> str:
        """Return the address of this host."""
        return "own"


def test_caller_of_an_overloaded_owner_is_told_when_to_retry() -> None:
    def reject(request: OwnerRequest, reply: Any) -> None:
        reply(OwnerAnswer(request.ticket, "overloaded"))

    unused: Any = None
    owners: Any = OwnAddress()
    router = Router(
        Clock(),
        1,
        "own",
        owners,
        unused,
        reject,
        lambda job, _: JobSpec(job, "", ()),
        Counter(),
        lambda *_: None,
        lambda: False,
        lambda: True,
        Drain(BootClock(), derive_drain_times(6_000, 200)),
    )
    queue = Queue("host", "/queue/", 0, POLICY)
    router.configuration = Configuration(1, (queue,), RequestLimits())
    request = CallerRequest("POST", "host", f"/queue/{JOB}", b"{}")
    answers: list[CallerAnswer] = []
    run_coroutine(router.answer(request)).addCallback(answers.append)
    (answer,) = answers
    assert (answer.status, answer.code) == (503, "overloaded")
    assert answer.retry_after_s == OVERLOAD_RETRY_AFTER_S
