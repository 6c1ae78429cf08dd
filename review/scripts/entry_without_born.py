"""Another writer writes the entry of a worker, without `born`; no task may run twice at a time."""

import asyncio
import json

from standins.deployment import SERVICE, Deployment
from standins.workers import HEARTBEAT_S, World

from .common import CouldNotRunError, has_trouble, main

WORKERS = 12
TASKS = 12
WORK_MS = 12_000
WATCHED_S = 12.0


async def scenario(deployment: Deployment) -> list[str]:
    """Play the case."""
    await deployment.start(WORKERS)
    world = deployment.world
    step = {"count": TASKS, "cpu": 2000, "memMb": 1024, "estimateMs": WORK_MS}
    job = await deployment.submit("batch", {"spec": "run plan", "steps": [step]}, WORK_MS)
    if job is None:
        raise CouldNotRunError("the job was not accepted")
    await asyncio.sleep(2 * HEARTBEAT_S)
    worker = next((one for one in deployment.workers if one.runs), None)
    if worker is None:
        raise CouldNotRunError("the job did not start")
    if has_trouble():
        entry = {
            "service": SERVICE, "address": worker.address, "zone": worker.zone, "version": "0.9",
            "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1,
            "capacity": {"cpu": worker.cpu, "memMb": worker.memory_mb, "gpu": 0},
            "labels": ["a", worker.rack],
        }
        world.write(f"another writer writes the entry {worker.id}: {json.dumps(entry)}")
        deployment.store.put("keyed.servers", worker.id, json.dumps(entry).encode())
    await asyncio.sleep(WATCHED_S)
    await deployment.request("GET", "batch", job)
    return list_overlaps(world)


def list_overlaps(world: World) -> list[str]:
    """Return the tasks of which two runs went on at the same time."""
    ended_at = {(task, run): at for at, task, run, _worker, _how in world.ends}
    findings = []
    for started_at, task, run, worker in world.starts:
        for other_at, other_task, other_run, other_worker in world.starts:
            if other_task != task or other_run == run or other_at > started_at:
                continue
            until = min(ended_at.get((task, other_run), world.now()), ended_at.get((task, run), world.now()))
            if until > started_at:
                findings.append(
                    f"{task}: run {other_run} on {other_worker} and run {run} on {worker} went on at the"
                    f" same time from {started_at:.3f} to {until:.3f} s; both workers were up"
                )
    return findings


if __name__ == "__main__":
    main(scenario)
