"""A job of many steps keeps each owner busy for longer than it may hold the cell."""

import json
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab-3"))
from lab import SERVER, Lab, LabError, has_trouble, run_case  # noqa: E402

CASE = Path(__file__).resolve().parent
ACCEPTED = 6
TASKS = 4
OBSERVED_S = 45.0
RETURN_MS = 6_000 + 3_000
"""A task that lasts is to run again 6 s after its last run, and 3 s more are tolerated."""
BOUNDS = (
    "contactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\n"
    "configApplyMs = 2000\nholdMaxMs = 10000\nstopMs = 200\ngangMs = 3000\ncancel_ms = 3000\n"
    "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 2.0\n"
    "harmMs = 4000\n"
)
SERVER_COMMAND = [str(SERVER), "--workers=24", "--max-lease-ms=10000", "--stop-ms=200"]


def find_absences(record: dict[str, Any], until: int) -> list[str]:
    """Return each task that lasts and was away for too long, with all workers up."""
    rows = []
    for job in range(1, ACCEPTED + 1):
        for index in range(TASKS):
            task = f"{job:016x}.0.0.{index}"
            starts = sorted(at for at, name, _, _ in record["starts"] if name == task)
            ends = sorted((at, how) for at, name, _, how in record["ends"] if name == task)
            for at, how in ends:
                again = min((start for start in starts if start >= at), default=until)
                if again - at > RETURN_MS:
                    rows.append(f"{task} has {how} at {at} and is away for {again - at} ms")
    return rows


def play() -> bool:
    lab = Lab(CASE, 3, SERVER_COMMAND, BOUNDS)
    try:
        lab.record(f"clock of the stand-in at 0: {lab.started_at}")
        for number in range(1, ACCEPTED + 1):
            step = {"count": TASKS, "cpu": 500, "memMb": 256, "longRunning": True}
            body = {"spec": "lasts 500", "steps": [step]}
            if lab.call_host(number % 3, "POST", f"/jobs/{number:016x}", body)[0] != 200:
                raise LabError(f"job {number} was not accepted")
        total = ACCEPTED * TASKS
        lab.wait_for(lambda: len(lab.command("record")["live"]) == total, 10, "all tasks run")
        lab.record(f"the {total} tasks of {ACCEPTED} jobs run, on 5 % of the workers' room")
        steps = [{"count": 1, "cpu": 500}] * (2_500 if has_trouble() else 5)
        data = json.dumps({"spec": "50 500", "steps": steps}, separators=(",", ":")).encode()
        lab.call_host(1, "POST", f"/jobs/{100:016x}", data)
        begun = time.monotonic()
        asked = answered = 0
        while time.monotonic() - begun < OBSERVED_S:
            number = 1 + asked % ACCEPTED
            status, _ = lab.call_host(asked % 3, "GET", f"/jobs/{number:016x}")
            asked += 1
            answered += status == 200
            live = lab.command("record")["live"]
            kept = sum(int(task.partition(".")[0], 16) <= ACCEPTED for task in live)
            lab.record(f"{kept} of {total} tasks that last run, {len(live) - kept} others")
            time.sleep(0.5)
        lab.record(f"{answered} of {asked} questions for the state of accepted jobs are answered")
        record = lab.command("record")
        lab.record_runs(record)
        absences = find_absences(record, int(time.monotonic() * 1_000))
        for row in absences:
            lab.record(f"LOST: {row}")
        dead = [host.name for host in lab.hosts if host.process and host.process.poll() is not None]
        lab.record(f"processes that have ended by themselves: {dead}")
        for host in lab.hosts:
            for row in host.read_events("owner.load"):
                if row["interval_ms"] > 3_000:
                    busy = row["busy_ms"]["placement"]
                    lab.record(f"{host.name}: {busy} of {row['interval_ms']} ms in placement")
        return not absences and answered == asked
    finally:
        lab.close()


run_case(play)
