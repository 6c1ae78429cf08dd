"""A gang that checkpoints loses a member, and is started again with checkpoints that differ."""

import asyncio
import sys
from collections import defaultdict
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "lab-2"))

from lab import Lab, run  # noqa: E402

JOB = "00000000000000b1"
COUNT = 4


def make_job() -> dict[str, object]:
    step = {
        "count": COUNT, "cpu": 12_000, "memMb": 1_000, "estimateMs": 12_000,
        "checkpointing": True, "gang": True,
    }
    return {"spec": "cpu=12000 ms=12000 saves=1 gang=4", "steps": [step]}


async def case(lab: Lab, trouble: bool) -> str:
    workers = [(f"w{n}", ["a", f"r1-{1 + n % 2}"], 16_000) for n in range(8)]
    await lab.start(workers)
    assert await lab.submit(JOB, make_job()) == 200
    await asyncio.sleep(4.0)
    if trouble:
        name = next(line["worker"] for line in lab.lines if line["event"] == "start")
        worker = lab.workers[str(name)]
        ip, _, port = worker.address.rpartition(":")
        worker.crash()
        await asyncio.sleep(4.5)
        await worker.start(ip, int(port))
    for _ in range(25):
        await asyncio.sleep(2.0)
        if await lab.state(JOB, 1) == "completed":
            break
    carried: dict[object, set[object]] = defaultdict(set)
    for line in lab.lines:
        if line["event"] == "start":
            carried[line["run"]].add(line["checkpoint"])
    lab.log("lab", "carried", runs={str(n): sorted(map(str, c)) for n, c in carried.items()})
    differing = [str(number) for number, values in carried.items() if len(values) > 1]
    return f"UNASKED: members of one run carry different checkpoints: {differing}" if differing else ""


if __name__ == "__main__":
    run(case, FOLDER, 110)
