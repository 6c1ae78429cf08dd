"""A scheduled job's progress outgrows a record of the store, and the cell's journal stops for good."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))

from lab import PREFIX, Lab, run  # noqa: E402

SCHEDULED = "00000000000000c1"
COUNT = 32
INTERVAL_MS = 100
ACK_MS = 4_000
FINISH_S = 14
LOST_S = 3.0
OTHERS = [f"00000000000000d{number}" for number in range(5)]
LATER = [f"00000000000000e{number}" for number in range(5)]


async def case(lab: Lab, trouble: bool) -> str:
    await lab.start([(f"w{n}", ["a", f"r1-{1 + n % 2}"], 16_000) for n in range(10)])
    lasting = {"count": 1, "cpu": 500, "memMb": 100, "longRunning": True}
    for job in OTHERS:
        assert await lab.submit(job, {"spec": "cpu=500", "steps": [lasting]}) == 200
    step = {"count": COUNT, "cpu": 500, "memMb": 10, "estimateMs": 20}
    body = {
        "spec": "cpu=500 ms=20",
        "steps": [step],
        "repetitions": 900 if trouble else 100,
        "firstRunMs": int(time.time() * 1_000),
        "intervalMs": INTERVAL_MS,
    }
    assert await lab.submit(SCHEDULED, body) == 200
    until = lab.now() + 70
    while lab.now() < until:
        await asyncio.sleep(2.0)
        state = await lab.state(SCHEDULED, 1)
        rejected = sum(line["event"] == "append too large" for line in lab.lines)
        done = sum(line["event"] == "end" and line.get("how") == "done" for line in lab.lines)
        lab.log("lab", "progress", done=done, state=state, rejected_appends=rejected)
        if state == "completed" or rejected > 5:
            break
    front = lab.daemons[1].front
    cancels = await asyncio.gather(
        *(lab.call(front, "DELETE", PREFIX + job, deadline_ms=ACK_MS) for job in OTHERS)
    )
    small = {"spec": "cpu=500 ms=100", "steps": [step]}
    later = await asyncio.gather(*(lab.submit(job, small, 1) for job in LATER))
    unanswered = sum(status not in (200, 410) for status, _ in cancels)
    lab.log("lab", "after", unanswered_cancels=unanswered, later=later)
    idle_s = await find_idle_time(lab, body)
    broken = []
    if idle_s >= LOST_S:
        broken.append(f"LOST: nothing of {SCHEDULED} runs for {idle_s:.1f} s while tasks are due")
    if unanswered > len(OTHERS) / 10:
        broken.append(f"Acks: {unanswered} of {len(OTHERS)} cancels without 2xx or 410")
    return f"{'; '.join(broken)}; new jobs get {later}" if broken else ""


async def find_idle_time(lab: Lab, body: dict[str, object]) -> float:
    """Return for how long no task of the scheduled job runs, from FINISH_S after the last call on.

    Tasks are due all the while, and almost all of the capacity is free.
    """
    await asyncio.sleep(FINISH_S)
    total = int(str(body["repetitions"])) * COUNT
    until = lab.now() + 20
    idle_since = lab.now()
    while lab.now() < until and lab.now() - idle_since < LOST_S:
        await asyncio.sleep(0.05)
        runs = [run for worker in lab.workers.values() for run in worker.runs]
        started = {
            line["task"]
            for line in lab.lines
            if line["event"] == "start" and str(line["task"]).startswith(SCHEDULED)
        }
        age_ms = time.time() * 1_000 - int(str(body["firstRunMs"]))
        due = min(total, int(age_ms / INTERVAL_MS) * COUNT)
        if any(task.startswith(SCHEDULED) for task in runs) or len(started) >= due:
            idle_since = lab.now()
        if len(started) == total:
            return 0.0
    lab.log("lab", "idle", since=round(idle_since, 3), started=len(started), due=due, runs=runs)
    return lab.now() - idle_since


if __name__ == "__main__":
    run(case, FOLDER, 118)
