"""How a host finds out when the process of a cell's previous owner was over."""

from typing import Any

import pytest
from twisted.internet.defer import Deferred, succeed

from quetzallock_core.cells import Cell
from quetzallock_core.cells.candidacy import Candidate
from quetzallock_core.cells.contents import Contents
from quetzallock_core.cells.models import Bounds
from quetzallock_core.cells.records import OwnerRecord, WorkerRecord
from quetzallock_core.clock import ManualClock
from quetzallock_daemon.cells.const import OWNER_REQUEST_TIMEOUT_MS
from quetzallock_daemon.cells.membership import Member, parse_member_name
from quetzallock_daemon.cells.messages import OwnerAnswer, ProcessProbe
from quetzallock_daemon.cells.previous_owner import PreviousOwnerSearch
from quetzallock_daemon.helpers import run_in_background

from .emulated_hosts import EmulatedHosts

OWN = Member(Candidate(1_000, "h0"), "h0:3", 7)
OTHER = Member(Candidate(1_000, "h1"), "h1:3", 8)
STARTED_AT = 400
NOW = 1_000
UP_MS = 240


class NewOwner:
    """Owner of a cell whose previous owner was the process of `record`."""

    def __init__(self, record: OwnerRecord) -> None:
        self.clock = ManualClock()
        self.clock.advance(NOW)
        self.cell = Cell(0, 2, Bounds(), self.clock, self.clock.now)
        workers = [WorkerRecord("w", "w:1", 1, epoch=record.epoch)]
        self.cell.restore(Contents(workers=workers, owner=record))
        self.is_stopped = False
        self.pauses: list[Deferred[None]] = []

    def pause(self, ms: int) -> "Deferred[None]":
        self.pauses.append(Deferred())
        return self.pauses[-1]

    def compute_saved_ms(self) -> int:
        """Return by how much the wait for the worker is shorter than right after the takeover."""
        fresh = NewOwner(OwnerRecord(1, "h9", "h9:3", 1))
        return (
            fresh.cell.state.unverified.by_boot["w", 1].lapse_at
            - self.cell.state.unverified.by_boot["w", 1].lapse_at
        )


def search(record: OwnerRecord, *answers: OwnerAnswer | None) -> NewOwner:
    """Return the owner after a search in which the probes get `answers`."""
    owner = NewOwner(record)
    waiting = list(answers)

    def probe(address: str) -> Any:
        assert address == record.address
        return succeed(waiting.pop(0))

    run_in_background(PreviousOwnerSearch(OWN, STARTED_AT, probe).run(owner))
    while waiting:
        owner.pauses[-1].callback(None)
    return owner


def make_answer(member: Member) -> OwnerAnswer:
    return OwnerAnswer(1, "process", UP_MS, member.format_name())


def test_earlier_process_of_the_own_host_was_over_when_this_one_began_to_listen() -> None:
    owner = search(OwnerRecord(1, "h0", "h0:3", 6))
    assert owner.compute_saved_ms() == 3_000 + NOW - STARTED_AT


def test_process_was_over_when_the_next_one_of_its_host_began_to_listen() -> None:
    owner = search(OwnerRecord(1, "h1", "h1:3", 6), None, make_answer(OTHER))
    assert owner.compute_saved_ms() == 3_000 + UP_MS


@pytest.mark.parametrize(
    "answer",
    [
        None,
        make_answer(OTHER),
        make_answer(Member(Candidate(1_000, "h2"), "h1:3", 9)),
        make_answer(Member(Candidate(1_000, "h1"), "h1:4", 9)),
        OwnerAnswer(1, "process", UP_MS, "odd"),
        OwnerAnswer(1, "not_owner"),
    ],
    ids=["none", "same process", "other host", "other address", "odd name", "other answer"],
)
def test_wait_stays_as_long_while_the_process_may_go_on(answer: OwnerAnswer | None) -> None:
    owner = search(OwnerRecord(1, "h1", "h1:3", OTHER.incarnation), answer)
    assert not owner.compute_saved_ms()
    assert owner.pauses


def test_wait_stays_as_long_if_this_process_itself_was_the_previous_owner() -> None:
    owner = search(OwnerRecord(1, "h0", "h0:3", OWN.incarnation))
    assert not owner.compute_saved_ms()


def test_host_says_which_process_answers(monkeypatch: pytest.MonkeyPatch) -> None:
    hosts = EmulatedHosts(monkeypatch, [2_000] * 2)
    hosts.run(UP_MS)
    answers: list[OwnerAnswer] = []
    hosts.request_handlers["h1"](ProcessProbe(5), answers.append)
    hosts.run(OWNER_REQUEST_TIMEOUT_MS)
    member = parse_member_name(answers[0].state)
    assert member is not None
    assert (member.candidate.host, member.address) == ("h1", "h1:3")
    assert (answers[0].ticket, answers[0].outcome) == (5, "process")
    assert 0 < answers[0].count <= UP_MS
