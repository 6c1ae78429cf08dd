"""An order for a boot that is over gives the worker's next boot a longer lease than is known."""

import os
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lab-3"))
from lab import SERVER, Lab, LabError, has_trouble, run_case  # noqa: E402

CASE = Path(__file__).resolve().parent
WORKERS = 24
DISTURBED = ("w3", "w9", "w15")
DOWN_S = 0.8
CUT_S = 5.5
CUT_AFTER_S = 3.0
SETTLED_S = 2.3
MAX_LATER_JOBS = 12
"""Jobs submitted until each of the workers runs a task that lasts again."""

HAS_CUT = os.environ.get("CUT", "1") != "0"
"""Without it the workers crash and start again all the same."""

FIRST_SHORT = 900
"""Number of the first job of short tasks."""

BOUNDS = (
    "contactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\n"
    "configApplyMs = 2000\nholdMaxMs = 10000\nstopMs = 200\ngangMs = 3000\ncancel_ms = 3000\n"
    "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 2.0\n"
    "harmMs = 4000\n"
)
SERVER_COMMAND = [str(SERVER), f"--workers={WORKERS}", "--max-lease-ms=10000", "--stop-ms=200"]


def submit_lasting(lab: Lab, first: int, count: int) -> int:
    """Submit `count` jobs, numbered from `first` on, and return the next number."""
    for number in range(first, first + count):
        step = {"count": 6, "cpu": 3100, "memMb": 6400, "estimateMs": 400, "longRunning": True}
        body = {"spec": "lasts 3100", "steps": [step]}
        status, _ = lab.call_host(number % 3, "POST", f"/jobs/{number:016x}", body)
        if status != 200:
            raise LabError(f"job {number} was not accepted: {status}")
    return first + count


class Flow:
    """Submits jobs of short tasks, so that each worker gets orders all the time."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self._number = FIRST_SHORT

    def submit_wide(self) -> None:
        """Submit a job whose tasks fill most of the workers' room for a moment."""
        step = {"count": 300, "cpu": 1000, "memMb": 64, "estimateMs": 150}
        body = {"spec": "150 1000", "steps": [step]}
        self._lab.call_host(0, "POST", f"/jobs/{FIRST_SHORT:016x}", body)

    def run(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self._number += 1
            step = {"count": 24, "cpu": 200, "memMb": 64, "estimateMs": 150}
            body = {"spec": "150 200", "steps": [step]}
            self._lab.call_host(self._number % 3, "POST", f"/jobs/{self._number:016x}", body)
            time.sleep(0.02)


def count_running(lab: Lab, worker: str, record: dict[str, Any]) -> int:
    """Return how many tasks that last a worker runs."""
    ended = {(task, run) for _, task, run, _ in record["ends"]}
    return sum(
        w == worker and (t, r) not in ended and int(t.partition(".")[0], 16) < FIRST_SHORT
        for _, t, r, w in record["starts"]
    )


def find_overlaps(record: dict[str, Any]) -> list[str]:
    ends = {(task, run): (at, how) for at, task, run, how in record["ends"]}
    runs: dict[str, list[tuple[int, int, int, str, str]]] = {}
    for at, task, run, worker in record["starts"]:
        end, how = ends.get((task, run), (1 << 60, "running"))
        runs.setdefault(task, []).append((at, end, run, worker, how))
    rows = []
    for task, found in runs.items():
        found.sort()
        for first, second in zip(found, found[1:]):
            if second[0] < first[1]:
                rows.append(
                    f"{task}: run {first[2]} on {first[3]} from {first[0]} to {first[1]} "
                    f"({first[4]}), run {second[2]} on {second[3]} from {second[0]}: together for "
                    f"{min(first[1], second[1]) - second[0]} ms"
                )
    return rows


def play() -> bool:
    lab = Lab(CASE, 3, SERVER_COMMAND, BOUNDS)
    try:
        lab.record(f"clock of the stand-in at 0: {lab.started_at}")
        number = submit_lasting(lab, 1, 5)
        lab.wait_for(lambda: len(lab.command("record")["live"]) >= 30, 15, "all tasks run")
        flow = Flow(lab)
        flow.run(3.0)
        if has_trouble():
            for worker in DISTURBED:
                lab.command("crash", worker)
            lab.record(f"{DISTURBED} crash")
            flow.run(DOWN_S)
            for worker in DISTURBED:
                lab.command("revive", worker)
            lab.record("they are up again under the same ids")
        else:
            flow.run(DOWN_S)
        back = time.monotonic()
        flow.submit_wide()
        flow.run(0.3)
        time.sleep(0.7)
        for _ in range(MAX_LATER_JOBS):
            number = submit_lasting(lab, number, 1)
            time.sleep(0.05)
            record = lab.command("record")
            if all(count_running(lab, worker, record) for worker in DISTURBED):
                break
            if time.monotonic() > back + SETTLED_S:
                break
        time.sleep(max(0.0, back + CUT_AFTER_S - time.monotonic()))
        if has_trouble():
            record = lab.command("record")
            for worker in DISTURBED:
                lab.record(f"{worker} runs {count_running(lab, worker, record)} tasks that last")
            for worker in DISTURBED:
                if HAS_CUT:
                    lab.command("cut", worker, "on")
            lab.record("they are cut off")
            time.sleep(CUT_S)
            for worker in DISTURBED:
                lab.command("cut", worker, "off")
            lab.record("the cut is over")
        time.sleep(8.0)
        record = lab.command("record")
        for row in lab.command("log")["log"]:
            lab.record(f"worker: {row}")
        lab.record_runs(record)
        overlaps = find_overlaps(record)
        for row in overlaps:
            lab.record(f"TWICE: {row}")
        return not overlaps
    finally:
        lab.close()


run_case(play)
