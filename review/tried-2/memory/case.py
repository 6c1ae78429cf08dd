"""One job with very many tasks: owners exceed their memory, and nothing is served."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "lab-2"))

from lab import PREFIX, Lab, run  # noqa: E402

LARGE = "00000000000000c1"
SMALL_JOBS = 5
COUNT = 300_000
MEMORY_MB = 300
RESTART_S = 0.5
WAIT_S = 30.0


def read_memory_mb(pid: int) -> int:
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) // 1_024
    return 0


async def limit_memory(lab: Lab) -> None:
    """Do as the platform: kill a process over its memory, and start it again after a short delay."""
    while True:
        await asyncio.sleep(0.02)
        for daemon in lab.daemons:
            process = daemon.process
            if process is None or process.poll() is not None:
                continue
            try:
                used = read_memory_mb(process.pid)
            except OSError:
                continue
            if used > MEMORY_MB:
                process.kill()
                process.wait()
                lab.log("lab", "over the limit of memory", daemon=daemon.name, mb=used)
                asyncio.get_running_loop().call_later(RESTART_S, daemon.start)


async def case(lab: Lab, trouble: bool) -> str:
    await lab.start([(f"w{n}", ["a", f"r1-{1 + n % 2}"], 16_000) for n in range(10)], 6)
    limiter = asyncio.create_task(limit_memory(lab))
    step = {"count": 1, "cpu": 1_000, "memMb": 100, "longRunning": True}
    jobs = [f"{number:016x}" for number in range(SMALL_JOBS)]
    for job in jobs:
        assert await lab.submit(job, {"spec": "cpu=1000", "steps": [step]}) == 200
    await asyncio.sleep(2.0)
    large = {"count": COUNT if trouble else 1_000, "cpu": 10, "memMb": 1, "estimateMs": 1_000}
    body = {"spec": "cpu=10 ms=1000", "steps": [large]}
    for attempt in range(5):
        if await lab.submit(LARGE, body, attempt) == 200:
            break
    await asyncio.sleep(WAIT_S)
    statuses = []
    for number in range(12):
        job = jobs[number % SMALL_JOBS]
        status, _ = await lab.call(lab.daemons[number % 6].front, "GET", PREFIX + job)
        statuses.append(status)
    kills = sum(line["event"] == "over the limit of memory" for line in lab.lines)
    running = {task.partition(".")[0] for w in lab.workers.values() for task in w.runs}
    at_work = sum(job in running for job in jobs)
    lab.log("lab", "after", statuses=statuses, kills=kills, at_work=at_work)
    limiter.cancel()
    unanswered = sum(status != 200 for status in statuses)
    if unanswered > len(statuses) / 2 or at_work < SMALL_JOBS:
        return (
            f"LOST: {unanswered} of {len(statuses)} requests for accepted jobs get no answer, {at_work} of"
            f" {SMALL_JOBS} are at work; {kills} processes ended over {MEMORY_MB} MB"
        )
    return ""


if __name__ == "__main__":
    run(case, FOLDER, 110)
