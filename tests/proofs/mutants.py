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
from quetzallock_core.placement.leased import LeasedWorker
from quetzallock_core.placement.slots import SlotLedger
from quetzallock_core.presets import catalog, sync
from quetzallock_core.presets.models import PresetState, UsePreset
from quetzallock_core.registry import Registry
from quetzallock_core.requests.const import WHOLE
from quetzallock_core.requests.keys import IdempotencyKeys
from quetzallock_core.requests.models import DispatchDone, RequestResult
from quetzallock_core.requests.router import Router
from quetzallock_core.workers.models import Resources

Patches = Callable[[], list[Any]]
MUTANTS: Registry[Patches] = Registry("mutant")
_PLENTY = Resources(10**9, 10**9, 10**9)


@MUTANTS.register("room")
def _ignore_commitments() -> list[Any]:
    return [
        patch.object(Commitment, "get_free_capacity", lambda self, now: _PLENTY),
        patch.object(SlotLedger, "count_free", lambda self, now: self.slots),
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

    def transition(self: ShardState, task: str, event: str, **fields: object) -> None:
        if event == "end_attempt":
            fields["progress_ms"] = 0
        original(self, task, event, **fields)

    return [patch.object(ShardState, "_transition", transition)]


@MUTANTS.register("whole")
def _return_late_answers() -> list[Any]:
    def handle_late_result(self: Router, done: DispatchDone) -> None:
        waiting = self._in_flight.pop(done.ticket, None)
        if waiting is not None and done.outcome == WHOLE:
            self._answer_caller(waiting, RequestResult(WHOLE, done.response))

    return [patch.object(Router, "_handle_late_result", handle_late_result)]


@MUTANTS.register("not run")
def _report_unknown_as_not_run() -> list[Any]:
    original = Router._fail_request

    def fail_request(self: Router, waiting: Any) -> None:
        waiting.may_have_run = False
        original(self, waiting)

    return [patch.object(Router, "_fail_request", fail_request)]


@MUTANTS.register("orders")
def _run_repeated_keys() -> list[Any]:
    return [patch.object(IdempotencyKeys, "_decide_claim", lambda self, claim: ("run", None))]


@MUTANTS.register("leaving")
def _ignore_leaving() -> list[Any]:
    return [patch.object(LeasedWorker, "is_leaving", property(lambda self: False))]


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
    """Remove the guard of a promise while the body of the `with` statement runs."""
    patches = MUTANTS.get(promise)()
    for active_patch in patches:
        active_patch.start()
    try:
        yield
    finally:
        for active_patch in patches:
            active_patch.stop()
