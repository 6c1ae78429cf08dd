"""Evacuations on an entry host: what the follower of the configuration confirms, and to whom."""

from collections import Counter
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_core.cells.models import Bounds, Resources, WorkerEntry
from quetzallock_core.cells.orders import StartRun
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.configuration_follower import ConfigurationFollower
from quetzallock_daemon.cells.owner import CellOwner
from quetzallock_daemon.cells.ports import (
    ConfigPage,
    EvacuationChange,
    HistoryGoneError,
    StoreUnavailableError,
)
from quetzallock_daemon.cells.read_limits import choose_config_wait_ms
from quetzallock_daemon.helpers import sleep

from .emulated_hosts import EmulatedHosts, EmulatedStore

CALL_MS = 10
RequestedView = tuple[frozenset[str], int]


class ScriptedStore:
    """Answers each read with the next page or error, after `CALL_MS`."""

    def __init__(self, reactor: Clock, answers: list[ConfigPage | Exception]) -> None:
        self._reactor = reactor
        self._answers = answers
        self.newest_reads = 0
        self.waits: list[int] = []

    async def read_configuration(self, _timeout_ms: int) -> ConfigPage:
        self.newest_reads += 1
        return await self._answer()

    async def read_configuration_changes(
        self, _offset: int, wait_ms: int, _timeout_ms: int
    ) -> ConfigPage:
        self.waits.append(wait_ms)
        return await self._answer()

    async def _answer(self) -> ConfigPage:
        await sleep(self._reactor, CALL_MS)
        if not self._answers:
            await sleep(self._reactor, 1_000_000)
        answer = self._answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


def follow(
    monkeypatch: pytest.MonkeyPatch, *answers: ConfigPage | Exception
) -> tuple[list[RequestedView], ScriptedStore]:
    """Return the views that a follower passes on while the store gives these answers."""
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    store: Any = ScriptedStore(reactor, list(answers))
    views: list[RequestedView] = []
    handle: Callable[[frozenset[str], int], None] = lambda *view: views.append(view)  # noqa: E731
    ConfigurationFollower(reactor, store, lambda _: None, handle).start()
    for _ in range(1_000):
        reactor.advance(0.001)
    return views, store


def make_page(offset: int, *changes: tuple[str, bool], is_complete: bool = True) -> ConfigPage:
    """Return a page with changes of evacuations."""
    rows = tuple(EvacuationChange(*change) for change in changes)
    return ConfigPage(None, offset, rows, is_complete)


def test_view_is_confirmed_for_the_time_at_which_its_read_was_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request that was acknowledged after the read was sent may be missing in the answer."""
    views, _ = follow(monkeypatch, make_page(1, ("a", True)), make_page(2, ("b", True)))
    assert [data_centres for data_centres, _ in views] == [frozenset("a"), frozenset("ab")]
    first, second = (confirmed_at for _, confirmed_at in views)
    assert first == 0
    assert CALL_MS <= second < 2 * CALL_MS


def test_failed_and_incomplete_reads_confirm_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    views, _ = follow(
        monkeypatch,
        make_page(1),
        StoreUnavailableError("down"),
        make_page(2, ("a", True), is_complete=False),
    )
    assert views == [(frozenset(), 0), (frozenset("a"), 0)]


def test_first_read_after_a_failure_does_not_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """The view may be about to become stale; a read that waits would confirm it a second later."""
    pages = [make_page(1), StoreUnavailableError("down"), make_page(1), make_page(1)]
    _, store = follow(monkeypatch, *pages)
    assert store.waits == [1_000, 0, 1_000, 1_000]


def test_newest_records_replace_the_requests_after_compaction(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end of the evacuation of `a` was compacted away, and must not be missed."""
    views, store = follow(
        monkeypatch, make_page(1, ("a", True)), HistoryGoneError("410"), make_page(9, ("b", True))
    )
    assert [data_centres for data_centres, _ in views] == [frozenset("a"), frozenset("b")]
    assert store.newest_reads == 2


def test_end_and_new_request_in_one_page_keep_the_evacuation(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    views, _ = follow(
        monkeypatch, make_page(1, ("a", True)), make_page(3, ("a", False), ("a", True))
    )
    assert views[-1][0] == frozenset("a")


def test_reads_are_short_enough_for_a_small_bound() -> None:
    """The view must not become stale between two reads of a store that answers."""
    assert choose_config_wait_ms(Bounds()) == 1_000
    assert choose_config_wait_ms(Bounds(evacuation_ms=5_000)) == 1_000
    assert choose_config_wait_ms(Bounds(evacuation_ms=2_100)) == 420


def test_owner_holds_back_starts_that_were_decided_before_the_request() -> None:
    counters: Counter[str] = Counter()
    unused: Any = SimpleNamespace()
    owner = CellOwner(
        unused,
        0,
        1,
        Bounds(evacuation_ms=5_000),
        unused,
        unused,
        lambda _: None,
        counters,
        lambda *_: None,
    )
    owner.ownership_confirmed_at = owner.clock.now()
    entry = WorkerEntry("w", 1, "s", "w:1", "a", False, Resources(1, 1), (), "")
    owner.cell.handle_entries({"w": entry})
    owner.cell.state.emit(StartRun("w", 1, "w:1", "j.0.0.0", 1, "", "", 0))
    owner.handle_evacuations(frozenset("a"), owner.clock.now())
    owner.run_effects()
    assert counters["orders.held_back"] == 1


def test_host_that_takes_over_knows_the_requests_before_it_loads_the_cell(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def read_configuration(_store: EmulatedStore, _timeout_ms: int) -> ConfigPage:
        return make_page(1, ("a", True))

    views: list[frozenset[str]] = []

    async def load(store: EmulatedStore, _cell: int) -> dict[str, bytes]:
        service = store._hosts.services[store._name]
        views.extend(owner.cell.evacuations.data_centres for owner in service._owned.values())
        return {}

    monkeypatch.setattr(EmulatedStore, "read_configuration", read_configuration)
    monkeypatch.setattr(EmulatedStore, "load", load)
    hosts = EmulatedHosts(monkeypatch, [2_000, 2_000], Bounds(evacuation_ms=5_000))
    hosts.run(3_000)
    first = hosts.owner
    hosts.keep_busy(first, 10_000)
    hosts.run(5_000)
    assert hosts.owner != first
    assert len(views) >= 2
    assert set(views) == {frozenset("a")}
