"""When a host must assume that its membership had ended before it was renewed."""

from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_daemon.cells.clocks import BootClock
from quetzallock_daemon.cells.membership import MembershipTask, StoreContact
from quetzallock_daemon.cells.ports import Membership, StoreUnavailableError
from quetzallock_daemon.helpers import run_coroutine


class ScriptedStore:
    """A store that answers joins, or carries them out without an answer."""

    def __init__(self) -> None:
        self.is_mute = False
        self.ttls_ms: list[int] = []

    async def join(self, _member: str, _generation: int, ttl_ms: int) -> Membership:
        self.ttls_ms.append(ttl_ms)
        if self.is_mute:
            raise StoreUnavailableError("no answer")
        return Membership(len(self.ttls_ms), frozenset({0}))


class JoiningHost:
    """A host that joins when told to.

    Attributes:
        ends: For each answer whether the membership may have ended before.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 1_000
        monkeypatch.setattr(BootClock, "now", lambda _: self.now)
        self.store: Any = ScriptedStore()
        self.ends: list[bool] = []
        self.task = MembershipTask(
            Clock(), self.store, "member", StoreContact(), self._handle_membership
        )
        self.task.start()

    def _handle_membership(self, _: Membership, _sent_at: int, may_have_ended: bool) -> bool:
        self.ends.append(may_have_ended)
        return True

    def join(self) -> None:
        run_coroutine(self.task.join())


def test_membership_that_a_late_renewal_found_in_force_has_not_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = JoiningHost(monkeypatch)
    host.task.hold_for_loading()
    host.now += host.store.ttls_ms[-1]
    host.join()
    assert host.ends[-1] is False
    host.now += host.store.ttls_ms[-1] + 1
    host.join()
    assert host.ends[-1] is True


def test_shorter_renewal_without_an_answer_may_have_ended_the_membership(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The store may have received it, and counts from the newest call."""
    host = JoiningHost(monkeypatch)
    host.task.hold_for_loading()
    held_ms = host.store.ttls_ms[-1]
    host.task.handle_loaded(0)
    host.store.is_mute = True
    host.join()
    host.store.is_mute = False
    assert host.store.ttls_ms[-1] < held_ms
    host.now += held_ms
    host.join()
    assert host.ends[-1] is True
