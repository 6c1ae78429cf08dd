"""A start order that is carried out late extends the lease of the worker's next boot."""

import os
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lab-3"))
from lab import SERVER, Lab, LabError, has_trouble, run_case  # noqa: E402

CASE = Path(__file__).resolve().parent
WORKERS = 24
DISTURBED = ("w3", "w9", "w15")
LATE_MS = 7_000
CUT_S = 5.5
HAS_LATE_ORDERS = os.environ.get("LATE", "1") != "0"
"""Without them the workers crash, start again and are cut off all the same."""

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


def count_running(lab: Lab, worker: str, record: dict[str, Any]) -> int:
    ended = {(task, run) for _, task, run, _ in record["ends"]}
    return sum(w == worker and (t, r) not in ended for _, t, r, w in record["starts"])


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
        if has_trouble():
            if HAS_LATE_ORDERS:
                for worker in DISTURBED:
                    lab.command("late-start", worker, str(LATE_MS))
            for _ in range(8):
                number = submit_lasting(lab, number, 1)
                time.sleep(0.1)
                if not lab.command("log")["late_pending"]:
                    break
            if HAS_LATE_ORDERS and lab.command("log")["late_pending"]:
                raise LabError("no start order was sent to a worker that was to delay one")
            lab.record(f"{DISTURBED} leave a start order unanswered, to be carried out late")
            begun = time.monotonic()
            for worker in DISTURBED:
                lab.command("crash", worker)
            lab.record("they crash")
            time.sleep(1.0)
            for worker in DISTURBED:
                lab.command("revive", worker)
            lab.record("they start again under the same ids")
        time.sleep(1.5)
        submit_lasting(lab, number, 16 - number)
        if has_trouble():
            time.sleep(max(0.0, begun + LATE_MS / 1_000 + 0.3 - time.monotonic()))
            record = lab.command("record")
            for worker in DISTURBED:
                lab.record(f"{worker} runs {count_running(lab, worker, record)} tasks")
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
        for at, task, run, worker in record["starts"]:
            lab.record(f"start at {at}: {task} run {run} on {worker}")
        for at, task, run, how in record["ends"]:
            lab.record(f"end at {at}: {task} run {run} {how}")
        overlaps = find_overlaps(record)
        for row in overlaps:
            lab.record(f"TWICE: {row}")
        return not overlaps
    finally:
        lab.close()


run_case(play)
