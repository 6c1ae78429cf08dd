"""The reactor's timers follow the monotonic clock.

Guards against timers that fire late after the wall clock was set back, which happens because
Twisted uses the wall clock by default.
"""

import subprocess
import sys

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
