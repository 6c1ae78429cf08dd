"""The HTTP server: takes in requests in memory, within a limit, and finds their handler."""

from io import BytesIO
from urllib.parse import unquote

from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from quetzallock_core.exceptions import QuetzallockError
from quetzallock_core.requests.errors import BodyTooLargeError

from . import calls, jobs, presets, status  # noqa: F401 - they fill the table of routes
from .context import WebContext
from .replies import write_failure
from .routes import find_route

_IDLE_S = 75


class MemoryRequest(Request):
    """A request whose body stays in memory and is dropped beyond the limit."""

    body_limit = 0
    is_too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory: entry hosts have no disk."""
        self.content = self._kept = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Take in a part of the body."""
        if self._kept.tell() + len(data) > self.body_limit:
            self.is_too_large = True
            return
        self._kept.write(data)

    def parseCookies(self) -> None:  # noqa: N802
        """Leave cookies alone: they are the backend server's."""


class Root(Resource):
    """Answers every path by the table of routes."""

    isLeaf = True  # noqa: N815

    def __init__(self, context: WebContext) -> None:
        super().__init__()
        self._context = context

    def render(self, request: HttpRequest) -> int:
        """Find the handler; faults of the input are answered with their place."""
        path = unquote(request.path.decode("latin-1"))
        try:
            if getattr(request, "is_too_large", False):
                raise BodyTooLargeError(self._context.node.settings.calls.body_bytes)
            handler, arguments = find_route(request.method.decode("latin-1"), path)
            handler(self._context, request, **arguments)
        except QuetzallockError as error:
            write_failure(request, error)
        return NOT_DONE_YET


def make_site(context: WebContext) -> Site:
    """Return the HTTP server's factory."""

    class LimitedRequest(MemoryRequest):
        """A request with the limit of the settings."""

        body_limit = context.node.settings.calls.body_bytes

    return Site(Root(context), requestFactory=LimitedRequest, timeout=_IDLE_S)
