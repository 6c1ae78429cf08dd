"""The end of a course: callers cancel jobs, first under a fault of orders, then under none."""

from collections.abc import Sequence
from random import Random
from typing import Any, Final

from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import run_coroutine, sleep

from .callers import Caller
from .cancel_checks import CANCEL_MS, STOP_MS
from .cancellers import Canceller
from .deployment import SoakDeployment, now_ms
from .fault_log import CONTACT_MS, FaultLog
from .order_faults import (
    ORDER_FAULT_RATES,
    RESTART_RATES,
    clear_order_faults,
    restart_workers,
    set_order_fault,
)

PROMPT_PAUSES_MS: Final = ((0, 30), (200, 900))
"""Time from the acceptance of a job to its cancellation: starts on their way, or prompt."""
FAULT_SPELL_MS: Final = 2_500
STABLE_SPELL_MS: Final = CONTACT_MS + 1_000
"""Time after the faults of orders in which callers go on to submit and cancel jobs."""
LATE_ORDERS_TIMEOUT_MS: Final = 15_000
"""All late orders are carried out within this time."""
MARGIN_MS: Final = 300
POLL_INTERVAL_MS: Final = 200


async def cancel_jobs_under_restarts(
    deployment: SoakDeployment, cancellers: list[Canceller], rng: Random, log: FaultLog
) -> None:
    """In half of the courses, cancel new jobs while workers restart and orders are late."""
    if rng.random() < 0.5:
        return
    with log.record("late_orders_and_restarts"):
        log.add(f"orders {await set_order_fault(deployment, rng, RESTART_RATES)}")
        restarts = restart_workers(deployment, rng, now_ms() + FAULT_SPELL_MS)
        tasks = [
            run_coroutine(_cancel_for(deployment, [], cancellers, FAULT_SPELL_MS)),
            run_coroutine(restarts),
        ]
        await gatherResults(tasks, consumeErrors=True)
        await clear_order_faults(deployment)


async def cancel_jobs(
    deployment: SoakDeployment,
    callers: list[Caller],
    cancellers: list[Canceller],
    rng: Random,
    log: FaultLog,
) -> None:
    """Cancel the lasting jobs and new ones, and wait until no run of theirs may be left."""
    lasting = _list_lasting_jobs(callers)
    rng.shuffle(lasting)
    half = len(lasting) // 2
    name = rng.choice(sorted(ORDER_FAULT_RATES))
    with log.record(name):
        log.add(f"orders {await set_order_fault(deployment, rng, ORDER_FAULT_RATES[name])}")
        await _cancel_for(deployment, lasting[:half], cancellers, FAULT_SPELL_MS)
        await clear_order_faults(deployment)
    await _cancel_for(deployment, lasting[half:], cancellers, STABLE_SPELL_MS)
    log.add("last cancellations acknowledged")
    await _wait_until_gone(deployment)


async def acknowledge_cancellations(callers: Sequence[Caller]) -> None:
    """Repeat the unacknowledged cancellations, but of jobs of the kind that end by themselves."""
    for caller in callers:
        for job in caller.jobs:
            is_open = job.cancel_sent and job.cancel_acknowledged_at is None
            if is_open and job.kind != "cancelled":
                await caller.cancel(job)


def _list_lasting_jobs(callers: list[Caller]) -> list[tuple[Caller, Any]]:
    return [
        (caller, job)
        for caller in callers
        for job in caller.jobs
        if job.kind == "lasting" and job.accepted_at is not None and not job.cancel_sent
    ]


async def _cancel_for(
    deployment: SoakDeployment,
    lasting: list[tuple[Caller, Any]],
    cancellers: list[Canceller],
    spell_ms: int,
) -> None:
    """Spread the cancellations of lasting jobs over a spell in which new jobs are cancelled."""
    until = now_ms() + spell_ms
    tasks = [
        run_coroutine(caller.run_with_pauses(until, PROMPT_PAUSES_MS)) for caller in cancellers
    ]
    for index, (caller, job) in enumerate(lasting):
        delay_ms = spell_ms * index // len(lasting)
        tasks.append(run_coroutine(_cancel_later(deployment, caller, job, delay_ms)))
    await gatherResults(tasks, consumeErrors=True)


async def _cancel_later(
    deployment: SoakDeployment, caller: Caller, job: Any, delay_ms: int
) -> None:
    await sleep(deployment.reactor, delay_ms)
    await caller.cancel(job)


async def _wait_until_gone(deployment: SoakDeployment) -> None:
    """Wait until the rule holds for the last cancellation and the last late order."""
    deadline = now_ms() + LATE_ORDERS_TIMEOUT_MS
    late_ended_at = -float("inf")
    began_at = now_ms()
    while now_ms() < deadline:
        if not (await deployment.call_standin("pending"))["pending_orders"]:
            break
        late_ended_at = now_ms()
        await sleep(deployment.reactor, POLL_INTERVAL_MS)
    gone_at = max(began_at, late_ended_at + CONTACT_MS) + CANCEL_MS + STOP_MS + MARGIN_MS
    await sleep(deployment.reactor, max(0, int(gone_at - now_ms())))
