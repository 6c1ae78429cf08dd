"""Mutants: for each promise, patches that remove the guard which ensures it.

The checks must detect each of them; otherwise they could not detect a violation either.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from quetzallock_core.jobs.attempts import TaskAttempts
from quetzallock_core.jobs.state import ShardState
from quetzallock_core.members.gossip import Members
from quetzallock_core.placement.commitment import Commitment
from quetzallock_core.placement.held import HeldWorker
from quetzallock_core.placement.slots import SlotLedger
from quetzallock_core.presets import catalog, sync
from quetzallock_core.presets.models import PresetState, UsePreset
from quetzallock_core.registry import Registry
from quetzallock_core.requests.const import WHOLE
from quetzallock_core.requests.keys import Keys
from quetzallock_core.requests.models import TryDone, Verdict
from quetzallock_core.requests.router import Router
from quetzallock_core.workers.models import Resources

Patches = Callable[[], list[Any]]
MUTANTS: Registry[Patches] = Registry("mutant")
_PLENTY = Resources(10**9, 10**9, 10**9)


@MUTANTS.register("room")
def _ignore_commitments() -> list[Any]:
    return [
        patch.object(Commitment, "find_room", lambda self, now: _PLENTY),
        patch.object(SlotLedger, "find_free", lambda self, now: self.slots),
    ]


@MUTANTS.register("one place")
def _end_attempts_without_confirmation() -> list[Any]:
    def check(self: TaskAttempts, now: int) -> None:
        for task, row in self._state.rows.items():
            tracked = self._tracker.track(task)
            if row.state == "assigned" and tracked.reported_at and not tracked.is_pending:
                self._add_end(task, row, "unconfirmed", 0)

    return [patch.object(TaskAttempts, "check", check)]


@MUTANTS.register("resume")
def _discard_progress() -> list[Any]:
    original = ShardState._transition

    def move(self: ShardState, task: str, event: str, **fields: object) -> None:
        if event == "end_attempt":
            fields["progress_ms"] = 0
        original(self, task, event, **fields)

    return [patch.object(ShardState, "_transition", move)]


@MUTANTS.register("whole")
def _return_late_answers() -> list[Any]:
    def note_late(self: Router, done: TryDone) -> None:
        waiting = self._underway.pop(done.ticket, None)
        if waiting is not None and done.outcome == WHOLE:
            self._finish(waiting, Verdict(WHOLE, done.response))

    return [patch.object(Router, "_note_late", note_late)]


@MUTANTS.register("not run")
def _report_unknown_as_not_run() -> list[Any]:
    original = Router._give_up

    def give_up(self: Router, waiting: Any) -> None:
        waiting.is_in_doubt = False
        original(self, waiting)

    return [patch.object(Router, "_give_up", give_up)]


@MUTANTS.register("orders")
def _run_repeated_keys() -> list[Any]:
    return [patch.object(Keys, "_judge", lambda self, claim: ("run", None))]


@MUTANTS.register("leaving")
def _ignore_leaving() -> list[Any]:
    return [patch.object(HeldWorker, "is_leaving", property(lambda self: False))]


@MUTANTS.register("stop")
def _stop_without_draining() -> list[Any]:
    from .scenario import Scenario

    def stop(self: Scenario, name: str) -> None:
        self.cluster.kill_host(name)

    return [
        patch.object(Scenario, "stop_after_drain", stop),
        patch.object(Members, "leave", lambda self: None),
    ]


@MUTANTS.register("preset")
def _accept_every_switch() -> list[Any]:
    def use(state: PresetState, offset: int, record: UsePreset) -> tuple[PresetState, bool]:
        return state, True

    return [
        patch.object(catalog, "_use", use),
        patch.object(sync.Presets, "_on_state", lambda self, state, source: None),
    ]


@contextmanager
def apply_mutant(promise: str) -> Iterator[None]:
    """Run the code below with the guard of a promise removed."""
    patches = MUTANTS.get(promise)()
    for one in patches:
        one.start()
    try:
        yield
    finally:
        for one in patches:
            one.stop()
