"""Faults of the orders that reach workers; drawn apart from the others, to keep old seeds."""

from collections.abc import Sequence
from random import Random
from typing import Final

from quetzallock_daemon.helpers import sleep

from .deployment import SoakDeployment, now_ms
from .fault_log import FaultLog, Span
from .faults import draw_duration_ms, wait_for_end

ORDER_FAULT_RATES: Final = {
    "late_orders": ((20, 10, 0, 0), (60, 0, 0, 0)),
    "lost_answers": ((0, 40, 0, 0), (0, 90, 0, 0)),
    "refused_orders": ((0, 0, 50, 0), (0, 0, 100, 0)),
    "slow_answers": ((0, 0, 0, 100),),
    "mixed_orders": ((15, 15, 20, 40), (10, 5, 40, 45)),
}
"""Percentages of late, lost, refused and slowly answered orders that are drawn, by fault."""
RESTART_RATES: Final = ((50, 0, 0, 0), (100, 0, 0, 0))
"""Percentages that are drawn while workers restart, so that late orders reach new boots."""
MAX_GAP_MS: Final = 4_000
MAX_DOWN_MS: Final = 1_000
MAX_SEED: Final = 1_000_000


async def set_order_fault(
    deployment: SoakDeployment, rng: Random, rates: Sequence[tuple[int, ...]]
) -> str:
    """Begin a fault with one of `rates`, which is drawn, and return what was set."""
    words = [str(number) for number in (rng.randrange(MAX_SEED), *rng.choice(rates))]
    await deployment.call_standin("orders", *words)
    return "/".join(words)


async def restart_workers(deployment: SoakDeployment, rng: Random, until: float) -> None:
    """Crash one worker after the other and restart it under its id, until `until`."""
    while now_ms() < until:
        worker = rng.choice(sorted(deployment.worker_proxies))
        await sleep(deployment.reactor, rng.randrange(MAX_DOWN_MS))
        await deployment.call_standin("crash", worker)
        await sleep(deployment.reactor, rng.randrange(MAX_DOWN_MS))
        await deployment.call_standin("revive", worker)


async def clear_order_faults(deployment: SoakDeployment) -> None:
    """End the faults of orders; those that are late are still carried out."""
    await deployment.call_standin("orders", "0")


async def inject_order_faults(
    deployment: SoakDeployment, rng: Random, until: float, log: FaultLog, quiet: Span
) -> None:
    """Inject faults of orders one after the other until `until`, none in the span `quiet`."""
    while now_ms() < until:
        await sleep(deployment.reactor, rng.randrange(MAX_GAP_MS))
        await wait_for_end(deployment, quiet)
        name = rng.choice(sorted(ORDER_FAULT_RATES))
        with log.record(name):
            words = await set_order_fault(deployment, rng, ORDER_FAULT_RATES[name])
            log.add(f"orders {words}")
            await sleep(deployment.reactor, draw_duration_ms(rng))
            await clear_order_faults(deployment)
