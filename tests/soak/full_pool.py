"""A course without faults: a full pool whose workers leave in a row while hosts restart in turn."""

import signal
from collections import defaultdict
from random import Random
from typing import Final

from twisted.internet.defer import gatherResults

from quetzallock_daemon.helpers import run_coroutine, sleep

from .callers import Caller
from .deployment import Host, SoakDeployment, now_ms
from .fault_log import FaultLog
from .lasting_checks import ABSENCE_MS, CALM_MS, RESTART_MS
from .loss_checks import SentSignals, list_loss_findings
from .open_channels import ChannelCaller, watch_channels
from .planned_work import (
    DRAIN_MS,
    FLOOD_CALLER_COUNT,
    FLOOD_MS,
    LASTING_CPU,
    FloodCaller,
    replace_workers_in_row,
    restart_host,
)
from .starvation import SAMPLE_PAUSE_MS, StarvationWatch

WORKER_CPU: Final = (6_000, 8_000, 12_000, 16_000)
WORKER_COUNTS: Final = (5, 8)
FILL_MS: Final = 4_000
"""Time for the tasks that fill the pool to start."""
HOST_COUNT: Final = 5
MIN_SERVING: Final = 1
"""Hosts that serve at least while others drain or start, or nobody could own the cell."""
CHANNELS_PER_HOST: Final = 3
ROUNDS: Final = 2
"""How often each host is restarted."""
HOST_GAP_MS: Final = 2_000
"""Time between the SIGTERM of two hosts, which is shorter than their drains."""
PROCESS_POLL_MS: Final = 20
SLOW_APPEND_MS: Final = (100, 400)
"""How long appends take in a slow spell; the store lets them wait for up to 2 s."""
SLOW_SPELL_MS: Final = (500, 3_000)
CHANGE_PAUSE_MS: Final = (300, 2_000)
"""Time between two changes of the configuration, SIGHUP or slow spells."""


class FullPoolCourse:
    """The course of one seed; a wait of a process for a processor ends a calm period.

    Attributes:
        callers: All callers.
    """

    def __init__(self, deployment: SoakDeployment, seed: int, log: FaultLog) -> None:
        self._deployment = deployment
        self._rng = Random(f"full pool {seed}")
        self._log = log
        self._terms: defaultdict[str, list[float]] = defaultdict(list)
        self._reloads: defaultdict[str, list[float]] = defaultdict(list)
        self._flood = [
            FloodCaller(deployment, Random(self._rng.random()), number)
            for number in range(FLOOD_CALLER_COUNT)
        ]
        self._users = [
            ChannelCaller(deployment, Random(self._rng.random()), FLOOD_CALLER_COUNT + number, host)
            for number, host in enumerate(CHANNELS_PER_HOST * deployment.hosts)
        ]
        self._watch = StarvationWatch(deployment, log)
        self.callers: list[Caller] = [*self._flood, *self._users]

    async def play(self) -> list[str]:
        """Play the course and return the findings on requests."""
        deployment, rng = self._deployment, self._rng
        with self._log.record("start of the processes"):
            await deployment.prepare()
            sizes = [rng.choice(WORKER_CPU) for _ in range(rng.randint(*WORKER_COUNTS))]
            for number, cpu in enumerate(sizes):
                await deployment.add_worker(f"v{number}", cpu)
        await self._fill(sum(sizes))
        await sleep(deployment.reactor, FILL_MS)
        until = now_ms() + FLOOD_MS + DRAIN_MS + RESTART_MS + ABSENCE_MS + CALM_MS
        work = [*(caller.run(until) for caller in self.callers), self._change(Random(rng.random()))]
        work += [self._restart_hosts(), self._replace_workers(sizes)]
        work += [watch_channels(deployment, self._users, until), self._watch_starvation(until)]
        await gatherResults([run_coroutine(part) for part in work], consumeErrors=True)
        for caller in self._flood:
            await caller.cancel_lasting()
        self._log.unplanned_spans += self._watch.waits
        return self._list_findings()

    def _list_findings(self) -> list[str]:
        requests = [request for user in self._users for request in user.requests]
        signals = {
            host.name: SentSignals(self._terms[host.name], self._reloads[host.name])
            for host in self._deployment.hosts
        }
        unanswered = [request for request in requests if not request.status]
        self._log.add(
            f"{len(requests)} requests on open channels, {len(unanswered)} unanswered,"
            f" {sum(request.is_lost for request in unanswered)} of them read"
        )
        return list(list_loss_findings(requests, signals, self._log.unplanned_spans))

    async def _fill(self, capacity: int) -> None:
        """Submit long-running tasks until less than the largest of them is left of the pool."""
        left = capacity
        while left >= max(LASTING_CPU):
            cpu = self._rng.choice(LASTING_CPU)
            caller = self._rng.choice(self._flood)
            job = await caller.submit_lasting(cpu, 1 + self._rng.randrange(min(4, left // cpu)))
            left -= sum(job.tasks) * cpu

    async def _restart_hosts(self) -> None:
        """Send SIGTERM to one host after the other, and restart each once it has ended."""
        with self._log.record("restart_hosts", f"gap {HOST_GAP_MS}"):
            await sleep(self._deployment.reactor, FLOOD_MS // 4)
            restarts = []
            for host in ROUNDS * self._deployment.hosts:
                while host.has_fault or self._count_serving() <= MIN_SERVING:
                    await sleep(self._deployment.reactor, PROCESS_POLL_MS)
                restarts.append(run_coroutine(self._restart_host(host)))
                await sleep(self._deployment.reactor, HOST_GAP_MS)
            await gatherResults(restarts, consumeErrors=True)

    def _count_serving(self) -> int:
        return sum(not host.has_fault for host in self._deployment.hosts)

    async def _restart_host(self, host: Host) -> None:
        host.has_fault = True
        self._terms[host.name].append(now_ms())
        await restart_host(self._deployment, host, self._log)
        await self._deployment.wait_ready(host)
        host.has_fault = False

    async def _replace_workers(self, sizes: list[int]) -> None:
        """Replace half of the workers or more, each successor up before the leave is announced."""
        await sleep(self._deployment.reactor, FLOOD_MS // 4)
        names = [f"v{number}" for number in range(len(sizes))]
        leaving = self._rng.sample(names, self._rng.randint(len(names) // 2, len(names)))
        sizes_of = dict(zip(names, sizes, strict=True))
        await replace_workers_in_row(self._deployment, leaving, sizes_of, self._log)

    async def _change(self, rng: Random) -> None:
        """Change the configuration, reload hosts and slow appends down, in turn."""
        until = now_ms() + FLOOD_MS + DRAIN_MS
        while now_ms() < until:
            await sleep(self._deployment.reactor, rng.randrange(*CHANGE_PAUSE_MS))
            work = rng.choice((self._publish, self._reload, self._slow_appends, self._slow_appends))
            await work(rng)

    async def _publish(self, _rng: Random) -> None:
        version = await self._deployment.publish_configuration()
        self._log.add(f"version {version} is published")

    async def _reload(self, rng: Random) -> None:
        """Send SIGHUP to a host; one that starts has no handler yet and would end."""
        hosts = [host for host in self._deployment.hosts if host.was_stopped or not host.has_fault]
        host = rng.choice(hosts)
        self._reloads[host.name].append(now_ms())
        self._log.add(f"SIGHUP to {host.name}")
        host.send_signal(signal.SIGHUP)

    async def _slow_appends(self, rng: Random) -> None:
        ms = rng.randrange(*SLOW_APPEND_MS)
        with self._log.record("slow_appends", f"{ms} ms"):
            await self._deployment.call_standin("append-time", str(ms))
            await sleep(self._deployment.reactor, rng.randrange(*SLOW_SPELL_MS))
            await self._deployment.call_standin("append-time", "0")

    async def _watch_starvation(self, until: float) -> None:
        while now_ms() < until:
            self._watch.sample()
            await sleep(self._deployment.reactor, SAMPLE_PAUSE_MS)
