"""What the platform's balancer does for callers: picks a ready entry host."""

from random import Random

from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, readBody

from quetzallock_daemon.helpers import reactor, run_coroutine

_CHECK_S = 0.3


class Balancer:
    """Entry hosts that answered the last readiness check."""

    def __init__(self, agent: Agent, hosts: list[str], rng: Random) -> None:
        self._agent = agent
        self._hosts = hosts
        self._ready = list(hosts)
        self._rng = rng
        self._loop = LoopingCall(self._check_all)

    def start(self) -> None:
        """Begin to check."""
        self._loop.start(_CHECK_S)

    def stop(self) -> None:
        """Cease to check."""
        self._loop.stop()

    def pick(self) -> str:
        """Return the base URL of a host."""
        return self._rng.choice(self._ready or self._hosts)

    def mark_down(self, host: str) -> None:
        """Leave out a host that took no connection, until its next check."""
        if host in self._ready:
            self._ready.remove(host)

    def _check_all(self) -> None:
        for host in self._hosts:
            run_coroutine(self._check(host))

    async def _check(self, host: str) -> None:
        is_ready = False
        try:
            call = self._agent.request(b"GET", f"{host}/readyz".encode())
            response = await call.addTimeout(1, reactor)
            await readBody(response).addTimeout(1, reactor)
            is_ready = response.code == 200
        except Exception:  # noqa: BLE001 - whatever went wrong, the host is not ready
            is_ready = False
        if is_ready and host not in self._ready:
            self._ready.append(host)
        elif not is_ready:
            self.mark_down(host)
