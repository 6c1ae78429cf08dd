"""The main job on stand-ins: a whole deployment, a recorded trace, one daemon killed midway."""

import signal
import sys
import time
from pathlib import Path
from typing import Any, Final

from twisted.internet import threads
from twisted.internet.task import LoopingCall, deferLater

from quetzallock_daemon.helpers import reactor, run_task

from ..processes import EXAMPLES, LocalDeployment, call_json
from .player import Player
from .traces import load_trace
from .verdict import Verdict, judge, render_verdict

_PROGRESS_S: Final = 5.0
_SETTLE_S: Final = 3.0
_FINISH_S: Final = 60.0
_KILL_SHARE: Final = 0.5


def run_demo(name: str, folder: Path) -> int:
    """Run the demo and return the exit status: 0 where every promise held."""
    local = LocalDeployment(name, folder)
    local.set_extra("jobs", task_lease_ms=9_000, trust_ms=60_000, news_ms=4_000)
    local.set_extra("placement", report_ms=3_000)
    print(f"starting {name}: {local.entry_hosts} daemons, log, host list, workers", flush=True)
    status = [1]

    async def play() -> None:
        try:
            verdict = await _play(local, name)
            status[0] = 1 if verdict.broken else 0
        finally:
            reactor.stop()

    try:
        local.start()
        time.sleep(_SETTLE_S)
        local.publish_presets("ordinary")
        reactor.callWhenRunning(lambda: run_task(play()))
        reactor.run()
    finally:
        local.stop()
    return status[0]


async def _play(local: LocalDeployment, name: str) -> Verdict:
    trace = load_trace(EXAMPLES / "traces" / f"{name}.msgpack")
    hosts = [running.http for running in local.hosts.values()]
    player = Player(trace, local.deployment.service, hosts)
    victim = list(local.hosts)[1]

    def kill() -> None:
        print(f"killing {victim}", flush=True)
        local.signal_host(victim, signal.SIGKILL)

    reactor.callLater(trace.length_ms * _KILL_SHARE / 1_000, kill)
    progress = LoopingCall(lambda: _print_progress(player, len(trace.calls)))
    progress.start(_PROGRESS_S)
    player.start()
    await player.finished
    verdict: Verdict = await _await_jobs(local, player)
    progress.stop()
    survivor = list(local.hosts.values())[0].http
    _, report = await threads.deferToThread(call_json, "GET", f"{survivor}/v1/report")
    print(report.get("text", report), flush=True)
    print(render_verdict(verdict), flush=True)
    return verdict


async def _await_jobs(local: LocalDeployment, player: Player) -> Verdict:
    """Wait until all tasks are done, or for long enough, and judge."""
    deadline = time.monotonic() + _FINISH_S
    while True:
        _, truth = await threads.deferToThread(call_json, "GET", f"{local.workers_url}/truth")
        verdict = judge(player.calls, player.jobs, _need_truth(truth))
        if not verdict.lost or time.monotonic() > deadline:
            return verdict
        await deferLater(reactor, 1, lambda: None)


def _need_truth(truth: Any) -> dict[str, Any]:
    if "runs" not in truth:
        raise RuntimeError(f"the workers stand-in does not answer: {truth}")
    return dict(truth)


def _print_progress(player: Player, total: int) -> None:
    done = len(player.calls)
    print(f"... {done}/{total} calls answered, {len(player.jobs)} jobs told", file=sys.stderr)
