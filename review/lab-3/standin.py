"""Stand-in for the platform: the project's own, with additions.

Workers have been up for some minutes and grant leases of up to `--max-lease-ms`. A worker that is down
resets connections. A cut drops what arrives and what waits. A poll or a start order can be left without an
answer and carried out later, by whatever boot the worker then has. The store rejects what is too large.
"""

import json
import time
from typing import Any

import fire
from quetzallock_core.cells.orders import StartRun
from quetzallock_daemon.helpers import reactor
from quetzallock_platform.records import split_records
from quetzallock_platform_standin import model, server
from quetzallock_standins.emulator import EmulatedWorker

UPTIME_MS = 480_000.0
"""Clock of the workers at the start: they have been up for some minutes."""

NEW_BOOT_MS = 600
"""Clock up to which the start orders that a boot receives are logged."""

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
"""Limits of an append, as in the settings."""

FIRST_END = 400
"""Number of their next end: so many runs have ended there since."""

_late_polls: dict[str, float] = {}
"""How long after its arrival the next poll of a worker that renews its lease is carried out."""
_late_starts: dict[str, float] = {}
"""The same for the next start order that a worker receives."""
_log: list[dict[str, Any]] = []


def _log_event(event: str, worker: EmulatedWorker, **fields: Any) -> None:
    row = {"at": int(time.monotonic() * 1_000), "event": event, "worker": worker.id}
    _log.append(row | {"clock": worker.clock_ms, "lease_until": worker.lease_until} | fields)


class LabWorkerRequest(server.WorkerRequest):
    """A call to a worker: a cut keeps it from being answered, and one that is down resets it."""

    def process(self) -> None:
        worker = self.subject
        if not worker.is_up:
            self.loseConnection()
            return
        if self.path == b"/run-start" and worker.clock_ms < NEW_BOOT_MS:
            until = self.read_json()["untilMs"]
            self.content.seek(0)
            _log_event("start at a new boot", worker, until=until)
        if self.path == b"/run-start" and worker.is_up and worker.id in _late_starts:
            body = self.read_json()
            self.standin.behaviours.add_task(body["task"], body["spec"])
            _log_event("start left unanswered", worker, task=body["task"], until=body["untilMs"])
            reactor.callLater(_late_starts.pop(worker.id), _start_late, worker, body)
            return
        if self.path == b"/hold" and worker.is_up and not worker.is_isolated:
            body = self.read_json()
            if "untilMs" in body and worker.id in _late_polls:
                delay_s = _late_polls.pop(worker.id)
                _log_event("hold left unanswered", worker, until=body["untilMs"])
                reactor.callLater(delay_s, _carry_out, worker, body)
                return
            self.content.seek(0)
        super().process()

    def reply(self, status: int, body: Any) -> None:
        if self.subject.is_isolated:
            return
        super().reply(status, body)


def _carry_out(worker: EmulatedWorker, body: dict[str, Any]) -> None:
    """Carry a poll out on the boot that the worker has now."""
    if not worker.is_up:
        return
    before = worker.lease_until
    forgotten = [list(end) for end in worker.ends if end.number <= body.get("ackCursor", 0)]
    worker.poll_inventory(body["fencingToken"], body.get("ackCursor", 0), body["untilMs"])
    fields = {"before": before, "until": body["untilMs"], "forgotten": forgotten}
    _log_event("hold carried out late", worker, ack_cursor=body.get("ackCursor", 0), **fields)


def _start_late(worker: EmulatedWorker, body: dict[str, Any]) -> None:
    """Carry a start order out on the boot that the worker has now."""
    if not worker.is_up:
        return
    before = worker.lease_until
    order = StartRun(
        worker.id,
        worker.entry.boot_ms,
        worker.entry.address,
        body["task"],
        body["run"],
        body["spec"],
        body.get("checkpoint", ""),
        body["untilMs"],
    )
    answer = worker.start(order, body["fencingToken"])
    fields = {"before": before, "until": body["untilMs"], "answer": answer.outcome}
    _log_event("start carried out late", worker, task=body["task"], **fields)


def run(workers: int, max_lease_ms: int, stop_ms: int) -> None:
    """Serve a store and WORKERS emulated workers until the process is stopped."""
    standin = model.Standin(
        workers,
        lambda owner, worker: server.listen(server.make_factory(LabWorkerRequest, owner, worker)),
    )
    for worker in standin.workers.values():
        worker.max_lease_ms = max_lease_ms
        worker.stop_ms = stop_ms
        worker._clock = UPTIME_MS
        worker._next_end = FIRST_END
    commands = server._COMMANDS
    commands["late-poll"] = lambda _standin, name, ms: _late_polls.update({name: int(ms) / 1_000})
    commands["late-start"] = lambda _standin, name, ms: _late_starts.update({name: int(ms) / 1_000})
    commands["log"] = lambda _standin: None
    store = server.listen(server.make_factory(LabStoreRequest, standin, standin.store))
    print(json.dumps({"store": store.address}), flush=True)
    reactor.run()


class LabStoreRequest(server.StoreRequest):
    """A call to the store, which rejects appends beyond the sizes in the settings."""

    def _run_command(self, command: list[str]) -> None:
        if command[0] == "log":
            self.reply(200, {"log": _log, "late_pending": [*_late_polls, *_late_starts]})
        else:
            super()._run_command(command)

    def _append(self, query: dict[str, str]) -> None:
        body = self.content.read()
        self.content.seek(0)
        largest = max(map(len, split_records(body)), default=0)
        if len(body) <= CALL_BYTES and largest <= RECORD_BYTES:
            super()._append(query)
            return
        row = {"at": int(time.monotonic() * 1_000), "event": "append rejected: too large"}
        _log.append(row | {"body": len(body), "largest_record": largest})
        self.reply(400, {"reason": "size"})


if __name__ == "__main__":
    fire.Fire(run)
