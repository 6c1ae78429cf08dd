"""The HTTP server: takes in requests in memory, within a limit, and finds their handler."""

from io import BytesIO
from urllib.parse import unquote

from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from quetzallock_core.exceptions import Finding, InvalidInputError, QuetzallockError

from . import calls, jobs, presets, status  # noqa: F401 - they fill the table of routes
from .context import WebContext
from .replies import write_error
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
        if getattr(request, "is_too_large", False):
            limit = self._context.node.settings.calls.body_bytes
            finding = Finding("body", f"is larger than {limit} bytes")
            write_error(request, 413, "body_too_large", "the body is too large", [finding])
            return NOT_DONE_YET
        try:
            self._dispatch(request, path)
        except InvalidInputError as error:
            write_error(request, 400, error.code, "the input has faults", error.findings)
        except QuetzallockError as error:
            write_error(request, 400, error.code, error.cause)
        return NOT_DONE_YET

    def _dispatch(self, request: HttpRequest, path: str) -> None:
        try:
            found = find_route(request.method.decode("latin-1"), path)
        except LookupError:
            finding = Finding("method", "is not offered at this path")
            write_error(request, 405, "method_not_allowed", "wrong method", [finding])
            return
        if found is None:
            finding = Finding("path", f"{path} is not offered")
            write_error(request, 404, "unknown_path", "no such path", [finding])
            return
        handler, arguments = found
        handler(self._context, request, **arguments)


def make_site(context: WebContext) -> Site:
    """Return the HTTP server's factory."""

    class LimitedRequest(MemoryRequest):
        """A request with the limit of the settings."""

        body_limit = context.node.settings.calls.body_bytes

    return Site(Root(context), requestFactory=LimitedRequest, timeout=_IDLE_S)
