"""The log stand-in as a process.

POST /streams/NAME appends the body; GET /streams/NAME?from=N reads; PUT /faults sets faults.
"""

import json
from dataclasses import asdict

import msgpack
from twisted.web.http import Request

from quetzallock_core.clock import MonotonicClock
from quetzallock_daemon.helpers import reactor, read_body

from ..const import SECOND_MS
from ..server import serve, write, write_json
from .model import LogModel


class LogServer:
    """The log over HTTP."""

    def __init__(self, retention_ms: int) -> None:
        self._model = LogModel(retention_ms)
        self._clock = MonotonicClock()

    def respond(self, request: Request) -> None:
        """Answer a request after what the faults say."""
        path = request.path.decode()
        if path == "/faults":
            self._change_faults(request)
            return
        faults = self._model.faults
        if faults.down:
            return
        request.notifyFinish().addErrback(lambda _reason: None)
        if request.method == b"POST":
            self._append(request, path.rpartition("/")[2])
        else:
            self._read(request, path.rpartition("/")[2])

    def _change_faults(self, request: Request) -> None:
        if request.method == b"PUT":
            for name, value in json.loads(read_body(request)).items():
                setattr(self._model.faults, name, value)
        body = asdict(self._model.faults)
        body |= {"appended": self._model.appended, "refused": self._model.refused}
        write_json(request, 200, body)

    def _append(self, request: Request, stream: str) -> None:
        offset = self._model.append(stream, read_body(request), self._clock.now())
        if offset is None:
            self._later(request, 429, b"{}")
        elif not self._model.pop_lost_answer():
            self._later(request, 200, json.dumps({"offset": offset}).encode())

    def _read(self, request: Request, stream: str) -> None:
        offset = int(request.args.get(b"from", [b"0"])[0])
        page = self._model.read(stream, offset, self._clock.now())
        body = msgpack.packb([page.first, page.next_offset, list(page.records)])
        self._later(request, 200, body)

    def _later(self, request: Request, status: int, body: bytes) -> None:
        delay_s = self._model.faults.slow_ms / SECOND_MS

        def answer() -> None:
            if request.channel is not None and not request._disconnected:
                write(request, status, body, "application/octet-stream")

        if delay_s:
            reactor.callLater(delay_s, answer)
        else:
            answer()


def run_log(port: int, retention_ms: int) -> None:
    """Run the log stand-in."""
    serve(port, LogServer(retention_ms).respond)
