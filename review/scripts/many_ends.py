"""The store is down for a few seconds while many short tasks end; none of them may run twice."""

import asyncio
import random
import time

from standins.deployment import Deployment

from .common import CouldNotRunError, has_trouble, main

WORKERS = 4
JOBS = 4
TASKS = 2_000
WORK_MS = (400, 800)
DOWN_AFTER_S = 1.0
DOWN_S = 4.5
LIMIT_S = 60.0


async def scenario(deployment: Deployment) -> list[str]:
    """Play the case."""
    await deployment.start(WORKERS)
    world = deployment.world
    step = {"count": TASKS, "cpu": 100, "memMb": 64, "estimateMs": WORK_MS[1]}
    jobs = []
    for _ in range(JOBS):
        job = await deployment.submit("batch", {"spec": "lookup", "steps": [step]}, WORK_MS[1])
        if job is None:
            raise CouldNotRunError("a job was not accepted")
        jobs.append(job)
        for index in range(TASKS):
            world.kinds[f"{job}.0.0.{index}"].work_ms = random.uniform(*WORK_MS)
    await asyncio.sleep(DOWN_AFTER_S)
    if has_trouble():
        world.write(f"the store answers 503 to all calls for {DOWN_S} s")
        outage = asyncio.create_task(deployment.store.go_down(DOWN_S))
    began = time.monotonic()
    next_report = 0.0
    while time.monotonic() - began < LIMIT_S:
        await asyncio.sleep(0.2)
        if time.monotonic() < next_report:
            continue
        next_report = time.monotonic() + 1
        running = sum(len(worker.runs) for worker in deployment.workers)
        kept = max(len(worker.finished) for worker in deployment.workers)
        done = len({end[1] for end in world.ends if end[4] == "done"})
        world.write(
            f"{running} tasks run, {done} of {JOBS * TASKS} are done, {len(world.starts)} starts;"
            f" the most ends that a worker has listed or has to list is {kept}"
        )
        if done == JOBS * TASKS and not running and not kept:
            break
    if has_trouble():
        await outage
    await asyncio.sleep(2.0)
    for job in jobs:
        await deployment.request("GET", "batch", job)
    return list_doubled(deployment)


def list_doubled(deployment: Deployment) -> list[str]:
    """Return the breaches of TWICE."""
    world = deployment.world
    done: dict[str, tuple[float, int, str]] = {}
    for ended_at, task, run, worker, how in world.ends:
        if how == "done" and (task, run) in world.noted:
            done.setdefault(task, (ended_at, run, worker))
    doubled = []
    for started_at, task, run, worker in world.starts:
        if task in done and started_at > done[task][0]:
            ended_at, first_run, first_worker = done[task]
            noted_at = world.noted[task, first_run]
            text = (
                f"{task}: run {first_run} ended done on {first_worker} at {ended_at:.3f} s, which was"
                f" taken note of at {noted_at:.3f} s; run {run} was started on {worker} at"
                f" {started_at:.3f} s"
            )
            again = [end for end in world.ends if end[1] == task and end[2] == run]
            if again:
                text += f" and ended {again[0][4]} at {again[0][0]:.3f} s"
            doubled.append(text)
    for text in doubled[:20]:
        world.write(text)
    return [f"{len(doubled)} tasks were started again after they had ended done; {doubled[0]}"] if doubled else []


if __name__ == "__main__":
    main(scenario)
