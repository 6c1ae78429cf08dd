"""Clocks of the workers of the platform stand-in."""

from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet.task import Clock

from quetzallock_core.cells.const import CLOCK_DRIFT
from quetzallock_platform_standin import model
from quetzallock_platform_standin.model import Standin

STEP_S = 0.01075


def test_clock_of_a_worker_runs_no_slower_than_a_worker_may(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against leases that last longer than any worker's, by fractions of a ms."""
    clock = Clock()
    monkeypatch.setattr(model, "reactor", clock)
    monkeypatch.setattr(model, "time", SimpleNamespace(monotonic=clock.seconds))
    worker: Any = SimpleNamespace(clock_ms=0)
    worker.advance = lambda ms: setattr(worker, "clock_ms", worker.clock_ms + ms)
    standin: Any = SimpleNamespace(workers={"w": worker}, _last_ms=0.0)
    standin.advance = lambda: Standin.advance(standin)
    standin.advance()
    for _ in range(1_000):
        clock.advance(STEP_S)
    elapsed_ms = 1_000 * STEP_S * 1_000
    assert (1 - CLOCK_DRIFT) * elapsed_ms <= worker.clock_ms <= elapsed_ms
