"""Helpers that the HTTP servers of the stand-ins share."""

import json
from collections.abc import Callable
from typing import Any

from twisted.web.http import Request
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Site

from quetzallock_daemon.helpers import reactor

from .const import LOOPBACK

Respond = Callable[[Request], None]


class Leaf(Resource):
    """Resource that passes every request to one function."""

    isLeaf = True  # noqa: N815

    def __init__(self, respond: Respond) -> None:
        super().__init__()
        self._respond = respond

    def render(self, request: Request) -> int:
        """Pass on a request, which may be answered later."""
        self._respond(request)
        return NOT_DONE_YET


def serve(port: int, respond: Respond) -> None:
    """Serve requests on a loopback port until the process is stopped."""
    reactor.listenTCP(port, Site(Leaf(respond)), interface=LOOPBACK)
    reactor.run()


def write(request: Request, status: int, body: bytes, kind: str = "application/json") -> None:
    """Write an answer and finish the request."""
    request.setResponseCode(status)
    request.setHeader("Content-Type", kind)
    request.setHeader("Content-Length", str(len(body)))
    request.write(body)
    request.finish()


def write_json(request: Request, status: int, body: Any) -> None:
    """Write an answer in JSON and finish the request."""
    write(request, status, json.dumps(body).encode())
