"""The reactor's timers follow a steady clock, whatever the time of day does."""

import subprocess
import sys

JUMP_BACK = """
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


def test_timers_are_not_late_when_the_time_of_day_jumps_back() -> None:
    output = subprocess.run(
        [sys.executable, "-c", JUMP_BACK], capture_output=True, text=True, check=True, timeout=30
    )
    assert float(output.stdout) < 1.5
