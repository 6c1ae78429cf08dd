"""Plays a trace against a whole deployment of real daemons and stand-ins, with a fault midway."""

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
from .recorded import RecordedResults
from .traces import load_trace
from .verdict import Verdict, make_verdict, render_verdict

_PROGRESS_INTERVAL_S: Final = 5.0
_SETTLE_S: Final = 3.0
_FINISH_TIMEOUT_S: Final = 90.0


@message(205)
@dataclass(frozen=True, slots=True)
class PlayPlan:
    """The trace, the fault and the settings of one play.

    Attributes:
        preset: Preset to put in force.
        fault: Name of a fault, injected after `fault_share` of the trace.
        checks_time: Whether late answers break a promise.
        slots: Slots of each worker, if other than the deployment declares.
        preset_text: Text to publish as `preset`, besides the deployment's presets.
    """

    deployment: str
    trace: Trace
    preset: str = "ordinary"
    fault: str = "none"
    fault_share: float = 0.5
    entry_hosts: int | None = None
    checks_time: bool = True
    slots: int | None = None
    preset_text: str = ""


def run_demo(name: str, folder: Path) -> int:
    """Run the demo and return the exit status: 0 if every promise held."""
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
    verdicts: list[Verdict] = []

    async def play() -> None:
        try:
            verdicts.append(await _play(local, plan))
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
    if not verdicts:
        raise RuntimeError("the play ended without a verdict; see the errors above")
    _save_verdict(folder, verdicts[0])
    return verdicts[0]


def run_play_in_subprocess(plan: PlayPlan, folder: Path) -> list[CallResult]:
    """Play in a subprocess, since a reactor cannot be restarted, and return the calls' results."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.msgpack").write_bytes(encode(plan))
    command = [sys.executable, "-m", "quetzallock_standins", "play_plan", str(folder)]
    completed = subprocess.run(command, capture_output=True, text=True, check=False)
    if completed.returncode:
        raise RuntimeError(completed.stdout + completed.stderr)
    return list(decode((folder / "calls.msgpack").read_bytes()))


def run_saved_plan(folder: Path) -> None:
    """Play the plan that was saved in a folder.

    Raises:
        RuntimeError: A promise was broken.
    """
    verdict = run_play(decode((folder / "plan.msgpack").read_bytes()), folder)
    if verdict.list_broken(False):
        raise RuntimeError(f"broken promises: {verdict.list_broken(False)}")


def run_until_interrupted(name: str, folder: Path, http_port: int) -> None:
    """Run a deployment with the preset `ordinary` in force until interrupted."""
    local = LocalDeployment(name, folder, http_port=http_port)
    try:
        local.start()
        time.sleep(_SETTLE_S)
        local.publish_presets("ordinary")
        for running in local.hosts.values():
            print(f"{running.name} at {running.http}", flush=True)
        stop_signals = {signal.SIGINT, signal.SIGTERM}
        signal.pthread_sigmask(signal.SIG_BLOCK, stop_signals)
        signal.sigwait(stop_signals)
    finally:
        local.stop()


def _print_failure(failure: Any) -> None:
    print(failure.getTraceback(), file=sys.stderr)


def _save_verdict(folder: Path, verdict: Verdict) -> None:
    text = json.dumps(asdict(verdict), indent=1)
    (folder / "verdict.json").write_text(text, encoding="utf-8")


async def _play(local: LocalDeployment, plan: PlayPlan) -> Verdict:
    trace = plan.trace
    hosts = [running.http for running in local.hosts.values()]
    player = Player(trace, local.deployment.service, hosts)
    fault_done = run_coroutine(_inject_fault(local, plan))
    progress = LoopingCall(lambda: _print_progress(player, len(trace.calls)))
    progress.start(_PROGRESS_INTERVAL_S)
    player.start()
    await player.finished
    await fault_done
    verdict = await _wait_for_jobs(local, player)
    (local.folder / "calls.msgpack").write_bytes(encode(tuple(player.calls)))
    progress.stop()
    surviving_host = next(iter(local.hosts.values())).http
    _, report = await deferToThread(call_json, "GET", f"{surviving_host}/v1/report")
    print(report.get("text", report), flush=True)
    print(render_verdict(verdict, plan.checks_time), flush=True)
    return verdict


async def _inject_fault(local: LocalDeployment, plan: PlayPlan) -> None:
    await pause(plan.trace.duration_ms * plan.fault_share / 1_000)
    if plan.fault != "none":
        print(f"fault: {plan.fault}", flush=True)
    await PROCESS_FAULTS.get(plan.fault)(local)


async def _wait_for_jobs(local: LocalDeployment, player: Player) -> Verdict:
    """Wait until all tasks are done or the time limit is over, and return the verdict."""
    deadline = time.monotonic() + _FINISH_TIMEOUT_S
    results = RecordedResults(local.log_url)
    while True:
        _, body = await deferToThread(call_json, "GET", f"{local.workers_url}/truth")
        ground_truth = _check_ground_truth(body)
        recorded = await deferToThread(results.read)
        verdict = make_verdict(player.calls, player.jobs, ground_truth, recorded)
        if not verdict.lost or time.monotonic() > deadline:
            return verdict
        await pause(1)


def _check_ground_truth(ground_truth: Any) -> dict[str, Any]:
    if "runs" not in ground_truth:
        raise RuntimeError(f"no ground truth from the workers stand-in: {ground_truth}")
    return dict(ground_truth)


def _print_progress(player: Player, total: int) -> None:
    completed = len(player.calls)
    print(
        f"... {completed}/{total} calls answered, {len(player.jobs)} jobs submitted",
        file=sys.stderr,
    )
