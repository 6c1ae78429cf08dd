"""The process that owns the cell is killed while a wide job runs; the job must go on."""

import asyncio
import random
import signal
import time

from standins.deployment import CELL_PARTITION, Deployment
from standins.workers import TaskKind

from .common import CouldNotRunError, has_trouble, main

WORKERS = 24
TASKS = 3_800
LAST_TASKS = 24
TOTAL = 1 + TASKS + LAST_TASKS
FIRST_MS = 6_000
WORK_MS = (8_000, 12_000)
KILL_AFTER_S = 2.0
LIMIT_S = 80.0
IDLE_S = 3.0
CALM_S = 20.0
"""Longer than `contactMs`, a lease and the takeover after the kill."""


async def scenario(deployment: Deployment) -> list[str]:
    """Play the case."""
    await deployment.start(WORKERS)
    world = deployment.world
    steps = [
        {"count": 1, "cpu": 1000, "memMb": 512, "estimateMs": FIRST_MS},
        {"count": TASKS, "cpu": 100, "memMb": 64, "estimateMs": WORK_MS[1], "after": [0], "checkpointing": True},
        {"count": LAST_TASKS, "cpu": 1000, "memMb": 512, "estimateMs": FIRST_MS, "after": [1]},
    ]
    job = await deployment.submit("batch", {"spec": "audit", "steps": steps}, FIRST_MS)
    for index in range(TASKS):
        world.kinds[f"{job}.0.1.{index}"].work_ms = random.uniform(*WORK_MS)
    if job is None:
        raise CouldNotRunError("the job was not accepted")
    await asyncio.sleep(KILL_AFTER_S)
    if has_trouble():
        owner = deployment.find_owner()
        if owner is None or owner.process is None:
            raise CouldNotRunError("no owner")
        world.write(f"SIGKILL to {owner.name}, which owns the cell; it is started again 0.5 s later")
        owner.send(signal.SIGKILL)
        owner.process.wait()
        await asyncio.sleep(0.5)
        owner.start()
    killed_at = time.monotonic()
    idle_since = time.monotonic()
    findings: list[str] = []
    next_report = 0.0
    while time.monotonic() - killed_at < LIMIT_S:
        await asyncio.sleep(0.2)
        now = time.monotonic()
        running = sum(len(worker.runs) for worker in deployment.workers)
        done = len({end[1] for end in world.ends if end[4] == "done"})
        if running:
            idle_since = now
        if now >= next_report:
            next_report = now + 2
            refused = len(deployment.store.refused)
            newest = deployment.store.get("keyed.cells", CELL_PARTITION).newest
            largest = max((len(value) for _, value in newest.values()), default=0)
            world.write(
                f"{running} tasks run, {done} of {TOTAL} are done; the largest record in the store has"
                f" {largest} bytes; {refused} appends were over the limit"
            )
            _, answer = await deployment.request("GET", "batch", job)
            if answer.get("state") == "completed":
                break
        if done < TOTAL and now - idle_since > IDLE_S and now - killed_at > CALM_S:
            findings.append(
                f"job {job} was accepted and is {answer.get('state')!r}; {TOTAL - done} of its tasks wait,"
                f" and none has run for {now - idle_since:.1f} s, with all of the workers' room free"
            )
            break
    else:
        findings.append(f"job {job} is not completed {LIMIT_S} s after the kill, {done} of {TOTAL} are done")
    if findings:
        await show_rest(deployment, job)
    for line in sorted(set(deployment.store.refused))[-3:]:
        world.write(f"append answered with 400: {line}")
    return findings


async def show_rest(deployment: Deployment, job: str) -> None:
    """Record what callers get from now on."""
    small = f"{random.getrandbits(64):016x}"
    deployment.world.kinds[f"{small}.0.0.0"] = TaskKind(500, 256, 500)
    body = {"spec": "check", "steps": [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 500}]}
    for _ in range(3):
        await deployment.request("POST", "quick", small, body)
    await deployment.request("DELETE", "batch", job)


if __name__ == "__main__":
    main(scenario)
