"""Stops that wait for their answer, while other calls on the same task are answered."""

from random import Random

import pytest

from quetzallock_core import members
from quetzallock_core.clock import ManualClock
from quetzallock_core.core import Core, Identity
from quetzallock_core.effects import CallWorker, WorkerAnswered
from quetzallock_core.members.const import MemberSettings
from quetzallock_core.placement.attempts import Attempts
from quetzallock_core.placement.const import PlacementSettings
from quetzallock_core.placement.leased import LeasedWorker
from quetzallock_core.placement.models import CloseAttempt
from quetzallock_core.placement.reporter import Reporter
from quetzallock_core.workers.const import RUNNING, STOPPED
from quetzallock_core.workers.models import (
    CommandResult,
    Resources,
    StartTask,
    StopTask,
    TaskStatus,
    WorkerCommand,
    WorkerInfo,
)

SETTINGS = PlacementSettings()
DEMAND = Resources(1_000, 1_000, 0)


class StoppingHost:
    """The attempts on one leased worker, without any other domain."""

    def __init__(self) -> None:
        self.clock = ManualClock(1_000)
        self.core = Core(Identity("host-0", 1, "127.0.0.1:1", "dc"), self.clock, Random(1))
        self.worker = LeasedWorker(WorkerInfo("worker-0", "rack", "dc", "127.0.0.1:2"), "held")
        self.worker.boot, self.worker.epoch, self.worker.leased_until = "boot-1", 1, 2**60
        reporter = Reporter(
            self.core, members.setup(self.core, MemberSettings()), SETTINGS, shards=4
        )
        self.attempts = Attempts(self.core, SETTINGS, {"worker-0": self.worker}, reporter)

    def close(self, attempt: int) -> None:
        """Let the owner of the task's shard close an attempt."""
        self.core.fire(CloseAttempt("worker-0", "job/0", attempt))

    def answer(self, command: WorkerCommand, attempt: int, state: str) -> None:
        """Let the worker answer a command with the status of an attempt."""
        status = TaskStatus("job/0", attempt, state, DEMAND)
        result = CommandResult(True, "", status)
        self.core.fire(WorkerAnswered("worker-0", command, result, self.clock.now()))

    def list_repeated_stops(self) -> list[int]:
        """Return the attempts that are stopped again once a stop is due for it."""
        self.core.drain()
        self.clock.advance(SETTINGS.sync_ms)
        self.attempts.retry_stops(self.worker, self.clock.now())
        commands = [e.command for e in self.core.drain() if isinstance(e, CallWorker)]
        return [command.attempt for command in commands if isinstance(command, StopTask)]


def make_start(attempt: int) -> StartTask:
    """Return the command that starts an attempt of the task."""
    return StartTask("boot-1", 1, "job/0", attempt, DEMAND, 1_000, 0, 2**60)


def make_stop(attempt: int) -> StopTask:
    """Return the command that stops an attempt of the task."""
    return StopTask("boot-1", 1, "job/0", attempt)


def test_stop_is_repeated_although_the_start_is_answered_later() -> None:
    """Guards against a lost stop that the answer to the start ends the retries of."""
    host = StoppingHost()
    host.close(attempt=1)
    host.answer(make_start(1), 1, RUNNING)
    assert host.list_repeated_stops() == [1]


@pytest.mark.parametrize("other", [1, 3])
def test_stop_is_repeated_although_the_stop_of_another_attempt_is_answered(other: int) -> None:
    """Guards against a late answer that ends the retries of another attempt's stop."""
    host = StoppingHost()
    host.close(attempt=2)
    host.answer(make_stop(other), 2, RUNNING)
    assert host.list_repeated_stops() == [2]


def test_answered_stop_is_not_repeated() -> None:
    """Guards against stops without end."""
    host = StoppingHost()
    host.close(attempt=1)
    host.answer(make_stop(1), 1, STOPPED)
    assert host.list_repeated_stops() == []
