"""Long-running tasks that use little processor for a while are all stopped at once."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lab-2"))

from lab import Lab, run  # noqa: E402

JOB = "00000000000000f1"
COUNT = 4
MAY_MISS = 1


def list_broken(lines: list[dict[str, object]]) -> list[str]:
    """Return the stops that end a task at work while as many others as allowed are away."""
    running: dict[str, object] = {}
    away: set[str] = set()
    broken = []
    for line in lines:
        task = str(line.get("task", ""))
        if line["event"] == "start":
            running[task] = line["run"]
            away.discard(task)
        elif line["event"] == "end":
            running.pop(task, None)
            away.add(task)
        elif line["event"] == "stop" and running.get(task) == line["run"] and task not in away:
            if len(away) >= MAY_MISS:
                broken.append(f"{task} at {line['t']} s while {sorted(away)} are away")
            away.add(task)
    return broken


async def case(lab: Lab, trouble: bool) -> str:
    await lab.start([(f"w{n}", ["a", f"r1-{1 + n % 2}"], 16_000) for n in range(6)])
    use = 20 if trouble else 1_000
    step = {"count": COUNT, "cpu": 2_000, "memMb": 100, "longRunning": True, "mayMiss": MAY_MISS}
    body = {"spec": f"cpu=2000 use={use}", "steps": [step]}
    assert await lab.submit(JOB, body) == 200
    await asyncio.sleep(20.0)
    state = await lab.state(JOB, 1)
    broken = list_broken(lab.lines)
    stops = sum(line["event"] == "stop" for line in lab.lines)
    lab.log("lab", "stops", state=state, stops=stops, broken=broken)
    return f"AVAIL: {len(broken)} of {stops} stops, the first: {broken[0]}" if broken else ""


if __name__ == "__main__":
    run(case, FOLDER, 60)
