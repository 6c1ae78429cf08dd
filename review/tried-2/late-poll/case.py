"""A poll that is carried out late makes the worker's next boot forget ends that nobody has read."""

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
LATE_MS = 8_000
"""How long after its arrival a poll is carried out; the kind `applied_late` allows 2 to 12 s."""
SECOND_POLL_S = 1.6
HAS_LATE_POLLS = os.environ.get("LATE", "1") != "0"
"""Without them the workers crash, start again and leave one poll each unanswered all the same."""

BOUNDS = (
    "contactMs = 3000\nackMs = 4000\ndrainMs = 2000\ngraceS = 6\nlossSlackMs = 200\n"
    "configApplyMs = 2000\nholdMaxMs = 10000\nstopMs = 200\ngangMs = 3000\ncancel_ms = 3000\n"
    "visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nremoteFactor = 2.0\n"
    "harmMs = 4000\n"
)
SERVER_COMMAND = [str(SERVER), f"--workers={WORKERS}", "--max-lease-ms=10000", "--stop-ms=200"]


class Jobs:
    """Submits jobs of short tasks."""

    def __init__(self, lab: Lab) -> None:
        self._lab = lab
        self.last = 0

    def submit(self, count: int, duration_ms: int) -> None:
        self.last += 1
        step = {"count": count, "cpu": 1500, "memMb": 2000, "estimateMs": duration_ms}
        body = {"spec": f"{duration_ms} 1500", "steps": [step]}
        path = f"/jobs/{self.last:016x}"
        status, _ = self._lab.call_host(self.last % 3, "POST", path, body)
        if status != 200:
            raise LabError(f"job {self.last} was not accepted: {status}")

    def are_completed(self) -> bool:
        states = [
            self._lab.call_host(0, "GET", f"/jobs/{number:016x}")[1].get("state")
            for number in range(1, self.last + 1)
        ]
        return all(state == "completed" for state in states)


def find_repeats(record: dict[str, Any]) -> list[str]:
    """Return each start after an end as `done` of the same task."""
    done = {task: (at, run) for at, task, run, how in record["ends"][::-1] if how == "done"}
    return [
        f"{task}: run {done[task][1]} was done at {done[task][0]}, run {run} began on {worker} at "
        f"{at}, {at - done[task][0]} ms later"
        for at, task, run, worker in record["starts"]
        if task in done and at > done[task][0]
    ]


def leave_poll_unanswered(lab: Lab) -> None:
    for worker in DISTURBED:
        lab.command("late-poll", worker, str(LATE_MS))
    lab.wait_for(lambda: not lab.command("log")["late_pending"], 5, "no poll was sent")
    lab.record(f"one poll each of {DISTURBED} is unanswered, to be carried out late")


def plan_second_polls(lab: Lab, begun: float) -> dict[str, float]:
    """Return when each worker leaves one more poll unanswered: just before the late one."""
    arrivals = {row["worker"]: row["at"] / 1_000 for row in lab.command("log")["log"]}
    return {
        worker: arrivals.get(worker, begun) + LATE_MS / 1_000 - SECOND_POLL_S
        for worker in DISTURBED
    }


def play() -> bool:
    lab = Lab(CASE, 3, SERVER_COMMAND, BOUNDS)
    try:
        lab.record(f"clock of the stand-in at 0: {lab.started_at}")
        jobs = Jobs(lab)
        for _ in range(6):
            jobs.submit(60, 300)
            time.sleep(0.4)
        time.sleep(1.0)
        begun = time.monotonic()
        if has_trouble():
            if HAS_LATE_POLLS:
                leave_poll_unanswered(lab)
            begun = time.monotonic()
            for worker in DISTURBED:
                lab.command("crash", worker)
            lab.record("they crash")
            time.sleep(1.0)
            for worker in DISTURBED:
                lab.command("revive", worker)
            lab.record("they start again under the same ids")
        second_polls = plan_second_polls(lab, begun) if has_trouble() else {}
        while time.monotonic() < begun + LATE_MS / 1_000 + 3.0:
            for worker, at in list(second_polls.items()):
                if time.monotonic() > at:
                    del second_polls[worker]
                    lab.command("late-poll", worker, str(LATE_MS))
                    lab.record(f"the next poll of {worker} is left unanswered")
            jobs.submit(60, 600)
            time.sleep(0.3)
        lab.wait_for(jobs.are_completed, 25, "all jobs are completed")
        record = lab.command("record")
        for row in lab.command("log")["log"]:
            lab.record(f"worker: {row}")
        for at, task, run, worker in record["starts"]:
            lab.record(f"start at {at}: {task} run {run} on {worker}")
        for at, task, run, how in record["ends"]:
            lab.record(f"end at {at}: {task} run {run} {how}")
        repeats = find_repeats(record)
        for row in repeats:
            lab.record(f"TWICE: {row}")
        return not repeats
    finally:
        lab.close()


run_case(play)
