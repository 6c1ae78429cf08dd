"""Stand-in of the platform's load balancer: picks a ready entry host for each caller."""

from random import Random

from twisted.internet.task import LoopingCall
from twisted.web.client import Agent, readBody

from quetzallock_daemon.helpers import reactor, run_coroutine

_CHECK_INTERVAL_S = 0.3


class Balancer:
    """Picks among the entry hosts that answered the last readiness check."""

    def __init__(self, agent: Agent, hosts: list[str], rng: Random) -> None:
        self._agent = agent
        self._hosts = hosts
        self._ready = list(hosts)
        self._rng = rng
        self._loop = LoopingCall(self._check_all)

    def start(self) -> None:
        """Start the readiness checks."""
        self._loop.start(_CHECK_INTERVAL_S)

    def stop(self) -> None:
        """Stop the readiness checks."""
        self._loop.stop()

    def pick(self) -> str:
        """Return the base URL of a random ready host, or of any host if none is ready."""
        return self._rng.choice(self._ready or self._hosts)

    def mark_down(self, host: str) -> None:
        """Exclude a host that refused a connection until its next check."""
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
        except Exception:  # noqa: BLE001 - a host whose check fails in any way is not ready
            is_ready = False
        if is_ready and host not in self._ready:
            self._ready.append(host)
        elif not is_ready:
            self.mark_down(host)
