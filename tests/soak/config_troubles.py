"""Kinds of trouble between hosts and the store, each as a context in which it lasts."""

import signal
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from typing import Final

from .deployment import Host, SoakDeployment

SLOW_DELAY_MS: Final = 400
"""Delay of each direction in the mode `slow` of the connections."""

Trouble = Callable[[SoakDeployment, list[Host]], AbstractAsyncContextManager[None]]
TROUBLES: dict[str, Trouble] = {}


def register(name: str) -> Callable[[Trouble], Trouble]:
    """Register a kind of trouble, which lasts as long as its context."""

    def add(trouble: Trouble) -> Trouble:
        TROUBLES[name] = trouble
        return trouble

    return add


def _register_proxy_mode(mode: str) -> None:
    @register(mode)
    @asynccontextmanager
    async def set_mode(_deployment: SoakDeployment, hosts: list[Host]) -> AsyncIterator[None]:
        for host in hosts:
            host.store_proxy.set_mode(mode, SLOW_DELAY_MS)
        yield
        for host in hosts:
            host.store_proxy.set_mode("open")


def _register_store_mode(mode: str) -> None:
    @register(f"store-{mode}")
    @asynccontextmanager
    async def set_mode(deployment: SoakDeployment, _hosts: list[Host]) -> AsyncIterator[None]:
        await deployment.call_standin("mode", mode)
        yield
        await deployment.call_standin("mode", "up")


for _mode in ("open", "silent", "drop_answers", "cut", "slow", "reset"):
    _register_proxy_mode(_mode)
for _mode in ("mute", "down", "slow", "lossy"):
    _register_store_mode(_mode)


@register("pause")
@asynccontextmanager
async def pause_hosts(_deployment: SoakDeployment, hosts: list[Host]) -> AsyncIterator[None]:
    """Suspend hosts and resume them."""
    for host in hosts:
        host.send_signal(signal.SIGSTOP)
    yield
    for host in hosts:
        host.send_signal(signal.SIGCONT)


@register("kill")
@asynccontextmanager
async def kill_hosts(_deployment: SoakDeployment, hosts: list[Host]) -> AsyncIterator[None]:
    """Kill hosts and restart them."""
    for host in hosts:
        host.send_signal(signal.SIGKILL)
    yield
    for host in hosts:
        host.start()
