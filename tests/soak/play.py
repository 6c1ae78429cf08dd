"""Runs the soak with one seed: `python -m tests.soak.play --seed=7`.

Prints the findings; the exit status is 1 if there are any.
"""

import json
import sys
import tempfile
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any, Final

import fire
from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import reactor, run_coroutine, sleep

from . import false_entries, full_pool, reborn
from .callers import Caller, CallerJob
from .cancel_checks import list_cancel_findings
from .cancellers import Canceller
from .checks import list_accepted_findings, list_findings
from .config_checks import list_config_findings
from .config_faults import inject_silences, silence_in_calm
from .config_probers import ConfigProbing
from .deployment import Size, SoakDeployment, now_ms
from .false_entries import FalseEntriesCourse
from .fault_log import FaultLog
from .faults import heal, inject_faults
from .final_cancels import acknowledge_cancellations, cancel_jobs, cancel_jobs_under_restarts
from .full_pool import FullPoolCourse
from .lasting_checks import list_lasting_findings
from .order_faults import inject_order_faults
from .planned_work import do_planned_work
from .quiet_spell import cancel_lasting_jobs, choose_quiet_spell
from .reborn import RebornCourse
from .runs import list_runs_of_findings
from .steady import SteadyCourse

SETTLE_PAUSE_MS: Final = 1_500
RECOVERY_TIMEOUT_MS: Final = 26_000
POLL_INTERVAL_MS: Final = 500
CALLER_COUNT: Final = 4
FAULT_INJECTOR_COUNT: Final = 3
CANCELLER_COUNT: Final = 2


SIZES: Final = {
    "": Size(3, 4),
    "full_pool": Size(full_pool.HOST_COUNT, 0),
    "false_entries": Size(false_entries.HOST_COUNT, false_entries.WORKER_COUNT),
    "reborn": Size(reborn.HOST_COUNT, reborn.WORKER_COUNT, reborn.MAX_LEASE_MS, reborn.UPTIME_MS),
}


async def run_seed(
    deployment: SoakDeployment, seed: int, seconds: float, log: FaultLog
) -> list[str]:
    """Play the course of a seed and return the findings.

    Faults are injected for `seconds` s and removed; after the recovery some courses have planned
    work, and callers cancel jobs.
    """
    rng, silence_rng = Random(seed), Random(f"silences {seed}")
    with log.record("start of the processes"):
        await deployment.prepare()
    await sleep(reactor, SETTLE_PAUSE_MS)
    probing = ConfigProbing(deployment, seed, log)
    probing.start()
    callers, cancellers = await _inject_faults(deployment, rng, silence_rng, seconds, log)
    end_rng, restart_rng = Random(rng.random()), Random(rng.random())
    restart_cancellers = _make_cancellers(deployment, restart_rng, len(callers) + len(cancellers))
    with log.record("removal of all faults"):
        await heal(deployment)
    everyone = [*callers, *cancellers, *restart_cancellers]
    everyone += await silence_in_calm(deployment, silence_rng, len(everyone), log)
    healed_at = now_ms()
    await acknowledge_cancellations([*callers, *cancellers])
    await wait_for_final_states(deployment, everyone, healed_at)
    jobs = [job for caller in everyone for job in caller.jobs]
    probes = await probing.stop()
    record = await deployment.call_standin("record")
    findings = list_accepted_findings(jobs, record)
    findings += list_config_findings(
        probes, record["configurations"], deployment.list_disturbances()
    )
    flood = await do_planned_work(deployment, seed, seconds, len(everyone), log)
    if flood:
        everyone += flood
        await wait_for_final_states(deployment, everyone, now_ms())
    await cancel_jobs_under_restarts(deployment, restart_cancellers, restart_rng, log)
    await cancel_jobs(deployment, everyone, cancellers, end_rng, log)
    return findings + await _check_end(deployment, everyone, healed_at, log)


async def run_full_pool(deployment: SoakDeployment, seed: int, log: FaultLog) -> list[str]:
    """Play the course of planned work on a full pool, without faults, and return the findings."""
    course = FullPoolCourse(deployment, seed, log)
    findings = await course.play()
    ended_at = now_ms()
    await wait_for_final_states(deployment, course.callers, ended_at)
    return findings + await _check_end(deployment, course.callers, ended_at, log)


async def run_steady(
    deployment: SoakDeployment, course: SteadyCourse, seconds: float, log: FaultLog
) -> list[str]:
    """Play a course under steady load, and return the findings."""
    with log.record("start of the processes"):
        await deployment.prepare()
    await sleep(reactor, SETTLE_PAUSE_MS)
    await course.play(seconds)
    await heal(deployment)
    healed_at = now_ms()
    await wait_for_final_states(deployment, course.callers, healed_at)
    return await _check_end(deployment, course.callers, healed_at, log)


async def _inject_faults(
    deployment: SoakDeployment, rng: Random, silence_rng: Random, seconds: float, log: FaultLog
) -> tuple[list[Caller], list[Canceller]]:
    """Let callers work under faults, and return them."""
    began_at = now_ms()
    until = began_at + seconds * 1_000
    quiet = choose_quiet_spell(began_at, seconds)
    callers = [Caller(deployment, Random(rng.random()), number) for number in range(CALLER_COUNT)]
    tasks = [run_coroutine(caller.run(until)) for caller in callers]
    for _ in range(FAULT_INJECTOR_COUNT):
        fault_rng = Random(rng.random())
        tasks.append(run_coroutine(inject_faults(deployment, fault_rng, until, log, quiet)))
    # Recorded seeds draw what is above this line; what is added draws after it.
    cancellers = _make_cancellers(deployment, rng, CALLER_COUNT)
    tasks += [run_coroutine(canceller.run(until)) for canceller in cancellers]
    order_rng = Random(rng.random())
    tasks.append(run_coroutine(inject_order_faults(deployment, order_rng, until, log, quiet)))
    tasks.append(run_coroutine(cancel_lasting_jobs(deployment, callers, quiet)))
    tasks.append(run_coroutine(inject_silences(deployment, silence_rng, until, log, quiet)))
    await gatherResults(tasks, consumeErrors=True)
    return callers, cancellers


def _make_cancellers(deployment: SoakDeployment, rng: Random, first: int) -> list[Canceller]:
    """Return callers with numbers from `first` on; their jobs are named by these."""
    return [
        Canceller(deployment, Random(rng.random()), first + number)
        for number in range(CANCELLER_COUNT)
    ]


async def _check_end(
    deployment: SoakDeployment, callers: list[Caller], healed_at: float, log: FaultLog
) -> list[str]:
    """Read the last states and the record, and return all findings on them."""
    for caller in callers:
        for job in caller.jobs:
            if job.cancel_sent and not _has_final_state(job):
                await caller.show(job)
    recorded_at = now_ms()
    record = await deployment.call_standin("record")
    deployment.check_processes()
    jobs = [job for caller in callers for job in caller.jobs]
    log.end = (
        f"{len(jobs)} jobs, {len(record['starts'])} starts,"
        f" {len(record['late_starts'])} carried out late"
    )
    log.add(f"end, {log.end}")
    findings = (
        deployment.findings
        + list_findings(jobs, record, healed_at)
        + list_cancel_findings(jobs, record, log.spans, recorded_at)
        + list_lasting_findings(jobs, record, log.unplanned_spans, recorded_at)
    )
    log.lines += list_runs_of_findings(findings, record)
    return findings


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


STEADY: Final[dict[str, Callable[[SoakDeployment, int, FaultLog], SteadyCourse]]] = {
    "false_entries": FalseEntriesCourse,
    "reborn": RebornCourse,
}
"""Courses under steady load."""


async def _run_course(
    course: str, deployment: SoakDeployment, seed: int, seconds: float, log: FaultLog
) -> list[str]:
    if course == "full_pool":
        return await run_full_pool(deployment, seed, log)
    if course in STEADY:
        return await run_steady(deployment, STEADY[course](deployment, seed, log), seconds, log)
    return await run_seed(deployment, seed, seconds, log)


def main(
    seed: int,
    seconds: float = 20,
    hosts: int = 0,
    workers: int = 0,
    keep: str = "",
    full_pool: bool = False,
    false_entries: bool = False,
    reborn: bool = False,
) -> None:
    """Run the soak with SEED; the logs go below the folder KEEP, or to a temporary folder.

    With FULL_POOL the course is planned work on a full pool, with FALSE_ENTRIES it is entries of
    other writers beside silent workers, with REBORN workers that restart and are cut off. HOSTS
    and WORKERS 0 stand for the numbers that the course is made for; a full pool draws its workers.
    """
    chosen = {"full_pool": full_pool, "false_entries": false_entries, "reborn": reborn}
    course = next((name for name, is_chosen in chosen.items() if is_chosen), "")
    folder = Path(keep) / f"seed-{seed}" if keep else Path(tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    log = FaultLog()
    findings: list[str] = []

    async def run() -> None:
        size = SIZES[course]
        count = 0 if full_pool else workers or size.workers
        made = replace(size, hosts=hosts or size.hosts, workers=count)
        deployment = SoakDeployment(reactor, folder, made)
        try:
            findings.extend(await _run_course(course, deployment, seed, seconds, log))
        finally:
            deployment.close()
            reactor.stop()

    def fail(failure: Any) -> None:
        findings.append(f"the soak did not complete: {failure.getTraceback()}")

    reactor.callWhenRunning(lambda: run_coroutine(run()).addErrback(fail))
    reactor.run()
    findings = list(dict.fromkeys(findings))
    (folder / "course.txt").write_text("\n".join([*log.lines, *findings]) + "\n")
    print(json.dumps({"seed": seed, "end": log.end, "findings": findings}), flush=True)
    sys.exit(1 if findings else 0)


if __name__ == "__main__":
    fire.Fire(main)
