"""Faults that are injected into real processes while a trace is played."""

import signal
from collections.abc import Awaitable, Callable
from typing import Any, Final

from twisted.internet.task import deferLater
from twisted.internet.threads import deferToThread

from quetzallock_core.registry import Registry
from quetzallock_daemon.helpers import reactor

from ..processes import LocalDeployment, call_json

ProcessFault = Callable[[LocalDeployment], Awaitable[None]]
PROCESS_FAULTS: Registry[ProcessFault] = Registry("fault")

_FREEZE_DURATION_S: Final = 8.0
_OUTAGE_DURATION_S: Final = 6.0


async def pause(seconds: float) -> None:
    """Wait without blocking the reactor."""
    await deferLater(reactor, seconds, lambda: None)


async def set_log_faults(local: LocalDeployment, **faults: object) -> Any:
    """Inject faults into the log stand-in."""
    return await deferToThread(call_json, "PUT", f"{local.log_url}/faults", faults)


def pick_victim(local: LocalDeployment) -> str:
    """Return the name of the host into which faults are injected."""
    return list(local.hosts)[1]


@PROCESS_FAULTS.register("none")
async def do_nothing(local: LocalDeployment) -> None:
    """Inject no fault."""


@PROCESS_FAULTS.register("kill")
async def kill(local: LocalDeployment) -> None:
    """Kill one daemon for the rest of the play."""
    local.signal_host(pick_victim(local), signal.SIGKILL)


@PROCESS_FAULTS.register("replace")
async def replace(local: LocalDeployment) -> None:
    """Kill one daemon and start it again, with no state."""
    local.signal_host(pick_victim(local), signal.SIGKILL)
    await pause(1)
    local.start_host(1)


@PROCESS_FAULTS.register("freeze")
async def freeze(local: LocalDeployment) -> None:
    """Suspend one daemon for longer than its worker and slot leases last."""
    victim = pick_victim(local)
    local.signal_host(victim, signal.SIGSTOP)
    await pause(_FREEZE_DURATION_S)
    local.signal_host(victim, signal.SIGCONT)


@PROCESS_FAULTS.register("outage")
async def outage(local: LocalDeployment) -> None:
    """Let the log answer no request for a while."""
    await set_log_faults(local, down=True)
    await pause(_OUTAGE_DURATION_S)
    await set_log_faults(local, down=False)


@PROCESS_FAULTS.register("slow")
async def slow(local: LocalDeployment) -> None:
    """Delay the answers of the log and lose some of them."""
    await set_log_faults(local, slow_ms=700, lose_answers=5)
    await pause(_OUTAGE_DURATION_S)
    await set_log_faults(local, slow_ms=0, lose_answers=0)


@PROCESS_FAULTS.register("kill in outage")
async def kill_in_outage(local: LocalDeployment) -> None:
    """Kill one daemon while the log is down."""
    await set_log_faults(local, down=True)
    await pause(1)
    local.signal_host(pick_victim(local), signal.SIGKILL)
    await pause(_OUTAGE_DURATION_S)
    await set_log_faults(local, down=False)


@PROCESS_FAULTS.register("stop")
async def stop(local: LocalDeployment) -> None:
    """Shut one daemon down; it must end with exit code 0.

    Raises:
        RuntimeError: It ended with another code.
    """
    running = local.hosts[pick_victim(local)]
    local.signal_host(running.name, signal.SIGTERM)
    code = await deferToThread(running.process.wait, 30)
    if code != 0:
        raise RuntimeError(f"{running.name} ended with exit code {code}")


@PROCESS_FAULTS.register("workers")
async def break_workers(local: LocalDeployment) -> None:
    """Let one worker fail every task, one truncate its answers, one restart and one leave."""
    names = [str(row["worker"]) for row in local.deployment.list_rows(0)]
    changes: list[dict[str, object]] = [
        {"fails_all": True},
        {"truncate": True},
        {"crash": True},
        {"leaving": True},
    ]
    for name, change in zip(names, changes, strict=False):
        await deferToThread(call_json, "PUT", f"{local.workers_url}/faults/{name}", change)
