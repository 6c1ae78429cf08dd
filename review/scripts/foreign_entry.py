"""Another writer writes one faulty entry of a worker; cancels of accepted jobs must be answered."""

import asyncio
import json
import random
import time

from standins.deployment import Deployment
from standins.workers import TaskKind

from .common import CouldNotRunError, has_trouble, main

WORKERS = 12
JOBS = 6
ENTRY_ID = "i-5d1c90ab77"
ACK_S = 4.0
"""`ackMs` of the rules."""
TRIED_S = 20.0
"""How long the requesters go on asking for the cancel."""
PAUSE_S = 0.5


async def cancel(deployment: Deployment, job: str) -> float | None:
    """Cancel a job, with retries; return the seconds until a 2xx or 410, None without one."""
    began = time.monotonic()
    while time.monotonic() - began < TRIED_S:
        status, _answer = await deployment.request("DELETE", "watch", job)
        if 200 <= status < 300 or status == 410:
            return time.monotonic() - began
        await asyncio.sleep(PAUSE_S)
    return None


async def hand_in(deployment: Deployment) -> float | None:
    """Submit another job in the meantime, with retries under one id; return when it was accepted."""
    job = f"{random.getrandbits(64):016x}"
    deployment.world.kinds[f"{job}.0.0.0"] = TaskKind(500, 256, 500)
    body = {"spec": "check", "steps": [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 500}]}
    began = time.monotonic()
    while time.monotonic() - began < TRIED_S:
        status, _answer = await deployment.request("POST", "quick", job, body)
        if 200 <= status < 300:
            return time.monotonic() - began
        await asyncio.sleep(PAUSE_S)
    return None


async def scenario(deployment: Deployment) -> list[str]:
    """Play the case."""
    await deployment.start(WORKERS)
    world = deployment.world
    step = {"count": 2, "cpu": 1000, "memMb": 512, "longRunning": True}
    jobs = []
    for _ in range(JOBS):
        job = await deployment.submit("watch", {"spec": "watcher", "steps": [step]}, None)
        if job is None:
            raise CouldNotRunError("a job was not accepted")
        jobs.append(job)
    await asyncio.sleep(3.0)
    if has_trouble():
        entry = {
            "service": "unnamed", "address": f"{deployment.base}.100:1", "zone": "recife-a",
            "version": "1.0", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": 1e300, "capacity": {"cpu": 16000, "memMb": 64000, "gpu": 0}, "labels": ["a", "r1-0"],
        }
        world.write(f"another writer writes the entry {ENTRY_ID}: {json.dumps(entry)}")
        deployment.store.put("keyed.servers", ENTRY_ID, json.dumps(entry).encode())
    await asyncio.sleep(2.0)
    other, *waits = await asyncio.gather(hand_in(deployment), *(cancel(deployment, job) for job in jobs))
    late = [job for job, wait in zip(jobs, waits, strict=True) if wait is None or wait > ACK_S]
    never = sum(wait is None for wait in waits)
    world.write(f"the job handed in meanwhile: {'never accepted' if other is None else f'{other:.2f} s'}")
    if len(late) >= 3 and len(late) * 10 > len(jobs):
        return [
            f"{len(late)} of {len(jobs)} cancels of accepted jobs had no 2xx or 410 after {ACK_S} s,"
            f" {never} of them none within {TRIED_S} s of retries, with the store up and all links whole"
        ]
    return []


if __name__ == "__main__":
    main(scenario)
