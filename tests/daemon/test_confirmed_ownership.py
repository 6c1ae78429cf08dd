"""The right of an owner to order while the group of cell owners changes again and again."""

from collections import Counter
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from quetzallock_core.cells.models import Bounds
from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.const import JOIN_INTERVAL_MS
from quetzallock_daemon.cells.owner import CellOwner

SLOW_APPEND_MS = 450
"""Less than the time limit of an append."""
STARTED_MS = 100_000
CHANGING_MS = 10_000


class SlowStore:
    """A store that takes `SLOW_APPEND_MS` for an append."""

    def __init__(self, reactor: Clock) -> None:
        self._reactor = reactor

    def append(self, *_: Any) -> "Deferred[None]":
        return deferLater(self._reactor, SLOW_APPEND_MS / 1_000, lambda: None)


def test_owner_may_order_while_the_generation_changes_with_each_join(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an owner that no append confirms, as each is for the generation before."""
    reactor = Clock()
    monkeypatch.setattr(BootClock, "now", lambda _: round(reactor.seconds() * 1_000))
    reactor.advance(STARTED_MS / 1_000)
    store: Any = SlowStore(reactor)
    workers: Any = SimpleNamespace()
    owner = CellOwner(
        reactor, 0, 1, Bounds(), store, workers, lambda _: None, Counter(), lambda *_: None
    )
    owner.ownership_confirmed_at = owner.clock.now()
    owner.is_active = True
    may_order = []
    for generation in range(2, 2 + CHANGING_MS // JOIN_INTERVAL_MS):
        owner.confirm_ownership(generation, owner.clock.now())
        for _ in range(JOIN_INTERVAL_MS // 10):
            reactor.advance(0.01)
            may_order.append(owner.may_order)
    assert all(may_order)
