"""Serves the host list stand-in over HTTP.

GET /hosts lists the workers as they were `lag_ms` ago; PUT /hosts/WORKER with `{"state": ...}`
sets the state of one: `live`, `leaving` or `gone`.
"""

import json
import zlib

from twisted.web.http import CACHED, Request

from quetzallock_core.clock import MonotonicClock
from quetzallock_daemon.helpers import read_body

from ..deployment import Deployment
from ..server import serve, write, write_json


class HostListServer:
    """HTTP interface of the host list."""

    def __init__(self, deployment: Deployment, worker_port: int, lag_ms: int) -> None:
        self._rows = deployment.list_rows(worker_port)
        self._lag_ms = lag_ms
        self._clock = MonotonicClock()
        self._changes: list[tuple[int, str, str]] = []
        self._states: dict[str, str] = {}

    def respond(self, request: Request) -> None:
        """Handle a request."""
        if request.method == b"PUT":
            worker = request.path.decode().rpartition("/")[2]
            state = json.loads(read_body(request))["state"]
            self._changes.append((self._clock.now() + self._lag_ms, worker, state))
            write_json(request, 200, {"worker": worker, "state": state})
            return
        self._apply_due_changes()
        rows = [
            row | {"state": self._states.get(str(row["worker"]), "live")}
            for row in self._rows
            if self._states.get(str(row["worker"])) != "gone"
        ]
        body = json.dumps({"workers": rows}).encode()
        if request.setETag(f'"{zlib.crc32(body):08x}"'.encode()) is CACHED:
            request.finish()
            return
        write(request, 200, body)

    def _apply_due_changes(self) -> None:
        now = self._clock.now()
        while self._changes and self._changes[0][0] <= now:
            _, worker, state = self._changes.pop(0)
            self._states[worker] = state


def run_host_list(deployment: Deployment, port: int, worker_port: int, lag_ms: int) -> None:
    """Run the host list stand-in."""
    serve(port, HostListServer(deployment, worker_port, lag_ms).respond)
