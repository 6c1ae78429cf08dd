"""Runs the soak with one seed: `python -m tests.soak.play --seed=7`.

Prints the findings; the exit status is 1 if there are any.
"""

import json
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import Any, Final

import fire
from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import reactor, run_coroutine, sleep

from .callers import Caller, CallerJob
from .checks import list_findings
from .deployment import SoakDeployment, now_ms
from .faults import heal, inject_faults

SETTLE_PAUSE_MS: Final = 1_500
RECOVERY_TIMEOUT_MS: Final = 26_000
POLL_INTERVAL_MS: Final = 500
CALLER_COUNT: Final = 4
FAULT_INJECTOR_COUNT: Final = 3


async def run_seed(
    deployment: SoakDeployment, seed: int, seconds: float, log: list[str]
) -> list[str]:
    """Inject faults for `seconds` s, remove them, wait for recovery and return the findings."""
    rng = Random(seed)
    await deployment.prepare()
    await sleep(reactor, SETTLE_PAUSE_MS)
    until = now_ms() + seconds * 1_000
    callers = [Caller(deployment, Random(rng.random()), number) for number in range(CALLER_COUNT)]
    tasks = [run_coroutine(caller.run(until)) for caller in callers]
    for _ in range(FAULT_INJECTOR_COUNT):
        tasks.append(run_coroutine(inject_faults(deployment, Random(rng.random()), until, log)))
    await gatherResults(tasks, consumeErrors=True)
    await heal(deployment)
    healed_at = now_ms()
    log.append(f"{now_ms():.0f} all faults removed")
    jobs = [job for caller in callers for job in caller.jobs]
    await wait_for_final_states(deployment, callers, healed_at)
    record = await deployment.call_standin("record")
    deployment.check_processes()
    log.append(f"{now_ms():.0f} end, {len(jobs)} jobs, {len(record['starts'])} starts")
    return deployment.findings + list_findings(jobs, record, healed_at)


async def wait_for_final_states(
    deployment: SoakDeployment, callers: list[Caller], healed_at: float
) -> None:
    """Query the accepted jobs until all have a final state, at most `RECOVERY_TIMEOUT_MS`."""
    deadline = healed_at + RECOVERY_TIMEOUT_MS
    while now_ms() < deadline:
        open_jobs = 0
        for caller in callers:
            for job in caller.jobs:
                if job.accepted_at is None or _has_final_state(job):
                    continue
                await caller.show(job, deployment.hosts[open_jobs % len(deployment.hosts)])
                open_jobs += not _has_final_state(job)
        if not open_jobs:
            break
        await sleep(reactor, POLL_INTERVAL_MS)
    await sleep(reactor, 2 * SETTLE_PAUSE_MS)
    for caller in callers:
        for job in caller.jobs:
            if job.kind == "lasting" and job.accepted_at is not None:
                await caller.show(job)


def _has_final_state(job: CallerJob) -> bool:
    if job.kind == "lasting" and not job.cancel_sent:
        return job.state == "running"
    return job.state in ("completed", "failed", "cancelled")


def main(seed: int, seconds: float = 20, hosts: int = 3, workers: int = 4, keep: str = "") -> None:
    """Run the soak with SEED; the logs go below the folder KEEP, or to a temporary folder."""
    folder = Path(keep) / f"seed-{seed}" if keep else Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    log: list[str] = []
    findings: list[str] = []

    async def run() -> None:
        deployment = SoakDeployment(reactor, folder, hosts, workers)
        try:
            findings.extend(await run_seed(deployment, seed, seconds, log))
        finally:
            deployment.close()
            reactor.stop()

    def fail(failure: Any) -> None:
        findings.append(f"the soak did not complete: {failure.getTraceback()}")

    reactor.callWhenRunning(lambda: run_coroutine(run()).addErrback(fail))
    reactor.run()
    (folder / "course.txt").write_text("\n".join([*log, *findings]) + "\n")
    print(json.dumps({"seed": seed, "end": log[-1:], "findings": findings}), flush=True)
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    fire.Fire(main)
