"""The reactor's timers follow the monotonic clock, and background coroutines are resumed.

Guards against timers that fire late after the wall clock was set back, which happens because
Twisted uses the wall clock by default.
"""

import subprocess
import sys

import pytest
from twisted.internet.defer import Deferred, succeed

from quetzallock_daemon.helpers import run_in_background

WALL_CLOCK_JUMP = """
import time
read = time.time
jump_s = [0.0]
time.time = lambda: read() + jump_s[0]
from quetzallock_daemon.helpers import reactor
began = time.monotonic()
reactor.callLater(0.1, jump_s.__setitem__, 0, -5.0)
reactor.callLater(0.3, reactor.stop)
reactor.run()
print(time.monotonic() - began)
"""


def test_timers_are_not_late_when_the_wall_clock_jumps_back() -> None:
    output = subprocess.run(
        [sys.executable, "-c", WALL_CLOCK_JUMP],
        capture_output=True,
        text=True,
        check=True,
        timeout=30,
    )
    assert float(output.stdout) < 1.5


def test_background_coroutine_goes_on_with_results_and_failures() -> None:
    first: Deferred[int] = Deferred()
    second: Deferred[int] = Deferred()
    seen: list[object] = []

    async def wait_for_first() -> int:
        return await first + 1

    async def run() -> None:
        seen.append(await wait_for_first())
        try:
            await second
        except ValueError as error:
            seen.append(str(error))
        seen.append(await succeed(3))

    run_in_background(run())
    assert seen == []
    first.callback(1)
    assert seen == [2]
    second.errback(ValueError("refused"))
    assert seen == [2, "refused", 3]


def test_failure_of_a_background_coroutine_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against orders that vanish without a trace."""
    awaited: Deferred[None] = Deferred()

    async def fail_later() -> None:
        await awaited
        raise ValueError("cause")

    run_in_background(fail_later())
    assert not caplog.records
    awaited.callback(None)
    assert [record.message for record in caplog.records] == ["background coroutine failed"]
    assert "cause" in caplog.records[0].__dict__["error"]
