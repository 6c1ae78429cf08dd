"""Workers crash and come back; a job that lasts, of which no run ended as failed, must go on."""

import asyncio
import random

from standins.deployment import ZONES, Deployment
from standins.workers import Worker

from .common import CouldNotRunError, has_trouble, main

WORKERS = 24
WAVES = 5
WAVE_S = 9.0
DOWN_S = 4.5
CRASHED = 3
START_LIMIT_S = 10.0
AT_WORK_S = 1.0
CALM_S = 12.0
WATCHED_S = 5.0


def running_on(deployment: Deployment, task: str) -> Worker | None:
    """Return the worker that runs a task."""
    return next((one for one in deployment.workers if one.is_up and task in one.runs), None)


async def wave(deployment: Deployment, task: str) -> None:
    """Crash the worker that runs the task and two of other racks at once, for `DOWN_S`."""
    first = running_on(deployment, task)
    up = [one for one in deployment.workers if one.is_up]
    victims = [first] if first is not None else []
    random.shuffle(up)
    for one in up:
        if len(victims) < CRASHED and one.rack not in {victim.rack for victim in victims}:
            victims.append(one)
    for victim in victims:
        deployment.world.write(f"crash of worker {victim.id} in {victim.rack}, for {DOWN_S} s")
        victim.crash()
        deployment.workers.remove(victim)
    await asyncio.sleep(DOWN_S)
    for victim in victims:
        worker = await deployment.add_worker(victim.rack, victim.zone, victim.cpu)
        deployment.world.write(f"its machine is back as worker {worker.id}")


async def wait_until_at_work(deployment: Deployment, task: str) -> None:
    """Wait until the task runs, and a little longer."""
    for _ in range(int(START_LIMIT_S / 0.1)):
        if running_on(deployment, task) is not None:
            await asyncio.sleep(AT_WORK_S)
            return
        await asyncio.sleep(0.1)


async def scenario(deployment: Deployment) -> list[str]:
    """Play the case."""
    await deployment.start(WORKERS)
    world = deployment.world
    step = {"count": 2, "cpu": 3200, "memMb": 6400, "estimateMs": 0, "longRunning": True, "antiAffinity": 1}
    job = await deployment.submit("watch", {"spec": "watcher", "steps": [step]}, None)
    if job is None:
        raise CouldNotRunError("the job was not accepted")
    tasks = [f"{job}.0.0.{index}" for index in range(step["count"])]
    await asyncio.sleep(3.0)
    if any(running_on(deployment, task) is None for task in tasks):
        raise CouldNotRunError("the job did not start")
    findings = []
    for _ in range(WAVES):
        if has_trouble():
            await wait_until_at_work(deployment, tasks[0])
            await wave(deployment, tasks[0])
        else:
            await asyncio.sleep(WAVE_S)
        await deployment.request("GET", "watch", job)
    await asyncio.sleep(CALM_S)
    status, answer = await deployment.request("GET", "watch", job)
    failed = [end for end in world.ends if end[1] in tasks and end[4] == "failed"]
    if answer.get("state") == "failed":
        findings.append(
            f"job {job} is shown as failed, and {len(failed)} of its runs ended as failed"
        )
    idle_s = dict.fromkeys(tasks, 0.0)
    for _ in range(int(WATCHED_S / 0.1)):
        await asyncio.sleep(0.1)
        for task in tasks:
            idle_s[task] = 0.0 if running_on(deployment, task) else idle_s[task] + 0.1
    for task, idle in idle_s.items():
        if idle >= 3.0:
            findings.append(
                f"task {task}, which lasts and was not cancelled, has had no run for {idle:.1f} s and"
                f" more, with {len([w for w in deployment.workers if w.is_up])} workers up and calm"
            )
    return findings


if __name__ == "__main__":
    main(scenario)
