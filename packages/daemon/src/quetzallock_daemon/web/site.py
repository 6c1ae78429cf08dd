"""HTTP server: reads requests into memory, up to a limit, and calls their handlers."""

from io import BytesIO
from urllib.parse import unquote

from twisted.web.http import Request as HttpRequest
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from quetzallock_core.exceptions import QuetzallockError
from quetzallock_core.requests.errors import BodyTooLargeError

from . import calls, jobs, presets, status  # noqa: F401 - imported to register their routes
from .context import WebContext
from .replies import write_failure
from .routes import find_route

_IDLE_TIMEOUT_S = 75


class MemoryRequest(Request):
    """A request that keeps its body in memory; it is marked as too large beyond the limit."""

    body_limit = 0
    is_too_large = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory: Twisted writes large ones to disk, which entry hosts lack."""
        self.content = self._body = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Store a part of the body."""
        if self._body.tell() + len(data) > self.body_limit:
            self.is_too_large = True
            return
        self._body.write(data)

    def parseCookies(self) -> None:  # noqa: N802
        """Do not parse cookies: they are meant for the backend server."""


class Root(Resource):
    """Resource that answers all paths by the table of routes."""

    isLeaf = True  # noqa: N815

    def __init__(self, context: WebContext) -> None:
        super().__init__()
        self._context = context

    def render(self, request: HttpRequest) -> int:
        """Call the handler of the request; answer errors of the input."""
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
    """Return the Twisted factory of the HTTP server."""

    class LimitedRequest(MemoryRequest):
        """A request with the body limit of the settings."""

        body_limit = context.node.settings.calls.body_bytes

    return Site(Root(context), requestFactory=LimitedRequest, timeout=_IDLE_TIMEOUT_S)
