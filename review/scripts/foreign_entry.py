"""Another writer writes one faulty entry of a worker, and the owner is restarted as planned."""

import asyncio
import json
import random
import signal
import time

from standins.deployment import Deployment, Host
from standins.workers import TaskKind

from .common import CouldNotRunError, has_trouble, main

WORKERS = 12
JOBS = 4
TASKS = 2
ENTRY_ID = "i-5d1c90ab77"
GRACE_S = 6.0
"""`graceS` of the rules."""
CALM_S = 15.0
"""Longer than `contactMs`, a lease and a takeover after the restart."""
WATCHED_S = 6.0
IDLE_S = 3.0


async def restart(deployment: Deployment, host: Host) -> None:
    """Stop a host as the platform does, and start it again."""
    assert host.process is not None
    deployment.world.write(f"SIGTERM to {host.name}, which owns the cell")
    host.send(signal.SIGTERM)
    until = time.monotonic() + GRACE_S
    while host.process.poll() is None and time.monotonic() < until:
        await asyncio.sleep(0.05)
    host.send(signal.SIGKILL)
    host.process.wait()
    deployment.world.write(f"{host.name} has ended, and is started again 0.5 s later")
    await asyncio.sleep(0.5)
    host.start()


async def scenario(deployment: Deployment) -> list[str]:
    """Play the case."""
    await deployment.start(WORKERS)
    world = deployment.world
    step = {"count": TASKS, "cpu": 1000, "memMb": 512, "longRunning": True}
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
    owner = deployment.find_owner()
    if owner is None:
        raise CouldNotRunError("no owner")
    await restart(deployment, owner)
    await asyncio.sleep(CALM_S)
    findings = await watch(deployment, jobs)
    await show_rest(deployment, jobs[0])
    return findings


async def watch(deployment: Deployment, jobs: list[str]) -> list[str]:
    """Return the tasks that have no run for `IDLE_S` and more."""
    world = deployment.world
    tasks = [f"{job}.0.0.{index}" for job in jobs for index in range(TASKS)]
    idle_s = dict.fromkeys(tasks, 0.0)
    longest_s = dict(idle_s)
    last = time.monotonic()
    until = last + WATCHED_S
    while time.monotonic() < until:
        await asyncio.sleep(0.1)
        passed_s, last = time.monotonic() - last, time.monotonic()
        running = {task for worker in deployment.workers for task in worker.runs}
        for task in tasks:
            idle_s[task] = 0.0 if task in running else idle_s[task] + passed_s
            longest_s[task] = max(longest_s[task], idle_s[task])
    states = [(await deployment.request("GET", "watch", job))[1].get("state") for job in jobs]
    idle = [task for task in tasks if longest_s[task] >= IDLE_S]
    for task in idle:
        ended = [end for end in world.ends if end[1] == task]
        world.write(f"{task} has no run for {longest_s[task]:.1f} s and more; its last ended {ended[-1][4]}"
                    f" at {ended[-1][0]:.3f} s")
    if not idle:
        return []
    return [
        f"{len(idle)} of {len(tasks)} tasks that last, of accepted jobs that nobody has cancelled (shown as"
        f" {sorted(set(map(str, states)))}), have no run for {IDLE_S} s and more, with {WORKERS} workers up"
        " and their room free"
    ]


async def show_rest(deployment: Deployment, job: str) -> None:
    """Record what callers get from now on; it is not judged."""
    other = f"{random.getrandbits(64):016x}"
    deployment.world.kinds[f"{other}.0.0.0"] = TaskKind(500, 256, 500)
    body = {"spec": "check", "steps": [{"count": 1, "cpu": 500, "memMb": 256, "estimateMs": 500}]}
    for _ in range(2):
        await deployment.request("POST", "quick", other, body)
        await deployment.request("DELETE", "watch", job)


if __name__ == "__main__":
    main(scenario)
