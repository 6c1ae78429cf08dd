"""The main job on stand-ins: a whole deployment, a recorded trace, a fault midway."""

import json
import signal
import subprocess
import sys
import time
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any, Final

from twisted.internet.task import LoopingCall
from twisted.internet.threads import deferToThread

from quetzallock_core.codec import decode, encode, message
from quetzallock_daemon.helpers import reactor, run_coroutine

from ..processes import EXAMPLES, LocalDeployment, call_json
from .faults import PROCESS_FAULTS, pause
from .models import CallResult, Trace
from .player import Player
from .traces import load_trace
from .verdict import Verdict, find_results_lost, judge, render_verdict

_PROGRESS_S: Final = 5.0
_SETTLE_S: Final = 3.0
_FINISH_S: Final = 90.0


@message(205)
@dataclass(frozen=True, slots=True)
class PlayPlan:
    """What is played.

    Attributes:
        preset: Preset in force.
        fault: Name of a fault, begun when `fault_share` of the trace has passed.
        judges_time: Whether late answers count against the verdict.
        slots: Slots of each worker, if not the deployment's.
        preset_text: A preset to publish besides the deployment's.
    """

    deployment: str
    trace: Trace
    preset: str = "ordinary"
    fault: str = "none"
    fault_share: float = 0.5
    entry_hosts: int | None = None
    judges_time: bool = True
    slots: int | None = None
    preset_text: str = ""


def run_demo(name: str, folder: Path) -> int:
    """Run the demo and return the exit status: 0 where every promise held."""
    trace = load_trace(EXAMPLES / "traces" / f"{name}.msgpack")
    verdict = run_play(PlayPlan(name, trace, fault="kill"), folder)
    return 1 if verdict.list_broken(True) else 0


def run_play(plan: PlayPlan, folder: Path) -> Verdict:
    """Start a deployment, play a trace against it and return the verdict."""
    local = LocalDeployment(plan.deployment, folder, plan.entry_hosts, plan.slots)
    local.add_settings("jobs", task_lease_ms=9_000, trust_ms=60_000, news_ms=4_000)
    local.add_settings("placement", report_ms=3_000)
    print(
        f"starting {plan.deployment}: {local.entry_hosts} daemons, log, host list, workers",
        flush=True,
    )
    outcome: list[Verdict] = []

    async def play() -> None:
        try:
            outcome.append(await _play(local, plan))
        finally:
            reactor.stop()

    try:
        local.start()
        time.sleep(_SETTLE_S)
        local.publish_presets(plan.preset, plan.preset_text)
        reactor.callWhenRunning(lambda: run_coroutine(play()).addErrback(_print_failure))
        reactor.run()
    finally:
        local.stop()
    if not outcome:
        raise RuntimeError("the run failed; see the lines above")
    _keep(folder, outcome[0])
    return outcome[0]


def run_play_apart(plan: PlayPlan, folder: Path) -> list[CallResult]:
    """Play in a process of its own, since a reactor runs once, and return the calls."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.msgpack").write_bytes(encode(plan))
    command = [sys.executable, "-m", "quetzallock_standins", "play_plan", str(folder)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode:
        raise RuntimeError(done.stdout + done.stderr)
    return list(decode((folder / "calls.msgpack").read_bytes()))


def run_kept_plan(folder: Path) -> None:
    """Play the plan kept in a folder.

    Raises:
        RuntimeError: A promise was broken.
    """
    verdict = run_play(decode((folder / "plan.msgpack").read_bytes()), folder)
    if verdict.list_broken(False):
        raise RuntimeError(f"broken: {verdict.list_broken(False)}")


def keep_up(name: str, folder: Path, http_port: int) -> None:
    """Run a deployment with the preset `ordinary` in force until interrupted."""
    local = LocalDeployment(name, folder, http_port=http_port)
    try:
        local.start()
        time.sleep(_SETTLE_S)
        local.publish_presets("ordinary")
        for running in local.hosts.values():
            print(f"{running.name} at {running.http}", flush=True)
        stops = {signal.SIGINT, signal.SIGTERM}
        signal.pthread_sigmask(signal.SIG_BLOCK, stops)
        signal.sigwait(stops)
    finally:
        local.stop()


def _print_failure(failure: Any) -> None:
    print(failure.getTraceback(), file=sys.stderr)


def _keep(folder: Path, verdict: Verdict) -> None:
    text = json.dumps(asdict(verdict), indent=1)
    (folder / "verdict.json").write_text(text, encoding="utf-8")


async def _play(local: LocalDeployment, plan: PlayPlan) -> Verdict:
    trace = plan.trace
    hosts = [running.http for running in local.hosts.values()]
    player = Player(trace, local.deployment.service, hosts)
    fault_done = run_coroutine(_break(local, plan))
    progress = LoopingCall(lambda: _print_progress(player, len(trace.calls)))
    progress.start(_PROGRESS_S)
    player.start()
    await player.finished
    await fault_done
    verdict = await _await_jobs(local, player)
    (local.folder / "calls.msgpack").write_bytes(encode(tuple(player.calls)))
    progress.stop()
    survivor = next(iter(local.hosts.values())).http
    _, report = await deferToThread(call_json, "GET", f"{survivor}/v1/report")
    print(report.get("text", report), flush=True)
    print(render_verdict(verdict, plan.judges_time), flush=True)
    return verdict


async def _break(local: LocalDeployment, plan: PlayPlan) -> None:
    await pause(plan.trace.duration_ms * plan.fault_share / 1_000)
    if plan.fault != "none":
        print(f"fault: {plan.fault}", flush=True)
    await PROCESS_FAULTS.get(plan.fault)(local)


async def _await_jobs(local: LocalDeployment, player: Player) -> Verdict:
    """Wait until all tasks are done, or for long enough, and judge."""
    deadline = time.monotonic() + _FINISH_S
    while True:
        _, truth = await deferToThread(call_json, "GET", f"{local.workers_url}/truth")
        recorded = await _find_recorded(local, find_results_lost(_need_truth(truth)))
        verdict = judge(player.calls, player.jobs, truth, recorded)
        if not verdict.lost or time.monotonic() > deadline:
            return verdict
        await pause(1)


async def _find_recorded(local: LocalDeployment, tasks: frozenset[str]) -> frozenset[str]:
    """Return those tasks whose jobs a daemon says have finished altogether."""
    base = next(iter(local.hosts.values())).http
    recorded = set()
    for task in tasks:
        job = task.rpartition("/")[0]
        _, body = await deferToThread(call_json, "GET", f"{base}/v1/jobs/{job}")
        if set(body.get("tasks", {})) == {"finished"}:
            recorded.add(task)
    return frozenset(recorded)


def _need_truth(truth: Any) -> dict[str, Any]:
    if "runs" not in truth:
        raise RuntimeError(f"the workers stand-in does not answer: {truth}")
    return dict(truth)


def _print_progress(player: Player, total: int) -> None:
    done = len(player.calls)
    print(f"... {done}/{total} calls answered, {len(player.jobs)} jobs told", file=sys.stderr)
