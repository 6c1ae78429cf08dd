"""Plays one seed: `python -m tests.soak.play --seed=7`; prints findings, exit status 1 if any."""

import json
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Any, Final

import fire
from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import reactor, run_coroutine, sleep

from .callers import Caller, Job
from .faults import heal, make_trouble
from .verdict import list_findings
from .world import World, now_ms

SETTLE_MS: Final = 1_500
CALM_MS: Final = 26_000
ROUND_MS: Final = 500
CALLERS: Final = 4
TROUBLEMAKERS: Final = 3


async def play(world: World, seed: int, seconds: float, log: list[str]) -> list[str]:
    """Play trouble for `seconds` s, let things heal, and return the findings."""
    rng = Random(seed)
    await world.prepare()
    await sleep(reactor, SETTLE_MS)
    until_ms = now_ms() + seconds * 1_000
    callers = [Caller(world, Random(rng.random()), number) for number in range(CALLERS)]
    tasks = [run_coroutine(caller.work(until_ms)) for caller in callers]
    for _ in range(TROUBLEMAKERS):
        tasks.append(run_coroutine(make_trouble(world, Random(rng.random()), until_ms, log)))
    await gatherResults(tasks, consumeErrors=True)
    await heal(world)
    calm_since_ms = now_ms()
    log.append(f"{now_ms():.0f} calm")
    jobs = [job for caller in callers for job in caller.jobs]
    await settle(world, callers, calm_since_ms)
    record = await world.change("record")
    world.check_processes()
    log.append(f"{now_ms():.0f} end, {len(jobs)} jobs, {len(record['starts'])} starts")
    return world.findings + list_findings(jobs, record, calm_since_ms)


async def settle(world: World, callers: list[Caller], since_ms: float) -> None:
    """Ask for all jobs until they are as they should be, or the time is over."""
    last = since_ms + CALM_MS
    while now_ms() < last:
        open_jobs = 0
        for caller in callers:
            for job in caller.jobs:
                if job.accepted_ms is None or _is_settled(job):
                    continue
                await caller.show(job, world.hosts[open_jobs % len(world.hosts)])
                open_jobs += not _is_settled(job)
        if not open_jobs:
            break
        await sleep(reactor, ROUND_MS)
    await sleep(reactor, 2 * SETTLE_MS)
    for caller in callers:
        for job in caller.jobs:
            if job.kind == "lasting" and job.accepted_ms is not None:
                await caller.show(job)


def _is_settled(job: Job) -> bool:
    if job.kind == "lasting" and not job.cancel_sent:
        return job.state == "running"
    return job.state in ("completed", "failed", "cancelled")


def main(seed: int, seconds: float = 20, hosts: int = 3, workers: int = 4, keep: str = "") -> None:
    """Play SEED; KEEP names a folder for the logs of a seed with findings."""
    folder = Path(keep) / f"seed-{seed}" if keep else Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    log: list[str] = []
    found: list[str] = []

    async def run() -> None:
        world = World(reactor, folder, hosts, workers)
        try:
            found.extend(await play(world, seed, seconds, log))
        finally:
            world.close()
            reactor.stop()

    def fail(failure: Any) -> None:
        found.append(f"the soak itself failed: {failure.getTraceback()}")

    reactor.callWhenRunning(lambda: run_coroutine(run()).addErrback(fail))
    reactor.run()
    (folder / "course.txt").write_text("\n".join([*log, *found]) + "\n")
    print(json.dumps({"seed": seed, "end": log[-1:], "findings": found}), flush=True)
    sys.exit(1 if found else 0)


if __name__ == "__main__":
    fire.Fire(main)
