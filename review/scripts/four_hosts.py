"""No case: an owner that gives its cell up under the group's newest generation is not replaced.

One of four hosts is lost for good, so that the next owner takes over at the last change of the group,
and all hosts that are left are members. Then a faulty entry comes and goes.
"""

import asyncio
import json
import random
import signal
import time

from standins.deployment import Deployment
from standins.workers import TaskKind

from .common import CouldNotRunError, has_trouble, main

WORKERS = 12
HOSTS = 4
ENTRY_ID = "i-5d1c90ab77"
ENTRY_S = 6.0
SETTLED_S = 5.0
TRIED_S = 30.0
"""How long a caller tries to hand a job in once the entry is gone."""


async def hand_in(deployment: Deployment, seconds: float) -> float | None:
    """Submit a job with retries under one id; return the seconds until it was accepted, or None."""
    job = f"{random.getrandbits(64):016x}"
    deployment.world.kinds[f"{job}.0.0.0"] = TaskKind(500, 256, 500)
    body = {"spec": "check", "steps": [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 500}]}
    began = time.monotonic()
    while time.monotonic() - began < seconds:
        status, _answer = await deployment.request("POST", "quick", job, body)
        if 200 <= status < 300:
            return time.monotonic() - began
        await asyncio.sleep(0.5)
    return None


async def scenario(deployment: Deployment) -> list[str]:
    """Play it."""
    await deployment.start(WORKERS)
    world = deployment.world
    if await hand_in(deployment, 10.0) is None:
        raise CouldNotRunError("the first job was not accepted")
    owner = deployment.find_owner()
    if owner is None or owner.process is None:
        raise CouldNotRunError("no owner")
    world.write(f"{owner.name}, which owns the cell, is lost for good")
    owner.send(signal.SIGKILL)
    owner.process.wait()
    if await hand_in(deployment, 20.0) is None:
        raise CouldNotRunError("no job was accepted after the loss of the owner")
    await asyncio.sleep(SETTLED_S)
    if has_trouble():
        entry = {
            "service": "unnamed", "address": f"{deployment.base}.100:1", "zone": "recife-a",
            "version": "1.0", "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "born": 1e300, "capacity": {"cpu": 16000, "memMb": 64000, "gpu": 0}, "labels": ["a", "r1-0"],
        }
        world.write(f"another writer writes the entry {ENTRY_ID}: {json.dumps(entry)}")
        deployment.store.put("keyed.servers", ENTRY_ID, json.dumps(entry).encode())
    await asyncio.gather(hand_in(deployment, ENTRY_S), asyncio.sleep(ENTRY_S))
    deployment.store.put("keyed.servers", ENTRY_ID, b"")
    world.write("there is no such entry now")
    waited_s = await hand_in(deployment, TRIED_S)
    if waited_s is None:
        return [f"no job is accepted within {TRIED_S:.0f} s after the entry is gone, with {HOSTS - 1} hosts up"]
    world.write(f"a job is accepted {waited_s:.1f} s after the entry is gone")
    return []


if __name__ == "__main__":
    main(scenario, HOSTS)
